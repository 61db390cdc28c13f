//! Settings that each level of the tree inherits or overrides.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Values` holds the settings that can be set at each level of the tree. Absent ones are
/// inherited.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Values {
    /// Maximum size of one answer, in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u64>,
    /// Time limit of a request, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_limit_ms: Option<u64>,
    /// Priority of requests that do not state one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Maximum number of open requests of a client account at one instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_in_flight_requests: Option<u64>,
    /// Prompt bytes per token, by which the worst case of a prompt is computed for reservations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_token_bytes: Option<u64>,
    /// Policy for grants: `fixed_slices`, `adaptive`, `transfers` or `spread_transfers`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_policy: Option<String>,
    /// Share of held tokens that can be spent while no witness answers, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_percent: Option<u64>,
}

impl Values {
    /// Returns the value of a key as operators see it, if it is set at this level.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<String> {
        match key {
            "max_output_tokens" => self.max_output_tokens.map(|value| value.to_string()),
            "time_limit_ms" => self.time_limit_ms.map(|value| value.to_string()),
            "priority" => self
                .priority
                .map(|value| format!("{value:?}").to_lowercase()),
            "max_in_flight_requests" => self.max_in_flight_requests.map(|value| value.to_string()),
            "prompt_token_bytes" => self.prompt_token_bytes.map(|value| value.to_string()),
            "budget_policy" => self.budget_policy.clone(),
            "open_percent" => self.open_percent.map(|value| value.to_string()),
            _ => None,
        }
    }

    /// Keys of all values.
    pub const KEYS: [&'static str; 7] = [
        "max_output_tokens",
        "time_limit_ms",
        "priority",
        "max_in_flight_requests",
        "prompt_token_bytes",
        "budget_policy",
        "open_percent",
    ];
}
