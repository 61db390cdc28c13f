//! Options of one send of a call.

use std::net::SocketAddr;

/// `SendOptions` is what distinguishes one send of a call from another, besides its target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SendOptions {
    /// Id of the event after which the answer resumes; `None` to keep the caller's header.
    pub resume_after: Option<u64>,
    /// Target that receives a copy of the run as it grows.
    pub backup_at: Option<SocketAddr>,
    /// Whether the target is asked for its start first, which shows that it is not silent.
    pub asks_start: bool,
    /// Copy that the run continues from: the address of its target, and the id of the call.
    pub continue_from: Option<(SocketAddr, String)>,
}

impl SendOptions {
    /// Returns the options of a send that resumes the answer after an event, if there is one.
    ///
    /// ```
    /// use damaskstile_gateway::send_options::SendOptions;
    /// assert_eq!(SendOptions::resuming(None), SendOptions::default());
    /// ```
    #[must_use]
    pub fn resuming(resume_after: Option<u64>) -> Self {
        Self {
            resume_after,
            ..Self::default()
        }
    }
}
