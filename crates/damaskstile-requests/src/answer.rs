//! `answer` puts the pieces of an answer together and tells when it is whole.

use damaskstile_core::prelude::*;

/// `Assembled` tells what became of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assembled {
    /// The piece is the next one.
    Next,
    /// The piece came before and is dropped.
    Repeated,
    /// A piece before it is missing; the stream cannot be trusted any more.
    Gap,
}

/// `Assembly` holds the pieces of one answer in their order.
#[derive(Debug, Clone, Default)]
pub struct Assembly {
    chunks: Vec<String>,
    tokens: u64,
    bytes: usize,
}

impl Assembly {
    /// Makes an assembly without pieces.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a piece.
    ///
    /// ```
    /// use damaskstile_requests::answer::{Assembled, Assembly};
    /// let mut answer = Assembly::new();
    /// assert_eq!(answer.add(0, 1, "a"), Assembled::Next);
    /// assert_eq!(answer.add(0, 1, "a"), Assembled::Repeated);
    /// assert_eq!(answer.add(2, 1, "c"), Assembled::Gap);
    /// assert!(!answer.is_whole(2));
    /// ```
    pub fn add(&mut self, index: u64, tokens: u64, data: &str) -> Assembled {
        let expected = self.len();
        match index.cmp(&expected) {
            std::cmp::Ordering::Less => Assembled::Repeated,
            std::cmp::Ordering::Greater => Assembled::Gap,
            std::cmp::Ordering::Equal => {
                self.tokens = self.tokens.saturating_add(tokens);
                self.bytes += data.len();
                self.chunks.push(data.to_owned());
                Assembled::Next
            }
        }
    }

    /// Tells whether all pieces that the target counts are here.
    #[must_use]
    pub fn is_whole(&self, chunks: u64) -> bool {
        self.len() == chunks
    }

    /// Returns the number of pieces.
    #[must_use]
    pub fn len(&self) -> u64 {
        u64::try_from(self.chunks.len()).unwrap_or(u64::MAX)
    }

    /// Tells whether there is no piece yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the tokens of all pieces.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the size of all pieces, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the pieces in their order.
    #[must_use]
    pub fn chunks(&self) -> &[String] {
        &self.chunks
    }

    /// Returns the tokens that a capped answer may still have.
    #[must_use]
    pub fn left_tokens(&self, cap_tokens: u64) -> u64 {
        cap_tokens.saturating_sub(self.tokens)
    }
}

/// Names a request across callers: its client account and key.
pub type RequestName = (AccountId, RequestKey);
