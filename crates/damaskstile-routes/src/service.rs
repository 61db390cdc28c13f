//! `service` holds what operators say of a service and its targets.

use damaskstile_core::prelude::*;

/// `Service` is a group of targets that do the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one target takes from all instances together.
    pub connections_max: usize,
    /// Most tokens in one event of a stream; `None` for services without a model.
    pub tokens_per_event: Option<u64>,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Calls a second that a cold target bears from all instances together; `None` for any number.
    pub cold_calls_per_s: Option<f64>,
}

impl Service {
    /// Makes a service without a model.
    #[must_use]
    pub fn plain(name: &str, connections_max: usize) -> Self {
        Self {
            name: name.to_owned(),
            connections_max,
            tokens_per_event: None,
            cold_time: Duration::ZERO,
            cold_calls_per_s: None,
        }
    }
}
