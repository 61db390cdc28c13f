//! Configuration of the admission of calls.

/// Configuration of the admission of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// Whether less urgent calls yield to more urgent ones.
    pub by_urgency: bool,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { by_urgency: true }
    }
}
