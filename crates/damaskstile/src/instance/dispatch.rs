//! Target selection and dispatch of requests whose tokens are reserved.

use damaskstile_core::prelude::*;
use damaskstile_targets::Queued;
use damaskstile_targets::registry::Choice;

use super::request::Step;
use super::timers::Timer;
use super::{Effects, Instance};

/// Time within which the host must send a dispatched request.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum interval between two checks of a queue that is not empty.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

impl Instance {
    /// Finds a target for a request whose tokens are reserved.
    pub(super) fn find_target(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let service = request.service.clone();
        effects.push(Effect::Reserved {
            request: request.first_call,
        });
        let has_queue = self.queue.len(&service) > 0;
        let choice = self.registry.choose(self.now, &service, &request.tried);
        match choice {
            Choice::Target { target, address } if !has_queue => {
                self.assign(number, target, address, effects);
            }
            Choice::NoTarget => {
                let code = RefusalCode::NoTarget;
                let retry_after = Some(self.retry_after(code, &service));
                self.refuse(number, code, retry_after, effects);
            }
            Choice::Target { .. } | Choice::Wait => self.enqueue(number, effects),
        }
    }

    fn assign(&mut self, number: u64, target: TargetId, address: String, effects: &mut Effects) {
        self.registry.started(self.now, &target);
        if let Some(request) = self.requests.get_mut(&number) {
            request.target = Some((target, address));
        }
        self.record_run(number, effects);
    }

    fn enqueue(&mut self, number: u64, effects: &mut Effects) {
        let system = &self.settings.settings().system;
        let capacity = usize::try_from(system.queue_requests).unwrap_or(usize::MAX);
        let max_wait = Duration::from_millis(system.queue_wait_ms);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.step = Step::Queued;
        let queued = Queued {
            run: request.run.clone(),
            account: request.account.clone(),
            service: request.service.clone(),
            priority: request.priority,
            until: request.deadline.min(self.now + max_wait),
        };
        let refused = match self.queue.push(queued, capacity) {
            Ok(displaced) => displaced,
            Err(queued) => Some(queued),
        };
        if let Some(queued) = refused {
            self.refuse_queued(&queued, effects);
        }
        self.set_timer(QUEUE_INTERVAL, Timer::Queue);
        self.probe_targets(effects);
    }

    fn refuse_queued(&mut self, queued: &Queued, effects: &mut Effects) {
        if let Some(number) = self.by_run.get(&queued.run).copied() {
            let code = RefusalCode::Overloaded;
            let retry_after = Some(self.retry_after(code, &queued.service));
            self.refuse(number, code, retry_after, effects);
        }
    }

    /// Schedules a check of the queue for the next run of the timers.
    pub(super) fn schedule_queue_check(&mut self) {
        if !self.queue.is_empty() {
            self.set_timer(Duration::ZERO, Timer::Queue);
        }
    }

    pub(super) fn serve_queue(&mut self, effects: &mut Effects) {
        for queued in self.queue.next_expired(self.now) {
            self.refuse_queued(&queued, effects);
        }
        for service in self.queue.services() {
            self.serve_service(&service, effects);
        }
        if !self.queue.is_empty() {
            let wake = self.queue.next_wake().unwrap_or(self.now);
            let after = wake.saturating_sub(self.now).min(QUEUE_INTERVAL);
            self.set_timer(after.max(Duration::from_millis(1)), Timer::Queue);
        }
    }

    fn serve_service(&mut self, service: &ServiceId, effects: &mut Effects) {
        loop {
            let in_flight = &self.open_of_account;
            let count = |account: &AccountId| in_flight.get(account).copied().unwrap_or(0);
            let Some(queued) = self.queue.next(service, count) else {
                return;
            };
            let Some(number) = self.by_run.get(&queued.run).copied() else {
                continue;
            };
            let tried = self
                .requests
                .get(&number)
                .map(|request| request.tried.clone())
                .unwrap_or_default();
            match self.registry.choose(self.now, service, &tried) {
                Choice::Target { target, address } => {
                    self.assign(number, target, address, effects);
                }
                Choice::NoTarget => {
                    let code = RefusalCode::NoTarget;
                    let retry_after = Some(self.retry_after(code, service));
                    self.refuse(number, code, retry_after, effects);
                }
                Choice::Wait => {
                    self.queue.put_back(queued);
                    return;
                }
            }
        }
    }

    /// Sends a request whose tokens are reserved and whose record, where needed, is accepted.
    pub(super) fn send_request(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some((target, _)) = request.target.clone() else {
            return;
        };
        if !self.registry.may_send(self.now, &target) {
            // The target began to leave while the record was being accepted.
            self.try_other_target(number, &target, effects);
            return;
        }
        request.step = Step::Running;
        request.sent_at = self.now;
        request.runs += 1;
        request.add_note(format!("sent to {target}"));
        let dispatch = request.dispatch(self.now + SEND_TIMEOUT);
        effects.extend(dispatch.map(Effect::Dispatch));
    }

    /// Starts a new run for a request whose current run did not begin, excluding this target.
    pub(super) fn try_other_target(
        &mut self,
        number: u64,
        target: &TargetId,
        effects: &mut Effects,
    ) {
        self.abandon_run(number, effects);
        if let Some(request) = self.requests.get_mut(&number) {
            request.tried.insert(target.clone());
        }
        self.renew_run(number);
        self.reserve(number, false, effects);
    }
}
