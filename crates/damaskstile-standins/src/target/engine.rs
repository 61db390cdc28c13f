//! Simulated model engine that generates tokens at a set rate and records what it ran.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use damaskstile_core::prelude::{RunState, TargetStatus};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::Order;

/// Output tokens of an answer whose prompt does not contain `n=` and a number.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;

/// Behaviour and faults of the target, which can be changed while it runs.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time between two tokens, in milliseconds; also the duration of a plain call.
    pub pace_ms: u64,
    /// Price of a call of a plain service, in tokens.
    pub price_tokens: u64,
    /// Number of slots that the target reports. All accepted requests run at once; new ones are
    /// refused once twice this number are running.
    pub slots_requests: u64,
    /// Whether the target is leaving and refuses new work.
    pub is_leaving: bool,
    /// Number of upcoming runs that are refused.
    pub refuse_runs: u64,
    /// Number of upcoming runs whose stream is cut after `cut_after_chunks` chunks.
    pub cut_runs: u64,
    /// Number of chunks after which a stream is cut.
    pub cut_after_chunks: u64,
    /// Age of the reported load, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether the fencing numbers of orders are checked.
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

/// A run as the target executed it, whatever instances know of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Identifier of the run.
    pub run: String,
    /// Client account.
    pub account: String,
    /// Key of the request.
    pub key: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens generated so far.
    pub output_tokens: u64,
    /// Whether the run has finished or was cancelled.
    pub has_ended: bool,
}

#[derive(Debug)]
struct TrackedRun {
    run: Run,
    requested_tokens: u64,
    cut_after: Option<usize>,
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, TrackedRun>,
    fenced: BTreeSet<String>,
    faults: Faults,
    load_history: Vec<(Instant, u64)>,
    orders: Vec<Order>,
    generated_ids: u64,
}

/// Reason for which a run was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartError {
    /// Twice as many runs as slots are in progress, or the refusal is an injected fault.
    Busy,
    /// The target is leaving.
    Leaving,
    /// The run to be resumed is unknown, or the run is fenced.
    Unknown,
    /// The body is not a valid completion request.
    Malformed,
}

/// Simulated engine with its runs, faults and orders.
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
    /// Creates an engine with the given faults.
    #[must_use]
    pub fn new(faults: Faults) -> Arc<Self> {
        let engine = Self::default();
        engine.set_faults(faults);
        Arc::new(engine)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Generates an identifier for a run that was sent without one.
    pub fn generate_run_id(&self) -> String {
        let mut state = self.state();
        state.generated_ids += 1;
        format!("own-{}", state.generated_ids)
    }

    /// Starts a run. A run that is known already is accepted and goes on.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the run was refused; a refused run has not started.
    pub fn start(
        self: &Arc<Self>,
        run: &str,
        account: &str,
        key: &str,
        body: &str,
        is_resumed: bool,
    ) -> Result<(), StartError> {
        let mut state = self.state();
        if let Some(tracked) = state.runs.get_mut(run) {
            tracked.cut_after = None;
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
        let prompted_tokens = text
            .split("n=")
            .nth(1)
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let requested_tokens = prompted_tokens.min(body.max_tokens.unwrap_or(u64::MAX));
        let cut_after = (state.faults.cut_runs > 0)
            .then(|| usize::try_from(state.faults.cut_after_chunks).unwrap_or(0));
        state.faults.cut_runs = state.faults.cut_runs.saturating_sub(1);
        let tracked = TrackedRun {
            run: Run {
                run: run.to_owned(),
                account: account.to_owned(),
                key: key.to_owned(),
                prompt_tokens,
                output_tokens: 0,
                has_ended: requested_tokens == 0,
            },
            requested_tokens,
            cut_after,
            changed: Arc::new(Notify::new()),
        };
        state.runs.insert(run.to_owned(), tracked);
        record_load(&mut state);
        drop(state);
        let engine = Arc::clone(self);
        let run = run.to_owned();
        tokio::spawn(async move { engine.generate(&run).await });
        Ok(())
    }

    async fn generate(&self, run: &str) {
        loop {
            let token_interval = Duration::from_millis(self.state().faults.pace_ms);
            tokio::time::sleep(token_interval).await;
            let mut state = self.state();
            let Some(tracked) = state.runs.get_mut(run) else {
                return;
            };
            if !tracked.run.has_ended {
                tracked.run.output_tokens += 1;
                tracked.run.has_ended = tracked.run.output_tokens >= tracked.requested_tokens;
            }
            tracked.changed.notify_waiters();
            if tracked.run.has_ended {
                record_load(&mut state);
                return;
            }
        }
    }

    /// Executes a call of a plain service. Returns `false` without executing it if it is fenced.
    pub async fn start_plain(&self, run: &str, account: &str, key: &str) -> bool {
        let token_interval = {
            let mut state = self.state();
            if state.fenced.contains(run) {
                return false;
            }
            let tracked = TrackedRun {
                run: Run {
                    run: run.to_owned(),
                    account: account.to_owned(),
                    key: key.to_owned(),
                    prompt_tokens: state.faults.price_tokens,
                    output_tokens: 0,
                    has_ended: true,
                },
                requested_tokens: 0,
                cut_after: None,
                changed: Arc::new(Notify::new()),
            };
            state.runs.insert(run.to_owned(), tracked);
            Duration::from_millis(state.faults.pace_ms)
        };
        tokio::time::sleep(token_interval).await;
        true
    }

    /// Waits for the event at a position of a run's stream: the chunks, then the usage, then
    /// `[DONE]`. `None` ends the stream.
    pub async fn next_event(&self, run: &str, position: usize) -> Option<String> {
        loop {
            let changed = {
                let state = self.state();
                let tracked = state.runs.get(run)?;
                if tracked.cut_after == Some(position) {
                    return None;
                }
                let generated = usize::try_from(tracked.run.output_tokens).unwrap_or(usize::MAX);
                if position < generated {
                    return Some(chunk_event(run, position));
                }
                if tracked.run.has_ended {
                    return match position - generated {
                        0 => Some(usage_event(&tracked.run)),
                        1 => Some("data: [DONE]\n\n".to_owned()),
                        _ => None,
                    };
                }
                Arc::clone(&tracked.changed)
            };
            let wait = changed.notified();
            // A notification between the check and the wait is missed, so the wait is short.
            let _ = tokio::time::timeout(Duration::from_millis(5), wait).await;
        }
    }

    /// Returns the state of a run. An unknown run is fenced, so that it cannot start later.
    pub fn state_of(&self, run: &str) -> RunState {
        let mut state = self.state();
        match state.runs.get_mut(run) {
            Some(tracked) if tracked.run.has_ended => RunState::Ended {
                prompt_tokens: tracked.run.prompt_tokens,
                output_tokens: tracked.run.output_tokens,
            },
            Some(tracked) => {
                tracked.cut_after = None;
                RunState::Running
            }
            None => {
                state.fenced.insert(run.to_owned());
                RunState::NeverStarted
            }
        }
    }

    /// Cancels a run; the tokens generated so far still count.
    pub fn cancel(&self, run: &str) {
        let mut state = self.state();
        if let Some(tracked) = state.runs.get_mut(run) {
            tracked.run.has_ended = true;
            tracked.changed.notify_waiters();
        }
        record_load(&mut state);
    }

    /// Returns the status of the target, with its load as of `report_lag_ms` ago.
    pub fn status(&self) -> TargetStatus {
        let state = self.state();
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        let in_flight_requests = state
            .load_history
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

    /// Returns all runs that the target executed.
    pub fn ledger(&self) -> Vec<Run> {
        let state = self.state();
        state
            .runs
            .values()
            .map(|tracked| tracked.run.clone())
            .collect()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Executes an order. Returns whether its fencing number was accepted.
    pub fn execute_order(&self, order: Order) -> bool {
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

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Order> {
        self.state().orders.clone()
    }
}

fn running(state: &State) -> u64 {
    let count = state.runs.values().filter(|tracked| !tracked.run.has_ended);
    u64::try_from(count.count()).unwrap_or(u64::MAX)
}

fn record_load(state: &mut State) {
    let load = running(state);
    state.load_history.push((Instant::now(), load));
    if state.load_history.len() > 10_000 {
        state.load_history.drain(..5_000);
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
