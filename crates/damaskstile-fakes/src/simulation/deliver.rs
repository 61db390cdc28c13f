//! Executes the effects of instances and schedules the resulting events.

use damaskstile::core::peer::encode_frame;
use damaskstile::core::prelude::*;

use super::{Action, Simulation};
use crate::oracle;
use crate::targets::Start;

/// Delay between an instance's decision to send to a target and the sending.
const SEND_DELAY: Duration = Duration::from_micros(50);
/// One-way delay of a message between an instance and a target.
const TARGET_DELAY: Duration = Duration::from_micros(300);

impl Simulation {
    pub(super) fn execute(&mut self, name: &str, action: Action) {
        match action {
            Action::Event(incarnation, event) => {
                if self.is_current(name, incarnation) {
                    self.deliver(name, event);
                }
            }
            Action::Wake(incarnation) => self.wake(name, incarnation),
            Action::Store(incarnation, call, request) => {
                self.call_store(name, incarnation, call, request);
            }
            Action::Dispatch(incarnation, dispatch) => self.dispatch(name, incarnation, *dispatch),
            Action::Generate(run) => self.generate(&run),
        }
    }

    fn is_current(&self, name: &str, incarnation: Incarnation) -> bool {
        self.nodes
            .get(name)
            .is_some_and(|node| node.instance.is_some() && node.incarnation == incarnation)
    }

    fn wake(&mut self, name: &str, incarnation: Incarnation) {
        if !self.is_current(name, incarnation) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(name) {
            node.wake_at = Duration::MAX;
        }
        self.deliver(name, Event::Tick);
    }

    pub(super) fn apply_effect(&mut self, name: &str, incarnation: Incarnation, effect: Effect) {
        match effect {
            Effect::Store { call, request } => {
                let delay = self.options.store_delay / 2;
                self.schedule(delay, name, Action::Store(incarnation, call, request));
            }
            Effect::Send { to, message } => self.send(name, incarnation, &to, &message),
            Effect::Dispatch(dispatch) => {
                let action = Action::Dispatch(incarnation, Box::new(dispatch));
                self.schedule(SEND_DELAY, name, action);
            }
            Effect::Cancel { run, .. } => {
                if let Some(run) = self.targets.runs.get_mut(&run) {
                    run.has_ended = true;
                }
            }
            Effect::Inquire { run, target, .. } => {
                let state = self.targets.state(&target, &run);
                let report = RunReport::State(state);
                self.schedule_report(name, &run, report, TARGET_DELAY * 2);
            }
            Effect::Probe { target, .. } => {
                let lag = self.options.report_lag;
                let status = self.targets.status(self.now, &target, lag);
                let event = Event::TargetStatus { target, status };
                self.schedule(TARGET_DELAY * 2, name, Action::Event(incarnation, event));
            }
            Effect::WatchSettings { is_watching } => {
                if is_watching {
                    self.watchers.insert(name.to_owned());
                } else {
                    self.watchers.remove(name);
                }
            }
            Effect::Relay { request, data } => self.record_chunk(request, data),
            Effect::Answer { request, outcome } => self.record_outcome(name, request, outcome),
            Effect::Log(event) => *self.logged.entry(event.code).or_default() += 1,
            Effect::Stopped => {
                self.stopped.insert(name.to_owned());
                self.kill(name);
            }
            _ => {}
        }
    }

    fn call_store(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        call: CallId,
        request: StoreCall,
    ) {
        let answer = if self.network.has_store(name) {
            self.store.call(request)
        } else {
            StoreAnswer::Lost
        };
        let delay = self.options.store_delay / 2;
        let event = Event::Store { call, answer };
        self.schedule(delay, name, Action::Event(incarnation, event));
    }

    fn send(&mut self, from: &str, incarnation: Incarnation, to: &str, message: &PeerMessage) {
        self.messages += 1;
        if self.counts_bytes {
            let frame = encode_frame(from, incarnation, message.clone());
            self.bytes += u64::try_from(frame.len()).unwrap_or(0);
        }
        if !self.network.is_connected(from, to) {
            return;
        }
        let (Some(sender), Some(receiver)) = (self.nodes.get(from), self.nodes.get(to)) else {
            return;
        };
        let delay = if sender.data_centre == receiver.data_centre {
            self.options.near_delay
        } else {
            self.options.far_delay
        };
        let receiver_incarnation = receiver.incarnation;
        let copies = self.network.deliveries(&mut self.random, delay);
        for delay in copies {
            let event = Event::Peer {
                from: from.to_owned(),
                incarnation,
                message: message.clone(),
            };
            self.schedule(delay, to, Action::Event(receiver_incarnation, event));
        }
    }

    fn dispatch(&mut self, name: &str, incarnation: Incarnation, dispatch: Dispatch) {
        if !self.is_current(name, incarnation) {
            return;
        }
        let paused_until = self.nodes[name].paused_until;
        if paused_until > self.now {
            // The process was paused between the decision to send and the sending.
            let wait = paused_until.saturating_sub(self.now);
            let action = Action::Dispatch(incarnation, Box::new(dispatch));
            self.schedule(wait + SEND_DELAY, name, action);
            return;
        }
        let run = dispatch.run.clone();
        if self.hosts_check_expiry && self.now > dispatch.expires_at {
            self.schedule_report(name, &run, RunReport::Unreachable, Duration::ZERO);
            return;
        }
        let (prompt_tokens, output_tokens) =
            self.calls
                .get(&dispatch.request)
                .map_or((1, 1), |answered| {
                    let cap = dispatch.cap_tokens;
                    (answered.worst_tokens - cap, answered.output_tokens)
                });
        if let Some(answered) = self.calls.get_mut(&dispatch.request) {
            answered.sent_at.get_or_insert(self.now);
        }
        let start = self
            .targets
            .dispatch(self.now, name, &dispatch, prompt_tokens, output_tokens);
        match start {
            Start::Started => {
                let chunk_interval = self.targets.targets[&dispatch.target].chunk_interval;
                self.schedule(TARGET_DELAY + chunk_interval, name, Action::Generate(run));
            }
            Start::Queued => {}
            Start::Resumed => self.resend_chunks(name, &dispatch),
            Start::Refused => {
                self.schedule_report(name, &run, RunReport::Refused, TARGET_DELAY * 2);
            }
            Start::Unreachable => {
                self.schedule_report(name, &run, RunReport::Unreachable, TARGET_DELAY);
            }
        }
    }

    /// Sends the chunks that a resumed run has generated already, from the requested one on.
    fn resend_chunks(&mut self, name: &str, dispatch: &Dispatch) {
        let first = usize::try_from(dispatch.resume_from).unwrap_or(usize::MAX);
        let made = self.targets.runs[&dispatch.run].generated_chunks;
        for index in first..made {
            if let Some(chunk) = self.targets.chunk(&dispatch.run, index) {
                self.schedule_report(name, &dispatch.run, chunk, TARGET_DELAY);
            }
        }
        if let Some(finished) = self.targets.finished(&dispatch.run) {
            self.schedule_report(name, &dispatch.run, finished, TARGET_DELAY * 2);
        }
    }

    fn generate(&mut self, run: &RunId) {
        let has_generated = self.targets.generate(self.now, run);
        let Some(ran) = self.targets.runs.get(run).cloned() else {
            return;
        };
        let report = if has_generated {
            self.targets.chunk(run, ran.generated_chunks - 1)
        } else {
            self.targets.finished(run)
        };
        if let (Some(listener), Some(report)) = (&ran.listener, report) {
            if has_generated && ran.generated_chunks == 2 && self.take_cut(&ran.target) {
                if let Some(ran) = self.targets.runs.get_mut(run) {
                    ran.listener = None;
                }
                self.schedule_report(listener, run, RunReport::Broken, TARGET_DELAY);
            } else {
                self.schedule_report(listener, run, report, TARGET_DELAY);
            }
        }
        if !has_generated && let Some(next) = self.targets.next_queued(&ran.target) {
            let chunk_interval = self.targets.targets[&ran.target].chunk_interval;
            self.schedule(chunk_interval, "", Action::Generate(next));
        }
        if has_generated {
            let chunk_interval = self.targets.targets[&ran.target].chunk_interval;
            self.schedule(chunk_interval, "", Action::Generate(run.clone()));
        }
    }

    fn take_cut(&mut self, target: &str) -> bool {
        match self.targets.targets.get_mut(target) {
            Some(target) if target.cut_runs > 0 => {
                target.cut_runs -= 1;
                true
            }
            _ => false,
        }
    }

    fn schedule_report(&mut self, name: &str, run: &RunId, report: RunReport, delay: Duration) {
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        let event = Event::Run {
            run: run.clone(),
            report,
        };
        self.schedule(delay, name, Action::Event(node.incarnation, event));
    }

    fn record_chunk(&mut self, request: RequestHandle, data: String) {
        let now = self.now;
        if let Some(answered) = self.calls.get_mut(&request) {
            answered.first_chunk_at.get_or_insert(now);
            answered.chunks.push(data);
        }
    }

    fn record_outcome(&mut self, name: &str, request: RequestHandle, outcome: Outcome) {
        let verdict = if oracle::is_budget_refusal(&outcome) {
            self.judge(name, request)
        } else {
            oracle::Verdict::default()
        };
        let now = self.now;
        if let Some(answered) = self.calls.get_mut(&request) {
            answered.outcome = Some(outcome);
            answered.answered_at = Some(now);
            answered.verdict = verdict;
        }
    }
}
