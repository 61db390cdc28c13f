//! `error` tells why a trace cannot be read or written.

/// `Error` tells why a trace cannot be read or written.
#[derive(Debug)]
pub enum Error {
    /// Reading or writing failed.
    Io(std::io::Error),
    /// A line is no line of a trace.
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// The trace has no head.
    Empty,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "trace: {error}"),
            Self::Malformed { line, error } => write!(f, "trace, line {line}: {error}"),
            Self::Empty => write!(f, "trace without head"),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
