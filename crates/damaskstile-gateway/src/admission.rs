//! Admission of calls by urgency: which calls an instance at capacity rejects.
//!
//! An instance at capacity rejects the least urgent and heaviest calls first. The decision has no
//! input or output; [`Pressure`](crate::pressure::Pressure) supplies the state of the queues.

mod account_work;
mod admittance;
mod call_demand;
mod capacity_use;
mod committed_load;
mod criterion;
mod decaying_work;
mod event_cost;
mod learned_stream;
mod options;
mod queue_state;
mod recent_classes;
mod rejection;
mod route_streams;
mod stream_totals;
mod turn;
mod turns;

use damaskstile_core::prelude::*;
use damaskstile_routes::CallClass;

use crate::load_sample::LoadSample;

use account_work::AccountWork;
use recent_classes::RecentClasses;
use turn::Turn;
use turns::Turns;

pub use admittance::Admittance;
pub use call_demand::CallDemand;
pub use capacity_use::CapacityUse;
pub use committed_load::CommittedLoad;
pub use criterion::Criterion;
pub use event_cost::EventCost;
pub use options::AdmissionOptions;
pub use queue_state::QueueState;
pub use rejection::Rejection;
pub use stream_totals::StreamTotals;

/// Limit on the wait of any call without a longer objective: most callers retry only once.
const WAIT_LIMIT_MIN: Duration = Duration::from_millis(250);
/// Divisor of the objective or pause limit of urgent calls that yields the limit for calls that
/// yield to them. An urgent call that arrives behind such a call still has three quarters of its
/// time.
const YIELDING_DIVISOR: u32 = 4;
/// Factor by which the lower limit is raised for calls in turn, so that urgent calls still have half
/// of their time. With the full limit in its place, a quarter of the heavy calls held the queue at
/// the limit of urgent calls, which were rejected, and delayed the events of open streams.
const RELAXED_FACTOR: u32 = 2;
/// Lowest limit on the wait of calls that yield. A shorter queue holds a few calls only, and a
/// rejected one loses more time than it saves the urgent calls behind it.
const YIELDING_LIMIT_MIN: Duration = Duration::from_millis(100);
/// Factor over the recent work of more urgent calls that open streams leave free when a call that
/// yields is admitted: urgent calls may double before they find no room.
const URGENT_GROWTH: f64 = 2.0;
/// Largest fraction of the capacity that is left free for urgent calls.
const URGENT_ROOM_MAX: f64 = 0.25;
/// Fraction of the recent work above which an account yields to the others of its rank.
const ACCOUNT_SHARE_MAX: f64 = 0.5;
/// Fraction of the recent work of all other accounts from which on they are fully protected.
const OTHERS_SHARE_FULL: f64 = 0.25;

/// Decides which calls an instance admits, from their classes and the load of the instance.
///
/// The limit on a call's wait is its objective. Where classes of calls contend, a call that yields
/// to more urgent ones has a lower limit, and is also rejected if open streams would pause or have
/// committed most of the capacity. Calls of a fleet without such classes are not affected.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    options: AdmissionOptions,
    classes: RecentClasses,
    accounts: AccountWork,
    turns: Turns,
    committed: CommittedLoad,
    event_cost: EventCost,
}

impl Admission {
    /// Creates the state of an instance that has seen no calls.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Decides whether a call is admitted, and counts it.
    ///
    /// # Errors
    ///
    /// Returns the criterion that rejects the call, with the limit and the wait.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use damaskstile_gateway::admission::{Admission, CallDemand, QueueState};
    /// use damaskstile_routes::CallClass;
    /// let class = |priority, objective_ms| CallClass {
    ///     priority,
    ///     objective: Duration::from_millis(objective_ms),
    ///     pause_limit: None,
    /// };
    /// let call = |class| CallDemand { route: "r", account: "a", class, is_stream: true, bytes: 1_000 };
    /// let mut admission = Admission::default();
    /// let queues = QueueState { sent: Duration::from_millis(150), ..QueueState::default() };
    /// assert!(admission.judge(Duration::ZERO, &call(class(2, 1_500)), &queues).is_ok());
    /// assert!(admission.judge(Duration::ZERO, &call(class(0, 400)), &queues).is_ok());
    /// let rejection = admission.judge(Duration::ZERO, &call(class(2, 1_500)), &queues).unwrap_err();
    /// assert_eq!(rejection.limit, Duration::from_millis(100));
    /// ```
    pub fn judge(
        &mut self,
        now: Duration,
        demand: &CallDemand<'_>,
        queues: &QueueState,
    ) -> Result<Admittance, Rejection> {
        let rank = demand.class.priority;
        self.classes.note(now, demand.class);
        self.accounts.note_call(now, rank, demand.account);
        let verdict = self.verdict(now, demand, queues);
        if verdict.is_ok() {
            let work_s = self.work_s(demand, queues);
            self.accounts.add(now, rank, demand.account, work_s);
        }
        verdict
    }

    /// Counts a stream as open from its admission until [`end_stream`](Self::end_stream).
    pub fn begin_stream(&mut self, route: &str, pause_limit: Option<Duration>) {
        self.committed.begin(route, pause_limit);
    }

    /// Counts a stream as ended, and learns from it what streams of its route take.
    pub fn end_stream(&mut self, route: &str, totals: &StreamTotals) {
        self.committed.end(route, totals);
    }

    /// Updates the processor time of an event from the calls and events of a load sample.
    pub fn note_sample(&mut self, sample: &LoadSample, calls: f64, events: f64) {
        self.event_cost.note(sample, calls, events);
    }

    /// Drops routes that no longer exist.
    pub fn retain_routes(&mut self, is_there: impl Fn(&str) -> bool) {
        self.committed.retain(is_there);
    }

    /// Returns the fractions of link and processor that the open streams need until their last
    /// events.
    #[must_use]
    pub fn committed(&self, queues: &QueueState) -> CapacityUse {
        let rate = self.committed.rate();
        CapacityUse::of(rate, self.event_cost.per_event_s(), queues)
    }

    fn verdict(
        &mut self,
        now: Duration,
        demand: &CallDemand<'_>,
        queues: &QueueState,
    ) -> Result<Admittance, Rejection> {
        let full_limit = demand.class.objective.max(WAIT_LIMIT_MIN);
        let delay = queues.wait();
        let by_urgency = self.options.by_urgency;
        let urgent = self.classes.yields_to(&demand.class).filter(|_| by_urgency);
        if delay > full_limit {
            return Err(Rejection {
                criterion: Criterion::Wait,
                limit: full_limit,
                delay,
                yields_to: urgent.map(|class| class.priority),
            });
        }
        if !by_urgency || !self.classes.is_contended() {
            return Ok(Admittance::Regular);
        }
        if urgent.is_none() {
            self.check_pauses(demand, queues)?;
        }
        let yielding =
            urgent.and_then(|urgent| self.yielding_rejection(now, demand, queues, &urgent));
        let of_account = || self.account_rejection(now, demand, queues);
        match yielding.or_else(of_account) {
            None => Ok(Admittance::Regular),
            Some(rejection) if self.is_in_turn(demand, queues, &rejection) => {
                Ok(Admittance::InTurn)
            }
            Some(rejection) => Err(rejection),
        }
    }

    /// Counts a call that only a lower limit rejects; returns whether it is admitted all the same.
    fn is_in_turn(
        &mut self,
        demand: &CallDemand<'_>,
        queues: &QueueState,
        rejection: &Rejection,
    ) -> bool {
        match self.turns.next(demand.class.priority, demand.account) {
            Turn::None => false,
            Turn::Relaxed => {
                let pause_limit = self.committed.shortest_pause_limit();
                rejection.delay <= rejection.limit * RELAXED_FACTOR
                    && pause_limit.is_none_or(|limit| {
                        queues.sent <= limit * RELAXED_FACTOR / YIELDING_DIVISOR
                    })
            }
            Turn::Full => true,
        }
    }

    /// Returns why a call that yields to `urgent` calls is rejected, if it is.
    fn yielding_rejection(
        &self,
        now: Duration,
        demand: &CallDemand<'_>,
        queues: &QueueState,
        urgent: &CallClass,
    ) -> Option<Rejection> {
        let limit = (urgent.objective / YIELDING_DIVISOR).max(YIELDING_LIMIT_MIN);
        // An urgent call behind this one waits for its bytes too. They count for half of the limit
        // at most, so that no call is too large for an empty queue.
        let own = queues.time_to_send(demand.bytes).min(limit / 2);
        let delay = queues.wait() + own;
        let yields_to = Some(urgent.priority);
        let reject = |criterion, limit, delay| {
            Some(Rejection {
                criterion,
                limit,
                delay,
                yields_to,
            })
        };
        if delay > limit {
            return reject(Criterion::Wait, limit, delay);
        }
        let pause_limit = self.committed.shortest_pause_limit();
        if let Some(limit) = pause_limit.map(|limit| limit / YIELDING_DIVISOR)
            && queues.sent > limit
        {
            return reject(Criterion::Pauses, limit, queues.sent);
        }
        let committed = self.committed_with(demand, queues);
        let urgent_work = self.accounts.work_above(now, demand.class.priority);
        let urgent_room = (urgent_work * URGENT_GROWTH).min(URGENT_ROOM_MAX);
        if committed.highest() > 1.0 - urgent_room {
            return reject(Criterion::Committed, limit, delay);
        }
        None
    }

    /// Rejects a stream that yields to none if the open streams already need more than the
    /// capacity, and it would pause for too long.
    fn check_pauses(&self, demand: &CallDemand<'_>, queues: &QueueState) -> Result<(), Rejection> {
        let Some(limit) = demand.class.pause_limit.filter(|_| demand.is_stream) else {
            return Ok(());
        };
        let delay = queues.wait();
        if delay > limit && self.committed_with(demand, queues).highest() > 1.0 {
            return Err(Rejection {
                criterion: Criterion::Committed,
                limit,
                delay,
                yields_to: None,
            });
        }
        Ok(())
    }

    /// Returns why a call is rejected since its account has most of the work of an overloaded
    /// instance, if it is.
    fn account_rejection(
        &self,
        now: Duration,
        demand: &CallDemand<'_>,
        queues: &QueueState,
    ) -> Option<Rejection> {
        if demand.account.is_empty() || !queues.is_overloaded {
            return None;
        }
        let rank = demand.class.priority;
        let least = self.classes.shortest_objective(rank)? / YIELDING_DIVISOR;
        let least = least.max(YIELDING_LIMIT_MIN);
        let delay = queues.wait();
        let share = self.accounts.share(now, demand.account);
        let is_dominant = share > ACCOUNT_SHARE_MAX
            && delay > least
            && self.accounts.has_others(now, rank, demand.account);
        // The fewer calls of others there are, the fewer calls are rejected for them.
        let protection = ((1.0 - share) / OTHERS_SHARE_FULL).clamp(0.0, 1.0);
        let range = demand.class.objective.saturating_sub(least);
        let limit = least + range.mul_f64(1.0 - protection);
        (delay > limit && is_dominant).then_some(Rejection {
            criterion: Criterion::Account,
            limit,
            delay,
            yields_to: Some(rank),
        })
    }

    /// Returns what the open streams need together with another one of the call's route.
    fn committed_with(&self, demand: &CallDemand<'_>, queues: &QueueState) -> CapacityUse {
        let mut rate = self.committed.rate();
        if demand.is_stream {
            rate.add(&self.committed.rate_of(demand.route));
        }
        CapacityUse::of(rate, self.event_cost.per_event_s(), queues)
    }

    /// Returns what a call takes of the link and the processor until its end, in seconds.
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    fn work_s(&self, demand: &CallDemand<'_>, queues: &QueueState) -> f64 {
        let answer = self.committed.totals_of(demand.route);
        let bytes = demand.bytes as f64 + answer.bytes;
        bytes / queues.link_bytes_per_s + queues.call_s / queues.processor_share
    }
}
