//! `reading` tells peers of a long prompt that a target reads.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

/// `Reading` is a long prompt that was sent to a target.
///
/// A datagram reaches peers within milliseconds, while a long prompt is read for hundreds of them.
/// Nothing is told when it ends: peers count the time down.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reading {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: TargetId,
    /// Its incarnation, if it states one.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation: Option<TargetIncarnation>,
    /// Time that reading the prompt takes.
    #[prost(uint64, tag = "3")]
    pub time_ms: u64,
}

impl Reading {
    /// Makes the message on a prompt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_gateway::peers::Reading;
    /// let target = TargetIdentity::new("t", None);
    /// let reading = Reading::new(target.clone(), Duration::from_millis(300));
    /// assert_eq!(reading.identity(), target);
    /// ```
    #[must_use]
    pub fn new(identity: TargetIdentity, time: Duration) -> Self {
        Self {
            target: identity.target,
            incarnation: identity.incarnation,
            time_ms: unix_ms(time),
        }
    }

    /// Returns which run of which target reads it.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.incarnation)
    }

    /// Returns the time that reading it takes.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_ms)
    }
}
