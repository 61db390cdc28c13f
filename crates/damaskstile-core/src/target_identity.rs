//! `target_identity` tells one run of a target from all others.

use crate::ids::{TargetId, TargetIncarnation};

/// `TargetIdentity` names a target and its incarnation.
///
/// A target may start again under the name that it had. It then knows nothing of what it held
/// before, so what was learnt of one incarnation must not be taken for true of the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetIdentity {
    /// Name of the target.
    pub target: TargetId,
    /// Incarnation; `None` where the target does not state its start. `None` counts as older than
    /// any that is stated, and as equal to itself.
    pub incarnation: Option<TargetIncarnation>,
}

impl TargetIdentity {
    /// Makes an identity.
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
