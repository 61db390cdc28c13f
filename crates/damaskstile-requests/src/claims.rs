//! `claims` carries claims into a stored table, many at a time.

use damaskstile_core::prelude::*;

use crate::claim::{Claim, ClaimState};
use crate::claim_op::ClaimOp;
use crate::claim_table::ClaimTable;

/// Wait after a lost answer before the table is read again.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time that the state of a claim waits for a write that it can go along with.
const STATE_WAIT: Duration = Duration::from_millis(300);
/// Claims that one table may hold, so that its value stays well below 1 MB.
const TABLE_CLAIMS_MAX: usize = 5_000;
/// Room for keys that are younger than the clock allows for, and for clocks that differ.
const CLOCK_MARGIN: Duration = Duration::from_mins(5);

/// `ClaimEffect` is one output of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Read the table.
    Read,
    /// Update the table.
    Write {
        /// Version that must stand; 0 creates the table.
        expected_version: Version,
        /// New value.
        value: String,
    },
    /// The run has the sole right to send.
    Won {
        /// The run.
        run: RunId,
    },
    /// The key was claimed before.
    Repeated {
        /// The run that asked.
        run: RunId,
        /// The claim that stands.
        claim: Claim,
    },
    /// The claim could not be stored; the run must not send.
    Failed {
        /// The run.
        run: RunId,
    },
    /// Write to the log.
    Log(LogEvent),
}

/// `ClaimShard` carries claims of one shard of keys. All that wait go in one write.
#[derive(Debug)]
pub struct ClaimShard {
    instance: InstanceId,
    retention: Duration,
    view: Option<(Version, ClaimTable)>,
    pending: Vec<ClaimOp>,
    in_flight: Vec<ClaimOp>,
    candidate: Option<ClaimTable>,
    is_called: bool,
    must_write: bool,
    retry_at: Option<Duration>,
    /// When states of claims are stored at the latest, if no new claim takes them along.
    due_at: Option<Duration>,
}

impl ClaimShard {
    /// Makes a shard that knows nothing of its table.
    #[must_use]
    pub fn new(instance: &str, retention: Duration) -> Self {
        Self {
            instance: instance.to_owned(),
            retention,
            view: None,
            pending: Vec::new(),
            in_flight: Vec::new(),
            candidate: None,
            is_called: false,
            must_write: false,
            retry_at: None,
            due_at: None,
        }
    }

    /// Asks for the sole right to send a request.
    pub fn claim(
        &mut self,
        now: Duration,
        key: &RequestKey,
        run: &RunId,
        fx: &mut Vec<ClaimEffect>,
    ) {
        if self.retry_at.is_some_and(|at| now < at) {
            fx.push(ClaimEffect::Failed { run: run.clone() });
            return;
        }
        self.pending.push(ClaimOp::Claim {
            key: key.clone(),
            claim: Claim {
                run: run.clone(),
                instance: self.instance.clone(),
                state: ClaimState::Claimed,
            },
        });
        self.pump(now, fx);
    }

    /// Stores how a claimed request ended.
    pub fn finish(
        &mut self,
        now: Duration,
        key: &RequestKey,
        run: &RunId,
        state: ClaimState,
        fx: &mut Vec<ClaimEffect>,
    ) {
        self.pending.push(ClaimOp::Finish {
            key: key.clone(),
            run: run.clone(),
            state,
        });
        self.due_at.get_or_insert(now + STATE_WAIT);
        self.pump(now, fx);
    }

    /// Gives up the right of a run that was not sent.
    pub fn release(
        &mut self,
        now: Duration,
        key: &RequestKey,
        run: &RunId,
        fx: &mut Vec<ClaimEffect>,
    ) {
        self.pending.push(ClaimOp::Release {
            key: key.clone(),
            run: run.clone(),
        });
        self.pump(now, fx);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        self.pump(now, fx);
    }

    /// Returns the time that the shard wants to be woken at, if any.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.is_called || (self.pending.is_empty() && self.in_flight.is_empty()) {
            return None;
        }
        self.retry_at.or(self.due_at)
    }

    /// Tells whether nothing waits for the store.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_empty()
    }

    fn pump(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        if self.is_called || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        let is_urgent = self
            .pending
            .iter()
            .any(|op| !matches!(op, ClaimOp::Finish { .. }));
        let is_due = self.due_at.is_some_and(|at| at <= now);
        if self.in_flight.is_empty() && (is_urgent || is_due) {
            self.in_flight = std::mem::take(&mut self.pending);
            self.due_at = None;
        }
        if self.in_flight.is_empty() {
            return;
        }
        self.is_called = true;
        if self.view.is_some() {
            self.write(now, fx);
        } else {
            fx.push(ClaimEffect::Read);
        }
    }

    fn write(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        let Some((version, table)) = &self.view else {
            return;
        };
        let mut candidate = table.clone();
        let oldest = now.saturating_sub(self.retention + CLOCK_MARGIN);
        candidate.forget_before(u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX));
        let mut is_changed = self.must_write;
        for op in &self.in_flight {
            let is_new = matches!(op, ClaimOp::Claim { .. });
            if is_new && candidate.claims.len() >= TABLE_CLAIMS_MAX {
                continue;
            }
            let before = candidate.claims.len();
            candidate.apply(op);
            is_changed |= candidate.claims.len() != before || !is_new;
        }
        if !is_changed {
            // All keys were claimed before; the table says so and needs no write.
            self.is_called = false;
            self.candidate = None;
            self.committed(fx);
            // Claims that came meanwhile would wait for a store answer that never comes.
            self.pump(now, fx);
            return;
        }
        candidate.writes += 1;
        if let Ok(value) = serde_json::to_string(&candidate) {
            fx.push(ClaimEffect::Write {
                expected_version: *version,
                value,
            });
            self.candidate = Some(candidate);
        }
    }

    /// Takes the store's answer.
    pub fn on_store(&mut self, now: Duration, answer: StoreAnswer, fx: &mut Vec<ClaimEffect>) {
        self.is_called = false;
        match answer {
            StoreAnswer::Written { version } => {
                self.retry_at = None;
                self.must_write = false;
                if let Some(table) = self.candidate.take() {
                    self.view = Some((version, table));
                }
                self.committed(fx);
            }
            StoreAnswer::Found(object) | StoreAnswer::Conflict(object) => {
                self.retry_at = None;
                self.read_table(now, object, fx);
            }
            StoreAnswer::Lost => self.answer_lost(now, fx),
        }
        self.pump(now, fx);
    }

    fn read_table(&mut self, now: Duration, object: Option<Object>, fx: &mut Vec<ClaimEffect>) {
        let (version, value) = object.map_or((0, "{}".to_owned()), |object| {
            (object.version, object.value)
        });
        match serde_json::from_str(&value) {
            Ok(table) => self.view = Some((version, table)),
            Err(error) => {
                fx.push(ClaimEffect::Log(LogEvent::new(
                    EventCode::ClaimInvalid,
                    &[("error", &error.to_string())],
                )));
                self.answer_lost(now, fx);
            }
        }
    }

    /// Draws the conclusions once the table in view holds all that was in flight.
    fn committed(&mut self, fx: &mut Vec<ClaimEffect>) {
        let Some((_, table)) = &self.view else {
            return;
        };
        for op in std::mem::take(&mut self.in_flight) {
            let ClaimOp::Claim { key, claim } = op else {
                continue;
            };
            let run = claim.run;
            match table.claims.get(&key) {
                Some(standing) if standing.run == run => fx.push(ClaimEffect::Won { run }),
                Some(standing) => fx.push(ClaimEffect::Repeated {
                    run,
                    claim: standing.clone(),
                }),
                None => fx.push(ClaimEffect::Failed { run }),
            }
        }
    }

    /// Refuses all claims whose write may or may not have taken effect.
    ///
    /// The caller gets its answer at once: nothing was sent, nor will be. The claim may stand in
    /// the store, or get there late; so it is given up by a write that also outdates the late one.
    fn answer_lost(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        self.view = None;
        self.candidate = None;
        self.must_write = true;
        self.retry_at = Some(now + RETRY_AFTER);
        let mut kept = Vec::new();
        for op in self.in_flight.drain(..).chain(self.pending.drain(..)) {
            match op {
                ClaimOp::Claim { key, claim } => {
                    fx.push(ClaimEffect::Failed {
                        run: claim.run.clone(),
                    });
                    kept.push(ClaimOp::Release {
                        key,
                        run: claim.run,
                    });
                }
                other => kept.push(other),
            }
        }
        self.in_flight = kept;
    }
}
