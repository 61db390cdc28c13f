//! Creates writes to the ledger and tracks their outcomes.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use super::Holder;
use super::pending::Pending;
use super::reports::Role;
use crate::balance::Balance;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::ledger_change::LedgerChange;
use crate::overview::Overview;
use crate::receipt_scope::ReceiptScope;
use crate::report::Report;
use crate::settlement::Settlement;
use crate::spend_limits::SpendLimits;
use crate::stamp::Stamp;

/// Divisor of a grant: a change of more than this part of the grant is worth a write. With smaller
/// changes, every instance would write in every round.
const WORTHWHILE_CHANGE_DIVISOR: u64 = 8;

/// One conditional write to the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Round {
    /// Number of the write within the incarnation.
    pub number: u64,
    /// Version that the ledger must still have; 0 if it must not exist yet.
    pub expected_version: Version,
    /// The ledger to write.
    pub ledger: Ledger,
    /// Write-offs for ended incarnations that the write includes.
    pub settlements: Vec<Settlement>,
    /// The peers whose reports the write enters.
    pub reported: BTreeMap<InstanceId, ReceiptScope>,
}

impl Holder {
    /// Accepts the ledger as read from the store. Version 0 means that there is none.
    pub fn observe(&mut self, now: Duration, version: Version, ledger: Ledger) {
        self.contact_at = Some(now);
        self.accept_ledger(now, version, ledger);
    }

    /// Accepts a ledger change that a peer reports as written; returns whether it was based on the
    /// version known here. The next write is then made on the current ledger, instead of
    /// conflicting once for each write of a peer.
    pub fn apply_peer_change(&mut self, now: Duration, change: LedgerChange) -> bool {
        if change.follows != self.ledger_version || self.seen_at.is_none() {
            return false;
        }
        let version = change.version;
        let mut ledger = self.ledger.clone();
        change.apply(&mut ledger);
        self.accept_ledger(now, version, ledger);
        true
    }

    fn accept_ledger(&mut self, now: Duration, version: Version, ledger: Ledger) {
        if self.keep_stale_copy(now, version, &ledger) {
            return;
        }
        self.set_store_history(ledger.history);
        if version < self.ledger_version {
            return;
        }
        self.restoring.note_rebuilt(now);
        let is_first = self.seen_at.is_none();
        if self.role == Role::Member && !is_first {
            // A member relies on receipts; it uses the ledger only to know which instances exist.
            self.ledger_version = version;
            self.ledger = ledger;
            return;
        }
        self.seen_at = Some(now);
        self.is_in_doubt = false;
        self.outstanding = None;
        let is_news = version > self.ledger_version || self.ledger_version == 0;
        if !is_news && version < self.receipt_version {
            return;
        }
        self.ledger_version = version;
        self.receipt_version = self.receipt_version.max(version);
        let own = &self.identity.instance;
        self.overview = Overview::of_ledger(&ledger, own);
        let entry = ledger.holders.get(own);
        let own_entry = entry.filter(|entry| entry.incarnation == self.identity.incarnation);
        if let Some(entry) = own_entry {
            let accounts = self.balances.keys().chain(entry.grants_tokens.keys());
            let limits = accounts.map(|account| (account.clone(), entry.spend_limits(account)));
            let (round, limits) = (entry.round, limits.collect());
            self.commit(now, round, limits);
        } else {
            self.follows = entry.map_or(0, |entry| entry.incarnation);
            if is_first {
                let left = entry.map(HolderEntry::demands).unwrap_or_default();
                self.inherit_demand(now, left);
            }
            // The ledger has no entry of this incarnation, so its grants are void, unless the store
            // has lost them.
            if !self.restoring.is_unconfirmed() {
                for balance in self.balances.values_mut() {
                    balance.allowed_tokens = balance.settled_tokens;
                    balance.ceiling_tokens = balance.settled_tokens;
                }
            }
        }
        self.clear_inbox(&ledger);
        self.ledger = ledger;
        // A write based on an older version can no longer take effect.
        self.pending
            .retain(|pending| pending.expected_version.is_none_or(|on| on >= version));
    }

    /// Starts from the demand that the predecessor wrote to the ledger: for each account, that of
    /// all calls and that of its most urgent calls.
    ///
    /// If all instances end together, the demand is otherwise unknown. Accounts then seem to have
    /// plenty, and the first calls to arrive, including long ones that could wait, take the last
    /// tokens. Without this, fewer than a quarter of the requests that came 12 s after such an end
    /// were served.
    pub(super) fn inherit_demand(&mut self, now: Duration, left: Vec<(AccountId, u64, u64)>) {
        for (account, all, urgent) in left {
            let balance = self.balances.entry(account).or_default();
            balance.inherit(now, all, urgent, self.first_rank);
        }
    }

    /// Notes that a write took effect, with the version that it created.
    pub fn note_written(&mut self, now: Duration, version: Version, round: Round) {
        self.observe(now, version, round.ledger);
    }

    /// Notes that a write has not taken effect and never will.
    pub fn note_not_written(&mut self, number: u64) {
        self.pending.retain(|pending| pending.number != number);
    }

    /// Notes that a write got no clear answer: it may have taken effect, or may yet.
    ///
    /// No further write is made until the ledger has been seen again. While an instance is cut off,
    /// each further write in doubt could only lower what it may spend.
    pub fn note_in_doubt(&mut self) {
        self.is_in_doubt = true;
    }

    /// Returns whether the host should read the ledger before it calls [`Self::next_round`].
    #[must_use]
    pub fn needs_read(&self, now: Duration) -> bool {
        // A member relies on receipts. If members read the ledger, which has an entry for each
        // instance, a fleet that starts all at once would saturate the store's link.
        if self.role == Role::Member {
            return false;
        }
        if self.restoring.needs_check(now) {
            return true;
        }
        let read_interval = self.options.round_interval * self.interval_scale();
        let is_old = self.ledger_age(now).is_none_or(|age| age >= read_interval);
        self.seen_at.is_none() || self.is_in_doubt || (self.is_short && is_old)
    }

    /// Returns whether the fleet is so large that one instance writes for all.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        self.overview.instances > u64::from(self.options.small_fleet)
    }

    /// Returns the time between two rounds while tokens are short.
    fn urgent_interval(&self) -> Duration {
        if self.is_large_fleet() {
            self.options.large_urgent_interval
        } else {
            self.options.urgent_interval
        }
    }

    /// Returns the factor by which intervals between rounds are longer than in a small fleet.
    pub(super) fn interval_scale(&self) -> u32 {
        if self.is_large_fleet() {
            self.options.large_interval_scale
        } else {
            1
        }
    }

    /// Makes the next round due at once, after a conflict.
    pub fn make_round_due(&mut self) {
        self.round_at = None;
    }

    /// Starts to hand back all tokens.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether the ledger holds nothing for this instance that could be handed back.
    #[must_use]
    pub fn is_handed_back(&self) -> bool {
        self.balances
            .values()
            .all(|balance| balance.unsettled() == 0 && balance.granted() <= balance.reserved_tokens)
    }

    /// Returns the write that is due, if there is one. At most one may be in progress at a time.
    ///
    /// Also returns `None` if the ledger was never seen: the host must read it first.
    pub fn next_round(&mut self, now: Duration, stamp: &Stamp) -> Option<Round> {
        self.note_stamp(now, stamp);
        if self.has_stale_copy() {
            return self.rebuild_ledger(now, stamp);
        }
        self.seen_at?;
        if self.is_in_doubt || self.catalogue_version < self.ledger.catalogue_version {
            return None;
        }
        let has_changes = !self.inbox.is_empty() || self.needs_round(now);
        if !self.is_round_due(now) || !has_changes {
            return None;
        }
        self.round_at = Some(now);
        self.is_short = false;
        let ledger = self.ledger.clone();
        Some(self.make_round(now, stamp, ledger, self.ledger_version))
    }

    /// Returns the time until the next round may be made, if tokens are short.
    #[must_use]
    pub fn urgent_wait(&self, now: Duration) -> Option<Duration> {
        let due_at = self.round_at.map(|at| at + self.urgent_interval());
        self.is_short
            .then(|| due_at.map_or(Duration::ZERO, |at| at.saturating_sub(now)))
    }

    pub(super) fn is_round_due(&self, now: Duration) -> bool {
        let interval = if self.is_short || self.is_stopping {
            self.urgent_interval()
        } else {
            self.options.round_interval * self.interval_scale()
        };
        self.round_at.is_none_or(|at| now >= at + interval)
    }

    /// Applies what the ledger contains for this incarnation.
    pub(super) fn commit(
        &mut self,
        now: Duration,
        number: u64,
        limits: BTreeMap<AccountId, SpendLimits>,
    ) {
        if number <= self.committed_number {
            return;
        }
        self.committed_number = number;
        self.restoring.note_committed(number);
        let pending = self.pending.iter().find(|one| one.number == number);
        // Unlocking is counted from the time the write was made. If that time is unknown, a later
        // start is safe.
        self.committed_at = pending.map_or(now, |pending| pending.made_at);
        self.committed_unlock_rate =
            pending.map_or(self.unlock_rate(), |pending| pending.unlock_rate);
        for (account, limits) in limits {
            let balance = self.balances.entry(account).or_default();
            balance.allowed_tokens = limits.allowed_tokens;
            balance.ceiling_tokens = limits.ceiling_tokens;
            balance.settled_tokens = limits.settled_tokens;
        }
        self.pending.retain(|pending| pending.number > number);
    }

    /// Returns whether the ledger lists this incarnation, so that it can hold tokens.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        match self.role {
            Role::Member => self.committed_number > 0,
            Role::Writer => self
                .ledger
                .holders
                .get(&self.identity.instance)
                .is_some_and(|entry| entry.incarnation == self.identity.incarnation),
        }
    }

    pub(super) fn needs_round(&self, now: Duration) -> bool {
        if !self.is_listed() {
            return !self.is_stopping;
        }
        if self.is_stopping {
            return !self.is_handed_back();
        }
        if self.restoring.is_unconfirmed() {
            return true;
        }
        let is_settling = match self.role {
            Role::Writer => self.has_orphaned_to_settle(now),
            // The orphaned entries of its predecessors are settled with its reports.
            Role::Member => !self.is_past_wait_limit(now),
        };
        if is_settling {
            return true;
        }
        let is_missing = |account: &&AccountId| !self.prepaid_tokens.contains_key(*account);
        let missing = self.balances.keys().filter(is_missing);
        self.prepaid_tokens.keys().chain(missing).any(|account| {
            let empty = Balance::default();
            let balance = self.balances.get(account).unwrap_or(&empty);
            let free = balance.free(balance.allowed_tokens);
            let claim = self.demand_claim(now, balance);
            let need = self.need(account, claim);
            let target = self.target_tokens(&need);
            let change = free.abs_diff(target);
            let is_change = change > target / WORTHWHILE_CHANGE_DIVISOR;
            let pool = self
                .overview
                .account(account)
                .pool(self.bought_tokens(account));
            let is_possible = target < free || pool > 0;
            let ahead = self.ahead_tokens(&need, target);
            let below_ceiling = balance.free(balance.ceiling_tokens);
            let is_ceiling_near = below_ceiling < ahead.min(free) * 3 / 4;
            (is_change && is_possible && change > 0)
                || is_ceiling_near
                || balance.unsettled() > balance.granted() / WORTHWHILE_CHANGE_DIVISOR
        })
    }

    /// Creates a write that is conditional on the expected version of the ledger.
    pub(super) fn make_round(
        &mut self,
        now: Duration,
        stamp: &Stamp,
        mut ledger: Ledger,
        expected_version: Version,
    ) -> Round {
        ledger.catalogue_version = self.catalogue_version;
        self.open_pool(now, &mut ledger);
        let mut totals = Overview::of_ledger(&ledger, "");
        let own = self.make_report(now, stamp);
        let mut settlements = self.merge(&mut ledger, &mut totals, &own);
        let mut reported = BTreeMap::new();
        for (received_at, report) in self.inbox.values() {
            let waited = now.saturating_sub(*received_at);
            let report = with_fleet_time(report.clone(), stamp, waited);
            settlements.extend(self.merge(&mut ledger, &mut totals, &report));
            let of = ReceiptScope::of(&report);
            reported.insert(report.instance, of);
        }
        let entry = ledger.holders.get(&self.identity.instance);
        let accounts = entry.into_iter().flat_map(|entry| {
            let accounts = entry.accounts();
            accounts.map(|account| (account.clone(), entry.spend_limits(account)))
        });
        let limits = accounts.collect();
        self.pending.push(Pending {
            number: own.number,
            expected_version: Some(expected_version),
            made_at: now,
            unlock_rate: own.unlock_rate,
            limits,
        });
        Round {
            number: own.number,
            expected_version,
            ledger,
            settlements,
            reported,
        }
    }
}

/// Fills in the fleet clock at the sender's start if the sender has not heard from enough peers to
/// know it: the current fleet clock minus the time elapsed since on the sender's own clock.
fn with_fleet_time(mut report: Report, stamp: &Stamp, waited: Duration) -> Report {
    if report.start.fleet_late_ms.is_none() {
        let since_start_ms = report.stamp.unix_ms.checked_sub(report.start.unix_ms);
        report.start.fleet_late_ms = stamp
            .fleet_late_ms
            .zip(since_start_ms)
            .and_then(|(late_ms, since_ms)| late_ms.checked_sub(since_ms + unix_ms(waited)));
    }
    report
}
