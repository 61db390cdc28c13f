//! An instance's part of a budget: reservations, refills, transfers and bills.

mod batch;
mod draw;
mod flush;
mod holding;
mod pages;
mod peers;
mod refill;
mod renewal;
mod reserve;
mod transfer;

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;

use crate::effect::HolderEffect;
use crate::entry::Entry;
use crate::ledger::Ledger;
use crate::op::LedgerOp;
use crate::options::BudgetOptions;
use crate::records::run_number;
use batch::Batch;
use holding::Holding;
use refill::{Rate, Waiter};
use transfer::{OutgoingTransfer, RequestRound};

/// Delay from a change of witnesses until the affected grants are replaced.
const RENEWAL_DELAY: Duration = Duration::from_millis(500);

pub use peers::Peers;
pub use reserve::Reserve;

/// Holds the tokens of one budget for one instance.
///
/// A holder never reserves more than its grants cover. Grants are requested from the ledger ahead
/// of need, or tokens from peers; a run waits for them only when the held tokens run out.
#[derive(Debug)]
pub struct Holder {
    budget: BudgetId,
    identity: Identity,
    options: BudgetOptions,
    /// Ledger as last read or written, with its version; `None` if unknown or dropped from memory.
    view: Option<(Version, Ledger)>,
    view_at: Duration,
    /// Newest version seen. An older version comes from a stale read and is ignored.
    seen_version: Version,
    holdings: BTreeMap<GrantId, Holding>,
    reservations: BTreeMap<RunId, Vec<Draw>>,
    pending: Vec<LedgerOp>,
    batch: Option<Batch>,
    last_batch: u64,
    next_flush_at: Duration,
    retry_at: Option<Duration>,
    lost_answers: u32,
    page_in_flight: Option<u64>,
    waiters: Vec<Waiter>,
    round: Option<RequestRound>,
    /// Accepted transfers with the number of their request, kept so that none is accepted twice.
    accepted_transfers: BTreeSet<(u64, GrantId)>,
    /// Lowest request number still remembered; transfers for older requests are not accepted.
    oldest_request: u64,
    /// All batch, grant and request numbers of this holder are higher.
    first_number: u64,
    outgoing_transfers: BTreeMap<GrantId, OutgoingTransfer>,
    /// Transfers that were sent and are not in the ledger yet, with the grant they came from.
    unentered_transfers: BTreeMap<GrantId, GrantId>,
    next_number: u64,
    /// Highest run number for which a reservation was requested.
    highest_run: u64,
    unsuccessful_round_at: Option<Duration>,
    rate: Rate,
    peers: BTreeSet<InstanceId>,
    /// Whether some peers are unresponsive.
    has_silent_peers: bool,
    witnesses: BTreeMap<InstanceId, Incarnation>,
    last_used_at: Duration,
    /// Time at which grants with outdated witnesses are to be replaced.
    renew_at: Option<Duration>,
    is_stopping: bool,
}

impl Holder {
    /// Creates a holder without tokens.
    #[must_use]
    pub fn new(budget: &str, identity: &Identity, options: BudgetOptions, now: Duration) -> Self {
        // An unused holder is dropped and created again on demand. Batch and grant numbers must
        // not repeat within an incarnation: the ledger would mistake a new batch for the old one
        // and drop its bills. Starting from the current time avoids repeats.
        let first_number = u64::try_from(now.as_micros()).unwrap_or(u64::MAX / 2);
        Self {
            budget: budget.to_owned(),
            identity: identity.clone(),
            options,
            view: None,
            view_at: Duration::ZERO,
            seen_version: 0,
            holdings: BTreeMap::new(),
            reservations: BTreeMap::new(),
            pending: Vec::new(),
            batch: None,
            last_batch: first_number,
            next_flush_at: now,
            retry_at: None,
            lost_answers: 0,
            page_in_flight: None,
            waiters: Vec::new(),
            round: None,
            accepted_transfers: BTreeSet::new(),
            oldest_request: 0,
            first_number,
            outgoing_transfers: BTreeMap::new(),
            unentered_transfers: BTreeMap::new(),
            next_number: first_number,
            highest_run: 0,
            unsuccessful_round_at: None,
            rate: Rate::new(now),
            peers: BTreeSet::new(),
            has_silent_peers: false,
            witnesses: BTreeMap::new(),
            last_used_at: now,
            renew_at: None,
            is_stopping: false,
        }
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: BudgetOptions) {
        self.options = options;
    }

    /// Updates the peers. Grants with outdated witnesses are replaced after a delay.
    pub fn set_peers(&mut self, now: Duration, peers: &Peers) {
        self.peers.clone_from(&peers.token_sources);
        self.has_silent_peers = peers.has_silent;
        self.witnesses.clone_from(&peers.witnesses);
        if self.holdings.values().any(|holding| self.is_stale(holding)) {
            self.renew_at.get_or_insert(now + RENEWAL_DELAY);
        }
    }

    /// Returns whether a grant has other witnesses than a new grant would have.
    fn is_stale(&self, holding: &Holding) -> bool {
        !holding.witnesses.is_empty() && holding.witnesses != self.witnesses
    }

    /// Reserves the maximum tokens of a run, from open grants only if `is_open_only` is set.
    pub fn reserve(
        &mut self,
        now: Duration,
        run: &RunId,
        tokens: u64,
        is_open_only: bool,
        fx: &mut Vec<HolderEffect>,
    ) -> Reserve {
        self.last_used_at = now;
        self.rate.add(now, tokens);
        self.highest_run = run_number(run).unwrap_or(0).max(self.highest_run);
        if let Some(draws) = self.draw(run, tokens, is_open_only) {
            self.refill_ahead(now, fx);
            return Reserve::Ready(draws);
        }
        if self.is_stopping {
            return Reserve::Refused(RefusalCode::Stopping);
        }
        self.wait(now, run, tokens, is_open_only, fx)
    }

    /// Cancels an unspent reservation, or the wait for one.
    pub fn release(&mut self, run: &RunId) {
        self.waiters.retain(|waiter| &waiter.run != run);
        for draw in self.reservations.remove(run).unwrap_or_default() {
            self.put_back(&draw.grant, draw.tokens);
        }
    }

    /// Converts a reservation into a ledger entry. Unused tokens become free again.
    pub fn settle(&mut self, now: Duration, entry: Entry) {
        self.last_used_at = now;
        let draws = self.reservations.remove(&entry.run).unwrap_or_default();
        let mut left_tokens = entry.cost_tokens();
        for draw in &draws {
            let spent_tokens = left_tokens.min(draw.tokens);
            left_tokens -= spent_tokens;
            self.put_back(&draw.grant, draw.tokens - spent_tokens);
        }
        self.pending.push(LedgerOp::Spend { entry, draws });
        self.drop_empty_holdings();
    }

    /// Accounts for a run of an unresponsive holder, based on the run's record.
    ///
    /// `origins` are the transfers through which the holder got the tokens. They are entered as
    /// well, since the holder may not have entered them.
    pub fn settle_from_record(
        &mut self,
        now: Duration,
        entry: Entry,
        draws: Vec<Draw>,
        origins: Vec<Adoption>,
    ) {
        self.last_used_at = now;
        self.pending
            .extend(origins.into_iter().map(LedgerOp::Adopt));
        self.pending.push(LedgerOp::Spend { entry, draws });
    }

    /// Enters in the ledger that this instance no longer accepts records for the grants of an
    /// unresponsive holder.
    pub fn seal(
        &mut self,
        now: Duration,
        holder: &str,
        incarnation: Incarnation,
        kept: BTreeMap<GrantId, BTreeMap<RunId, u64>>,
    ) {
        self.last_used_at = now;
        self.next_flush_at = now;
        self.pending.push(LedgerOp::Seal {
            holder: holder.to_owned(),
            incarnation,
            kept,
        });
    }

    /// Returns all free tokens to the budget and stops requesting more.
    pub fn stop(&mut self, now: Duration) {
        self.is_stopping = true;
        self.next_flush_at = now;
        self.return_free();
    }

    /// Returns whether nothing is free, reserved, waiting for tokens or waiting for the store.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.reservations.is_empty()
            && self.pending.is_empty()
            && self.batch.is_none()
            && self.waiters.is_empty()
            && self.free_tokens() == 0
    }

    /// Returns the witnesses of all held grants.
    #[must_use]
    pub fn witnesses_in_use(&self) -> BTreeSet<InstanceId> {
        self.holdings
            .values()
            .flat_map(|holding| holding.witnesses.keys().cloned())
            .collect()
    }

    /// Returns the witnesses of the grants drawn on.
    #[must_use]
    pub fn witnesses_of(&self, draws: &[Draw]) -> BTreeSet<InstanceId> {
        draws
            .iter()
            .filter_map(|draw| self.holdings.get(&draw.grant))
            .flat_map(|holding| holding.witnesses.keys().cloned())
            .collect()
    }

    /// Returns whether the holder can be dropped from memory: it holds nothing and has been unused
    /// for longer than `idle_for`.
    #[must_use]
    pub fn is_idle(&self, now: Duration, idle_for: Duration) -> bool {
        self.holdings.is_empty()
            && self.is_settled()
            && self.outgoing_transfers.is_empty()
            && self.unentered_transfers.is_empty()
            && now.saturating_sub(self.last_used_at) > idle_for
    }

    /// Returns the ledger as last seen, if it is in memory.
    #[must_use]
    pub fn ledger(&self) -> Option<&Ledger> {
        self.view.as_ref().map(|(_, ledger)| ledger)
    }

    /// Returns the tokens that can be reserved immediately.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.holdings
            .values()
            .map(|holding| holding.free_tokens)
            .sum()
    }

    /// Returns the tokens reserved for runs.
    #[must_use]
    pub fn reserved_tokens(&self) -> u64 {
        self.reservations
            .values()
            .flatten()
            .map(|draw| draw.tokens)
            .sum()
    }

    /// Returns the number of entries not yet written to the store.
    #[must_use]
    pub fn pending_entries(&self) -> usize {
        let count = |ops: &[LedgerOp]| {
            ops.iter()
                .filter(|op| matches!(op, LedgerOp::Spend { .. }))
                .count()
        };
        let in_flight = self.batch.as_ref().map_or(0, |batch| count(&batch.ops));
        count(&self.pending) + in_flight
    }

    /// Returns the time at which [`Self::tick`] is to be called next, if any.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        let flush_at = (!self.pending.is_empty() && self.batch.is_none())
            .then(|| self.retry_at.unwrap_or(self.next_flush_at));
        let batch_at = self.batch.as_ref().and_then(|batch| {
            if batch.is_in_flight {
                None
            } else {
                self.retry_at
            }
        });
        let waiter_at = self.waiters.iter().filter_map(Waiter::next_wake).min();
        let round_at = self.round.as_ref().map(|round| round.until);
        let resend_at = self
            .outgoing_transfers
            .values()
            .filter_map(|outgoing| outgoing.resend_at)
            .min();
        let renewal_at = self.renew_at;
        [
            renewal_at, flush_at, batch_at, waiter_at, round_at, resend_at,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.resend_transfers(now, fx);
        self.advance_round(now, fx);
        self.advance_waiters(now, fx);
        self.renew_due(now, fx);
        self.flush_due(now, fx);
    }

    fn return_free(&mut self) {
        for (grant, holding) in &mut self.holdings {
            let tokens = std::mem::take(&mut holding.free_tokens);
            if tokens > 0 {
                self.pending.push(LedgerOp::Return {
                    grant: grant.clone(),
                    tokens,
                });
            }
        }
        self.drop_empty_holdings();
    }

    /// Removes holdings of which nothing is free, reserved or in a transfer.
    fn drop_empty_holdings(&mut self) {
        let used: BTreeSet<&GrantId> = self
            .reservations
            .values()
            .flatten()
            .map(|draw| &draw.grant)
            .chain(
                self.outgoing_transfers
                    .values()
                    .map(|outgoing| &outgoing.plan.draw.grant),
            )
            .collect();
        self.holdings
            .retain(|grant, holding| holding.free_tokens > 0 || used.contains(grant));
    }

    fn log(fx: &mut Vec<HolderEffect>, code: EventCode, fields: &[(&str, &str)]) {
        fx.push(HolderEffect::Log(LogEvent::new(code, fields)));
    }
}
