//! Changes to a claim table.

use damaskstile_core::prelude::*;

use crate::claim::{Claim, ClaimState};

/// `ClaimOp` is one change to a claim table. Applying a change twice has the effect of applying it
/// once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOp {
    /// Claims a key, unless it is already claimed.
    Claim {
        /// Key of the request.
        key: RequestKey,
        /// Claim to store.
        claim: Claim,
    },
    /// Sets the state of a claim, if the run holds it.
    Finish {
        /// Key of the request.
        key: RequestKey,
        /// Run that holds the claim.
        run: RunId,
        /// New state of the claim.
        state: ClaimState,
    },
    /// Removes a claim whose request was not sent, if the run holds it.
    Release {
        /// Key of the request.
        key: RequestKey,
        /// Run that holds the claim.
        run: RunId,
    },
}
