//! Reports to peers of the load of bulk prompts at an instance.

use damaskstile_core::prelude::*;
use damaskstile_targets::BulkRate;

/// `BulkLoadReport` is the load of a service's bulk prompts at the sender.
#[derive(prost::Message, Clone, PartialEq)]
pub struct BulkLoadReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds of prefill per second, lately.
    #[prost(uint64, tag = "2")]
    pub recent_ms: u64,
    /// The same over about ten seconds.
    #[prost(uint64, tag = "3")]
    pub lasting_ms: u64,
}

impl BulkLoadReport {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
    pub(super) fn of(service: ServiceId, rate: BulkRate) -> Self {
        Self {
            service,
            recent_ms: rate.recent_ms.round() as u64,
            lasting_ms: rate.lasting_ms.round() as u64,
        }
    }

    #[allow(clippy::cast_precision_loss)] // the target table bounds the values
    pub(super) fn to_rate(&self) -> (ServiceId, BulkRate) {
        let rate = BulkRate {
            recent_ms: self.recent_ms as f64,
            lasting_ms: self.lasting_ms as f64,
        };
        (self.service.clone(), rate)
    }
}
