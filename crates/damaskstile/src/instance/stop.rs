//! Planned stop of an instance: requests are finished, tokens handed back and bills stored.

use damaskstile_budgets::Holder;
use damaskstile_core::prelude::*;
use damaskstile_requests::ClaimShard;

use super::timers::Timer;
use super::{Effects, Instance};

impl Instance {
    /// Begins a planned stop. The instance reports itself as not ready at once and still accepts
    /// requests for the grace period, since the load balancer keeps sending until it notices.
    pub(super) fn on_stop(&mut self, effects: &mut Effects) {
        if self.stop_at.is_some() {
            return;
        }
        let grace = Duration::from_millis(self.settings.settings().system.stop_grace_ms);
        self.stop_at = Some(self.now + grace);
        self.set_timer(grace, Timer::Stop);
        self.membership.own_mut().is_stopping = true;
        let open = self.open_requests().to_string();
        Self::log(effects, EventCode::StopBegan, &[("open_requests", &open)]);
        self.members_changed(effects);
        let (peers, members) = self.membership.round();
        let gossip = damaskstile_core::peer::Gossip {
            members,
            targets: Vec::new(),
        };
        for to in peers {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Gossip(gossip.clone()),
            });
        }
    }

    /// Returns whether a stop has waited for an unavailable store until its limit.
    ///
    /// Past the limit the holdings are not handed back by this instance: the witnesses return them
    /// later. They also write the bills that are not stored yet, from their records.
    fn is_past_stop_limit(&self) -> bool {
        let limit = self.options.stop_limit;
        self.stop_at.is_some_and(|at| self.now >= at + limit)
    }

    pub(super) fn check_stopped(&mut self, effects: &mut Effects) {
        let is_due = self.stop_at.is_some_and(|at| self.now >= at);
        if !is_due || self.is_stopped {
            return;
        }
        let is_past_limit = self.is_past_stop_limit();
        if self.open_requests() > 0 || (!self.orphans.is_empty() && !is_past_limit) {
            return;
        }
        let budgets: Vec<BudgetId> = self.holders.keys().cloned().collect();
        for budget in budgets {
            let is_settled = self.holders.get(&budget).is_some_and(Holder::is_settled);
            if !is_settled {
                self.with_holder(&budget, effects, |holder, now, fx| {
                    holder.stop(now);
                    holder.tick(now, fx);
                });
            }
        }
        let is_settled = self.holders.values().all(Holder::is_settled)
            && self.claims.values().all(ClaimShard::is_settled);
        if is_past_limit && !is_settled {
            let entries = self.pending_entries().to_string();
            Self::log(effects, EventCode::StopCutShort, &[("entries", &entries)]);
        }
        if is_settled || is_past_limit {
            self.is_stopped = true;
            Self::log(effects, EventCode::StopDone, &[]);
            effects.push(Effect::Stopped);
        }
    }
}
