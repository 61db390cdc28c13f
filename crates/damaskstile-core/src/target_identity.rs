//! Identity of a target across restarts.

use crate::ids::{TargetId, TargetIncarnation};

/// `TargetIdentity` is the name of a target together with its incarnation.
///
/// A target may restart under the same name. It then has lost its previous state, so what is known
/// of one incarnation must not be applied to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIdentity {
    /// Name of the target.
    pub target: TargetId,
    /// Incarnation; `None` if the target does not report its start time. `None` is ordered before
    /// any reported incarnation, and equals itself.
    pub incarnation: Option<TargetIncarnation>,
}

impl TargetIdentity {
    /// Creates an identity.
    ///
    /// ```
    /// use damaskstile_core::target_identity::TargetIdentity;
    /// let [unstated, old, new] = [None, Some(5), Some(9)].map(|at| TargetIdentity::new("t", at));
    /// assert!(unstated < old && old < new);
    /// ```
    #[must_use]
    pub fn new(target: &str, incarnation: Option<TargetIncarnation>) -> Self {
        Self {
            target: target.to_owned(),
            incarnation,
        }
    }
}
