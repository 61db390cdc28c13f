//! `claim_op` lists the changes to tables of claims.

use damaskstile_core::prelude::*;

use crate::claim::{Claim, ClaimState};

/// `ClaimOp` is one change to a table. Each can be applied twice without harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOp {
    /// Claims a key, unless it is claimed.
    Claim {
        /// The key.
        key: RequestKey,
        /// The claim.
        claim: Claim,
    },
    /// Sets the state of an own claim.
    Finish {
        /// The key.
        key: RequestKey,
        /// Run that has the claim.
        run: RunId,
        /// Its new state.
        state: ClaimState,
    },
    /// Gives an own claim up; the request was not sent.
    Release {
        /// The key.
        key: RequestKey,
        /// Run that has the claim.
        run: RunId,
    },
}
