//! `answered` holds what a caller has got.

use damaskstile::core::prelude::*;

use crate::oracle::Verdict;

/// `Answered` is what a caller has got.
#[derive(Debug, Clone, Default)]
pub struct Answered {
    /// Instance that was called.
    pub instance: InstanceId,
    /// Incarnation that was called; 0 where none ran.
    pub incarnation: Incarnation,
    /// Key of the request.
    pub key: RequestKey,
    /// Worst case of the request, in tokens.
    pub worst_tokens: u64,
    /// Tokens that its answer will have.
    pub output_tokens: u64,
    /// When it was called.
    pub called_at: Duration,
    /// When it was sent to a target first.
    pub sent_at: Option<Duration>,
    /// When the first piece came.
    pub first_piece_at: Option<Duration>,
    /// Pieces that came.
    pub pieces: Vec<String>,
    /// Final word.
    pub outcome: Option<Outcome>,
    /// When the final word came.
    pub answered_at: Option<Duration>,
    /// What the oracle says of a refusal for money.
    pub verdict: Verdict,
}
