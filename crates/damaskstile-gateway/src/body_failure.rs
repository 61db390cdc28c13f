//! Why a body is not complete.

/// Why the body of a call or of an answer is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFailure {
    /// It exceeds the size limit.
    TooLarge,
    /// It gave way to other calls.
    Denied,
    /// It broke off, or is malformed.
    Broken,
}
