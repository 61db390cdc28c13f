//! Rate of one or several streams.

/// Rate of one or several streams.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StreamRate {
    /// Bytes of events a second.
    pub bytes_per_s: f64,
    /// Events a second.
    pub events_per_s: f64,
}

impl StreamRate {
    /// Adds another rate.
    pub fn add(&mut self, other: &Self) {
        self.bytes_per_s += other.bytes_per_s;
        self.events_per_s += other.events_per_s;
    }

    /// Returns the rate of several streams of this rate.
    #[must_use]
    pub fn times(&self, streams: u32) -> Self {
        Self {
            bytes_per_s: self.bytes_per_s * f64::from(streams),
            events_per_s: self.events_per_s * f64::from(streams),
        }
    }
}
