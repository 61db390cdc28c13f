//! `membership_options` sets how news of members spreads.

use damaskstile_core::prelude::*;

/// `MembershipOptions` sets how news of members spreads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two rounds of gossip.
    pub interval: Duration,
    /// Peers that a round goes to.
    pub fanout: usize,
    /// Members that one message tells of, besides the sender.
    pub members_per_message: usize,
    /// Silence after which a peer counts as gone.
    pub silent_after: Duration,
    /// Witnesses of a grant in the own data centre, and as many in others.
    pub witnesses_each: usize,
    /// Instances of each data centre that watch the settings.
    pub watchers_per_data_centre: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            fanout: 3,
            members_per_message: 8,
            silent_after: Duration::from_secs(5),
            witnesses_each: 4,
            watchers_per_data_centre: 2,
        }
    }
}
