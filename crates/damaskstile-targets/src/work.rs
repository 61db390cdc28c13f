//! `work` is what a call asks of a target, as far as the choice goes by it.

use std::sync::Arc;

use damaskstile_core::prelude::*;

/// `Part` is a piece of a prompt that other calls may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the part.
    pub name: u64,
    /// Its length.
    pub tokens: u64,
}

/// `Work` is what a call asks of a target, as far as the choice goes by it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the whole prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub output_tokens: u64,
    /// Parts of the prompt in their order.
    pub parts: Vec<Part>,
    /// Regions that may run it; `None` for all.
    pub homes: Option<Arc<BTreeSet<RegionId>>>,
}

impl Work {
    /// Returns the parts that other calls are likely to share: all but the last, which is the
    /// call's own, unless it is the only one.
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

    /// Returns the length of those parts.
    ///
    /// ```
    /// assert_eq!(damaskstile_targets::Work::default().shared_tokens(), 0);
    /// ```
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}
