//! Targets of a service that are reserved for long prompts.

use damaskstile_core::prelude::*;

use super::index::ServiceIndex;

/// Most reserved targets that are listed one by one. With more of them, a selection that examines
/// each would cost milliseconds.
pub(super) const LISTED_MAX: usize = 64;

/// Targets of a service that are reserved for long prompts; the same on every instance that sees
/// the same load.
#[derive(Debug)]
pub(super) enum ReservedTargets<'a> {
    /// Targets listed one by one.
    Listed(BTreeSet<&'a str>),
    /// Targets up to a key in the reservation order, which all instances share.
    UpToKey {
        /// Index that holds the order.
        index: &'a ServiceIndex,
        /// Highest reserved key.
        below: u64,
    },
}

impl<'a> ReservedTargets<'a> {
    pub(super) fn none() -> Self {
        Self::Listed(BTreeSet::new())
    }

    /// Reserves about `count` targets of a service.
    pub(super) fn many(index: &'a ServiceIndex, count: usize) -> Self {
        // The keys are hashes, so a share of the key space holds about the same share of the
        // targets.
        let all = u64::try_from(index.len().max(1)).unwrap_or(u64::MAX);
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let below = (u64::MAX / all).saturating_mul(count);
        Self::UpToKey { index, below }
    }

    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Listed(targets) if targets.is_empty())
    }

    pub(super) fn contains(&self, target: &str) -> bool {
        match self {
            Self::Listed(targets) => targets.contains(target),
            Self::UpToKey { index, below } => index.reservation_key(target) <= *below,
        }
    }

    /// Returns the reserved targets: in name order if they are listed one by one, otherwise
    /// beginning at a position that differs between instances.
    pub(super) fn targets(&self) -> Box<dyn Iterator<Item = &'a str> + '_> {
        match self {
            Self::Listed(targets) => Box::new(targets.iter().copied()),
            Self::UpToKey { index, below } => {
                let targets = index.reserved_from_own_position(*below);
                Box::new(targets.map(String::as_str))
            }
        }
    }
}
