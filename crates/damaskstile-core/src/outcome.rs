//! `outcome` holds the final word on a request. There are three, and no fourth.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::codes::RefusalCode;
use crate::ids::{RequestKey, TargetId};

/// `Receipt` tells what an answered request used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Key of the request.
    pub key: RequestKey,
    /// Target that answered.
    pub target: TargetId,
    /// Tokens of the prompt, or the fixed price of a plain service's call.
    pub prompt_tokens: u64,
    /// Tokens that the target generated.
    pub output_tokens: u64,
}

/// `Outcome` is the final word on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The caller got the whole answer; it is billed once.
    Answered(Receipt),
    /// The request did not run.
    NotRun {
        /// Why it was refused.
        code: RefusalCode,
        /// When coming back may help.
        retry_after: Option<Duration>,
    },
    /// The request may have run, in whole or in part.
    Unknown {
        /// What happened.
        code: RefusalCode,
        /// Key to ask later with.
        key: RequestKey,
        /// When asking again may help.
        retry_after: Option<Duration>,
    },
}

impl Outcome {
    /// Makes the refusal of a request that did not run.
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

    /// Tells whether the request is known not to have run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// Tells whether the request was answered whole.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}
