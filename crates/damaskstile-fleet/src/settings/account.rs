//! Settings of a client account.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::values::Values;
use crate::errors::{Result, setting_error};

/// Length of a SHA-256 in hexadecimal digits.
const SHA256_DIGITS: usize = 64;

/// `AccountSettings` holds the settings of a client account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AccountSettings {
    /// Budget that pays for the account's requests.
    pub budget: BudgetId,
    /// SHA-256 of each bearer token, in lower-case hexadecimal. The tokens themselves are not
    /// stored.
    pub token_sha256: Vec<String>,
    /// Values that override those of the fleet.
    pub values: Values,
    /// Values that override those of the account, by service.
    pub service: BTreeMap<ServiceId, Values>,
}

impl AccountSettings {
    pub(super) fn check(&self, path: &str) -> Result<()> {
        if !is_name(&self.budget) {
            return setting_error(
                format!("{path}.budget"),
                format_args!("`{}`", self.budget),
                "letters, digits, `-` and `_`",
            );
        }
        for token in &self.token_sha256 {
            let is_hash = token.len() == SHA256_DIGITS
                && token
                    .bytes()
                    .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
            if !is_hash {
                return setting_error(
                    format!("{path}.token_sha256"),
                    format_args!("`{token}`"),
                    "a SHA-256 as 64 lower-case hexadecimal digits",
                );
            }
        }
        Ok(())
    }
}

fn is_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !name.is_empty() && name.len() <= 64 && name.bytes().all(is_plain)
}
