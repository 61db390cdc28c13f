//! `policy` decides how large a grant is.

use serde::{Deserialize, Serialize};

use crate::grant_request::GrantRequest;
use crate::ledger::Ledger;

/// Smallest grant worth a write while the budget has more, in tokens.
const LEAST_GRANT_TOKENS: u64 = 64;

/// `PolicyKind` names a policy in the settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Every instance gets the same part of each top-up, once. The baseline of measurements.
    FixedSlices,
    /// Grants follow the rate of spending and shrink as the budget runs low.
    Adaptive,
    /// As `Adaptive`, and holders hand tokens to peers that lack them.
    Transfers,
    /// Each instance holds a share of what is free even when idle; holders hand over tokens.
    #[default]
    SpreadTransfers,
}

/// `GrantPolicy` decides how large a grant is.
pub trait GrantPolicy {
    /// Returns the tokens to grant out of the free ones.
    ///
    /// `holders` is the number of instances that may want a part of the budget.
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64;

    /// Tells whether holders hand tokens over.
    fn is_transferring(&self) -> bool;

    /// Tells whether an instance takes a grant before its first request.
    fn is_spreading(&self) -> bool {
        false
    }

    /// Tells whether the ledger must count what each instance was ever granted.
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
        // A slice is what this instance has not yet been granted of its part of all top-ups.
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
        let ahead = request.want_tokens.min(fair).max(LEAST_GRANT_TOKENS);
        request.need_tokens.max(ahead).min(free)
    }

    fn is_transferring(&self) -> bool {
        self.is_transferring
    }
}

impl GrantPolicy for Spread {
    fn size_tokens(&self, ledger: &Ledger, request: &GrantRequest<'_>) -> u64 {
        // Money that stands with an instance is there when the network is cut, and peers can
        // ask for it as long as it is not. So an instance takes a share even when it is idle.
        let free = ledger.free_tokens();
        let held = ledger.held_tokens(request.instance);
        let unspent = free.saturating_add(ledger.outstanding_tokens());
        let share = unspent / request.instances.max(1);
        let ahead = share.saturating_sub(held).max(LEAST_GRANT_TOKENS);
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

    /// Returns the policy's name in the settings.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FixedSlices => "fixed_slices",
            Self::Adaptive => "adaptive",
            Self::Transfers => "transfers",
            Self::SpreadTransfers => "spread_transfers",
        }
    }

    /// Returns the policy of that name.
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
