//! Changes to the quarantine of contents.

use crate::fingerprint::Fingerprint;

/// `QuarantineChanges` lists the contents that entered or left quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Content whose crash history changed, to be reported to the instances that collect its
    /// crashes.
    pub changed: Option<Fingerprint>,
    /// Contents that are refused from now on.
    pub quarantined: Vec<Fingerprint>,
    /// Contents that are no longer refused, because they ran to completion, or because their
    /// crashes expired or are attributed to another content.
    pub released: Vec<Fingerprint>,
}
