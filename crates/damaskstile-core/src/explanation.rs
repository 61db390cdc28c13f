//! Explanation of the state of a request, for callers and operators.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestKey, TargetId};
use crate::outcome::Outcome;

/// `Explanation` is what an instance knows of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Key of the request.
    pub key: RequestKey,
    /// Final outcome; `None` if the request is still open.
    pub outcome: Option<Outcome>,
    /// Processing step that the request is in, or in which it ended.
    pub step: String,
    /// Target of its last run.
    pub target: Option<TargetId>,
    /// Number of tokens billed.
    pub billed_tokens: u64,
    /// Number of runs started.
    pub runs: u64,
    /// Instance that gives the explanation.
    pub instance: InstanceId,
    /// Reasons, oldest first.
    pub why: Vec<String>,
}
