//! Batched writing of claims to the stored claim table of a shard.

use damaskstile_core::prelude::*;

use crate::claim::{Claim, ClaimState};
use crate::claim_op::ClaimOp;
use crate::claim_table::ClaimTable;

/// Delay before the table is read again after the store's answer was lost.
const REREAD_DELAY: Duration = Duration::from_millis(500);
/// Time for which a change of a claim's state waits for a write that it can join.
const STATE_WRITE_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of claims in a table. Keeps the stored value well below 1 MB.
const TABLE_CLAIMS_MAX: usize = 5_000;
/// Tolerance for keys with a time in the future and for clocks that differ between instances.
const CLOCK_MARGIN: Duration = Duration::from_mins(5);

/// `ClaimEffect` is one output of a shard, to be carried out by its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Read the table from the store.
    Read,
    /// Write the table to the store.
    Write {
        /// Version that the stored table must have; 0 creates the table.
        expected_version: Version,
        /// Table to store, as JSON.
        value: String,
    },
    /// The run holds the claim and may send the request.
    Won {
        /// Id of the run.
        run: RunId,
    },
    /// Another run holds the claim on the key.
    Repeated {
        /// Run that asked for the claim.
        run: RunId,
        /// The existing claim.
        claim: Claim,
    },
    /// The claim could not be stored; the run must not send.
    Failed {
        /// Id of the run.
        run: RunId,
    },
    /// Write to the log.
    Log(LogEvent),
}

/// `ClaimShard` writes the claims of one shard of request keys to the store.
///
/// It makes one store call at a time. All changes that wait in the meantime go into the next write.
#[derive(Debug)]
pub struct ClaimShard {
    instance: InstanceId,
    retention: Duration,
    view: Option<(Version, ClaimTable)>,
    pending: Vec<ClaimOp>,
    in_flight: Vec<ClaimOp>,
    candidate: Option<ClaimTable>,
    is_store_call_pending: bool,
    must_change_version: bool,
    retry_at: Option<Duration>,
    /// Deadline for storing changes of state, in case no new claim causes a write before.
    state_write_due_at: Option<Duration>,
}

impl ClaimShard {
    /// Creates a shard that has not read its table yet.
    #[must_use]
    pub fn new(instance: &str, retention: Duration) -> Self {
        Self {
            instance: instance.to_owned(),
            retention,
            view: None,
            pending: Vec::new(),
            in_flight: Vec::new(),
            candidate: None,
            is_store_call_pending: false,
            must_change_version: false,
            retry_at: None,
            state_write_due_at: None,
        }
    }

    /// Claims the sole right to send a request for a run.
    ///
    /// Fails at once while the shard waits to read its table again after a lost answer.
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
        self.start_next_call(now, fx);
    }

    /// Stores the final state of a claimed request.
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
        self.state_write_due_at
            .get_or_insert(now + STATE_WRITE_DELAY);
        self.start_next_call(now, fx);
    }

    /// Releases the claim of a run that was not sent.
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
        self.start_next_call(now, fx);
    }

    /// Starts the next store call if one is due.
    pub fn tick(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        self.start_next_call(now, fx);
    }

    /// Returns the time of the next due [`tick`](Self::tick), if any.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.is_store_call_pending || (self.pending.is_empty() && self.in_flight.is_empty()) {
            return None;
        }
        self.retry_at.or(self.state_write_due_at)
    }

    /// Returns whether no change waits to be stored.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_empty()
    }

    fn start_next_call(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        if self.is_store_call_pending || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        let is_urgent = self
            .pending
            .iter()
            .any(|op| !matches!(op, ClaimOp::Finish { .. }));
        let is_due = self.state_write_due_at.is_some_and(|at| at <= now);
        if self.in_flight.is_empty() && (is_urgent || is_due) {
            self.in_flight = std::mem::take(&mut self.pending);
            self.state_write_due_at = None;
        }
        if self.in_flight.is_empty() {
            return;
        }
        self.is_store_call_pending = true;
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
        let mut is_changed = self.must_change_version;
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
            // All keys are already claimed in the table, so no write is needed.
            self.is_store_call_pending = false;
            self.candidate = None;
            self.report_outcomes(fx);
            // No store call is pending, so no answer would start the claims queued in the meantime.
            self.start_next_call(now, fx);
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

    /// Handles the store's answer to the pending call.
    pub fn on_store(&mut self, now: Duration, answer: StoreAnswer, fx: &mut Vec<ClaimEffect>) {
        self.is_store_call_pending = false;
        match answer {
            StoreAnswer::Written { version } => {
                self.retry_at = None;
                self.must_change_version = false;
                if let Some(table) = self.candidate.take() {
                    self.view = Some((version, table));
                }
                self.report_outcomes(fx);
            }
            StoreAnswer::Found(object) | StoreAnswer::Conflict(object) => {
                self.retry_at = None;
                self.read_table(now, object, fx);
            }
            StoreAnswer::Lost => self.answer_lost(now, fx),
        }
        self.start_next_call(now, fx);
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

    /// Reports the outcome of the claims in flight, once the current table reflects them all.
    fn report_outcomes(&mut self, fx: &mut Vec<ClaimEffect>) {
        let Some((_, table)) = &self.view else {
            return;
        };
        for op in std::mem::take(&mut self.in_flight) {
            let ClaimOp::Claim { key, claim } = op else {
                continue;
            };
            let run = claim.run;
            match table.claims.get(&key) {
                Some(existing) if existing.run == run => fx.push(ClaimEffect::Won { run }),
                Some(existing) => fx.push(ClaimEffect::Repeated {
                    run,
                    claim: existing.clone(),
                }),
                None => fx.push(ClaimEffect::Failed { run }),
            }
        }
    }

    /// Fails all claims whose write may or may not have taken effect.
    ///
    /// The caller is answered at once, since its request was not sent and will not be. The lost
    /// write may have stored the claim, or may still do so. The claim is therefore released by a
    /// further write, which also changes the version and so makes a delayed write fail.
    fn answer_lost(&mut self, now: Duration, fx: &mut Vec<ClaimEffect>) {
        self.view = None;
        self.candidate = None;
        self.must_change_version = true;
        self.retry_at = Some(now + REREAD_DELAY);
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
