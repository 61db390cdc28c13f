//! `round` writes to the ledger and finds out what became of a write.

use damaskstile_core::prelude::*;

use super::Holder;
use super::plan::{PERCENT, mul_div};
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::ledger_change::LedgerChange;
use crate::pace::Pace;
use crate::purse::Purse;
use crate::settlement::Settlement;
use crate::stamp::Stamp;

/// Change of a grant that is worth a write, in parts of the grant. Smaller ones would have every
/// instance write in every round.
const WORTH_PART: u64 = 8;


/// `Round` is one conditional write to the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Round {
    /// Number of the write within the incarnation.
    pub number: u64,
    /// Version that the ledger must still have; 0 where there must be none.
    pub expected_version: Version,
    /// The ledger to write.
    pub ledger: Ledger,
    /// What it writes off of ended incarnations.
    pub settlements: Vec<Settlement>,
}

/// `Pending` is a write whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    number: u64,
    expected_version: Version,
    made_at: Duration,
    pace: Pace,
    /// Allowance and settled sum of each account, should the write take effect.
    sums: BTreeMap<AccountId, Sums>,
}

#[derive(Debug, Clone, Copy)]
#[allow(clippy::struct_field_names)] // fields carry their unit
struct Sums {
    allowed_tokens: u64,
    ceiling_tokens: u64,
    settled_tokens: u64,
}

impl Pending {
    pub(super) fn allowed(&self, now: Duration, account: &str) -> u64 {
        let unlocked = self.pace.unlocked(now.saturating_sub(self.made_at));
        self.sums.get(account).map_or(0, |sums| {
            unlocked.of(sums.ceiling_tokens, sums.allowed_tokens)
        })
    }
}

impl Holder {
    /// Takes in the ledger as the store shows it. Version 0 means that there is none.
    pub fn observe(&mut self, now: Duration, version: Version, ledger: Ledger) {
        self.touched_at = Some(now);
        self.take_ledger(now, version, ledger);
    }

    /// Takes in a write that a peer says the ledger took; returns whether it followed on what was
    /// known here. With it the next write here is made on the ledger as it stands, instead of
    /// being refused once for each write of a peer.
    pub fn hear(&mut self, now: Duration, change: LedgerChange) -> bool {
        if change.follows != self.ledger_version || self.seen_at.is_none() {
            return false;
        }
        let version = change.version;
        let mut ledger = self.ledger.clone();
        change.apply(&mut ledger);
        self.take_ledger(now, version, ledger);
        true
    }

    fn take_ledger(&mut self, now: Duration, version: Version, ledger: Ledger) {
        if version < self.ledger_version {
            return;
        }
        self.seen_at = Some(now);
        self.is_in_doubt = false;
        let is_news = version > self.ledger_version || self.ledger_version == 0;
        if !is_news {
            return;
        }
        self.ledger_version = version;
        let standing = ledger
            .holders
            .get(&self.identity.instance)
            .filter(|entry| entry.incarnation == self.identity.incarnation)
            .map(|entry| entry.round);
        self.ledger = ledger;
        let took_effect = self
            .pending
            .iter()
            .position(|pending| Some(pending.number) == standing);
        if let Some(index) = took_effect {
            let pending = self.pending.swap_remove(index);
            self.commit(&pending);
        } else if standing.is_none() {
            // Nothing of this incarnation stands there: what it was granted is void.
            for purse in self.purses.values_mut() {
                purse.allowed_tokens = purse.settled_tokens;
                purse.ceiling_tokens = purse.settled_tokens;
            }
        }
        // A write on an older version can no longer take effect.
        self.pending
            .retain(|pending| pending.expected_version >= version);
    }

    /// Takes in that a write took effect, with the version that it made.
    pub fn written(&mut self, now: Duration, version: Version, round: Round) {
        self.observe(now, version, round.ledger);
    }

    /// Takes in that a write surely has not taken effect and never will.
    pub fn not_written(&mut self, number: u64) {
        self.pending.retain(|pending| pending.number != number);
    }

    /// Takes in that a write got no clear answer: it may have taken effect, or may yet.
    ///
    /// No further write is made until the ledger was seen again. While an instance is cut off
    /// each further write in doubt could only lower what it may spend.
    pub fn in_doubt(&mut self) {
        self.is_in_doubt = true;
    }

    /// Tells whether the host should read the ledger before it asks for a write.
    #[must_use]
    pub fn needs_read(&self, now: Duration) -> bool {
        let read_interval = if self.is_steward() {
            self.options.round_interval * self.scale()
        } else {
            self.options.follower_read_interval
        };
        let is_old = self.ledger_age(now).is_none_or(|age| age >= read_interval);
        self.seen_at.is_none() || self.is_in_doubt || (self.is_short && is_old)
    }

    /// Returns the time between two rounds while tokens are short. Stewards of a large fleet are
    /// short for others, who ask ahead of their need.
    fn urgent_interval(&self) -> Duration {
        if self.is_large_fleet() {
            self.options.large_urgent_interval
        } else {
            self.options.urgent_interval
        }
    }

    /// Returns how much slower rounds are than in a small fleet. All instances write to one
    /// ledger, so with many each writes less often, and holds tokens for longer.
    pub(super) fn scale(&self) -> u32 {
        let writers = self.ledger.holders.len().min(self.stewards_max());
        let writers = u32::try_from(writers).unwrap_or(u32::MAX);
        writers.div_ceil(self.options.small_fleet).max(1)
    }

    /// Makes the next round due at once, after a conflict.
    pub fn hurry(&mut self) {
        self.round_at = None;
    }

    /// Begins to hand everything back.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Tells whether the ledger holds nothing for this instance that it could hand back.
    #[must_use]
    pub fn is_handed_back(&self) -> bool {
        self.purses
            .values()
            .all(|purse| purse.unsettled() == 0 && purse.granted() <= purse.reserved_tokens)
    }

    /// Returns the write that is due, if one is. At most one is under way at a time.
    ///
    /// `None` too where the ledger was never seen: the host reads it first.
    pub fn next_round(&mut self, now: Duration, stamp: &Stamp) -> Option<Round> {
        self.note_stamp(now, stamp);
        self.seen_at?;
        if self.is_in_doubt || self.catalogue_version < self.ledger.catalogue_version {
            return None;
        }
        let interval = if self.is_short || self.is_stopping {
            self.urgent_interval()
        } else {
            self.options.round_interval * self.scale()
        };
        let is_due = self.round_at.is_none_or(|at| now >= at + interval);
        if !is_due || !self.is_worth_a_round(now) {
            return None;
        }
        self.round_at = Some(now);
        self.is_short = false;
        Some(self.make_round(now, stamp))
    }

    fn commit(&mut self, pending: &Pending) {
        self.committed_at = pending.made_at;
        self.committed_pace = pending.pace;
        for (account, sums) in &pending.sums {
            let purse = self.purses.entry(account.clone()).or_default();
            purse.allowed_tokens = sums.allowed_tokens;
            purse.ceiling_tokens = sums.ceiling_tokens;
            purse.settled_tokens = sums.settled_tokens;
        }
    }

    fn is_worth_a_round(&self, now: Duration) -> bool {
        let is_listed = self
            .ledger
            .holders
            .get(&self.identity.instance)
            .is_some_and(|entry| entry.incarnation == self.identity.incarnation);
        if !is_listed {
            return !self.is_stopping;
        }
        if self.is_stopping {
            return !self.is_handed_back();
        }
        if !self.is_steward() {
            let holds = |entry: &HolderEntry| !entry.demand_tokens_per_s.is_empty();
            let entry = self.ledger.holders.get(&self.identity.instance);
            return !self.is_handed_back() || entry.is_some_and(holds);
        }
        if self.has_estate_to_settle(now) {
            return true;
        }
        self.prepaid_tokens.keys().any(|account| {
            let empty = Purse::default();
            let purse = self.purses.get(account).unwrap_or(&empty);
            let free = purse.free(purse.allowed_tokens);
            let target = self.target_tokens(now, account);
            let change = free.abs_diff(target);
            let is_change = change > target / WORTH_PART;
            let is_possible = target < free || self.pool(account) > 0;
            let ceiling = self.ceiling_tokens(now, account, purse);
            let below_ceiling = purse.free(purse.ceiling_tokens);
            let is_ceiling_near = below_ceiling < ceiling.min(free) * 3 / 4;
            (is_change && is_possible && change > 0)
                || is_ceiling_near
                || purse.unsettled() > purse.granted() / WORTH_PART
        })
    }

    fn pool(&self, account: &str) -> u64 {
        let prepaid = self.prepaid_tokens.get(account).copied().unwrap_or(0);
        self.ledger.pool(account, prepaid)
    }

    fn make_round(&mut self, now: Duration, stamp: &Stamp) -> Round {
        self.last_round += 1;
        let mut ledger = self.ledger.clone();
        ledger.catalogue_version = self.catalogue_version;
        let own = &self.identity.instance;
        let is_other_life = ledger
            .holders
            .get(own)
            .is_some_and(|entry| entry.incarnation != self.identity.incarnation);
        if is_other_life {
            ledger.close(own);
        }
        let settlements = self.settle_estates(now, &mut ledger);
        let mut entry = HolderEntry {
            incarnation: self.identity.incarnation,
            round: self.last_round,
            stamp: stamp.clone(),
            pace: self.pace(),
            address: self.address.clone(),
            data_centre: self.identity.data_centre.clone(),
            ..HolderEntry::default()
        };
        let is_steward = self.is_steward();
        let mut sums = BTreeMap::new();
        let accounts: Vec<AccountId> = self.prepaid_tokens.keys().cloned().collect();
        for account in accounts {
            let of_account = self.account_sums(now, &account, &ledger);
            let purse = self.purses.entry(account.clone()).or_default();
            purse.wanted_tokens = 0;
            ledger.settle(&account, purse.unsettled());
            let grant = of_account.allowed_tokens - of_account.settled_tokens;
            let demand = if is_steward {
                purse.demand.tokens_per_s(now)
            } else {
                0
            };
            let ceiling = of_account.ceiling_tokens - of_account.settled_tokens;
            if ceiling > 0 {
                entry.ceilings_tokens.insert(account.clone(), ceiling);
            }
            if grant > 0 {
                entry.grants_tokens.insert(account.clone(), grant);
            }
            let urgent = purse.urgent_demand.tokens_per_s(now).min(demand);
            if urgent > 0 {
                entry.urgent_tokens_per_s.insert(account.clone(), urgent);
            }
            if demand > 0 {
                entry.demand_tokens_per_s.insert(account.clone(), demand);
            }
            sums.insert(account, of_account);
        }
        ledger.holders.insert(own.clone(), entry);
        self.pending.push(Pending {
            number: self.last_round,
            expected_version: self.ledger_version,
            made_at: now,
            pace: self.pace(),
            sums,
        });
        Round {
            number: self.last_round,
            expected_version: self.ledger_version,
            ledger,
            settlements,
        }
    }

    /// Returns the sums that a write would leave: all that was used is settled, and the free part
    /// comes as near to its target as the pool allows.
    fn account_sums(&self, now: Duration, account: &str, ledger: &Ledger) -> Sums {
        let empty = Purse::default();
        let purse = self.purses.get(account).unwrap_or(&empty);
        let prepaid = self.prepaid_tokens.get(account).copied().unwrap_or(0);
        let pool = ledger.pool(account, prepaid);
        let needed = purse.used_tokens + purse.reserved_tokens;
        if !self.is_steward() {
            // What peers handed over covers the calls under way; nothing more is taken for them.
            let allowed_tokens = needed.min(purse.allowed_tokens).max(purse.used_tokens);
            return Sums {
                allowed_tokens,
                ceiling_tokens: allowed_tokens,
                settled_tokens: purse.used_tokens,
            };
        }
        let wanted = needed + self.target_tokens(now, account);
        let reachable = purse.allowed_tokens + pool;
        // What is reserved stays covered even where the sums were lowered meanwhile.
        let allowed = wanted.min(reachable).max(needed.min(purse.allowed_tokens));
        let allowed_tokens = allowed.max(purse.used_tokens);
        let ceiling = needed + self.ceiling_tokens(now, account, purse);
        Sums {
            allowed_tokens,
            ceiling_tokens: ceiling.min(allowed_tokens),
            settled_tokens: purse.used_tokens,
        }
    }

    /// Returns the free tokens that may be spent ahead of the next write: what is asked for until
    /// then, or the instance's share of a tenth of what is left, whichever is more. Where much is
    /// left, losing a tenth of it with an instance refuses nobody.
    fn ceiling_tokens(&self, now: Duration, account: &str, purse: &Purse) -> u64 {
        let own = purse.demand.tokens_per_s(now);
        let ceiling = self.options.ceiling * self.scale();
        let until_next = u128::from(own) * ceiling.as_millis() / 1000;
        let until_next = u64::try_from(until_next).unwrap_or(u64::MAX);
        let all = own
            + self
                .ledger
                .demand_of_others(account, &self.identity.instance);
        let of_left = mul_div(
            self.left_tokens(account) * self.options.ceiling_left_percent / PERCENT,
            own,
            all,
        );
        let calls = purse.call_tokens * self.options.ceiling_call_percent / 100;
        let ahead = until_next.saturating_add(calls).max(of_left);
        let target = self.target_tokens(now, account);
        ahead
            .max(target * self.options.ceiling_grant_percent / PERCENT)
            .max(purse.wanted_tokens)
            .min(target)
    }
}
