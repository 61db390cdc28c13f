//! Measures the rate at which calls of an account request tokens.

use damaskstile_core::prelude::*;

/// Time constant of the exponential decay of the rate. Short enough to follow an account that
/// doubles its traffic, long enough that one large call does not attract all tokens.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Exponentially decaying rate at which calls of an account request tokens, whether or not they get
/// them.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    tokens_per_s: f64,
    at: Duration,
}

impl Demand {
    /// Records a request for tokens.
    pub fn add(&mut self, now: Duration, tokens: u64) {
        self.decay(now);
        #[allow(clippy::cast_precision_loss)] // far below 2^52 tokens
        let tokens = tokens as f64;
        self.tokens_per_s += tokens / TIME_CONSTANT.as_secs_f64();
    }

    /// Raises the rate to one that was measured by another instance or incarnation, if that is
    /// higher.
    pub fn begin_with(&mut self, now: Duration, tokens_per_s: u64) {
        self.decay(now);
        #[allow(clippy::cast_precision_loss)] // far below 2^52 tokens
        let tokens_per_s = tokens_per_s as f64;
        self.tokens_per_s = self.tokens_per_s.max(tokens_per_s);
    }

    /// Returns the rate in whole tokens per second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_escrow::demand::Demand;
    /// let mut demand = Demand::default();
    /// (0..400).for_each(|i| demand.add(Duration::from_millis(i * 100), 50));
    /// let rate = demand.tokens_per_s(Duration::from_secs(40));
    /// assert!((480..=510).contains(&rate));
    /// ```
    #[must_use]
    pub fn tokens_per_s(&self, now: Duration) -> u64 {
        let mut current = self.clone();
        current.decay(now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
        let rate = current.tokens_per_s as u64;
        rate
    }

    fn decay(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        self.tokens_per_s *= (-gap.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
    }
}
