//! Executes the effects of instances and schedules the resulting events.

use damaskstile::core::peer::encode_frame;
use damaskstile::core::prelude::*;

use super::{What, World};
use crate::oracle;
use crate::targets::Start;

/// Delay between an instance's decision to send to a target and the sending.
const SEND_DELAY: Duration = Duration::from_micros(50);
/// One-way delay of a message between an instance and a target.
const TARGET_DELAY: Duration = Duration::from_micros(300);

impl World {
    pub(super) fn carry_out(&mut self, name: &str, what: What) {
        match what {
            What::Event(incarnation, event) => {
                if self.is_life(name, incarnation) {
                    self.give(name, event);
                }
            }
            What::Wake(incarnation) => self.wake(name, incarnation),
            What::Store(incarnation, call, request) => {
                self.call_store(name, incarnation, call, request);
            }
            What::Dispatch(incarnation, dispatch) => self.dispatch(name, incarnation, *dispatch),
            What::Generate(run) => self.generate(&run),
        }
    }

    fn is_life(&self, name: &str, incarnation: Incarnation) -> bool {
        self.nodes
            .get(name)
            .is_some_and(|node| node.instance.is_some() && node.incarnation == incarnation)
    }

    fn wake(&mut self, name: &str, incarnation: Incarnation) {
        if !self.is_life(name, incarnation) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(name) {
            node.wake_at = Duration::MAX;
        }
        self.give(name, Event::Tick);
    }

    pub(super) fn on_effect(&mut self, name: &str, incarnation: Incarnation, effect: Effect) {
        match effect {
            Effect::Store { call, request } => {
                let delay = self.options.store_delay / 2;
                self.later(delay, name, What::Store(incarnation, call, request));
            }
            Effect::Send { to, message } => self.send(name, incarnation, &to, &message),
            Effect::Dispatch(dispatch) => {
                let what = What::Dispatch(incarnation, Box::new(dispatch));
                self.later(SEND_DELAY, name, what);
            }
            Effect::Cancel { run, .. } => {
                if let Some(run) = self.targets.runs.get_mut(&run) {
                    run.has_ended = true;
                }
            }
            Effect::Inquire { run, target, .. } => {
                let state = self.targets.state(&target, &run);
                let report = RunReport::State(state);
                self.report(name, &run, report, TARGET_DELAY * 2);
            }
            Effect::Probe { target, .. } => {
                let lag = self.options.report_lag;
                let status = self.targets.status(self.now, &target, lag);
                let event = Event::TargetStatus { target, status };
                self.later(TARGET_DELAY * 2, name, What::Event(incarnation, event));
            }
            Effect::WatchSettings { is_watching } => {
                if is_watching {
                    self.watchers.insert(name.to_owned());
                } else {
                    self.watchers.remove(name);
                }
            }
            Effect::Relay { request, data } => self.relay(request, data),
            Effect::Answer { request, outcome } => self.answer(name, request, outcome),
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
        self.later(delay, name, What::Event(incarnation, event));
    }

    fn send(&mut self, from: &str, incarnation: Incarnation, to: &str, message: &PeerMessage) {
        self.messages += 1;
        if self.counts_bytes {
            let frame = encode_frame(from, incarnation, message.clone());
            self.bytes += u64::try_from(frame.len()).unwrap_or(0);
        }
        if !self.network.is_joined(from, to) {
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
        let life = receiver.incarnation;
        let copies = self.network.deliveries(&mut self.random, delay);
        for delay in copies {
            let event = Event::Peer {
                from: from.to_owned(),
                incarnation,
                message: message.clone(),
            };
            self.later(delay, to, What::Event(life, event));
        }
    }

    fn dispatch(&mut self, name: &str, incarnation: Incarnation, dispatch: Dispatch) {
        if !self.is_life(name, incarnation) {
            return;
        }
        let paused_until = self.nodes[name].paused_until;
        if paused_until > self.now {
            // The process was paused between the decision to send and the sending.
            let wait = paused_until.saturating_sub(self.now);
            let what = What::Dispatch(incarnation, Box::new(dispatch));
            self.later(wait + SEND_DELAY, name, what);
            return;
        }
        let run = dispatch.run.clone();
        if self.has_careful_hosts && self.now > dispatch.expires_at {
            self.report(name, &run, RunReport::Unreachable, Duration::ZERO);
            return;
        }
        let (prompt_tokens, output_tokens) =
            self.answers
                .get(&dispatch.request)
                .map_or((1, 1), |answered| {
                    let cap = dispatch.cap_tokens;
                    (answered.worst_tokens - cap, answered.output_tokens)
                });
        if let Some(answered) = self.answers.get_mut(&dispatch.request) {
            answered.sent_at.get_or_insert(self.now);
        }
        let start = self
            .targets
            .dispatch(self.now, name, &dispatch, prompt_tokens, output_tokens);
        match start {
            Start::Started => {
                let pace = self.targets.targets[&dispatch.target].pace;
                self.later(TARGET_DELAY + pace, name, What::Generate(run));
            }
            Start::Waiting => {}
            Start::Resumed => self.replay(name, &dispatch),
            Start::Refused => self.report(name, &run, RunReport::Refused, TARGET_DELAY * 2),
            Start::Unreachable => {
                self.report(name, &run, RunReport::Unreachable, TARGET_DELAY);
            }
        }
    }

    /// Sends the chunks that a resumed run has generated already, from the requested one on.
    fn replay(&mut self, name: &str, dispatch: &Dispatch) {
        let first = usize::try_from(dispatch.resume_from).unwrap_or(usize::MAX);
        let made = self.targets.runs[&dispatch.run].made_chunks;
        for index in first..made {
            if let Some(chunk) = self.targets.chunk(&dispatch.run, index) {
                self.report(name, &dispatch.run, chunk, TARGET_DELAY);
            }
        }
        if let Some(finished) = self.targets.finished(&dispatch.run) {
            self.report(name, &dispatch.run, finished, TARGET_DELAY * 2);
        }
    }

    fn generate(&mut self, run: &RunId) {
        let has_made = self.targets.generate(self.now, run);
        let Some(ran) = self.targets.runs.get(run).cloned() else {
            return;
        };
        let report = if has_made {
            self.targets.chunk(run, ran.made_chunks - 1)
        } else {
            self.targets.finished(run)
        };
        if let (Some(listener), Some(report)) = (&ran.listener, report) {
            if has_made && ran.made_chunks == 2 && self.is_cut(&ran.target) {
                if let Some(ran) = self.targets.runs.get_mut(run) {
                    ran.listener = None;
                }
                self.report(listener, run, RunReport::Broken, TARGET_DELAY);
            } else {
                self.report(listener, run, report, TARGET_DELAY);
            }
        }
        if !has_made && let Some(next) = self.targets.next_waiting(&ran.target) {
            let pace = self.targets.targets[&ran.target].pace;
            self.later(pace, "", What::Generate(next));
        }
        if has_made {
            let pace = self.targets.targets[&ran.target].pace;
            self.later(pace, "", What::Generate(run.clone()));
        }
    }

    fn is_cut(&mut self, target: &str) -> bool {
        match self.targets.targets.get_mut(target) {
            Some(target) if target.cut_runs > 0 => {
                target.cut_runs -= 1;
                true
            }
            _ => false,
        }
    }

    fn report(&mut self, name: &str, run: &RunId, report: RunReport, delay: Duration) {
        let Some(node) = self.nodes.get(name) else {
            return;
        };
        let event = Event::Run {
            run: run.clone(),
            report,
        };
        self.later(delay, name, What::Event(node.incarnation, event));
    }

    fn relay(&mut self, request: RequestHandle, data: String) {
        let now = self.now;
        if let Some(answered) = self.answers.get_mut(&request) {
            answered.first_piece_at.get_or_insert(now);
            answered.pieces.push(data);
        }
    }

    fn answer(&mut self, name: &str, request: RequestHandle, outcome: Outcome) {
        let verdict = if oracle::is_refusal_for_money(&outcome) {
            self.judge(name, request)
        } else {
            oracle::Verdict::default()
        };
        let now = self.now;
        if let Some(answered) = self.answers.get_mut(&request) {
            answered.outcome = Some(outcome);
            answered.answered_at = Some(now);
            answered.verdict = verdict;
        }
    }
}
