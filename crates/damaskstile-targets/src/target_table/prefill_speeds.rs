//! Learns how fast targets prefill prompts, and measures the load of long ones.

use damaskstile_core::prelude::*;

use super::TargetTable;
use super::cost::{own_part_prefill_ms, tokens};
use crate::choice::Choice;
use crate::prefill_speed::PrefillSpeed;
use crate::work::Work;

/// Longest expected prefill of other prompts ahead of a call for its first token to still be a
/// sample of the prefill speed.
const AHEAD_MAX_MS: f64 = 2.0;

impl TargetTable {
    /// Learns from the time between the send of a call and its first token.
    pub fn first_token(&mut self, now: Duration, choice: &Choice, work: &Work, took: Duration) {
        if work.prompt_tokens > 0 {
            self.learn_speed(now, choice, took.as_secs_f64() * 1_000.0);
        }
        let is_alone = choice.ahead_ms < AHEAD_MAX_MS && choice.fetch_from.is_none();
        let Some(state) = self.targets.get(&choice.target) else {
            return;
        };
        if !self.options.is_learning || !is_alone || work.prompt_tokens == 0 {
            return;
        }
        let service = state.listed.service.clone();
        let uncached = tokens(choice.uncached_tokens);
        let cached = tokens(work.prompt_tokens) - uncached;
        let start = self.options.prefill_tokens_per_ms;
        let speed = self.speeds.entry(service);
        let speed = speed.or_insert_with(|| PrefillSpeed::new(start));
        speed.learn(uncached, cached, took.as_secs_f64() * 1_000.0);
    }

    /// Returns the estimated prefill speed of a service's targets.
    #[must_use]
    pub fn speed(&self, service: &str) -> PrefillSpeed {
        let learned = self.speeds.get(service).cloned();
        learned.unwrap_or_else(|| PrefillSpeed::new(self.options.prefill_tokens_per_ms))
    }

    pub(super) fn note_long(&mut self, now: Duration, choice: &Choice, work: &Work) {
        let Some(state) = self.targets.get(&choice.target) else {
            return;
        };
        let service = state.listed.service.clone();
        let speed = self.speed(&service);
        // Targets set apart for bulk prompts take the long ones among them too.
        let is_bulk = self.bulk_targets(&service) > 0 && self.is_bulk(&speed, work);
        if self.is_long(&speed, work) && !is_bulk {
            let load = self.long_loads.entry(service).or_default();
            load.add(now, own_part_prefill_ms(&speed, work));
        }
    }
}
