//! Load of a peer, as reported in its digest.

use std::time::Duration;

use crate::busiest_account::BusiestAccount;

/// Load of a peer, as reported in its digest.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// When the digest was received. Other reports about the peer do not renew it.
    pub at: Duration,
    /// Share in use of the link or processor capacity that calls may use, whichever is higher.
    pub share: f64,
    /// Whether the peer accepts new connections.
    pub is_in_rotation: bool,
    /// Account whose calls need most of the peer; `None` if it has no calls with an account.
    pub busiest: Option<BusiestAccount>,
}
