//! `engine` runs requests with paced tokens and keeps the truth of what ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use damaskstile_core::prelude::{RunState, TargetStatus};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::Order;

/// Tokens of an answer whose prompt names no number.
const TOKENS_USUAL: u64 = 16;

/// `Faults` are set while the target runs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time between two tokens, in milliseconds.
    pub pace_ms: u64,
    /// Tokens that a call of a plain service counts as.
    pub price_tokens: u64,
    /// Requests that run at a time; more are refused at twice the number.
    pub slots_requests: u64,
    /// Whether the target is leaving and refuses new work.
    pub is_leaving: bool,
    /// Runs from now on that are refused.
    pub refuse_runs: u64,
    /// Runs from now on whose stream is cut after so many chunks.
    pub cut_runs: u64,
    /// Chunks after which streams are cut.
    pub cut_after_chunks: u64,
    /// Age of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether fencing numbers are checked.
    pub checks_fencing: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            pace_ms: 2,
            price_tokens: 0,
            slots_requests: 64,
            is_leaving: false,
            refuse_runs: 0,
            cut_runs: 0,
            cut_after_chunks: 0,
            report_lag_ms: 0,
            checks_fencing: true,
        }
    }
}

/// `Run` is what truly ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Name of the run.
    pub run: String,
    /// Client account.
    pub account: String,
    /// Key of the request.
    pub key: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
    /// Whether it is over.
    pub has_ended: bool,
}

#[derive(Debug)]
struct Live {
    run: Run,
    wanted_tokens: u64,
    cut_after: Option<usize>,
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, Live>,
    fenced: BTreeSet<String>,
    faults: Faults,
    loads: Vec<(Instant, u64)>,
    orders: Vec<Order>,
    own_runs: u64,
}

/// `StartError` tells why a run was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartError {
    /// All slots and the queue are taken.
    Busy,
    /// The target is leaving.
    Leaving,
    /// A run that was to be resumed is not known, or the run was fenced off.
    Unknown,
    /// The body is no request.
    Malformed,
}

/// `Engine` runs requests.
#[derive(Debug, Default)]
pub struct Engine {
    state: Mutex<State>,
}

#[derive(Debug, Deserialize)]
struct Body {
    messages: Vec<Message>,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Engine {
    /// Makes an engine that runs with these faults.
    #[must_use]
    pub fn new(faults: Faults) -> Arc<Self> {
        let engine = Self::default();
        engine.set_faults(faults);
        Arc::new(engine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a name for a run that came without one.
    pub fn own_run_name(&self) -> String {
        let mut state = self.state();
        state.own_runs += 1;
        format!("own-{}", state.own_runs)
    }

    /// Starts a run, or finds the one that is to be resumed.
    ///
    /// # Errors
    ///
    /// Returns why the run was refused; then it has not run.
    pub fn start(
        self: &Arc<Self>,
        run: &str,
        account: &str,
        key: &str,
        body: &str,
        is_resumed: bool,
    ) -> Result<(), StartError> {
        let mut state = self.state();
        if let Some(live) = state.runs.get_mut(run) {
            live.cut_after = None;
            return Ok(());
        }
        if is_resumed || state.fenced.contains(run) {
            return Err(StartError::Unknown);
        }
        if state.faults.is_leaving {
            return Err(StartError::Leaving);
        }
        let running = running(&state);
        if state.faults.refuse_runs > 0 || running >= state.faults.slots_requests * 2 {
            state.faults.refuse_runs = state.faults.refuse_runs.saturating_sub(1);
            return Err(StartError::Busy);
        }
        let body: Body = serde_json::from_str(body).map_err(|_| StartError::Malformed)?;
        let text: String = body
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let prompt_tokens = u64::try_from(text.len().div_ceil(4)).unwrap_or(u64::MAX);
        let asked = text
            .split("n=")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .unwrap_or(TOKENS_USUAL);
        let wanted_tokens = asked.min(body.max_tokens.unwrap_or(u64::MAX));
        let cut_after = (state.faults.cut_runs > 0)
            .then(|| usize::try_from(state.faults.cut_after_chunks).unwrap_or(0));
        state.faults.cut_runs = state.faults.cut_runs.saturating_sub(1);
        let live = Live {
            run: Run {
                run: run.to_owned(),
                account: account.to_owned(),
                key: key.to_owned(),
                prompt_tokens,
                output_tokens: 0,
                has_ended: wanted_tokens == 0,
            },
            wanted_tokens,
            cut_after,
            changed: Arc::new(Notify::new()),
        };
        state.runs.insert(run.to_owned(), live);
        note_load(&mut state);
        drop(state);
        let engine = Arc::clone(self);
        let run = run.to_owned();
        tokio::spawn(async move { engine.generate(&run).await });
        Ok(())
    }

    async fn generate(&self, run: &str) {
        loop {
            let pace = Duration::from_millis(self.state().faults.pace_ms);
            tokio::time::sleep(pace).await;
            let mut state = self.state();
            let Some(live) = state.runs.get_mut(run) else {
                return;
            };
            if !live.run.has_ended {
                live.run.output_tokens += 1;
                live.run.has_ended = live.run.output_tokens >= live.wanted_tokens;
            }
            live.changed.notify_waiters();
            if live.run.has_ended {
                note_load(&mut state);
                return;
            }
        }
    }

    /// Runs a call of a plain service; returns whether it may run.
    pub async fn start_plain(&self, run: &str, account: &str, key: &str) -> bool {
        let pace = {
            let mut state = self.state();
            if state.fenced.contains(run) {
                return false;
            }
            let live = Live {
                run: Run {
                    run: run.to_owned(),
                    account: account.to_owned(),
                    key: key.to_owned(),
                    prompt_tokens: state.faults.price_tokens,
                    output_tokens: 0,
                    has_ended: true,
                },
                wanted_tokens: 0,
                cut_after: None,
                changed: Arc::new(Notify::new()),
            };
            state.runs.insert(run.to_owned(), live);
            Duration::from_millis(state.faults.pace_ms)
        };
        tokio::time::sleep(pace).await;
        true
    }

    /// Waits for the event at a position of a run's stream; `None` ends the stream.
    pub async fn next_event(&self, run: &str, position: usize) -> Option<String> {
        loop {
            let changed = {
                let state = self.state();
                let live = state.runs.get(run)?;
                if live.cut_after == Some(position) {
                    return None;
                }
                let generated = usize::try_from(live.run.output_tokens).unwrap_or(usize::MAX);
                if position < generated {
                    return Some(chunk_event(run, position));
                }
                if live.run.has_ended {
                    return match position - generated {
                        0 => Some(usage_event(&live.run)),
                        1 => Some("data: [DONE]\n\n".to_owned()),
                        _ => None,
                    };
                }
                Arc::clone(&live.changed)
            };
            let wait = changed.notified();
            // The change may have come between the look and the wait; so the wait is short.
            let _ = tokio::time::timeout(Duration::from_millis(5), wait).await;
        }
    }

    /// Tells how a run went. A run that was never seen is fenced off.
    pub fn state_of(&self, run: &str) -> RunState {
        let mut state = self.state();
        match state.runs.get_mut(run) {
            Some(live) if live.run.has_ended => RunState::Ended {
                prompt_tokens: live.run.prompt_tokens,
                output_tokens: live.run.output_tokens,
            },
            Some(live) => {
                live.cut_after = None;
                RunState::Running
            }
            None => {
                state.fenced.insert(run.to_owned());
                RunState::NeverStarted
            }
        }
    }

    /// Ends a run where it is.
    pub fn cancel(&self, run: &str) {
        let mut state = self.state();
        if let Some(live) = state.runs.get_mut(run) {
            live.run.has_ended = true;
            live.changed.notify_waiters();
        }
        note_load(&mut state);
    }

    /// Reports the load as it was a while ago.
    pub fn status(&self) -> TargetStatus {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        let in_flight_requests = state
            .loads
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= lag)
            .map_or(0, |(_, load)| *load);
        TargetStatus {
            is_leaving: state.faults.is_leaving,
            in_flight_requests,
            slots_requests: state.faults.slots_requests,
            age_ms: state.faults.report_lag_ms,
        }
    }

    /// Returns what truly ran.
    pub fn ledger(&self) -> Vec<Run> {
        let state = self.state();
        state.runs.values().map(|live| live.run.clone()).collect()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Takes an order. Returns whether its fencing number was accepted.
    pub fn order(&self, order: Order) -> bool {
        let mut state = self.state();
        let highest = state.orders.iter().map(|order| order.fencing).max();
        let is_old = highest.is_some_and(|highest| order.fencing <= highest);
        if state.faults.checks_fencing && is_old {
            return false;
        }
        match order.order.as_str() {
            "drain" => state.faults.is_leaving = true,
            "return" => state.faults.is_leaving = false,
            _ => {}
        }
        state.orders.push(order);
        true
    }

    /// Returns the orders that were taken.
    pub fn orders(&self) -> Vec<Order> {
        self.state().orders.clone()
    }
}

fn running(state: &State) -> u64 {
    let count = state.runs.values().filter(|live| !live.run.has_ended);
    u64::try_from(count.count()).unwrap_or(u64::MAX)
}

fn note_load(state: &mut State) {
    let load = running(state);
    state.loads.push((Instant::now(), load));
    if state.loads.len() > 10_000 {
        state.loads.drain(..5_000);
    }
}

fn chunk_event(run: &str, position: usize) -> String {
    let chunk = serde_json::json!({
        "id": run,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": format!("{run}:{position} ")}}],
    });
    format!("data: {chunk}\n\n")
}

fn usage_event(run: &Run) -> String {
    let usage = serde_json::json!({
        "id": run.run,
        "object": "chat.completion.chunk",
        "choices": [],
        "usage": {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.output_tokens,
        },
    });
    format!("data: {usage}\n\n")
}
