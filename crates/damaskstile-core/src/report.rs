//! `report` describes what a target says of a run.

use serde::{Deserialize, Serialize};

/// `RunState` is a target's answer to the question how a run went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The run goes on.
    Running,
    /// The run is over.
    Ended {
        /// Tokens of the prompt, as the target counts them.
        prompt_tokens: u64,
        /// Tokens that the target generated.
        output_tokens: u64,
    },
    /// The target has never started this run and will not start it any more.
    NeverStarted,
    /// The target could not be asked.
    Unreachable,
}

/// `RunReport` is one message about a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunReport {
    /// A piece of the answer.
    Chunk {
        /// Position in the whole answer, from 0.
        index: u64,
        /// Tokens in this piece.
        tokens: u64,
        /// Piece as it goes to the caller.
        data: String,
    },
    /// The target says that the answer is whole.
    Finished {
        /// Number of chunks of the whole answer.
        chunks: u64,
        /// Tokens of the prompt, as the target counts them.
        prompt_tokens: u64,
        /// Tokens that the target generated.
        output_tokens: u64,
    },
    /// The target refused the run before it began.
    Refused,
    /// The target refused the request as such; no other target would take it.
    Rejected,
    /// No byte of the request can have reached the target.
    Unreachable,
    /// The connection was lost after the request was sent.
    Broken,
    /// Answer to a question about the run.
    State(RunState),
}
