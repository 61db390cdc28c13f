//! Start-up options of an instance.

use damaskstile_budgets::BudgetOptions;
use damaskstile_core::peer::MemberState;
use damaskstile_core::prelude::*;
use damaskstile_fleet::MembershipOptions;
use damaskstile_targets::RegistryOptions;

/// Start-up options of an [`Instance`](crate::Instance).
#[derive(Debug, Clone)]
pub struct InstanceOptions {
    /// Name, incarnation and data centre of the instance.
    pub identity: Identity,
    /// Address that peers reach the instance at, as IP and port.
    pub address: String,
    /// Initial peers; the other members are discovered through them by gossip.
    pub seeds: Vec<MemberState>,
    /// Seed of the random number generator behind all random choices.
    pub seed: u64,
    /// Gossip and failure detection.
    pub membership: MembershipOptions,
    /// Budget handling. The number of instances, the open share and the policy are replaced by
    /// those of the settings in force.
    pub budgets: BudgetOptions,
    /// Target selection.
    pub registry: RegistryOptions,
    /// Time that a run or a transfer waits for a witness to accept its record. After it the run
    /// draws on open tokens, and the transfer is cancelled.
    pub record_timeout: Duration,
    /// Time after which a store call without an answer counts as lost.
    pub store_timeout: Duration,
    /// Time that an answer is retained for callers that repeat the same key.
    pub replay_retention: Duration,
    /// Limit on the total size of the retained answers, in bytes.
    pub replay_bytes_max: usize,
    /// Time after the grace period of a stop at which the instance ends even if the store has not
    /// accepted what it hands back.
    pub stop_limit: Duration,
    /// Time after which a run whose target does not report its end is settled at its worst case.
    pub inquiry_limit: Duration,
}

impl InstanceOptions {
    /// Returns the default options for an identity. The seed is the incarnation.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            seed: identity.incarnation,
            identity,
            address: String::new(),
            seeds: Vec::new(),
            membership: MembershipOptions::default(),
            budgets: BudgetOptions::default(),
            registry: RegistryOptions::default(),
            record_timeout: Duration::from_millis(20),
            store_timeout: Duration::from_secs(2),
            replay_retention: Duration::from_mins(1),
            replay_bytes_max: 8 * 1024 * 1024,
            stop_limit: Duration::from_secs(30),
            inquiry_limit: Duration::from_mins(2),
        }
    }
}
