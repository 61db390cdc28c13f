//! `handling` is what an answer tells of whether the call ran.

/// `Handling` is what an answer tells of whether the call ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Handling {
    /// It may have run.
    #[default]
    MayHaveRun,
    /// The target proves that it has not run the call.
    NotRun,
    /// Another target has the address, and has not run the call.
    Misdirected,
}
