//! What an answer says about whether the call was executed.

/// What an answer says about whether the call was executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Handling {
    /// The call may have been executed.
    #[default]
    MayHaveRun,
    /// The target proves that it did not execute the call.
    NotRun,
    /// Another target has this address, and did not execute the call.
    Misdirected,
    /// The call was not executed, and what its caller asks for or leaves out may be why. This says
    /// nothing about the target to other callers.
    Unmet,
}
