//! `flush` carries batches of changes into the stored ledger, each exactly once.

use damaskstile_core::prelude::*;

use super::Holder;
use super::holding::Holding;
use super::refill::Stage;
use crate::effect::HolderEffect;
use crate::entry::Entry;
use crate::ledger::{Ledger, PAGE_ENTRIES, RECENT_ENTRIES};
use crate::op::LedgerOp;
use crate::records::run_number;

/// First wait after a lost answer; it doubles up to the longest.
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
/// Longest wait after lost answers.
const BACKOFF_LONGEST: Duration = Duration::from_secs(3);
/// Grants that are held side by side; past it the rests of old ones are given back.
const HOLDINGS_MAX: usize = 6;
/// Age up to which a view shows that the store is there.
const VIEW_FRESH: Duration = Duration::from_millis(20);
/// Time without use after which the ledger is not kept in memory.
const VIEW_KEPT: Duration = Duration::from_secs(30);

/// `Batch` is a set of changes on its way to the store. Its content never changes.
#[derive(Debug)]
pub(super) struct Batch {
    number: u64,
    pub ops: Vec<LedgerOp>,
    /// Whether a call to the store is out.
    pub is_called: bool,
    /// Ledger with the batch applied, while its write is out.
    candidate: Option<Ledger>,
    refused: Vec<RunId>,
    /// Grants that the seals in the batch close, by holder.
    sealing: BTreeMap<(InstanceId, Incarnation), BTreeSet<GrantId>>,
}

impl Batch {
    /// Notes which grants its seals close in a ledger.
    ///
    /// It must be asked before the batch is applied: a grant of which nothing is left is closed
    /// by the seal and is not in the ledger afterwards. Its witness would not remember it, and
    /// would accept the records of a holder that wakes up late and spends it again.
    fn note_sealing(&mut self, ledger: &Ledger, identity: &Identity) {
        for op in &self.ops {
            let LedgerOp::Seal {
                holder,
                incarnation,
                ..
            } = op
            else {
                continue;
            };
            let closing = ledger
                .grants
                .iter()
                .filter(|(_, grant)| &grant.holder == holder && grant.incarnation == *incarnation)
                .filter(|(_, grant)| grant.is_witnessed_by(identity))
                .map(|(id, _)| id.clone());
            self.sealing
                .entry((holder.clone(), *incarnation))
                .or_default()
                .extend(closing);
        }
    }
}

impl Holder {
    pub(super) fn flush_due(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &self.batch {
            let is_due = !batch.is_called && self.retry_at.is_some_and(|at| at <= now);
            if is_due {
                self.read(fx);
            }
            return;
        }
        let due_at = self.retry_at.unwrap_or(self.next_flush_at);
        if !self.pending.is_empty() && now >= due_at {
            self.flush(now, fx);
        }
        let is_idle = now.saturating_sub(self.last_used_at) > VIEW_KEPT;
        if is_idle && self.batch.is_none() && self.page_in_flight.is_none() {
            self.view = None;
        }
    }

    /// Sends what is pending to the store, if nothing is on its way.
    pub(super) fn flush(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.batch.is_some() || self.pending.is_empty() {
            return;
        }
        self.return_crumbs();
        let number = self.settled_below();
        self.pending.push(LedgerOp::SettledBelow { number });
        self.last_batch += 1;
        self.next_flush_at = now + self.options.flush_interval;
        self.batch = Some(Batch {
            number: self.last_batch,
            ops: std::mem::take(&mut self.pending),
            is_called: false,
            candidate: None,
            refused: Vec::new(),
            sealing: BTreeMap::new(),
        });
        if self.view.is_some() {
            self.write(now, fx);
        } else {
            self.read(fx);
        }
    }

    /// Returns the number below which no run is open after the batch that is being made.
    fn settled_below(&self) -> u64 {
        let open = self.reservations.keys();
        let waiting = self.waiters.iter().map(|waiter| &waiter.run);
        open.chain(waiting)
            .filter_map(|run| run_number(run))
            .min()
            .unwrap_or(self.highest_run + 1)
    }

    /// Gives back what is left of old grants, when there are many.
    ///
    /// Each refill is a grant of its own. Their rests would otherwise pile up, and a gift to a
    /// peer comes out of one grant only.
    fn return_crumbs(&mut self) {
        if self.holdings.len() <= HOLDINGS_MAX || !self.waiters.is_empty() {
            return;
        }
        let mut rests: Vec<(u64, GrantId)> = self
            .holdings
            .iter()
            .map(|(grant, holding)| (holding.free_tokens, grant.clone()))
            .filter(|(free, _)| *free > 0)
            .collect();
        rests.sort();
        let excess = self.holdings.len() - HOLDINGS_MAX;
        for (tokens, grant) in rests.into_iter().take(excess) {
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens = 0;
            }
            self.pending.push(LedgerOp::Return { grant, tokens });
        }
        self.drop_empty_holdings();
    }

    /// Changes grants whose witnesses are gone for new ones.
    ///
    /// A grant can only be closed by all of its witnesses. Without this, those of an instance
    /// that has been up for long would strand with it, since its witnesses were restarted since.
    /// And a grant from the first moments, when few peers were known, has few witnesses; none of
    /// them may be on its side of a cut.
    pub(super) fn renew_due(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.wants_renewal_at.is_none_or(|at| now < at) {
            return;
        }
        let is_busy = self.retry_at.is_some() || self.batch.is_some() || !self.waiters.is_empty();
        if is_busy || self.is_stopping {
            self.wants_renewal_at = (!self.is_stopping).then(|| now + super::RENEW_AFTER);
            return;
        }
        // What is being changed cannot be spent. So the store is asked first whether it is there;
        // in an outage the grants are left as they are.
        if self.view.is_none() || now.saturating_sub(self.view_at) > VIEW_FRESH {
            self.wants_renewal_at = Some(now + super::RENEW_AFTER);
            fx.push(HolderEffect::Read);
            return;
        }
        self.wants_renewal_at = None;
        self.next_flush_at = now;
        let stale: Vec<(GrantId, u64)> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.free_tokens > 0)
            .filter(|(_, holding)| self.is_stale(holding))
            .map(|(grant, holding)| (grant.clone(), holding.free_tokens))
            .collect();
        for (grant, tokens) in stale {
            if let Some(holding) = self.holdings.get_mut(&grant) {
                holding.free_tokens = 0;
            }
            let number = self.next_number();
            self.pending.push(LedgerOp::Return { grant, tokens });
            self.pending.push(LedgerOp::Grant {
                grant: self.identity.unique("grant", number),
                need_tokens: tokens,
                want_tokens: tokens,
                part_percent: 100,
                witnesses: self.witnesses.clone(),
            });
        }
        self.drop_empty_holdings();
    }

    fn read(&mut self, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &mut self.batch {
            batch.is_called = true;
            batch.candidate = None;
        }
        fx.push(HolderEffect::Read);
    }

    fn write(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let (Some(batch), Some((version, ledger))) = (&mut self.batch, &self.view) else {
            return;
        };
        batch.note_sealing(ledger, &self.identity);
        let mut candidate = ledger.clone();
        batch.refused = candidate.apply(
            &self.identity,
            batch.number,
            &batch.ops,
            self.options.policy.policy(),
            self.options.instances,
            now,
        );
        match candidate.to_json() {
            Ok(value) => {
                batch.is_called = true;
                batch.candidate = Some(candidate);
                fx.push(HolderEffect::Write {
                    expected_version: *version,
                    value,
                });
            }
            Err(error) => self.ledger_invalid(now, &error.to_string(), fx),
        }
    }

    /// Takes the store's answer to a read or write of the ledger.
    pub fn on_store(&mut self, now: Duration, answer: StoreAnswer, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &mut self.batch {
            batch.is_called = false;
        }
        match answer {
            StoreAnswer::Written { version } => self.written(now, version, fx),
            StoreAnswer::Found(object) | StoreAnswer::Conflict(object) => {
                self.store_answered();
                self.found(now, object, fx);
            }
            StoreAnswer::Lost => self.answer_lost(now, fx),
        }
        self.pump(now, fx);
        self.flush_due(now, fx);
    }

    fn store_answered(&mut self) {
        self.retry_at = None;
        self.lost_answers = 0;
    }

    fn written(&mut self, now: Duration, version: Version, fx: &mut Vec<HolderEffect>) {
        self.store_answered();
        let candidate = self.batch.as_mut().and_then(|batch| batch.candidate.take());
        let Some(ledger) = candidate else {
            return;
        };
        self.seen_version = version;
        self.view = Some((version, ledger));
        self.view_at = now;
        self.committed(now, fx);
    }

    fn found(&mut self, now: Duration, object: Option<Object>, fx: &mut Vec<HolderEffect>) {
        let Some(object) = object else {
            self.budget_missing(now);
            return;
        };
        if object.version < self.seen_version {
            // A lagging read must not bring back what was already spent.
            self.answer_lost(now, fx);
            return;
        }
        match Ledger::try_from_json(&object.value) {
            Ok(ledger) => {
                self.seen_version = object.version;
                self.view = Some((object.version, ledger));
            }
            Err(error) => {
                self.ledger_invalid(now, &error.to_string(), fx);
                return;
            }
        }
        self.view_at = now;
        self.check_holdings(fx);

        // The batch may be in the ledger already: its write took effect and the answer was lost.
        let writer = self.identity.writer();
        let (Some(batch), Some((_, ledger))) = (&self.batch, &self.view) else {
            // The store was asked whether it is there.
            if self.wants_renewal_at.is_some() {
                self.wants_renewal_at = Some(now);
                self.renew_due(now, fx);
            }
            return;
        };
        let is_in = ledger.has_batch(&writer, batch.number);
        if is_in {
            self.committed(now, fx);
        } else {
            self.write(now, fx);
        }
    }

    fn budget_missing(&mut self, now: Duration) {
        self.view = None;
        self.mark_store(Stage::Tried, Stage::Empty);
        self.mark_store(Stage::Untried, Stage::Empty);
        self.drop_unanswered_asks();
        self.retry_at = self.batch.as_ref().map(|_| now + BACKOFF_LONGEST);
    }

    /// Drops a batch that only asks for grants; there is nothing to keep of it.
    fn drop_unanswered_asks(&mut self) {
        let is_only_asking = self.batch.as_ref().is_some_and(|batch| {
            batch
                .ops
                .iter()
                .all(|op| matches!(op, LedgerOp::Grant { .. }))
        });
        if is_only_asking {
            self.batch = None;
        }
    }

    fn ledger_invalid(&mut self, now: Duration, error: &str, fx: &mut Vec<HolderEffect>) {
        self.view = None;
        self.retry_at = Some(now + BACKOFF_LONGEST);
        self.mark_store(Stage::Tried, Stage::Unreachable);
        self.mark_store(Stage::Untried, Stage::Unreachable);
        Self::log(
            fx,
            EventCode::LedgerInvalid,
            &[("budget", &self.budget), ("error", error)],
        );
    }

    fn answer_lost(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        // The write may have taken effect, or may still do so. Only a read can tell, and a
        // repeated write of the same batch number cannot count twice.
        let backoff = BACKOFF_FIRST
            .saturating_mul(1 << self.lost_answers.min(4))
            .min(BACKOFF_LONGEST);
        self.lost_answers = self.lost_answers.saturating_add(1);
        self.retry_at = Some(now + backoff);
        self.view = None;
        self.mark_store(Stage::Tried, Stage::Unreachable);
        self.mark_store(Stage::Untried, Stage::Unreachable);
        Self::log(fx, EventCode::LedgerAnswerLost, &[("budget", &self.budget)]);
    }

    /// Draws the conclusions of a batch that is in the ledger.
    fn committed(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        let mut runs = Vec::new();
        for op in &batch.ops {
            match op {
                LedgerOp::Grant { grant, .. } => self.grant_committed(grant, fx),
                LedgerOp::Spend { entry, .. } => runs.push(entry.run.clone()),
                LedgerOp::Seal {
                    holder,
                    incarnation,
                    ..
                } => {
                    let life = (holder.clone(), *incarnation);
                    let grants = batch.sealing.get(&life).cloned().unwrap_or_default();
                    self.seal_committed(life, grants, fx);
                }
                LedgerOp::Unwitness { grant } => self.unwitness_committed(grant),
                LedgerOp::Adopt(adoption) => {
                    if let Some(holding) = self.holdings.get_mut(&adoption.transfer) {
                        holding.origins.clear();
                    }
                }
                _ => {}
            }
        }
        for run in &batch.refused {
            Self::log(
                fx,
                EventCode::BillDropped,
                &[("budget", &self.budget), ("run", run)],
            );
        }
        if !runs.is_empty() {
            let count = runs.len().to_string();
            Self::log(
                fx,
                EventCode::BillsFlushed,
                &[("budget", &self.budget), ("entries", &count)],
            );
            fx.push(HolderEffect::Flushed { runs });
        }
        self.check_holdings(fx);
        let has_asked = batch
            .ops
            .iter()
            .any(|op| matches!(op, LedgerOp::Grant { .. }));
        if has_asked {
            self.serve_after_grant();
        }
        self.store_page(now, fx);
    }

    fn serve_after_grant(&mut self) {
        // Whoever asked before this batch was applied has its answer now. A grant that came but
        // is too small leaves the rest to peers.
        self.mark_store(Stage::Tried, Stage::Empty);
    }

    fn grant_committed(&mut self, id: &GrantId, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        let Some(grant) = ledger.grants.get(id) else {
            return;
        };
        if !grant.is_held_by(&self.identity) || grant.is_sealed() {
            return;
        }
        let tokens = grant.outstanding_tokens().to_string();
        self.holdings.insert(
            id.clone(),
            Holding {
                free_tokens: grant.outstanding_tokens(),
                witnesses: grant.witnesses.clone(),
                origins: Vec::new(),
            },
        );
        if !grant.witnesses.is_empty() {
            fx.push(HolderEffect::Watch {
                grant: id.clone(),
                witnesses: grant.witnesses.keys().cloned().collect(),
            });
        }
        Self::log(
            fx,
            EventCode::GrantReceived,
            &[("budget", &self.budget), ("grant", id), ("tokens", &tokens)],
        );
        if self.is_stopping {
            self.return_free();
        }
    }

    fn seal_committed(
        &self,
        (holder, incarnation): (InstanceId, Incarnation),
        grants: BTreeSet<GrantId>,
        fx: &mut Vec<HolderEffect>,
    ) {
        Self::log(
            fx,
            EventCode::GrantSealed,
            &[("budget", &self.budget), ("holder", &holder)],
        );
        fx.push(HolderEffect::Sealed {
            holder,
            incarnation,
            grants,
        });
    }

    fn unwitness_committed(&mut self, id: &GrantId) {
        let is_open = self
            .view
            .as_ref()
            .and_then(|(_, ledger)| ledger.grants.get(id))
            .is_some_and(|grant| grant.witnesses.is_empty());
        if let Some(holding) = self.holdings.get_mut(id)
            && is_open
        {
            holding.witnesses.clear();
        }
    }

    /// Spends grants without records whose witnesses have all fallen silent.
    pub fn witnesses_lost(&mut self, now: Duration, grants: &BTreeSet<GrantId>) {
        for grant in grants {
            let is_queued = self
                .pending
                .iter()
                .any(|op| matches!(op, LedgerOp::Unwitness { grant: queued } if queued == grant));
            if self.holdings.contains_key(grant) && !is_queued {
                self.next_flush_at = now;
                self.pending.push(LedgerOp::Unwitness {
                    grant: grant.clone(),
                });
            }
        }
    }

    /// Drops holdings that were closed by witnesses while this instance was silent.
    fn check_holdings(&mut self, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        // Records of gifts are needed until the taker's entry moves the tokens in the ledger.
        let adopted: Vec<GrantId> = self
            .unadopted
            .iter()
            .filter(|(transfer, grant)| {
                ledger
                    .grants
                    .get(*grant)
                    .is_none_or(|grant| grant.moved.contains(*transfer))
            })
            .map(|(transfer, _)| transfer.clone())
            .collect();
        self.unadopted
            .retain(|transfer, _| !adopted.contains(transfer));
        if !adopted.is_empty() {
            fx.push(HolderEffect::Flushed { runs: adopted });
        }
        let lost: Vec<GrantId> = self
            .holdings
            .iter()
            .filter(|(_, holding)| !holding.witnesses.is_empty())
            .filter(|(id, _)| ledger.grants.get(*id).is_none_or(crate::Grant::is_sealed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.holdings.remove(&id);
            Self::log(
                fx,
                EventCode::GrantLost,
                &[("budget", &self.budget), ("grant", &id)],
            );
        }
    }

    /// Stores the oldest entries as a page of their own when the ledger has grown long.
    fn store_page(&mut self, _now: Duration, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        let is_long = ledger.entries.len() >= RECENT_ENTRIES + PAGE_ENTRIES;
        if !is_long || self.page_in_flight.is_some() {
            return;
        }
        // Entries are only ever added at the end and taken from the front as whole pages. So
        // whoever writes page n writes the same content, and a second write changes nothing.
        let page: &[Entry] = &ledger.entries[..PAGE_ENTRIES];
        if let Ok(value) = serde_json::to_string(page) {
            let number = ledger.next_page;
            self.page_in_flight = Some(number);
            fx.push(HolderEffect::WritePage {
                page: number,
                value,
            });
        }
    }

    /// Takes the store's answer to the write of a page.
    pub fn on_page_stored(&mut self, now: Duration, answer: &StoreAnswer) {
        let Some(page) = self.page_in_flight.take() else {
            return;
        };
        let is_stored = matches!(
            answer,
            StoreAnswer::Written { .. } | StoreAnswer::Conflict(Some(_))
        );
        if is_stored {
            self.next_flush_at = self.next_flush_at.min(now);
            self.pending.push(LedgerOp::DropPage { page });
        }
    }
}
