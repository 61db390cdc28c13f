//! Reports of targets about runs.

use serde::{Deserialize, Serialize};

/// `RunState` is a target's answer to an inquiry about a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The run is in progress.
    Running,
    /// The run has finished.
    Ended {
        /// Number of tokens of the prompt, as counted by the target.
        prompt_tokens: u64,
        /// Number of tokens that the target generated.
        output_tokens: u64,
    },
    /// The target has not started this run and never will.
    NeverStarted,
    /// The target could not be reached.
    Unreachable,
}

/// `RunReport` is one report about a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunReport {
    /// The target sent a chunk of the answer.
    Chunk {
        /// Position of the chunk in the complete answer, from 0.
        index: u64,
        /// Number of tokens in the chunk.
        tokens: u64,
        /// Data of the chunk, as relayed to the caller.
        data: String,
    },
    /// The target reported that the answer is complete.
    Finished {
        /// Number of chunks in the complete answer.
        chunks: u64,
        /// Number of tokens of the prompt, as counted by the target.
        prompt_tokens: u64,
        /// Number of tokens that the target generated.
        output_tokens: u64,
    },
    /// The target refused the run before starting it.
    Refused,
    /// The target rejected the request itself, as any other target would.
    Rejected,
    /// No byte of the request can have reached the target.
    Unreachable,
    /// The connection was lost after the request was sent.
    Broken,
    /// The target answered an inquiry about the run.
    State(RunState),
}
