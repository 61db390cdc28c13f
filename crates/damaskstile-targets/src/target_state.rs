//! State of one listed target, as known to an instance.

use std::cell::Cell;

use damaskstile_core::prelude::*;

use crate::limit_report::LimitReport;
use crate::listed::Listed;
use crate::reported_load::ReportedLoad;
use crate::sender_turn::SenderTurn;
use crate::target_speed::TargetSpeed;
use crate::work::Work;

/// Time after which a prompt part that was sent to a target is no longer assumed to be cached
/// there.
pub(crate) const PART_MEMORY: Duration = Duration::from_secs(10);
/// Longest time for which a target is assumed busy because of peer reports: a few of the longest
/// prompts. A wrong report adds no more than this to the cost.
const REPORTED_PREFILL_MAX: Duration = Duration::from_secs(3);
/// Prompt parts remembered for one target. A replica caches some hundred thousand tokens, which is
/// at most a few hundred parts.
const PARTS_MAX: usize = 1024;
/// Weight of the newest outcome in the failure share.
const FAILURE_WEIGHT: f64 = 0.25;
/// Weight of a target that did not answer at all: two in a row take it out of the selection.
const SILENCE_WEIGHT: f64 = 0.7;
/// Time in which the failure share falls to about a third without any call, so that a target that
/// recovered is tried again.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Longest cold time accepted from one list entry.
const COLD_MAX: Duration = Duration::from_mins(1);
/// Failure share that makes no difference to a selection.
const NEGLIGIBLE_FAILURE_SHARE: f64 = 0.001;
/// Number of running calls that makes no difference to a selection.
const NEGLIGIBLE_RUNNING: f64 = 0.05;
/// Prefill time that makes no difference to a selection.
const NEGLIGIBLE_PREFILL_MS: f64 = 0.001;
/// Age past which a report no longer shows how many slots are free.
const SLOTS_REPORT_AGE_MAX: Duration = Duration::from_secs(1);
/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// State of one listed target, as known to an instance.
#[derive(Debug, Clone)]
pub struct TargetState {
    pub(crate) listed: Listed,
    /// Whether the target is known to have ended since its entry.
    pub(crate) has_ended: bool,
    /// When the target was delisted; it is kept while that may be due to an outage of the list.
    pub(crate) missing_since: Option<Duration>,
    own_running: u64,
    own_prefill_ms: f64,
    others_running: u64,
    others_waiting: u64,
    reported_at: Duration,
    failure_share: f64,
    failure_at: Duration,
    /// End of the target's backoff.
    backoff_until: Duration,
    /// Call limit that the target advertises, or the end of one.
    pub(crate) limit: Option<LimitReport>,
    /// Since when the limit has been about the same.
    pub(crate) limit_since: Duration,
    parts: BTreeMap<u64, Duration>,
    /// Remaining prefill time of prompts that peers reported, as of `reported_prefill_at`.
    reported_prefill: Duration,
    reported_prefill_at: Duration,
    /// End of the time for which the target is treated as cold.
    cold_until: Duration,
    /// Whether this instance is one of the few that may send to the target, with the state of which
    /// that follows.
    pub(crate) sender: Cell<Option<(SenderTurn, bool)>>,
    /// Times of this instance's recent sends while a call limit applied, oldest first.
    limited_sends: VecDeque<Duration>,
    /// Times at which the target rejected calls of this instance, oldest first.
    rejected_at: VecDeque<Duration>,
    /// How fast the target is, compared with the others of its service.
    pub(crate) speed: TargetSpeed,
}

impl TargetState {
    pub(crate) fn new(now: Duration, listed: Listed) -> Self {
        let cold_for = listed.cold_for.min(COLD_MAX);
        let cold_until = if cold_for.is_zero() {
            Duration::ZERO
        } else {
            now + cold_for
        };
        Self {
            listed,
            has_ended: false,
            missing_since: None,
            own_running: 0,
            own_prefill_ms: 0.0,
            others_running: 0,
            others_waiting: 0,
            reported_at: Duration::ZERO,
            failure_share: 0.0,
            failure_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
            limit: None,
            limit_since: Duration::ZERO,
            parts: BTreeMap::new(),
            reported_prefill: Duration::ZERO,
            reported_prefill_at: Duration::ZERO,
            cold_until,
            sender: Cell::new(None),
            limited_sends: VecDeque::new(),
            rejected_at: VecDeque::new(),
            speed: TargetSpeed::default(),
        }
    }

    /// Applies a newer entry of the same incarnation; returns whether that made a warm target cold.
    pub(crate) fn update(&mut self, now: Duration, listed: Listed) -> bool {
        let was_cold = self.is_cold(now);
        if !listed.cold_for.is_zero() {
            self.extend_cold_time(now + listed.cold_for.min(COLD_MAX));
        }
        self.missing_since = None;
        self.listed = listed;
        !was_cold && self.is_cold(now)
    }

    /// Extends the cold time. Of several ends the latest applies.
    pub(crate) fn extend_cold_time(&mut self, until: Duration) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Tells whether the target is treated as cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns how much longer the target is treated as cold.
    pub(crate) fn cold_for(&self, now: Duration) -> Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Tells whether this instance sent the target fewer than `calls` calls within the last `span`.
    pub(crate) fn has_limited_room(&self, now: Duration, calls: usize, span: Duration) -> bool {
        let recent = self.limited_sends.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < span);
        recent.count() < calls
    }

    /// Returns the time until the oldest of the calls within a span no longer counts; `None` if
    /// this instance sent none.
    pub(crate) fn limited_room_in(&self, now: Duration, span: Duration) -> Option<Duration> {
        let ends = self.limited_sends.iter().map(|at| *at + span);
        let ends = ends.filter(|end| *end > now);
        ends.min().map(|end| end.saturating_sub(now))
    }

    /// Records a call that is sent while a call limit applies, which counts calls within `span`.
    pub(crate) fn record_limited_send(&mut self, now: Duration, span: Duration) {
        while let Some(at) = self.limited_sends.front()
            && now.saturating_sub(*at) >= span
        {
            self.limited_sends.pop_front();
        }
        self.limited_sends.push_back(now);
    }

    /// Records that the target rejected a call, and forgets rejections older than `memory`.
    pub(crate) fn note_rejected(&mut self, now: Duration, memory: Duration) {
        while let Some(at) = self.rejected_at.front()
            && now.saturating_sub(*at) >= memory
        {
            self.rejected_at.pop_front();
        }
        self.rejected_at.push_back(now);
    }

    /// Returns how many calls of this instance the target rejected within a span.
    pub(crate) fn rejections(&self, now: Duration, span: Duration) -> usize {
        let recent = self.rejected_at.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < span);
        recent.count()
    }

    /// Tells whether at least half of the slots were free at the last load report; `None` if that
    /// is not recent.
    pub(crate) fn is_reported_half_free(&self, now: Duration) -> Option<bool> {
        if now.saturating_sub(self.reported_at) >= SLOTS_REPORT_AGE_MAX {
            return None;
        }
        let running = self.others_running + self.own_running;
        Some(self.others_waiting == 0 && running * 2 <= self.slots())
    }

    /// Applies the newest state of the target's limit; returns whether the limit changed.
    pub(crate) fn apply_limit(&mut self, now: Duration, report: LimitReport) -> bool {
        let is_new = !self.limit.is_some_and(|limit| report.is_like(&limit));
        if is_new {
            self.limit_since = now;
        }
        self.limit = Some(report);
        is_new
    }

    /// Records that a call was sent whose prefill takes `prefill_ms` there.
    pub(crate) fn sent(&mut self, now: Duration, work: &Work, prefill_ms: f64) {
        self.own_running += 1;
        self.own_prefill_ms += prefill_ms;
        for part in &work.parts {
            self.parts.insert(part.name, now);
        }
        if self.parts.len() > PARTS_MAX {
            self.parts
                .retain(|_, at| now.saturating_sub(*at) < PART_MEMORY);
        }
    }

    pub(crate) fn prefilled(&mut self, prefill_ms: f64) {
        self.own_prefill_ms = (self.own_prefill_ms - prefill_ms).max(0.0);
    }

    pub(crate) fn ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    pub(crate) fn report(&mut self, now: Duration, load: ReportedLoad) {
        self.others_running = load.running.saturating_sub(self.own_running);
        self.others_waiting = load.waiting;
        self.reported_at = now;
    }

    pub(crate) fn succeeded(&mut self, now: Duration) {
        self.note_outcome(now, 0.0, FAILURE_WEIGHT);
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        self.note_outcome(now, 1.0, FAILURE_WEIGHT);
    }

    pub(crate) fn unanswered(&mut self, now: Duration) {
        self.note_outcome(now, 1.0, SILENCE_WEIGHT);
    }

    fn note_outcome(&mut self, now: Duration, outcome: f64, weight: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * weight;
        self.failure_at = now.max(self.backoff_until);
    }

    /// Starts a backoff. Of several backoffs the one that ends last applies.
    ///
    /// Until then the failure share does not decay, so that work returns gradually and not all at
    /// the moment at which the backoff ends.
    pub(crate) fn start_backoff(&mut self, now: Duration, time: Duration) {
        self.backoff_until = self.backoff_until.max(now.saturating_add(time));
        self.failure_at = self.failure_at.max(self.backoff_until);
    }

    /// Returns the remaining backoff.
    pub(crate) fn backoff_left(&self, now: Duration) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Returns the share of recent calls that failed, between 0 and 1.
    pub(crate) fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_share * (-age / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Records that a peer sent a prompt whose prefill takes so long.
    pub(crate) fn add_reported_prefill(&mut self, now: Duration, time: Duration) {
        let sum = self.reported_prefill(now) + time.min(REPORTED_PREFILL_MAX);
        self.reported_prefill = sum.min(REPORTED_PREFILL_MAX);
        self.reported_prefill_at = now;
    }

    /// Returns the remaining prefill time of prompts that peers reported. It passes without further
    /// reports, so a peer that ends or falls silent leaves nothing behind.
    pub(crate) fn reported_prefill(&self, now: Duration) -> Duration {
        let passed = now.saturating_sub(self.reported_prefill_at);
        self.reported_prefill.saturating_sub(passed)
    }

    pub(crate) fn own_running(&self) -> u64 {
        self.own_running
    }

    /// Returns the prefill time of this instance's prompts that wait or are prefilled there.
    pub(crate) fn own_prefill_ms(&self) -> f64 {
        self.own_prefill_ms
    }

    /// Returns the calls of other instances that are likely to run or wait there now.
    #[allow(clippy::cast_precision_loss)] // a few hundred calls
    pub(crate) fn others(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let halvings = age / REPORT_HALF_LIFE.as_secs_f64();
        (self.others_running + self.others_waiting) as f64 * 0.5_f64.powf(halvings)
    }

    /// Tells whether, apart from prompt parts sent there, nothing that this instance knows of the
    /// target makes a call cost more or less than the list entry does.
    pub(crate) fn is_as_listed(&self, now: Duration) -> bool {
        self.own_running == 0
            && self.own_prefill_ms < NEGLIGIBLE_PREFILL_MS
            && self.others(now) < NEGLIGIBLE_RUNNING
            && self.failure_share(now) < NEGLIGIBLE_FAILURE_SHARE
            && self.reported_prefill(now).is_zero()
            && self.speed.is_usual(now)
    }

    /// Returns the calls that the target runs at a time, as it stated last.
    pub(crate) fn slots(&self) -> u64 {
        self.speed.slots.unwrap_or(self.listed.slots_requests)
    }

    /// Returns the tokens of the leading prompt parts that this instance sent there recently.
    pub(crate) fn cached_tokens(&self, now: Duration, work: &Work) -> u64 {
        work.parts
            .iter()
            .take_while(|part| {
                self.parts
                    .get(&part.name)
                    .is_some_and(|at| now.saturating_sub(*at) < PART_MEMORY)
            })
            .map(|part| part.tokens)
            .sum()
    }
}
