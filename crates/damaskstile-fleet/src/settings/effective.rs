//! Resolution of the values in force from the levels of the tree.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::values::Values;

/// `Level` is the level of the tree that a value comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Built-in default.
    Default,
    /// Set for the fleet.
    Fleet,
    /// Set for the client account.
    Account,
    /// Set for the service of the client account.
    Service,
}

/// `Effective` holds the values that apply to a service of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Effective {
    /// Maximum size of one answer, in tokens.
    pub max_output_tokens: u64,
    /// Time limit of a request.
    pub time_limit: Duration,
    /// Priority of requests that do not state one.
    pub priority: Priority,
    /// Maximum number of open requests of the client account at one instance.
    pub max_in_flight_requests: u64,
    /// Prompt bytes per token, by which the worst case of a prompt is computed.
    pub prompt_token_bytes: u64,
    /// Policy for grants.
    pub budget_policy: String,
    /// Share of held tokens that can be spent while no witness answers, in percent.
    pub open_percent: u64,
    /// Level that each value comes from, by key.
    pub levels: BTreeMap<String, Level>,
}

impl Effective {
    /// Resolves each value: the most specific level that sets it takes precedence.
    ///
    /// ```
    /// use damaskstile_fleet::settings::{Effective, Level, Values};
    /// let fleet = Values { max_output_tokens: Some(10), ..Values::default() };
    /// let effective = Effective::resolve(&fleet, None, None);
    /// assert_eq!(effective.max_output_tokens, 10);
    /// assert_eq!(effective.levels["max_output_tokens"], Level::Fleet);
    /// assert_eq!(effective.levels["open_percent"], Level::Default);
    /// ```
    #[must_use]
    pub fn resolve(fleet: &Values, account: Option<&Values>, service: Option<&Values>) -> Self {
        let chain = [
            (Level::Service, service),
            (Level::Account, account),
            (Level::Fleet, Some(fleet)),
        ];
        let levels = Values::KEYS
            .iter()
            .map(|key| ((*key).to_owned(), level_of(&chain, key)))
            .collect();
        let default = defaults();
        Self {
            max_output_tokens: first(&chain, |values| values.max_output_tokens)
                .unwrap_or(default.max_output_tokens),
            time_limit: first(&chain, |values| values.time_limit_ms)
                .map_or(default.time_limit, Duration::from_millis),
            priority: first(&chain, |values| values.priority).unwrap_or(default.priority),
            max_in_flight_requests: first(&chain, |values| values.max_in_flight_requests)
                .unwrap_or(default.max_in_flight_requests),
            prompt_token_bytes: first(&chain, |values| values.prompt_token_bytes)
                .unwrap_or(default.prompt_token_bytes),
            budget_policy: first(&chain, |values| values.budget_policy.clone())
                .unwrap_or(default.budget_policy),
            open_percent: first(&chain, |values| values.open_percent)
                .unwrap_or(default.open_percent),
            levels,
        }
    }
}

fn defaults() -> Effective {
    Effective {
        max_output_tokens: 1024,
        time_limit: Duration::from_mins(2),
        priority: Priority::Normal,
        max_in_flight_requests: 256,
        prompt_token_bytes: 1,
        budget_policy: "spread_transfers".to_owned(),
        open_percent: 5,
        levels: BTreeMap::new(),
    }
}

type Chain<'a> = [(Level, Option<&'a Values>); 3];

fn first<T>(chain: &Chain<'_>, get: impl Fn(&Values) -> Option<T>) -> Option<T> {
    chain.iter().find_map(|(_, values)| values.and_then(&get))
}

fn level_of(chain: &Chain<'_>, key: &str) -> Level {
    chain
        .iter()
        .find(|(_, values)| values.is_some_and(|values| values.get(key).is_some()))
        .map_or(Level::Default, |(level, _)| *level)
}
