//! Errors of reading and writing a trace.

/// Reason why a trace cannot be read or written.
#[derive(Debug)]
pub enum Error {
    /// An I/O operation failed.
    Io(std::io::Error),
    /// A line is not valid JSON for its place in a trace, or cannot be serialised.
    Malformed {
        /// Line number, from 1; 0 for a line that is being written.
        line: usize,
        /// Cause.
        error: serde_json::Error,
    },
    /// The trace is empty, so that even its head is missing.
    Empty,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "trace I/O: {error}"),
            Self::Malformed { line, error } => write!(f, "trace line {line} is malformed: {error}"),
            Self::Empty => write!(f, "trace is empty: no head line"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
