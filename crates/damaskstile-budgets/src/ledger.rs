//! Stored state of a budget and the rules for changing it.

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

/// Number of entries in a stored page of bills.
pub const PAGE_ENTRIES: usize = 128;
/// Minimum number of entries kept in the ledger. A request whose bill is among them is not billed
/// again.
pub const RECENT_ENTRIES: usize = 256;
/// Number of top-up ids kept to detect repeated top-ups.
const TOP_UP_IDS_MAX: usize = 256;
/// Time after its last batch at which a writer without grants is removed.
const WRITER_RETENTION: Duration = Duration::from_hours(24);

/// Stored state of one budget.
///
/// Every version satisfies the invariant settled + outstanding <= topped up. The ledger is a
/// single object that is changed only by conditional updates, so concurrent writers cannot break
/// the invariant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Ledger {
    /// Tokens topped up so far.
    pub topped_up_tokens: u64,
    /// Tokens that entries account for, over all grants.
    pub settled_tokens: u64,
    /// Settled tokens that callers are billed for.
    pub billed_tokens: u64,
    /// Number of bills.
    pub bills: u64,
    /// Tokens settled on closed grants.
    pub closed_tokens: u64,
    /// Grants that are not closed yet.
    pub grants: BTreeMap<GrantId, Grant>,
    /// Last batch of each ledger writer.
    pub writers: BTreeMap<String, WriterState>,
    /// Total tokens granted to each instance, tracked for the fixed slices policy only.
    pub taken_tokens: BTreeMap<InstanceId, u64>,
    /// Most recent entries, oldest first.
    pub entries: Vec<Entry>,
    /// Number of the next page of bills.
    pub next_page: u64,
    /// Ids of the most recent top-ups, oldest first.
    pub top_ups: Vec<String>,
}

/// Last batch of a ledger writer, kept so that no batch is applied twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriterState {
    /// Number of the last batch.
    pub last_batch: u64,
    /// All runs of the writer with a lower number are accounted for.
    #[serde(default)]
    pub settled_runs_below: u64,
    /// Time of the batch, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Ledger {
    /// Parses a stored ledger.
    ///
    /// ```
    /// use damaskstile_budgets::ledger::Ledger;
    /// let ledger = Ledger::try_from_json(r#"{"topped_up_tokens": 10}"#).unwrap();
    /// assert_eq!(ledger.free_tokens(), 10);
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a ledger or violates the ledger invariants.
    pub fn try_from_json(value: &str) -> Result<Self> {
        // Parsed as a map first: serde would accept an array as the fields in their order.
        let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_str(value)?;
        let ledger: Self = serde_json::from_value(serde_json::Value::Object(fields))?;
        ledger.check()?;
        Ok(ledger)
    }

    /// Serialises the ledger to its stored form.
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger violates its invariants and so must not be stored, or if it
    /// cannot be serialised.
    pub fn to_json(&self) -> Result<String> {
        self.check()?;
        Ok(serde_json::to_string(self)?)
    }

    /// Checks the invariants of the ledger.
    ///
    /// # Errors
    ///
    /// Returns an error if a grant has more tokens spent than granted, or if more tokens are
    /// committed than were topped up.
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

    /// Returns the tokens that are settled or outstanding in grants.
    #[must_use]
    pub fn committed_tokens(&self) -> u64 {
        self.grants.values().fold(self.closed_tokens, |sum, grant| {
            sum.saturating_add(grant.granted_tokens)
        })
    }

    /// Returns the tokens that are not granted to any holder.
    #[must_use]
    pub fn free_tokens(&self) -> u64 {
        self.topped_up_tokens
            .saturating_sub(self.committed_tokens())
    }

    /// Returns the unspent tokens of all grants.
    #[must_use]
    pub fn outstanding_tokens(&self) -> u64 {
        self.grants.values().map(Grant::outstanding_tokens).sum()
    }

    /// Returns the unspent tokens of the grants of one instance.
    #[must_use]
    pub fn held_tokens(&self, instance: &str) -> u64 {
        self.grants
            .values()
            .filter(|grant| grant.holder == instance)
            .map(Grant::outstanding_tokens)
            .sum()
    }

    /// Adds prepaid tokens. A top-up with an id that is still remembered changes nothing.
    ///
    /// Returns whether the top-up was new.
    pub fn top_up(&mut self, id: &str, tokens: u64) -> bool {
        if self.top_ups.iter().any(|seen| seen == id) {
            return false;
        }
        self.topped_up_tokens = self.topped_up_tokens.saturating_add(tokens);
        self.top_ups.push(id.to_owned());
        if self.top_ups.len() > TOP_UP_IDS_MAX {
            self.top_ups.remove(0);
        }
        true
    }

    /// Returns whether a batch of a writer has been applied.
    #[must_use]
    pub fn has_batch(&self, writer: &str, batch: u64) -> bool {
        self.writers
            .get(writer)
            .is_some_and(|state| state.last_batch >= batch)
    }

    /// Applies a batch of a writer unless it has been applied already.
    ///
    /// Returns the runs whose entries were refused, because they are accounted for already or
    /// because their grants no longer admit them.
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
                if !self.enter_run(identity, entry, draws) {
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
                let full_tokens = policy.size_tokens(self, &request);
                let share = full_tokens.saturating_mul((*part_percent).min(100)) / 100;
                let tokens = share.max(*need_tokens);
                self.grant(identity, grant, tokens.min(self.free_tokens()), witnesses);
            }
            LedgerOp::Adopt(adoption) => self.adopt(adoption),
            LedgerOp::Return { grant, tokens } => self.return_tokens(identity, grant, *tokens),
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
        // Tokens leave the source grant once; the recipient's grant has the transfer's id. A
        // sealed source still holds the tokens only if a witness had the transfer on record.
        let transfer = &adoption.transfer;
        let is_known = source.moved.contains(transfer);
        let is_kept = source.kept.remove(transfer).is_some();
        let is_covered = source.outstanding_tokens() >= adoption.tokens;
        if is_known || !is_covered || (source.is_sealed() && !is_kept) {
            return;
        }
        source.granted_tokens -= adoption.tokens;
        source.moved.insert(transfer.clone());
        let recipient = Identity::new(&adoption.holder, adoption.incarnation, "");
        self.grants
            .insert(transfer.clone(), Grant::new(&recipient, adoption.tokens));
    }

    fn return_tokens(&mut self, identity: &Identity, id: &GrantId, tokens: u64) {
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
            let is_affected = grant.holder == holder
                && grant.incarnation == incarnation
                && grant.is_witnessed_by(identity);
            if !is_affected || grant.is_sealed() {
                continue;
            }
            for (run, tokens) in kept.get(id).into_iter().flatten() {
                // A witness may still keep the record of a run that has its entry, if the message
                // to forget the record was lost.
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
        let kept_ms = unix_ms(WRITER_RETENTION);
        // A writer that still holds a grant may return days later with a batch for which it never
        // received the store's answer. Without its batch number, the batch would be applied again.
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
