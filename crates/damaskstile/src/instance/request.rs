//! `request` holds the state of one request.

use damaskstile_core::prelude::*;
use damaskstile_requests::Assembly;

/// `Step` is how far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The right to send is being stored.
    Claiming,
    /// Tokens are being reserved.
    Reserving,
    /// It waits for a target.
    Queued,
    /// A witness is being told of the run.
    Recording,
    /// It was sent.
    Running,
    /// It has its final word.
    Done,
}

impl Step {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Claiming => "claiming",
            Self::Reserving => "reserving",
            Self::Queued => "queued",
            Self::Recording => "recording",
            Self::Running => "running",
            Self::Done => "done",
        }
    }
}

/// `Caller` is one call that waits for the request's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Caller {
    pub request: RequestHandle,
    pub is_streamed: bool,
}

/// `Request` is the state of one request.
#[derive(Debug)]
pub(super) struct Request {
    pub account: AccountId,
    pub budget: BudgetId,
    pub key: RequestKey,
    pub service: ServiceId,
    pub callers: Vec<Caller>,
    /// The call whose body the host holds.
    pub first_call: RequestHandle,
    pub body_hash: u64,
    pub is_non_idempotent: bool,
    pub can_resume: bool,
    pub prompt_tokens: u64,
    pub cap_tokens: u64,
    pub priority: Priority,
    pub until: Duration,
    pub step: Step,
    pub run: RunId,
    /// Run under which the request is claimed.
    pub claim_run: Option<RunId>,
    pub tried: BTreeSet<TargetId>,
    pub target: Option<(TargetId, String)>,
    pub sent_at: Duration,
    /// Grants whose witnesses have not accepted the record, with those that still may.
    pub awaited: BTreeMap<GrantId, BTreeMap<InstanceId, Incarnation>>,
    /// Whether a run of it has begun, so that it can no longer be refused as not run.
    pub has_begun: bool,
    pub answer: Assembly,
    pub resumes: u32,
    pub runs: u64,
    pub outcome: Option<Outcome>,
    pub kept_until: Duration,
    pub why: Vec<String>,
}

impl Request {
    pub(super) fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Returns the most that one run can cost.
    pub(super) fn worst_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.cap_tokens).max(1)
    }

    /// Tells whether a caller has seen a piece of the answer, so that no other can replace it.
    pub(super) fn is_partly_relayed(&self) -> bool {
        !self.answer.is_empty() && self.callers.iter().any(|caller| caller.is_streamed)
    }

    pub(super) fn name(&self) -> (AccountId, RequestKey) {
        (self.account.clone(), self.key.clone())
    }

    /// Makes the order to send the request to its target, from the first piece that is missing.
    pub(super) fn dispatch(&self, expires_at: Duration) -> Option<Dispatch> {
        let (target, address) = self.target.clone()?;
        Some(Dispatch {
            run: self.run.clone(),
            request: self.first_call,
            target,
            address,
            account: self.account.clone(),
            key: self.key.clone(),
            service: self.service.clone(),
            cap_tokens: self.cap_tokens,
            resume_from: self.answer.len(),
            priority: self.priority,
            expires_at,
        })
    }

    pub(super) fn note(&mut self, why: String) {
        self.why.push(why);
    }
}
