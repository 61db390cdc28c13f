//! Assembly of an answer from its chunks.

use damaskstile_core::prelude::*;

/// `Assembled` is the result of adding a chunk to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assembled {
    /// The chunk is the next one and was appended.
    Next,
    /// The chunk was received before and is dropped.
    Repeated,
    /// An earlier chunk is missing, so the stream can no longer be relied on.
    Gap,
}

/// `Assembly` holds the chunks of one answer in order.
#[derive(Debug, Clone, Default)]
pub struct Assembly {
    chunks: Vec<String>,
    tokens: u64,
    bytes: usize,
}

impl Assembly {
    /// Creates an empty assembly.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the chunk at position `index` of the answer, counted from 0, which holds `tokens`
    /// tokens.
    ///
    /// ```
    /// use damaskstile_requests::answer::{Assembled, Assembly};
    /// let mut answer = Assembly::new();
    /// assert_eq!(answer.add(0, 1, "a"), Assembled::Next);
    /// assert_eq!(answer.add(0, 1, "a"), Assembled::Repeated);
    /// assert_eq!(answer.add(2, 1, "c"), Assembled::Gap);
    /// assert!(!answer.is_complete(2));
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

    /// Returns whether all chunks were received, given their number as the target reports it.
    #[must_use]
    pub fn is_complete(&self, chunks: u64) -> bool {
        self.len() == chunks
    }

    /// Returns the number of chunks.
    #[must_use]
    pub fn len(&self) -> u64 {
        u64::try_from(self.chunks.len()).unwrap_or(u64::MAX)
    }

    /// Returns whether no chunk has been added yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the number of tokens in all chunks.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the size of all chunks, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the chunks in order.
    #[must_use]
    pub fn chunks(&self) -> &[String] {
        &self.chunks
    }

    /// Returns the number of tokens that the answer may still add before it reaches its cap.
    #[must_use]
    pub fn remaining_tokens(&self, cap_tokens: u64) -> u64 {
        cap_tokens.saturating_sub(self.tokens)
    }
}

/// Identifies a request among those of all callers by its client account and key.
pub type RequestName = (AccountId, RequestKey);
