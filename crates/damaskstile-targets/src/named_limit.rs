//! `named_limit` is what a target says in an answer of the calls that it takes.

/// `NamedLimit` is what a target says in an answer of the calls that it takes from all instances
/// together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    Absent,
    /// It names so many calls a second.
    CallsPerS(f64),
    /// It names a limit that cannot be read.
    Unreadable,
}
