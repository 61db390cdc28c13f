//! Measures the prefill time of the bulk prompts that arrive at one instance.

use damaskstile_core::prelude::*;

use crate::bulk_rate::BulkRate;

/// Time constant of the recent mean. In the load test of a burst, a second or two let queues build
/// up at the first targets set apart.
const RECENT: Duration = Duration::from_millis(500);
/// Time constant of the lasting mean, so that the pauses between bursts do not return the targets.
const LASTING: Duration = Duration::from_secs(10);

/// Prefill time of the bulk prompts that arrive at one instance.
#[derive(Debug, Clone, Default)]
pub(super) struct BulkLoad {
    recent_ms: f64,
    lasting_ms: f64,
    /// When the first prompt arrived, of a load that began lately.
    began_at: Option<Duration>,
    at: Duration,
}

impl BulkLoad {
    pub(super) fn add(&mut self, now: Duration, prefill_ms: f64) {
        self.recent_ms = self.recent_ms * self.kept(now, RECENT) + prefill_ms;
        self.lasting_ms = self.lasting_ms * self.kept(now, LASTING) + prefill_ms;
        self.at = self.at.max(now);
        self.began_at.get_or_insert(now);
    }

    pub(super) fn rate(&self, now: Duration) -> BulkRate {
        // Until the load has lasted for a while, the mean covers only the time since it began.
        let lasted = now.saturating_sub(self.began_at.unwrap_or(now)).max(RECENT);
        let covered = 1.0 - (-lasted.as_secs_f64() / RECENT.as_secs_f64()).exp();
        let recent_s = RECENT.as_secs_f64() * covered;
        BulkRate {
            recent_ms: self.recent_ms * self.kept(now, RECENT) / recent_s,
            lasting_ms: self.lasting_ms * self.kept(now, LASTING) / LASTING.as_secs_f64(),
        }
    }

    fn kept(&self, now: Duration, time_constant: Duration) -> f64 {
        let gap = now.saturating_sub(self.at).as_secs_f64();
        (-gap / time_constant.as_secs_f64()).exp()
    }
}
