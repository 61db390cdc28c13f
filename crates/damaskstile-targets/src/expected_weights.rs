//! Weights that a caller expects.

use damaskstile_core::prelude::*;

/// Weights that a caller expects. Targets refuse calls that expect others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedWeights {
    /// Model that the call names; `None` if it names none.
    pub model: Option<ModelId>,
    /// Version of the model's weights; `None` if the caller states none that can be read, so that
    /// only targets can tell whether they meet it.
    pub version: Option<WeightsVersion>,
}

impl ExpectedWeights {
    /// Returns whether a target may have the expected weights, given the versions of its models'
    /// weights as far as they are known.
    ///
    /// ```
    /// use damaskstile_targets::ExpectedWeights;
    /// let expected = ExpectedWeights { model: Some("m".to_owned()), version: Some(2) };
    /// assert!(expected.may_be_met(&[("m".to_owned(), 2)]));
    /// assert!(!expected.may_be_met(&[("m".to_owned(), 1)]));
    /// assert!(expected.may_be_met(&[]));
    /// ```
    #[must_use]
    pub fn may_be_met(&self, weights: &[(ModelId, WeightsVersion)]) -> bool {
        let Some(version) = self.version else {
            return true;
        };
        let is_asked = |model: &ModelId| self.model.as_ref().is_none_or(|asked| asked == model);
        let mut known = weights
            .iter()
            .filter(|(model, _)| is_asked(model))
            .peekable();
        known.peek().is_none() || known.any(|(_, found)| *found == version)
    }
}
