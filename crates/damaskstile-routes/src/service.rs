//! Services, as operators define them.

use damaskstile_core::prelude::*;

use crate::bounds::{DURATION_MAX, EVENT_TOKENS_MAX};

/// `Service` is a group of interchangeable targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections of all instances together to one target.
    pub connections_max: usize,
    /// Maximum number of tokens in one event of a stream; `None` for services without a model.
    pub tokens_per_event: Option<u64>,
    /// Whether targets can copy the memory of a run to another target while it runs.
    pub allows_copies: bool,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Maximum rate of calls from all instances together to a cold target, per second; `None` for
    /// no limit.
    pub cold_calls_per_s: Option<f64>,
}

impl Service {
    /// Returns the service with its numbers lowered to the bounds of a catalogue.
    pub(crate) fn bounded(self) -> Self {
        Self {
            tokens_per_event: self
                .tokens_per_event
                .map(|tokens| tokens.min(EVENT_TOKENS_MAX)),
            cold_time: self.cold_time.min(DURATION_MAX),
            ..self
        }
    }

    /// Creates a service without a model, whose targets are never cold.
    #[must_use]
    pub fn plain(name: &str, connections_max: usize) -> Self {
        Self {
            name: name.to_owned(),
            connections_max,
            tokens_per_event: None,
            allows_copies: false,
            cold_time: Duration::ZERO,
            cold_calls_per_s: None,
        }
    }
}
