//! Data that an instance lacks and can pull from peers.

use damaskstile_core::prelude::*;

/// `Pulled` is a kind of data that can be pulled from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pulled {
    /// The catalogue.
    Catalogue,
    /// The list of targets.
    Targets,
    /// The list of members.
    Members,
}

/// `Wanted` is a piece of missing data, with the version that a peer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wanted {
    /// A catalogue.
    Catalogue(Version),
    /// A list of targets.
    Targets(Version),
    /// The list of members.
    Members,
}

impl Wanted {
    /// Returns the kind of data to pull.
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
