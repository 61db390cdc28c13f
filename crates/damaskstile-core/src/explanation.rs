//! `explanation` tells a caller or an operator what became of a request.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, RequestKey, TargetId};
use crate::outcome::Outcome;

/// `Explanation` says what is known of a request, and from where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Key of the request.
    pub key: RequestKey,
    /// Final word, if there is one yet.
    pub outcome: Option<Outcome>,
    /// Step that the request is in or ended in.
    pub step: String,
    /// Target of its last run.
    pub target: Option<TargetId>,
    /// Tokens that are billed.
    pub billed_tokens: u64,
    /// Runs that were started.
    pub runs: u64,
    /// Instance that says so.
    pub instance: InstanceId,
    /// Reasons, oldest first.
    pub why: Vec<String>,
}
