//! Timers of an instance.

use damaskstile_budgets::Holder;
use damaskstile_core::prelude::*;

use super::{Effects, Instance};

/// Interval between clean-ups of expired answers, idle holders and settled claim tables.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// Action that is due when a timer fires. `Call` must stay the first variant: see `run_timers`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Time-out of a store call.
    Call(CallId),
    /// Deadline of a request.
    Deadline(u64),
    /// Time-out of the wait for a witness to accept the record of a run.
    Record(u64, RunId),
    /// Time-out of the wait for a witness to accept the record of a transfer.
    Give(GrantId),
    /// Wake-up of a budget's holder.
    Holder(BudgetId),
    /// Wake-up of a claim table.
    Claims(AccountId, u64),
    /// Next inquiry about an orphaned run.
    Stray(RunId),
    /// Next check of the queue.
    Queue,
    /// Next read of the settings while there are none.
    Settings,
    /// Next clean-up.
    CleanUp,
    /// End of the grace period of a stop; only wakes the instance.
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
        // Timers that are set by these timers wait for the next event, so that the loop ends. The
        // set is split at the smallest possible timer just after `now`.
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
