//! Options for copies of runs.

/// Options for copies of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyOptions {
    /// Whether runs get copies.
    pub is_enabled: bool,
}

impl Default for CopyOptions {
    fn default() -> Self {
        Self { is_enabled: true }
    }
}
