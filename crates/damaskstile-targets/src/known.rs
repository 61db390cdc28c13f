//! `known` is what an instance has seen of one listed target.

use std::cell::Cell;

use damaskstile_core::prelude::*;

use crate::limit_word::LimitWord;
use crate::listed::Listed;
use crate::sender_turn::SenderTurn;
use crate::work::Work;

/// Time after which a part of a prompt that was sent is no longer taken to be cached.
pub(crate) const PART_MEMORY: Duration = Duration::from_secs(10);
/// Longest time that a target is taken to be busy with what peers told of: a few of the longest
/// prompts. What is told wrongly costs the choice no more.
const READING_MAX: Duration = Duration::from_secs(3);
/// Parts remembered for one target. A replica caches some hundred thousand tokens, which is at
/// most a few hundred parts.
const PARTS_MAX: usize = 1024;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Weight of a target that did not answer at all: two in a row take it out of the choice.
const SILENCE_WEIGHT: f64 = 0.7;
/// Time in which the share of failures falls to about a third without any call, so that a target
/// that recovered is tried again.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Longest time for which a target is taken to be cold by one word.
const COLD_MAX: Duration = Duration::from_mins(1);
/// Share of failures that makes no difference to a choice.
const NOTHING: f64 = 0.001;
/// Calls likely to run that make none.
const NOTHING_RUNNING: f64 = 0.05;
/// Time of reading that makes none.
const NOTHING_MS: f64 = 0.001;
/// Age at which a report of load counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

/// `Known` is what an instance has seen of one listed target.
#[derive(Debug, Clone)]
pub struct Known {
    pub(crate) listed: Listed,
    /// When the list stopped showing it; kept while that may be an outage of the list.
    pub(crate) missing_since: Option<Duration>,
    own_running: u64,
    own_reading_ms: f64,
    others_running: u64,
    others_waiting: u64,
    reported_at: Duration,
    failure_share: f64,
    failure_at: Duration,
    /// Until when the target wants no work.
    paused_until: Duration,
    /// The limit of calls that the target names.
    pub(crate) limit: Option<LimitWord>,
    /// Since when it says about that.
    pub(crate) limit_since: Duration,
    parts: BTreeMap<u64, Duration>,
    /// Time for which the target is still likely to read prompts that peers told of.
    others_reading: Duration,
    others_reading_at: Duration,
    /// Until when it is taken to be cold.
    cold_until: Duration,
    /// Whether this instance is one of the few that may send to it, with what that was found by.
    pub(crate) sender: Cell<Option<(SenderTurn, bool)>>,
    /// When this instance last sent to it while it bore only so many calls, oldest first.
    paced_sends: VecDeque<Duration>,
}

impl Known {
    pub(crate) fn new(now: Duration, listed: Listed) -> Self {
        let cold_for = listed.cold_for.min(COLD_MAX);
        let cold_until = if cold_for.is_zero() {
            Duration::ZERO
        } else {
            now + cold_for
        };
        Self {
            listed,
            missing_since: None,
            own_running: 0,
            own_reading_ms: 0.0,
            others_running: 0,
            others_waiting: 0,
            reported_at: Duration::ZERO,
            failure_share: 0.0,
            failure_at: Duration::ZERO,
            paused_until: Duration::ZERO,
            limit: None,
            limit_since: Duration::ZERO,
            parts: BTreeMap::new(),
            others_reading: Duration::ZERO,
            others_reading_at: Duration::ZERO,
            cold_until,
            sender: Cell::new(None),
            paced_sends: VecDeque::new(),
        }
    }

    /// Takes in a newer entry of the same incarnation; returns whether it says of a warm target
    /// that it is cold.
    pub(crate) fn update(&mut self, now: Duration, listed: Listed) -> bool {
        let was_cold = self.is_cold(now);
        if !listed.cold_for.is_zero() {
            self.chill(now + listed.cold_for.min(COLD_MAX));
        }
        self.missing_since = None;
        self.listed = listed;
        !was_cold && self.is_cold(now)
    }

    /// Notes until when it is cold. Of several words the one that ends last counts.
    pub(crate) fn chill(&mut self, until: Duration) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Tells whether it is taken to be cold.
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns the time for which it is taken to be cold.
    pub(crate) fn cold_for(&self, now: Duration) -> Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Tells whether this instance has sent it fewer than so many calls within a span.
    pub(crate) fn has_paced_place(&self, now: Duration, calls: usize, span: Duration) -> bool {
        let recent = self.paced_sends.iter().rev();
        let recent = recent.take_while(|at| now.saturating_sub(**at) < span);
        recent.count() < calls
    }

    /// Returns the time until the first of the calls within a span no longer counts; `None` where
    /// this instance sent none.
    pub(crate) fn paced_place_in(&self, now: Duration, span: Duration) -> Option<Duration> {
        let ends = self.paced_sends.iter().map(|at| *at + span);
        let ends = ends.filter(|end| *end > now);
        ends.min().map(|end| end.saturating_sub(now))
    }

    /// Notes a call that is sent while it bears only so many within a span.
    pub(crate) fn note_paced_send(&mut self, now: Duration, span: Duration) {
        while let Some(at) = self.paced_sends.front()
            && now.saturating_sub(*at) >= span
        {
            self.paced_sends.pop_front();
        }
        self.paced_sends.push_back(now);
    }

    /// Takes in the newest word of its limit; returns whether that is news.
    pub(crate) fn take_limit(&mut self, now: Duration, word: LimitWord) -> bool {
        let is_news = !self.limit.is_some_and(|limit| word.is_like(&limit));
        if is_news {
            self.limit_since = now;
        }
        self.limit = Some(word);
        is_news
    }

    /// Notes that work was sent whose prompt takes so long to read there.
    pub(crate) fn sent(&mut self, now: Duration, work: &Work, read_ms: f64) {
        self.own_running += 1;
        self.own_reading_ms += read_ms;
        for part in &work.parts {
            self.parts.insert(part.name, now);
        }
        if self.parts.len() > PARTS_MAX {
            self.parts
                .retain(|_, at| now.saturating_sub(*at) < PART_MEMORY);
        }
    }

    pub(crate) fn prefilled(&mut self, read_ms: f64) {
        self.own_reading_ms = (self.own_reading_ms - read_ms).max(0.0);
    }

    pub(crate) fn ended(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    pub(crate) fn report(&mut self, now: Duration, running: u64, waiting: u64) {
        self.others_running = running.saturating_sub(self.own_running);
        self.others_waiting = waiting;
        self.reported_at = now;
    }

    pub(crate) fn succeeded(&mut self, now: Duration) {
        self.note_outcome(now, 0.0, FAILURE_WEIGHT);
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        self.note_outcome(now, 1.0, FAILURE_WEIGHT);
    }

    pub(crate) fn silent(&mut self, now: Duration) {
        self.note_outcome(now, 1.0, SILENCE_WEIGHT);
    }

    fn note_outcome(&mut self, now: Duration, outcome: f64, weight: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * weight;
        self.failure_at = now.max(self.paused_until);
    }

    /// Notes that the target wants no work for a time. Of several words the one that ends last counts.
    ///
    /// What it failed counts until then as if it were new: it gets work again by and by, and not all
    /// at the moment at which its pause ends.
    pub(crate) fn pause(&mut self, now: Duration, time: Duration) {
        self.paused_until = self.paused_until.max(now.saturating_add(time));
        self.failure_at = self.failure_at.max(self.paused_until);
    }

    /// Returns for how long the target wants no work.
    pub(crate) fn paused_for(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Returns the share of calls that failed lately, between 0 and 1.
    pub(crate) fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_share * (-age / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Notes that a peer sent a prompt that takes so long to read.
    pub(crate) fn hear_reading(&mut self, now: Duration, time: Duration) {
        let sum = self.others_reading(now) + time.min(READING_MAX);
        self.others_reading = sum.min(READING_MAX);
        self.others_reading_at = now;
    }

    /// Returns the time for which the target is still likely to read what peers told of. It passes
    /// by itself, so a peer that dies or falls silent leaves nothing behind.
    pub(crate) fn others_reading(&self, now: Duration) -> Duration {
        let passed = now.saturating_sub(self.others_reading_at);
        self.others_reading.saturating_sub(passed)
    }

    pub(crate) fn own_running(&self) -> u64 {
        self.own_running
    }

    /// Returns the time to read the own prompts that wait or are read there.
    pub(crate) fn own_reading_ms(&self) -> f64 {
        self.own_reading_ms
    }

    /// Returns the calls of other instances that are likely to run or wait there now.
    #[allow(clippy::cast_precision_loss)] // a few hundred calls
    pub(crate) fn others(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let halvings = age / REPORT_HALF_LIFE.as_secs_f64();
        (self.others_running + self.others_waiting) as f64 * 0.5_f64.powf(halvings)
    }

    /// Tells whether nothing that this instance knows of it, but for the parts it sent there, makes a
    /// call cost more or less than the list says.
    pub(crate) fn is_as_listed(&self, now: Duration) -> bool {
        self.own_running == 0
            && self.own_reading_ms < NOTHING_MS
            && self.others(now) < NOTHING_RUNNING
            && self.failure_share(now) < NOTHING
            && self.others_reading(now).is_zero()
    }

    /// Returns the tokens at the beginning of a prompt that this instance has sent there lately.
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
