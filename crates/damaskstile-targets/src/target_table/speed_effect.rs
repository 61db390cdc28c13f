//! What the speed and the fullness of a target add to the cost of a call.

use damaskstile_core::prelude::*;

use super::cost::tokens;
use crate::service_speed::ServiceSpeed;
use crate::target_state::TargetState;
use crate::target_table_options::TargetTableOptions;

/// Largest share of other prompts and of fetched parts in a predicted time from which a target's
/// speed is still learned. Their times are known less well than that of the call's own prompt.
const OTHERS_SHARE_MAX: f64 = 0.5;

/// Parts of the time to the first token, at a target of usual speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstTokenParts {
    /// The call's own part, and the constant of the service.
    pub own_ms: f64,
    /// Other prompts ahead, and fetched parts.
    pub others_ms: f64,
    /// Calls that run at the target.
    pub running: f64,
}

/// What the speed and the fullness of a target add to the cost of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SpeedEffect {
    pub cost_ms: f64,
    /// Predicted time to the first token.
    pub expected_ms: f64,
    /// Predicted time at a target of usual speed; `None` if the call shows nothing of the speed.
    pub usual_ms: Option<f64>,
    pub factor: Option<f64>,
}

impl SpeedEffect {
    pub(super) fn new(
        now: Duration,
        options: &TargetTableOptions,
        service: &ServiceSpeed,
        state: &TargetState,
        parts: FirstTokenParts,
    ) -> Self {
        let usual_ms = parts.own_ms + parts.others_ms;
        let factor = state.speed.predicted_factor(now);
        let cost_factor = state.speed.cost_factor(now);
        let slots = tokens(state.slots()).max(1.0);
        let share = (parts.running / slots).min(1.0);
        // The call itself waits as well if all slots are in use.
        let waiting = (parts.running + 1.0 - slots).max(0.0);
        let wait_ms = waiting * service.mean_duration_ms() / slots;
        let cost_ms = usual_ms * (cost_factor - 1.0)
            + parts.running * options.running_ms * share * share
            + wait_ms * cost_factor;
        let is_sample = waiting == 0.0 && parts.others_ms <= usual_ms * OTHERS_SHARE_MAX;
        Self {
            cost_ms,
            expected_ms: (usual_ms + wait_ms) * factor,
            usual_ms: is_sample.then_some(usual_ms),
            factor: Some(factor),
        }
    }

    /// Returns the effect where nothing is learned: none.
    pub(super) fn none(cost_ms: f64) -> Self {
        Self {
            cost_ms: 0.0,
            expected_ms: cost_ms,
            usual_ms: None,
            factor: None,
        }
    }
}
