//! Final outcome of a request: answered, not run, or unknown.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::codes::RefusalCode;
use crate::ids::{RequestKey, TargetId};

/// `Receipt` states the token usage of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Key of the request.
    pub key: RequestKey,
    /// Target that answered.
    pub target: TargetId,
    /// Number of tokens of the prompt, or the fixed price of a call to a plain service.
    pub prompt_tokens: u64,
    /// Number of tokens that the target generated.
    pub output_tokens: u64,
}

/// `Outcome` is the final outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller received the complete answer, which is billed once.
    Answered(Receipt),
    /// The request did not run.
    NotRun {
        /// Reason for the refusal.
        code: RefusalCode,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The request may have run, in whole or in part.
    Unknown {
        /// Reason why the outcome is unknown.
        code: RefusalCode,
        /// Key by which the caller can ask for the outcome later.
        key: RequestKey,
        /// Time after which the outcome may be known.
        retry_after: Option<Duration>,
    },
}

impl Outcome {
    /// Creates the outcome of a request that did not run.
    ///
    /// ```
    /// use damaskstile_core::prelude::*;
    /// let outcome = Outcome::not_run(RefusalCode::NoTarget, Some(Duration::from_secs(1)));
    /// assert!(outcome.is_not_run());
    /// ```
    #[must_use]
    pub fn not_run(code: RefusalCode, retry_after: Option<Duration>) -> Self {
        Self::NotRun { code, retry_after }
    }

    /// Returns whether the request is known not to have run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Returns whether the request was answered completely.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}
