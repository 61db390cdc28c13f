//! Record of a call and of the answer that its caller received.

use damaskstile::core::prelude::*;

use crate::oracle::Verdict;

/// A call and what its caller has received so far.
#[derive(Debug, Clone, Default)]
pub struct CallRecord {
    /// Instance that was called.
    pub instance: InstanceId,
    /// Incarnation that was called; 0 if the instance was not running.
    pub incarnation: Incarnation,
    /// Key of the request.
    pub key: RequestKey,
    /// Upper bound of the cost of the request, in tokens (prompt and output cap).
    pub worst_tokens: u64,
    /// Output tokens that the target will generate.
    pub output_tokens: u64,
    /// When it was called.
    pub called_at: Duration,
    /// When the request was first sent to a target.
    pub sent_at: Option<Duration>,
    /// When the first chunk arrived.
    pub first_chunk_at: Option<Duration>,
    /// Data of the chunks received so far.
    pub chunks: Vec<String>,
    /// Final outcome; `None` while the call is open.
    pub outcome: Option<Outcome>,
    /// When the final outcome arrived.
    pub answered_at: Option<Duration>,
    /// Verdict of the oracle, if the call was refused for lack of budget.
    pub verdict: Verdict,
}
