//! Load of bulk prompts.

/// Load of bulk prompts at one instance or of a fleet, in milliseconds of prefill per second.
///
/// Sums over instances are made of both means, and the larger sum counts. The larger mean of each
/// instance would overestimate a fleet of which most instances receive a prompt every few seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BulkRate {
    /// Mean of about the last half second, so that a burst counts at once.
    pub recent_ms: f64,
    /// Mean of about the last ten seconds, so that a pause does not return the targets.
    pub lasting_ms: f64,
}

impl BulkRate {
    /// Returns the load that counts.
    ///
    /// ```
    /// use damaskstile_targets::BulkRate;
    /// let rate = BulkRate { recent_ms: 90.0, lasting_ms: 40.0 };
    /// assert_eq!(rate.larger_ms(), 90.0);
    /// ```
    #[must_use]
    pub fn larger_ms(&self) -> f64 {
        self.recent_ms.max(self.lasting_ms)
    }
}
