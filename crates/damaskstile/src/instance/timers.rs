//! `timers` wakes the parts of an instance when something of theirs is due.

use damaskstile_budgets::Holder;
use damaskstile_core::prelude::*;

use super::{Effects, Instance};

/// Time between two clean-ups of what is kept for a while.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// `Timer` names what is due.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A store call has taken too long.
    Call(CallId),
    /// A request's deadline.
    Deadline(u64),
    /// The wait for a witness of a run.
    Record(u64, RunId),
    /// The wait for a witness of a gift.
    Give(GrantId),
    /// A budget's holder wants to be woken.
    Holder(BudgetId),
    /// A shard of claims wants to be woken.
    Claims(AccountId, u64),
    /// A run's fate is to be asked for again.
    Stray(RunId),
    /// Requests wait for targets.
    Queue,
    /// Settings are to be read again.
    Settings,
    /// Old things are to be let go.
    CleanUp,
    /// The time of grace of a stop is over.
    Stop,
}

impl Instance {
    pub(super) fn set_timer(&mut self, after: Duration, timer: Timer) {
        self.timers.insert((self.now + after, timer));
    }

    pub(super) fn set_timer_at(&mut self, at: Option<Duration>, timer: Timer) {
        if let Some(at) = at {
            self.timers.insert((at, timer));
        }
    }

    pub(super) fn run_timers(&mut self, effects: &mut Effects) {
        self.gossip_if_due(effects);
        // Timers that are set meanwhile wait for the next event, so that this always ends.
        let just_after = self.now + Duration::from_nanos(1);
        let later = self.timers.split_off(&(just_after, Timer::Call(0)));
        let due = std::mem::replace(&mut self.timers, later);
        for (_, timer) in due {
            self.run_timer(timer, effects);
        }
    }

    fn run_timer(&mut self, timer: Timer, effects: &mut Effects) {
        match timer {
            Timer::Call(call) => self.on_store(call, StoreAnswer::Lost, effects),
            Timer::Deadline(number) => self.on_deadline(number, effects),
            Timer::Record(number, run) => self.on_record_late(number, &run, effects),
            Timer::Give(transfer) => self.on_give_late(&transfer, effects),
            Timer::Holder(budget) => {
                if self.holders.contains_key(&budget) {
                    self.with_holder(&budget, effects, Holder::tick);
                }
            }
            Timer::Claims(account, shard) => {
                self.with_claims(&account, shard, effects, |claims, now, fx| {
                    claims.tick(now, fx);
                });
            }
            Timer::Stray(run) => self.inquire(&run, effects),
            Timer::Queue => self.serve_queue(effects),
            Timer::Settings => self.read_settings_if_none(effects),
            Timer::CleanUp => self.clean_up(),
            Timer::Stop => {}
        }
    }

    pub(super) fn clean_up_later(&mut self) {
        self.set_timer(CLEAN_UP_INTERVAL, Timer::CleanUp);
    }
}
