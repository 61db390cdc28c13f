//! Options of the membership.

use damaskstile_core::prelude::*;

/// `MembershipOptions` holds the options of gossip and of the roles of members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two gossip rounds.
    pub interval: Duration,
    /// Number of live peers picked for each round.
    pub fanout: usize,
    /// Maximum number of member states in one message, besides that of the sender.
    pub members_per_message: usize,
    /// Time without an update after which a member counts as silent. The limit grows with the
    /// number of members.
    pub silent_after: Duration,
    /// Maximum number of witnesses of a grant in the own data centre, and likewise in other ones.
    pub witnesses_each: usize,
    /// Number of instances in each data centre that watch the settings.
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
