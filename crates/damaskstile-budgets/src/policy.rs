//! Policies that decide the size of grants.

use serde::{Deserialize, Serialize};

use crate::grant_request::GrantRequest;
use crate::ledger::Ledger;

/// Smallest grant worth a write while the budget has more, in tokens.
const MIN_GRANT_TOKENS: u64 = 64;

/// Grant policy, as named in the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Every instance gets an equal part of each top-up, once. Serves as the baseline in
    /// measurements.
    FixedSlices,
    /// Grants follow the rate of spending and shrink as the budget runs low.
    Adaptive,
    /// As `Adaptive`, and holders also transfer tokens to peers that lack them.
    Transfers,
    /// Each instance holds a share of the unspent tokens even when idle, and holders transfer
    /// tokens to peers.
    #[default]
    SpreadTransfers,
}

/// Decides the size of grants.
pub trait GrantPolicy {
    /// Returns the number of tokens to grant from the free tokens of the ledger.
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64;

    /// Returns whether holders transfer tokens to peers.
    fn is_transferring(&self) -> bool;

    /// Returns whether an instance requests a grant before its first request arrives.
    fn is_spreading(&self) -> bool {
        false
    }

    /// Returns whether the ledger must track the total granted to each instance.
    fn is_slicing(&self) -> bool {
        false
    }
}

struct FixedSlices;
struct Adaptive {
    is_transferring: bool,
}
struct Spread;

impl GrantPolicy for FixedSlices {
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64 {
        // The slice is the instance's equal part of all top-ups, less what it was already granted.
        let slice = ledger.topped_up_tokens / request.instances.max(1);
        let taken = ledger.taken_tokens.get(request.instance).copied();
        slice
            .saturating_sub(taken.unwrap_or(0))
            .min(ledger.free_tokens())
    }

    fn is_transferring(&self) -> bool {
        false
    }

    fn is_slicing(&self) -> bool {
        true
    }
}

impl GrantPolicy for Adaptive {
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64 {
        let free = ledger.free_tokens();
        let fair = free / request.instances.max(1).saturating_mul(2);
        let ahead = request.want_tokens.min(fair).max(MIN_GRANT_TOKENS);
        request.need_tokens.max(ahead).min(free)
    }

    fn is_transferring(&self) -> bool {
        self.is_transferring
    }
}

impl GrantPolicy for Spread {
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64 {
        // An instance can spend the tokens that it holds during a network partition, and peers
        // can request them while there is none. So even an idle instance takes a share.
        let free = ledger.free_tokens();
        let held = ledger.held_tokens(request.instance);
        let unspent = free.saturating_add(ledger.outstanding_tokens());
        let share = unspent / request.instances.max(1);
        let ahead = share.saturating_sub(held).max(MIN_GRANT_TOKENS);
        request.need_tokens.max(ahead).min(free)
    }

    fn is_transferring(&self) -> bool {
        true
    }

    fn is_spreading(&self) -> bool {
        true
    }
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::FixedSlices,
        Self::Adaptive,
        Self::Transfers,
        Self::SpreadTransfers,
    ];

    /// Returns the name of the policy in the settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FixedSlices => "fixed_slices",
            Self::Adaptive => "adaptive",
            Self::Transfers => "transfers",
            Self::SpreadTransfers => "spread_transfers",
        }
    }

    /// Returns the implementation of the policy.
    ///
    /// ```
    /// use damaskstile_budgets::policy::PolicyKind;
    /// assert!(PolicyKind::Transfers.policy().is_transferring());
    /// assert!(!PolicyKind::FixedSlices.policy().is_transferring());
    /// ```
    #[must_use]
    pub fn policy(self) -> &'static dyn GrantPolicy {
        match self {
            Self::FixedSlices => &FixedSlices,
            Self::Adaptive => &Adaptive {
                is_transferring: false,
            },
            Self::Transfers => &Adaptive {
                is_transferring: true,
            },
            Self::SpreadTransfers => &Spread,
        }
    }
}
