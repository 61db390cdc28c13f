//! `verdicts` tells which contents began or ceased to be refused.

use crate::fingerprint::Fingerprint;

/// `Verdicts` tells which contents began or ceased to be refused.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// The content of which there is something new, for whoever collects what is known of it.
    pub news: Option<Fingerprint>,
    /// Contents that are refused from now on.
    pub barred: Vec<Fingerprint>,
    /// Contents that are no longer refused: they ran to their end after all, the ends under them
    /// are put down to another content, or are too old.
    pub released: Vec<Fingerprint>,
}
