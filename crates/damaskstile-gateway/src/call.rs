//! Heads of calls, as received from a caller and as sent to a target, independent of the dialect of
//! their headers.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_targets::{ExpectedWeights, Work};

/// What a caller asks for in its headers, besides method, path and body.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// Bearer key.
    pub key: Option<String>,
    /// Time that the caller is willing to wait.
    pub time_limit: Option<Duration>,
    /// Size of prompt and output, for calls to models.
    pub work: Option<Work>,
    /// Weights that the caller expects.
    pub weights: Option<ExpectedWeights>,
    /// Id of the last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that this one takes
    /// up.
    pub resumes: Option<String>,
}

/// What is added to the caller's headers when a call is sent to a target.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// Target that the call is meant for; any other must not execute it.
    pub target: &'a str,
    /// Client account; `None` for calls without one.
    pub account: Option<&'a str>,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Priority of the call; 0 is the most urgent.
    pub priority: u8,
    /// Target that probably caches a longer part of the prompt, from which the cache can be
    /// fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the event after which the answer resumes; `None` to keep the caller's header.
    pub resume_after: Option<u64>,
    /// Target that receives a copy of the run as it grows.
    pub backup_at: Option<SocketAddr>,
    /// Copy that the run continues from: the address of its target, and the id of the call.
    pub continue_from: Option<(SocketAddr, String)>,
}
