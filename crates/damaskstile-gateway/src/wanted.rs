//! Data that an instance lacks and can pull from peers.

use damaskstile_core::prelude::*;

/// `PullKind` is a kind of data that can be pulled from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PullKind {
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
    /// use damaskstile_gateway::wanted::{PullKind, Wanted};
    /// assert_eq!(Wanted::Targets(7).kind(), PullKind::Targets);
    /// ```
    #[must_use]
    pub fn kind(self) -> PullKind {
        match self {
            Self::Catalogue(_) => PullKind::Catalogue,
            Self::Targets(_) => PullKind::Targets,
            Self::Members => PullKind::Members,
        }
    }
}
