//! `told_limit` tells peers what a target says of the calls that it takes.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::LimitWord;

/// `ToldLimit` is what a target says of the calls that it takes from all instances together.
#[derive(prost::Message, Clone, PartialEq)]
pub struct ToldLimit {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its start, in milliseconds since the Unix epoch, where that is stated.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_unix_ms: Option<u64>,
    /// Calls a second; nothing where the target names no limit any more.
    #[prost(double, optional, tag = "3")]
    pub calls_per_s: Option<f64>,
    /// Milliseconds since it said so.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl ToldLimit {
    /// Makes the message of a word that is known now.
    pub(super) fn of(now: Duration, identity: TargetIdentity, word: LimitWord) -> Self {
        Self {
            target: identity.target,
            started_at_unix_ms: identity.incarnation,
            calls_per_s: word.calls_per_s,
            age_ms: unix_ms(now.saturating_sub(word.at)),
        }
    }

    /// Returns the target, and what is to be known of it as of now; `None` where no target can have
    /// said so.
    pub(super) fn word(&self, now: Duration) -> Option<(TargetIdentity, LimitWord)> {
        let is_limit = |calls: f64| calls.is_finite() && calls >= 0.0;
        if !self.calls_per_s.is_none_or(is_limit) {
            return None;
        }
        let word = LimitWord {
            calls_per_s: self.calls_per_s,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        };
        let identity = TargetIdentity::new(&self.target, self.started_at_unix_ms);
        Some((identity, word))
    }
}
