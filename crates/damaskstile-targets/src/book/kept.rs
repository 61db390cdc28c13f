//! `kept` are the targets of a service that are kept for long prompts.

use damaskstile_core::prelude::*;

use super::index::ServiceIndex;

/// Targets that are named one by one. Where more are kept a choice that looks at each of them would
/// cost milliseconds.
pub(super) const FEW: usize = 64;

/// `Kept` are the targets of a service that are kept for long prompts, the same on every instance
/// that sees the same load.
#[derive(Debug)]
pub(super) enum Kept<'a> {
    /// These.
    Few(BTreeSet<&'a str>),
    /// Those that come first in the order that all instances share, up to a key.
    Many {
        /// The order.
        index: &'a ServiceIndex,
        /// The key.
        below: u64,
    },
}

impl<'a> Kept<'a> {
    /// Keeps none.
    pub(super) fn none() -> Self {
        Self::Few(BTreeSet::new())
    }

    /// Keeps about so many of all targets of a service.
    pub(super) fn many(index: &'a ServiceIndex, count: usize) -> Self {
        // The keys are hashes, so a part of them is a part of the targets.
        let all = u64::try_from(index.len().max(1)).unwrap_or(u64::MAX);
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let below = (u64::MAX / all).saturating_mul(count);
        Self::Many { index, below }
    }

    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Few(targets) if targets.is_empty())
    }

    pub(super) fn contains(&self, target: &str) -> bool {
        match self {
            Self::Few(targets) => targets.contains(target),
            Self::Many { index, below } => index.kept_key(target) <= *below,
        }
    }

    /// Returns targets that are kept: all, or where they are many, from the instance's own place on.
    pub(super) fn targets(&self) -> Box<dyn Iterator<Item = &'a str> + '_> {
        match self {
            Self::Few(targets) => Box::new(targets.iter().copied()),
            Self::Many { index, below } => {
                let targets = index.kept_from_own_place(*below);
                Box::new(targets.map(String::as_str))
            }
        }
    }
}
