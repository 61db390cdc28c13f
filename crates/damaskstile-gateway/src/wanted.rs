//! `wanted` is what an instance lacks that peers have.

use damaskstile_core::prelude::*;

/// `Pulled` is what can be pulled from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pulled {
    /// The catalogue.
    Catalogue,
    /// The list of targets.
    Targets,
    /// The instances that there are.
    Members,
}

/// `Wanted` is what an instance lacks, with the version that a peer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wanted {
    /// A catalogue.
    Catalogue(Version),
    /// A list of targets.
    Targets(Version),
    /// The instances that there are.
    Members,
}

impl Wanted {
    /// Returns what is to be pulled.
    ///
    /// ```
    /// use damaskstile_gateway::wanted::{Pulled, Wanted};
    /// assert_eq!(Wanted::Targets(7).pulled(), Pulled::Targets);
    /// ```
    #[must_use]
    pub fn pulled(self) -> Pulled {
        match self {
            Self::Catalogue(_) => Pulled::Catalogue,
            Self::Targets(_) => Pulled::Targets,
            Self::Members => Pulled::Members,
        }
    }
}
