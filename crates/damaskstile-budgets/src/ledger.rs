//! `ledger` holds the stored state of one budget and the rules for changing it.

mod accounting;

use damaskstile_core::identity::writer_name;
use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::errors::{Error, Result};
use crate::grant::Grant;
use crate::grant_request::GrantRequest;
use crate::op::LedgerOp;
use crate::policy::GrantPolicy;

/// Entries of one stored page of bills.
pub const PAGE_ENTRIES: usize = 128;
/// Entries that stay in the ledger at least; a repeat of one of them is not billed again.
pub const RECENT_ENTRIES: usize = 256;
/// Ids of top-ups that are remembered, so that a repeated top-up counts once.
const TOP_UPS_KEPT: usize = 256;
/// Time after which a writer that holds nothing is forgotten.
const WRITER_KEPT: Duration = Duration::from_hours(24);

/// `Ledger` is the stored state of one budget.
///
/// At every version: settled + outstanding <= topped up. Every change is a conditional update of
/// the one object, so the rule holds whoever writes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// Tokens topped up so far.
    pub topped_up_tokens: u64,
    /// Tokens that entries account for, of all grants.
    pub settled_tokens: u64,
    /// Part of the settled tokens that callers are billed for.
    pub billed_tokens: u64,
    /// Number of bills.
    pub bills: u64,
    /// Tokens settled by grants that are closed.
    pub closed_tokens: u64,
    /// Grants that are not closed.
    pub grants: BTreeMap<GrantId, Grant>,
    /// Last batch of each writer.
    pub writers: BTreeMap<String, WriterState>,
    /// Tokens ever granted to each instance; the fixed slices need it.
    pub taken_tokens: BTreeMap<InstanceId, u64>,
    /// Latest entries, oldest first.
    pub entries: Vec<Entry>,
    /// Number of the next page of bills.
    pub next_page: u64,
    /// Ids of the latest top-ups, oldest first.
    pub top_ups: Vec<String>,
}

/// `WriterState` remembers the last batch of a writer, so that none is applied twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriterState {
    /// Number of its last batch.
    pub last_batch: u64,
    /// All its runs with a lower number are accounted for.
    #[serde(default)]
    pub settled_runs_below: u64,
    /// Time of the batch, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Ledger {
    /// Reads a stored ledger.
    ///
    /// ```
    /// use damaskstile_budgets::ledger::Ledger;
    /// let ledger = Ledger::try_from_json(r#"{"topped_up_tokens": 10}"#).unwrap();
    /// assert_eq!(ledger.free_tokens(), 10);
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error where the value is no ledger or breaks the rule of ledgers.
    pub fn try_from_json(value: &str) -> Result<Self> {
        // An array would be read as a ledger's fields in their order.
        let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_str(value)?;
        let ledger: Self = serde_json::from_value(serde_json::Value::Object(fields))?;
        ledger.check()?;
        Ok(ledger)
    }

    /// Writes the ledger as it is stored.
    ///
    /// # Errors
    ///
    /// Returns an error where the ledger breaks the rule; it must not be stored then.
    pub fn to_json(&self) -> Result<String> {
        self.check()?;
        Ok(serde_json::to_string(self)?)
    }

    /// Checks the rule of ledgers.
    ///
    /// # Errors
    ///
    /// Returns an error where more is committed than was topped up.
    pub fn check(&self) -> Result<()> {
        for (id, grant) in &self.grants {
            if grant.spent_tokens > grant.granted_tokens {
                return Err(Error::GrantOverspent(id.clone()));
            }
        }
        let committed_tokens = self.committed_tokens();
        if committed_tokens > self.topped_up_tokens {
            return Err(Error::Overdrawn {
                topped_up_tokens: self.topped_up_tokens,
                committed_tokens,
            });
        }
        Ok(())
    }

    /// Returns the tokens that are settled or stand out with holders.
    #[must_use]
    pub fn committed_tokens(&self) -> u64 {
        self.grants.values().fold(self.closed_tokens, |sum, grant| {
            sum.saturating_add(grant.granted_tokens)
        })
    }

    /// Returns the tokens that no holder has.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.topped_up_tokens
            .saturating_sub(self.committed_tokens())
    }

    /// Returns the tokens that stand out with holders.
    #[must_use]
    pub fn outstanding_tokens(&self) -> u64 {
        self.grants.values().map(Grant::outstanding_tokens).sum()
    }

    /// Returns the tokens that stand out with one instance.
    #[must_use]
    pub fn held_tokens(&self, instance: &str) -> u64 {
        self.grants
            .values()
            .filter(|grant| grant.holder == instance)
            .map(Grant::outstanding_tokens)
            .sum()
    }

    /// Adds prepaid tokens. A top-up id that was seen before changes nothing.
    ///
    /// Returns whether the top-up was new.
    pub fn top_up(&mut self, id: &str, tokens: u64) -> bool {
        if self.top_ups.iter().any(|seen| seen == id) {
            return false;
        }
        self.topped_up_tokens = self.topped_up_tokens.saturating_add(tokens);
        self.top_ups.push(id.to_owned());
        if self.top_ups.len() > TOP_UPS_KEPT {
            self.top_ups.remove(0);
        }
        true
    }

    /// Tells whether a writer's batch is in the ledger.
    #[must_use]
    pub fn has_batch(&self, writer: &str, batch: u64) -> bool {
        self.writers
            .get(writer)
            .is_some_and(|state| state.last_batch >= batch)
    }

    /// Applies a writer's batch, unless it is applied already.
    ///
    /// Returns the runs whose accounting was refused because they are accounted for already.
    pub fn apply(
        &mut self,
        identity: &Identity,
        batch: u64,
        ops: &[LedgerOp],
        policy: &dyn GrantPolicy,
        instances: u64,
        now: Duration,
    ) -> Vec<RunId> {
        let writer = identity.writer();
        if self.has_batch(&writer, batch) {
            return Vec::new();
        }
        let mut refused = Vec::new();
        for op in ops {
            if let LedgerOp::Spend { entry, draws } = op {
                if !self.spend(identity, entry, draws) {
                    refused.push(entry.run.clone());
                }
            } else {
                self.apply_op(identity, op, policy, instances);
            }
        }
        let at_unix_ms = unix_ms(now);
        let known = self.writers.get(&writer);
        let known_below = known.map_or(0, |state| state.settled_runs_below);
        let settled_runs_below = ops
            .iter()
            .filter_map(|op| match op {
                LedgerOp::SettledBelow { number } => Some(*number),
                _ => None,
            })
            .fold(known_below, u64::max);
        let state = WriterState {
            last_batch: batch,
            settled_runs_below,
            at_unix_ms,
        };
        self.writers.insert(writer, state);
        self.close_grants();
        self.forget_writers(at_unix_ms);
        refused
    }

    fn apply_op(
        &mut self,
        identity: &Identity,
        op: &LedgerOp,
        policy: &dyn GrantPolicy,
        instances: u64,
    ) {
        match op {
            LedgerOp::Grant {
                grant,
                need_tokens,
                want_tokens,
                part_percent,
                witnesses,
            } => {
                let request = GrantRequest {
                    instance: &identity.instance,
                    instances,
                    need_tokens: *need_tokens,
                    want_tokens: *want_tokens,
                };
                if policy.is_slicing() {
                    self.taken_tokens
                        .entry(identity.instance.clone())
                        .or_default();
                }
                let whole = policy.size_tokens(self, &request);
                let part = whole.saturating_mul((*part_percent).min(100)) / 100;
                let tokens = part.max(*need_tokens);
                self.grant(identity, grant, tokens.min(self.free_tokens()), witnesses);
            }
            LedgerOp::Adopt(adoption) => self.adopt(adoption),
            LedgerOp::Return { grant, tokens } => self.give_back(identity, grant, *tokens),
            LedgerOp::Seal {
                holder,
                incarnation,
                kept,
            } => self.seal(identity, holder, *incarnation, kept),
            LedgerOp::Unwitness { grant } => self.unwitness(identity, grant),
            LedgerOp::DropPage { page } => self.drop_page(*page),
            LedgerOp::Spend { .. } | LedgerOp::SettledBelow { .. } => {}
        }
    }

    fn grant(
        &mut self,
        identity: &Identity,
        id: &GrantId,
        tokens: u64,
        witnesses: &BTreeMap<InstanceId, Incarnation>,
    ) {
        if tokens == 0 || self.grants.contains_key(id) {
            return;
        }
        let mut grant = Grant::new(identity, tokens);
        grant.witnesses.clone_from(witnesses);
        self.grants.insert(id.clone(), grant);
        if let Some(taken) = self.taken_tokens.get_mut(&identity.instance) {
            *taken += tokens;
        }
    }

    fn adopt(&mut self, adoption: &Adoption) {
        let Some(source) = self.grants.get_mut(&adoption.from_grant) else {
            return;
        };
        // Tokens leave the source once: the taker's grant bears the transfer's name. A sealed
        // source still holds them if its witness had the transfer on record.
        let transfer = &adoption.transfer;
        let is_known = source.moved.contains(transfer);
        let is_kept = source.kept.remove(transfer).is_some();
        let is_covered = source.outstanding_tokens() >= adoption.tokens;
        if is_known || !is_covered || (source.is_sealed() && !is_kept) {
            return;
        }
        source.granted_tokens -= adoption.tokens;
        source.moved.insert(transfer.clone());
        let taker = Identity::new(&adoption.holder, adoption.incarnation, "");
        self.grants
            .insert(transfer.clone(), Grant::new(&taker, adoption.tokens));
    }

    fn give_back(&mut self, identity: &Identity, id: &GrantId, tokens: u64) {
        let Some(grant) = self.grants.get_mut(id) else {
            return;
        };
        if !grant.is_held_by(identity) || grant.is_sealed() {
            return;
        }
        let tokens = tokens.min(grant.outstanding_tokens());
        grant.granted_tokens -= tokens;
        if let Some(taken) = self.taken_tokens.get_mut(&identity.instance) {
            *taken = taken.saturating_sub(tokens);
        }
    }

    fn seal(
        &mut self,
        identity: &Identity,
        holder: &str,
        incarnation: Incarnation,
        kept: &BTreeMap<GrantId, BTreeMap<RunId, u64>>,
    ) {
        let entered: BTreeSet<RunId> = self.entries.iter().map(|entry| entry.run.clone()).collect();
        for (id, grant) in &mut self.grants {
            let is_meant = grant.holder == holder
                && grant.incarnation == incarnation
                && grant.is_witnessed_by(identity);
            if !is_meant || grant.is_sealed() {
                continue;
            }
            for (run, tokens) in kept.get(id).into_iter().flatten() {
                // A record may outlive its entry when the word to forget it was lost.
                let is_accounted = entered.contains(run)
                    || grant.resolved.contains(run)
                    || grant.moved.contains(run);
                if !is_accounted {
                    grant.kept.insert(run.clone(), *tokens);
                }
            }
            grant.sealed_by.insert(identity.instance.clone());
            if grant.is_sealed() {
                grant.shrink_to_kept();
            }
        }
    }

    fn unwitness(&mut self, identity: &Identity, id: &GrantId) {
        let Some(grant) = self.grants.get_mut(id) else {
            return;
        };
        if grant.is_held_by(identity) && grant.sealed_by.is_empty() {
            grant.witnesses.clear();
        }
    }

    fn drop_page(&mut self, page: u64) {
        if self.next_page != page || self.entries.len() < PAGE_ENTRIES {
            return;
        }
        self.entries.drain(..PAGE_ENTRIES);
        self.next_page += 1;
    }

    fn close_grants(&mut self) {
        let is_closed =
            |grant: &Grant| grant.granted_tokens == grant.spent_tokens && grant.kept.is_empty();
        let closed_tokens: u64 = self
            .grants
            .values()
            .filter(|grant| is_closed(grant))
            .map(|grant| grant.spent_tokens)
            .sum();
        self.closed_tokens = self.closed_tokens.saturating_add(closed_tokens);
        self.grants.retain(|_, grant| !is_closed(grant));
    }

    fn forget_writers(&mut self, now_unix_ms: u64) {
        let kept_ms = unix_ms(WRITER_KEPT);
        // A writer that still holds a grant may come back after days with a batch whose answer
        // it never got. Without its number the batch would be applied again.
        let holders: BTreeSet<String> = self
            .grants
            .values()
            .map(|grant| writer_name(&grant.holder, grant.incarnation))
            .collect();
        self.writers.retain(|writer, state| {
            holders.contains(writer) || state.at_unix_ms.saturating_add(kept_ms) > now_unix_ms
        });
    }
}
