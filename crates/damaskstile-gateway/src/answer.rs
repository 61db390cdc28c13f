//! `answer` holds what the decisions need of an answer's head, in the project's own words.

use damaskstile_core::prelude::*;
use damaskstile_targets::NamedLimit;

use crate::handling::Handling;

/// `Load` is a target's report of its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Calls that run.
    pub running: u64,
    /// Calls that wait.
    pub waiting: u64,
}

/// `AnswerHead` is what a target says of an answer, besides its status.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Name of the attempt that it answers.
    pub id: Option<String>,
    /// Whether the target vouches for the answer as its own.
    pub is_signed: bool,
    /// Whether the call ran.
    pub handling: Handling,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants nothing from this instance.
    pub pause: Option<Duration>,
    /// The limit of calls that the target names.
    pub named_limit: NamedLimit,
    /// The target's load.
    pub load: Option<Load>,
    /// Time for which the connection may be used again; `None` where it may not.
    pub reuse_for: Option<Duration>,
}
