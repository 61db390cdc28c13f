//! State of one request.

use damaskstile_core::prelude::*;
use damaskstile_requests::Assembly;

/// Processing step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The claim of a non-idempotent request is being stored.
    Claiming,
    /// Tokens are being reserved.
    Reserving,
    /// Waiting for a free target.
    Queued,
    /// Waiting for a witness to accept the record of the run.
    Recording,
    /// Sent to a target.
    Running,
    /// Has its outcome.
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

/// Call that waits for the request's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Caller {
    pub request: RequestHandle,
    pub is_streamed: bool,
}

/// State of one request, which several calls with the same key may share.
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
    pub deadline: Duration,
    pub step: Step,
    pub run: RunId,
    /// Run whose claim is stored or being stored for this request.
    pub claim_run: Option<RunId>,
    pub tried: BTreeSet<TargetId>,
    pub target: Option<(TargetId, String)>,
    pub sent_at: Duration,
    /// Grants whose witnesses have not accepted the record yet, with the witnesses that still may.
    pub awaited: BTreeMap<GrantId, BTreeMap<InstanceId, Incarnation>>,
    /// Whether a run may have begun, so that the outcome can no longer be "not run".
    pub has_begun: bool,
    pub answer: Assembly,
    pub resumes: u32,
    pub runs: u64,
    pub outcome: Option<Outcome>,
    pub replay_until: Duration,
    pub notes: Vec<String>,
}

impl Request {
    pub(super) fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// Returns the maximum cost of one run, in tokens; at least 1.
    pub(super) fn worst_case_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.cap_tokens).max(1)
    }

    /// Returns whether a streaming caller may have received part of the answer, so that the answer
    /// of another run cannot replace it.
    pub(super) fn is_partly_relayed(&self) -> bool {
        !self.answer.is_empty() && self.callers.iter().any(|caller| caller.is_streamed)
    }

    pub(super) fn account_key(&self) -> (AccountId, RequestKey) {
        (self.account.clone(), self.key.clone())
    }

    /// Returns the dispatch of the request to its target, which starts at the first chunk of the
    /// answer that is missing. `None` if no target is assigned.
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

    pub(super) fn add_note(&mut self, note: String) {
        self.notes.push(note);
    }
}
