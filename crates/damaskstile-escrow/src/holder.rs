//! `holder` is one instance's part of the budgets.

mod estates;
mod gifts;
mod plan;
mod round;
mod stewards;

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use crate::ledger::Ledger;
use crate::options::EscrowOptions;
use crate::pace::Pace;
use crate::purse::{Purse, Rank};
use crate::shortage::Shortage;
use crate::stamp::Stamp;
use crate::standing::Standing;

use round::Pending;
pub use round::Round;

/// `Holder` reserves tokens for calls and says what to write to the ledger.
///
/// It has no clock and makes no calls. A host carries [`Round`]s to the store and reports what
/// became of them; a write without a clear answer may still take effect later, and until the
/// ledger shows otherwise the smaller of the possible allowances holds.
#[derive(Debug)]
pub struct Holder {
    identity: Identity,
    address: String,
    options: EscrowOptions,
    prepaid_tokens: BTreeMap<AccountId, u64>,
    catalogue_version: Version,
    purses: BTreeMap<AccountId, Purse>,
    ledger: Ledger,
    ledger_version: Version,
    seen_at: Option<Duration>,
    /// When the store itself last showed the ledger.
    touched_at: Option<Duration>,
    /// When the write that stands was made.
    committed_at: Duration,
    /// Pace that stands with it.
    committed_pace: Pace,
    /// Stamp of the start of this incarnation, by which its predecessor was gone.
    start: Option<Stamp>,
    started_at: Option<Duration>,
    /// Writes whose outcome is not known.
    pending: Vec<Pending>,
    last_round: u64,
    round_at: Option<Duration>,
    is_short: bool,
    is_stopping: bool,
    /// A write got no clear answer, and the ledger has not been seen since.
    is_in_doubt: bool,
}

impl Holder {
    /// Makes a holder that has nothing yet.
    #[must_use]
    pub fn new(identity: Identity, address: &str, options: EscrowOptions) -> Self {
        Self {
            identity,
            address: address.to_owned(),
            options,
            prepaid_tokens: BTreeMap::new(),
            catalogue_version: 0,
            purses: BTreeMap::new(),
            ledger: Ledger::default(),
            ledger_version: 0,
            seen_at: None,
            touched_at: None,
            committed_at: Duration::ZERO,
            committed_pace: Pace::default(),
            start: None,
            started_at: None,
            pending: Vec::new(),
            last_round: 0,
            round_at: None,
            is_short: false,
            is_stopping: false,
            is_in_doubt: false,
        }
    }

    /// Takes in what the accounts have bought, with the catalogue version that says so.
    pub fn set_prepaid(&mut self, version: Version, prepaid_tokens: BTreeMap<AccountId, u64>) {
        if version > self.catalogue_version {
            self.catalogue_version = version;
            self.prepaid_tokens = prepaid_tokens;
        }
    }

    /// Reserves the worst case of a call.
    ///
    /// # Errors
    ///
    /// Returns where the missing tokens are, as far as this instance can know.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let mut holder = Holder::new(identity, "", EscrowOptions::default());
    /// // An account that is not prepaid has no bound.
    /// assert_eq!(holder.try_reserve(Duration::ZERO, "free", 100, 0), Ok(()));
    /// ```
    pub fn try_reserve(
        &mut self,
        now: Duration,
        account: &str,
        tokens: u64,
        rank: Rank,
    ) -> Result<(), Shortage> {
        if !self.prepaid_tokens.contains_key(account) {
            return Ok(());
        }
        if self.is_kept_for_urgent(now, account, tokens, rank) {
            return Err(Shortage::Reserved);
        }
        let bound = self.allowance(now, account);
        let purse = self.purses.entry(account.to_owned()).or_default();
        if purse.free(bound) >= tokens {
            purse.reserved_tokens += tokens;
            return Ok(());
        }
        purse.wanted_tokens = purse.wanted_tokens.max(tokens);
        let shortage = self.shortage(now, account, tokens);
        // Where no instance has the tokens, neither a read nor a write brings any.
        self.is_short |= shortage != Shortage::Exhausted;
        Err(shortage)
    }

    /// Notes that a call asked for tokens, once for each call however often it is tried.
    pub fn note_demand(&mut self, now: Duration, account: &str, tokens: u64, rank: Rank) {
        if self.prepaid_tokens.contains_key(account) {
            let purse = self.purses.entry(account.to_owned()).or_default();
            purse.note_demand(now, tokens, rank);
        }
    }

    /// Ends a reservation: `used_tokens` of it are spent and the rest is free again.
    pub fn release(&mut self, account: &str, reserved_tokens: u64, used_tokens: u64) {
        if let Some(purse) = self.purses.get_mut(account) {
            purse.reserved_tokens = purse.reserved_tokens.saturating_sub(reserved_tokens);
            purse.add_used(used_tokens.min(reserved_tokens));
        }
    }

    /// Returns the tokens that could be reserved at once.
    #[must_use]
    pub fn free_tokens(&self, now: Duration, account: &str) -> u64 {
        let bound = self.allowance(now, account);
        self.purses
            .get(account)
            .map_or(0, |purse| purse.free(bound))
    }

    /// Returns the accounts that are prepaid.
    pub fn prepaid_accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.prepaid_tokens.keys()
    }

    /// Returns how an account stood in the ledger as last seen.
    #[must_use]
    pub fn standing(&self, account: &str) -> Standing {
        Standing {
            bought_tokens: self.prepaid_tokens.get(account).copied().unwrap_or(0),
            settled_tokens: self.ledger.settled(account),
            granted_tokens: self.ledger.granted(account),
        }
    }

    /// Returns the ledger as last seen.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the version of the ledger as last seen; 0 where none was.
    #[must_use]
    pub fn ledger_version(&self) -> Version {
        self.ledger_version
    }

    /// Returns the time since the ledger was last seen.
    #[must_use]
    pub fn ledger_age(&self, now: Duration) -> Option<Duration> {
        self.seen_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the smallest allowance that any possible outcome of the writes under way leaves.
    ///
    /// In touch with the store an instance stays below its ceiling, so that a death costs little.
    /// Isolated it goes on to its whole grant, at a pace that whoever settles its grant knows.
    fn allowance(&self, now: Duration, account: &str) -> u64 {
        let committed = self.purses.get(account).map_or(0, |purse| {
            let since = now.saturating_sub(self.committed_at);
            let unlocked = self.committed_pace.unlocked(since);
            unlocked.of(purse.ceiling_tokens, purse.allowed_tokens)
        });
        self.pending
            .iter()
            .map(|pending| pending.allowed(now, account))
            .fold(committed, u64::min)
    }

    /// Returns the pace of the grants that are written now.
    fn pace(&self) -> Pace {
        Pace {
            after_ms: unix_ms(self.options.unlock_after * self.scale()),
            span_ms: unix_ms(self.options.unlock_span),
        }
    }

    /// Tells whether a call must leave what is left to more urgent ones of its account. Near its
    /// end a budget pays for many short urgent calls or for a few long ones that can wait.
    fn is_kept_for_urgent(&self, now: Duration, account: &str, tokens: u64, rank: Rank) -> bool {
        let Some(purse) = self.purses.get(account) else {
            return false;
        };
        if purse.is_urgent(rank) {
            return false;
        }
        let own = &self.identity.instance;
        let urgent = purse.urgent_demand.tokens_per_s(now)
            + self.ledger.urgent_demand_of_others(account, own);
        let kept = urgent.saturating_mul(self.options.urgent_horizon.as_secs());
        self.left_tokens(account) < kept.saturating_add(tokens)
    }

    fn shortage(&self, now: Duration, account: &str, tokens: u64) -> Shortage {
        let is_recent = self
            .ledger_age(now)
            .is_some_and(|age| age <= self.options.evidence_age);
        if !is_recent {
            return Shortage::Elsewhere;
        }
        let purse = self.purses.get(account);
        let own_reserved = purse.map_or(0, |purse| purse.reserved_tokens);
        if tokens > self.left_tokens(account).saturating_sub(own_reserved) {
            return Shortage::Exhausted;
        }
        // A write without an answer, or none for longer than a round, tells of an isolation.
        let is_in_touch = !self.is_in_doubt
            && self.touched_at.is_some_and(|at| {
                let round_interval = self.options.round_interval * self.scale();
                now.saturating_sub(at) <= round_interval * 3 / 2
            });
        let prepaid = self.prepaid_tokens.get(account).copied().unwrap_or(0);
        let held = purse.map_or(0, |purse| purse.free(purse.allowed_tokens));
        if is_in_touch && tokens <= held + self.ledger.pool(account, prepaid) {
            return Shortage::InStore;
        }
        Shortage::Elsewhere
    }
}
