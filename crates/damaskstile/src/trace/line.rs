//! `line` holds the lines of a trace.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `TraceHead` is the first line of a trace: who the instance was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHead {
    /// The instance.
    pub identity: Identity,
    /// Seed of its choices.
    pub seed: u64,
    /// Time of its start.
    pub started_at: Duration,
}

/// `TraceLine` is one line of a trace after its head.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceLine {
    /// An event at a time.
    Event {
        /// Time of the event.
        now: Duration,
        /// The event.
        event: Event,
    },
    /// An outcome that the call must have by now.
    Expect {
        /// The call.
        request: RequestHandle,
        /// Its final word.
        outcome: Outcome,
    },
    /// Says that the call must have no final word by now.
    ExpectOpen {
        /// The call.
        request: RequestHandle,
    },
    /// Says that a target must have been sent the call's request this many times by now.
    ExpectDispatches {
        /// The call.
        request: RequestHandle,
        /// How often.
        dispatches: u64,
    },
}
