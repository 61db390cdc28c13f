//! Refusals of calls that no target answers.

use damaskstile_core::prelude::*;
use http::Response;

use super::{Exchange, refuse, set_close};
use crate::admission::{Admittance, CallDemand, Rejection};
use crate::admitted_stream::AdmittedStream;
use crate::readiness::Readiness;
use crate::reply::{RETRY_AT_ONCE, RETRY_LATER, RETRY_SOON, Refusal, ReplyBody};

/// Range of the random delay added to an advised wait, in milliseconds.
const RETRY_JITTER_MS: u64 = 300;

impl Exchange {
    /// Returns the refusal of a call whose content, or a part of whose prompt, is quarantined because
    /// targets crashed under it, possibly during other calls.
    pub(super) fn quarantine_refusal(&mut self) -> Option<Refusal> {
        let account = self.terms.account.as_deref();
        let (refusal, content) = self.gateway.quarantine_refusal(&self.call, account)?;
        self.record.add("content", content);
        Some(if self.attempts.may_have_run() {
            Refusal::unknown(refusal.code)
        } else {
            refusal
        })
    }

    pub(super) fn refuse(&mut self, refusal: &Refusal) -> Response<ReplyBody> {
        let id = self.call.id.clone();
        refuse(&self.gateway, &mut self.record, refusal, id.as_deref())
    }

    /// Checks the call against the instance's load; returns a refusal if it cannot be served in
    /// time. The refusal closes the connection, so that the caller connects to another instance for
    /// this call and later ones.
    pub(super) fn overload_refusal(&mut self) -> Option<Response<ReplyBody>> {
        let route = &self.terms.route;
        let demand = CallDemand {
            route: &route.name,
            account: self.terms.account.as_deref().unwrap_or_default(),
            class: route.class(self.terms.priority),
            is_stream: route.kind.is_stream(),
            bytes: self.call.link_bytes(),
        };
        let now = self.gateway.now();
        let verdict = self.gateway.state().pressure.admit_call(now, &demand);
        let outcome = verdict.map_or("rejected", Admittance::as_str);
        let admissions = &self.gateway.metrics.admissions;
        admissions.add(self.terms.priority, outcome);
        let Err(rejection) = verdict else {
            self.admitted = AdmittedStream::begin(&self.gateway, &self.terms);
            return None;
        };
        self.note_rejection(&rejection);
        let wait = self.overload_wait(&rejection);
        let refusal = Refusal::not_run(RefusalCode::Overloaded, Some(wait));
        let mut response = self.refuse(&refusal);
        set_close(&mut response);
        Some(response)
    }

    /// Returns how long a rejected caller should wait. While the balancer sends new connections
    /// here, a retry at once would reach this instance again. Callers follow such an advice for up
    /// to a third of their remaining time.
    fn overload_wait(&self, rejection: &Rejection) -> Duration {
        let now = self.gateway.now();
        let notice_left = self.gateway.state().load_sharing.notice_left(now);
        let is_in_rotation = Readiness::of(&self.gateway) == Readiness::Ready;
        let wait = if !notice_left.is_zero() {
            self.add_jitter(notice_left)
        } else if is_in_rotation {
            self.add_jitter(rejection.delay.saturating_sub(rejection.limit))
        } else {
            RETRY_AT_ONCE
        };
        wait.min(self.time_left() / 3)
    }

    fn note_rejection(&mut self, rejection: &Rejection) {
        let record = &mut self.record;
        record.add("priority", self.terms.priority);
        record.add("criterion", rejection.criterion.as_str());
        record.add("limit_ms", rejection.limit.as_millis());
        record.add("delay_ms", rejection.delay.as_millis());
        if let Some(rank) = rejection.yields_to {
            record.add("yields_to", rank);
        }
    }

    pub(super) fn deadline_exceeded(&mut self) -> Response<ReplyBody> {
        let code = RefusalCode::DeadlineExceeded;
        let refusal = if self.is_sending || self.attempts.may_have_run() {
            self.note_time();
            Refusal::unknown(code)
        } else {
            Refusal::not_run(code, Some(RETRY_SOON))
        };
        self.refuse(&refusal)
    }

    /// Returns the refusal of a call for which no target is usable now; `None` if all candidates
    /// are in backoff, since `targets_backoff` then knows the exact wait.
    pub(super) fn no_target_refusal(&self) -> Option<Refusal> {
        let now = self.gateway.now();
        let state = self.gateway.state();
        let found = state
            .target_table
            .has_target(now, &self.terms.service, &self.call.work);
        let code = found.err()?;
        if state
            .target_table
            .backoff_left(now, &self.terms.service)
            .is_some()
        {
            return None;
        }
        let wait = state.target_table.time_until_room(now, &self.terms.service);
        drop(state);
        if code == RefusalCode::NoTargetOfVersion {
            return Some(Refusal::not_run(code, None));
        }
        let wait = wait.map_or(RETRY_LATER, |wait| self.add_jitter(wait));
        Some(Refusal::not_run(code, Some(wait)))
    }

    /// Adds a random delay to a wait, so that callers refused together do not come back together.
    fn add_jitter(&self, wait: Duration) -> Duration {
        let spread_ms = self.gateway.state().random.below(RETRY_JITTER_MS);
        wait.saturating_add(Duration::from_millis(spread_ms))
    }

    /// Returns how long a caller should wait if all targets of the service are in backoff. A random
    /// delay is added, so that callers refused during the backoff do not all come back at its end.
    pub(super) fn targets_backoff(&self) -> Option<Duration> {
        let now = self.gateway.now();
        let left = {
            let state = self.gateway.state();
            state.target_table.backoff_left(now, &self.terms.service)?
        };
        Some(self.add_jitter(left))
    }

    pub(super) fn give_up(&mut self, code: RefusalCode, wait: Duration) -> Response<ReplyBody> {
        let wait = self.targets_backoff().unwrap_or(wait);
        let refusal = if self.attempts.may_have_run() {
            Refusal::unknown(RefusalCode::TargetLost)
        } else {
            Refusal::not_run(code, Some(wait))
        };
        self.refuse(&refusal)
    }
}
