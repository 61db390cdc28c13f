//! Changes to the quarantine of contents.

use crate::fingerprint::Fingerprint;

/// `Verdicts` lists the contents that entered or left quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Content whose crash history changed, to be reported to the instances that collect its
    /// crashes.
    pub news: Option<Fingerprint>,
    /// Contents that are refused from now on.
    pub barred: Vec<Fingerprint>,
    /// Contents that are no longer refused, because they ran to completion, or because their
    /// crashes expired or are attributed to another content.
    pub released: Vec<Fingerprint>,
}
