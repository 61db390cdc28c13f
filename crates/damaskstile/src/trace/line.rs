//! Line types of a trace.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// First line of a trace: the instance that was recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHead {
    /// Identity of the instance.
    pub identity: Identity,
    /// Seed of its random number generator.
    pub seed: u64,
    /// Start time, as time since the Unix epoch.
    pub started_at: Duration,
}

/// Line of a trace after its head.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// A recorded event.
    Event {
        /// Time of the event.
        now: Duration,
        /// The event.
        event: Event,
    },
    /// Expects that the call has this outcome at this point.
    Expect {
        /// The call.
        request: RequestHandle,
        /// Expected outcome.
        outcome: Outcome,
    },
    /// Expects that the call has no outcome yet at this point.
    ExpectOpen {
        /// The call.
        request: RequestHandle,
    },
    /// Expects that the call's request has been dispatched to targets this many times so far.
    ExpectDispatches {
        /// The call.
        request: RequestHandle,
        /// Expected number of dispatches.
        dispatches: u64,
    },
}
