//! Estimated cost of a call at one target.

use std::net::SocketAddr;

use super::speed_effect::SpeedEffect;
use crate::choice::Choice;
use crate::target_state::TargetState;

/// Estimated cost of a call at one target.
#[derive(Debug)]
pub(super) struct CostEstimate<'a> {
    pub state: &'a TargetState,
    pub cost_ms: f64,
    pub uncached: f64,
    pub fetch_from: Option<SocketAddr>,
    pub prefill_ms: f64,
    pub ahead_ms: f64,
    pub running: f64,
    pub speed: SpeedEffect,
}

impl CostEstimate<'_> {
    pub(super) fn choice(&self) -> Choice {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
        let uncached_tokens = self.uncached as u64;
        let listed = &self.state.listed;
        Choice {
            target: listed.target.clone(),
            incarnation: listed.incarnation,
            address: listed.address,
            software_version: listed.software_version.clone(),
            cost_ms: self.cost_ms,
            uncached_tokens,
            fetch_from: self.fetch_from,
            prefill_ms: self.prefill_ms,
            ahead_ms: self.ahead_ms,
            running: self.running,
            expected_ms: self.speed.expected_ms,
            usual_ms: self.speed.usual_ms,
            speed_factor: self.speed.factor,
        }
    }
}

/// Returns the least element that passes. Checking an element costs more than finding the least
/// one, so as few as possible are checked.
pub(super) fn least_passing<T>(
    mut all: Vec<T>,
    is_less: impl Fn(&T, &T) -> bool,
    passes: impl Fn(&T) -> bool,
) -> Option<T> {
    while !all.is_empty() {
        let mut first = 0;
        for index in 1..all.len() {
            if is_less(&all[index], &all[first]) {
                first = index;
            }
        }
        let one = all.swap_remove(first);
        if passes(&one) {
            return Some(one);
        }
    }
    None
}
