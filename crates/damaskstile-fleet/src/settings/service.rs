//! Settings of a service.

use serde::{Deserialize, Serialize};

use super::check_range;
use crate::errors::{Result, setting_error};

/// `ServiceKind` is the kind of targets that a service has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    #[default]
    Model,
    /// Plain HTTP services.
    Plain,
}

/// `ServiceSettings` holds the settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Kind of targets that the service has.
    pub kind: ServiceKind,
    /// Price of one call of a plain service, in tokens.
    pub price_tokens: u64,
    /// Whether its calls must run at most once.
    pub is_non_idempotent: bool,
    /// Whether its targets can resume an interrupted stream.
    pub can_resume: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Model,
            price_tokens: 1,
            is_non_idempotent: false,
            can_resume: true,
        }
    }
}

impl ServiceSettings {
    pub(super) fn check(&self, path: &str) -> Result<()> {
        check_range(path, "price_tokens", Some(self.price_tokens), 1, 1_000_000)?;
        if self.kind == ServiceKind::Model && self.price_tokens != 1 {
            return setting_error(
                format!("{path}.price_tokens"),
                self.price_tokens,
                "no price, as a model service is billed by tokens",
            );
        }
        Ok(())
    }
}
