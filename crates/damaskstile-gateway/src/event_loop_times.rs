//! Times at which the event loop took up new events.

use std::sync::atomic::{AtomicU64, Ordering};

use damaskstile_core::prelude::*;

use crate::clock::Clock;

/// Number of turns that are remembered: the current one, one that a signal ends without an event as
/// it interrupts the wait for events, and the one before it.
const TURNS: usize = 3;

/// Times of the last turns of the event loop, from which follows how late a signal may be handled.
///
/// A process that does not get the processor learns of a signal only when it runs again. A signal
/// that is handled in the current turn had not arrived when the first of these turns began.
#[derive(Debug)]
pub struct EventLoopTimes {
    clock: Clock,
    started_at: Duration,
    /// Starts of the last turns, the latest first, in microseconds since `started_at`.
    turns_us: [AtomicU64; TURNS],
}

impl EventLoopTimes {
    /// Begins with the current time.
    ///
    /// ```
    /// use damaskstile_gateway::clock::Clock;
    /// use damaskstile_gateway::event_loop_times::EventLoopTimes;
    /// let times = EventLoopTimes::new(Clock::start());
    /// times.note_turn();
    /// assert!(times.delay_max() < std::time::Duration::from_secs(60));
    /// ```
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            started_at: clock.now(),
            turns_us: Default::default(),
        }
    }

    /// Records that the event loop has waited for events and now handles those that came.
    pub fn note_turn(&self) {
        let mut turn_us = u64::try_from(self.elapsed().as_micros()).unwrap_or(u64::MAX);
        for slot in &self.turns_us {
            turn_us = slot.swap(turn_us, Ordering::Relaxed);
        }
    }

    /// Returns the longest time that a signal which is handled now may have waited.
    #[must_use]
    pub fn delay_max(&self) -> Duration {
        let first_us = self.turns_us[TURNS - 1].load(Ordering::Relaxed);
        self.elapsed()
            .saturating_sub(Duration::from_micros(first_us))
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().saturating_sub(self.started_at)
    }
}
