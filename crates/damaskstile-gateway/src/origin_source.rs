//! How the version of software that began a stream was found.

/// How the version of software that began a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This instance has a record of the stream.
    Own,
    /// Peers know it, or all know of one version only.
    Peers,
    /// No instance knows it.
    Unknown,
    /// Not found, and peers that may know it did not answer.
    Unanswered,
}

impl OriginSource {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peers => "peers",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}
