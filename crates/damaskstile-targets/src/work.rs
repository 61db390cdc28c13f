//! What a call requires of a target, as far as it matters to selection.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::expected_weights::ExpectedWeights;

/// Piece of a prompt that other calls may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Identifier of the part; equal parts have equal names.
    pub name: u64,
    /// Length of the part.
    pub tokens: u64,
}

/// What a call requires of a target, as far as it matters to selection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the whole prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub output_tokens: u64,
    /// Tokens that the caller expects to be generated; `None` if it states none.
    pub length_hint_tokens: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Version of software that the call is bound to, since its stream began there; `None` for any.
    pub software_version: Option<SoftwareVersion>,
    /// Weights that the caller expects; `None` for any.
    pub weights: Option<ExpectedWeights>,
    /// Whether the call is bulk work beside more urgent streams of the same service.
    pub is_bulk: bool,
    /// Home regions, which may run the call; `None` for all regions.
    pub home_regions: Option<Arc<BTreeSet<RegionId>>>,
}

impl Work {
    /// Returns the number of tokens that are likely to be generated: the caller's estimate, if any,
    /// but no more than allowed.
    ///
    /// ```
    /// use damaskstile_targets::Work;
    /// let work = Work { output_tokens: 100, ..Work::default() };
    /// assert_eq!(work.expected_output_tokens(), 100);
    /// let work = Work { length_hint_tokens: Some(30), ..work };
    /// assert_eq!(work.expected_output_tokens(), 30);
    /// ```
    #[must_use]
    pub fn expected_output_tokens(&self) -> u64 {
        let hint = self.length_hint_tokens.unwrap_or(self.output_tokens);
        hint.min(self.output_tokens)
    }

    /// Returns the parts that other calls are likely to share: all but the last, which only this
    /// call has, unless it is the only part.
    ///
    /// ```
    /// use damaskstile_targets::{Part, Work};
    /// let part = |name| Part { name, tokens: 10 };
    /// let work = Work { parts: vec![part(1), part(2), part(3)], ..Work::default() };
    /// assert_eq!(work.shared_parts().last(), Some(&part(2)));
    /// ```
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.as_slice() {
            [] => &[],
            [only] => std::slice::from_ref(only),
            [shared @ .., _own] => shared,
        }
    }

    /// Returns the names of all parts but the last, which only this call has.
    ///
    /// ```
    /// use damaskstile_targets::{Part, Work};
    /// let part = |name| Part { name, tokens: 10 };
    /// let work = Work { parts: vec![part(1), part(2)], ..Work::default() };
    /// assert_eq!(work.names_but_last().collect::<Vec<_>>(), [1]);
    /// ```
    pub fn names_but_last(&self) -> impl Iterator<Item = u64> + '_ {
        let but_last = self.parts.len().saturating_sub(1);
        self.parts.iter().take(but_last).map(|part| part.name)
    }

    /// Returns the total length of the shared parts.
    ///
    /// ```
    /// assert_eq!(damaskstile_targets::Work::default().shared_tokens(), 0);
    /// ```
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}
