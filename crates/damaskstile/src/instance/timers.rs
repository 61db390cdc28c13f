//! Timers of an instance.

use damaskstile_budgets::Holder;
use damaskstile_core::prelude::*;

use super::{Effects, Instance};

/// Interval between clean-ups of expired answers, idle holders and settled claim tables.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(5);

/// Action that is due when a timer fires.
///
/// `StoreTimeout` must stay the first variant: `run_timers` relies on its order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Time-out of a store call.
    StoreTimeout(CallId),
    /// Deadline of a request.
    Deadline(u64),
    /// Time-out of the wait for a witness to accept the record of a run.
    RecordTimeout(u64, RunId),
    /// Time-out of the wait for a witness to accept the record of a transfer.
    TransferTimeout(GrantId),
    /// Wake-up of a budget's holder.
    Holder(BudgetId),
    /// Wake-up of a claim table.
    Claims(AccountId, u64),
    /// Next inquiry about an orphaned run.
    Inquiry(RunId),
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
        let later = self.timers.split_off(&(just_after, Timer::StoreTimeout(0)));
        let due = std::mem::replace(&mut self.timers, later);
        for (_, timer) in due {
            self.run_timer(timer, effects);
        }
    }

    fn run_timer(&mut self, timer: Timer, effects: &mut Effects) {
        match timer {
            Timer::StoreTimeout(call) => self.on_store(call, StoreAnswer::Lost, effects),
            Timer::Deadline(number) => self.on_deadline(number, effects),
            Timer::RecordTimeout(number, run) => self.on_record_timeout(number, &run, effects),
            Timer::TransferTimeout(transfer) => self.cancel_transfer(&transfer, effects),
            Timer::Holder(budget) => {
                if self.holders.contains_key(&budget) {
                    self.with_holder(&budget, effects, Holder::tick);
                }
            }
            Timer::Claims(account, table) => {
                self.with_claims(&account, table, effects, |claims, now, fx| {
                    claims.tick(now, fx);
                });
            }
            Timer::Inquiry(run) => self.inquire(&run, effects),
            Timer::Queue => self.serve_queue(effects),
            Timer::Settings => self.read_settings_if_none(effects),
            Timer::CleanUp => self.clean_up(),
            Timer::Stop => {}
        }
    }

    pub(super) fn schedule_clean_up(&mut self) {
        self.set_timer(CLEAN_UP_INTERVAL, Timer::CleanUp);
    }
}
