//! Notices to peers about long prompts that targets are reading.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

/// `Reading` is a long prompt that was sent to a target.
///
/// A datagram reaches peers within milliseconds, while reading a long prompt takes hundreds of
/// them. No message is sent at the end: peers count the time down.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reading {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: TargetId,
    /// Its incarnation, if it states one.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation: Option<TargetIncarnation>,
    /// Expected time to read the prompt, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub time_ms: u64,
}

impl Reading {
    /// Makes the notice for a prompt with its expected reading time.
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

    /// Returns the target and incarnation that read the prompt.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.incarnation)
    }

    /// Returns the expected time to read the prompt.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_ms)
    }
}
