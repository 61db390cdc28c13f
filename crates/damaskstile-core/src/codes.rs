//! `codes` lists the stable codes that callers see when a request is not answered.

use serde::{Deserialize, Serialize};

/// `RefusalCode` tells a caller why its request was not answered. Codes are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The bearer token belongs to no client account.
    UnknownAccount,
    /// No service of that name is set for the client account.
    UnknownService,
    /// No route leads from the host and path to a service.
    UnknownRoute,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller did not send the whole body in time.
    BodyIncomplete,
    /// The target's answer was spoiled or belonged to another request.
    AnswerSpoiled,
    /// The request breaks a limit or a rule of its service.
    BadRequest,
    /// A non-idempotent request needs a `UUIDv7` key, within the retention of claims.
    BadKey,
    /// The budget cannot cover the worst case of the request.
    BudgetExhausted,
    /// What is left of the budget is kept for more urgent requests.
    BudgetReserved,
    /// Money may be left, but neither the store nor a holder answered in time.
    BudgetUnreachable,
    /// Too many requests wait or run for the targets of the service.
    Overloaded,
    /// No target of the service is known to take work.
    NoTarget,
    /// No target of the service takes work in the regions that may run the request.
    NoTargetInRegion,
    /// Bills waiting for the store fill their bounded buffer.
    BillsBacklog,
    /// The key was used before with another body.
    KeyReused,
    /// The claim for a non-idempotent request could not be stored.
    ClaimUnavailable,
    /// This instance is being stopped.
    Stopping,
    /// This instance has no settings yet.
    Starting,
    /// The deadline passed before the request could be sent to a target.
    DeadlineExceeded,
    /// The fleet's budget of retries is used up.
    RetriesExhausted,
    /// The request with this key already ran to its end.
    AlreadyRan,
    /// The request with this key is running or its instance was lost.
    InProgress,
    /// The target's stream was cut after the request was sent.
    TargetLost,
    /// Targets ended again and again while they ran the same request.
    CrashesTargets,
}

impl RefusalCode {
    /// Returns the code as callers see it.
    ///
    /// ```
    /// use damaskstile_core::codes::RefusalCode;
    /// assert_eq!(RefusalCode::NoTarget.as_str(), "no_target");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownAccount => "unknown_account",
            Self::UnknownService => "unknown_service",
            Self::UnknownRoute => "unknown_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::AnswerSpoiled => "answer_spoiled",
            Self::BadRequest => "bad_request",
            Self::BadKey => "bad_key",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetReserved => "budget_reserved",
            Self::BudgetUnreachable => "budget_unreachable",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no_target",
            Self::NoTargetInRegion => "no_target_in_region",
            Self::BillsBacklog => "bills_backlog",
            Self::KeyReused => "key_reused",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::Stopping => "stopping",
            Self::Starting => "starting",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::RetriesExhausted => "retries_exhausted",
            Self::AlreadyRan => "already_ran",
            Self::InProgress => "in_progress",
            Self::TargetLost => "target_lost",
            Self::CrashesTargets => "crashes_targets",
        }
    }
}
