//! Codes that tell callers why a request was not answered.

use serde::{Deserialize, Serialize};

/// `RefusalCode` is the reason, sent to the caller, for which a request was not answered. Codes are
/// stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The bearer token belongs to no client account.
    UnknownAccount,
    /// The client account has no service of that name.
    UnknownService,
    /// No route matches the host and path.
    UnknownRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The caller did not send the whole body in time.
    BodyIncomplete,
    /// The target's answer was corrupted or belonged to another request.
    AnswerSpoiled,
    /// The request violates a limit or a rule of its service.
    BadRequest,
    /// The non-idempotent request lacks a `UUIDv7` key, or the time in its key lies outside the
    /// retention period of claims.
    BadKey,
    /// The budget cannot cover the worst case of the request.
    BudgetExhausted,
    /// The remainder of the budget is reserved for more urgent requests.
    BudgetReserved,
    /// The budget may have tokens left, but neither the store nor a holder answered in time.
    BudgetUnreachable,
    /// Too many requests wait or run for the targets of the service.
    Overloaded,
    /// No target of the service is known to accept work.
    NoTarget,
    /// No connection to a target of the service could be made.
    TargetsUnreachable,
    /// No target of the service accepts work in the regions that may run the request.
    NoTargetInRegion,
    /// No usable target of the service runs the version of software that began the stream.
    NoTargetOfVersion,
    /// No usable target of the service is known to have the weights that the caller expects.
    NoTargetOfWeights,
    /// No instance knows which version of software began the stream that the request takes up.
    UnknownStream,
    /// The buffer of bills that wait to be stored is full.
    BillsBacklog,
    /// The key was used before with a different body.
    KeyReused,
    /// The claim for a non-idempotent request could not be stored.
    ClaimUnavailable,
    /// The instance is stopping.
    Stopping,
    /// The instance has no settings yet.
    Starting,
    /// The deadline passed before the request could be sent to a target.
    DeadlineExceeded,
    /// The retry budget is exhausted.
    RetriesExhausted,
    /// The request with this key already ran to completion.
    AlreadyRan,
    /// The request with this key is running, or the instance that ran it was lost.
    InProgress,
    /// The stream from the target was interrupted after the request was sent.
    TargetLost,
    /// Targets crashed repeatedly while they ran the same content, so it is quarantined.
    CrashesTargets,
}

impl RefusalCode {
    /// Returns the code as sent to callers.
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
            Self::TargetsUnreachable => "targets_unreachable",
            Self::NoTargetInRegion => "no_target_in_region",
            Self::NoTargetOfVersion => "no_target_of_version",
            Self::NoTargetOfWeights => "no_target_of_weights",
            Self::UnknownStream => "unknown_stream",
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
