//! Call limit that a target advertises in an answer.

/// Call limit that a target advertises in an answer; it applies to all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The answer carries no limit.
    #[default]
    Absent,
    /// Limit in calls a second.
    CallsPerS(f64),
    /// The answer carries a limit that cannot be parsed.
    Unreadable,
}
