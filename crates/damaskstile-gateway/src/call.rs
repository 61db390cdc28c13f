//! `call` holds what the decisions need of a call's head, in the project's own words.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_targets::Work;

/// `CallHead` is what a caller asks for, besides method, path and body.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's name of this attempt.
    pub id: Option<String>,
    /// Bearer key.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub time_limit: Option<Duration>,
    /// Prompt and output, for calls to models.
    pub work: Option<Work>,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
}

/// `SendHead` is what a target is told besides what the caller sent.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// Target that the call is meant for; any other must not run it.
    pub target: &'a str,
    /// Client account; `None` for calls without one.
    pub account: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank of the call; 0 is the most urgent.
    pub priority: u8,
    /// Target that is likely to keep more of the prompt, to fetch it from.
    pub fetch_from: Option<SocketAddr>,
    /// Event after which the answer goes on; `None` to leave what the caller said.
    pub resume_after: Option<u64>,
}
