//! `holder` is one instance's part of the budgets.

mod estates;
mod gifts;
mod lending;
mod merge;
mod pending;
mod plan;
mod reports;
mod restoring;
mod round;
mod shortage;

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use crate::ledger::Ledger;
use crate::options::EscrowOptions;
use crate::overview::Overview;
use crate::pace::Pace;
use crate::purse::{Purse, Rank};
use crate::report::Report;
use crate::shortage::Shortage;
use crate::stamp::Stamp;
use crate::standing::Standing;
use crate::sums::Sums;

use pending::Pending;
use reports::Outstanding;
pub use reports::Role;
use restoring::Restoring;
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
    /// Most urgent rank that any call has.
    first_rank: Rank,
    purses: BTreeMap<AccountId, Purse>,
    ledger: Ledger,
    ledger_version: Version,
    /// What is known of all accounts.
    overview: Overview,
    role: Role,
    /// Peers' reports to enter with the next write, with when they came.
    inbox: BTreeMap<InstanceId, (Duration, Report)>,
    /// The own report that has no answer yet.
    outstanding: Option<Outstanding>,
    /// Newest version of the ledger that a receipt or the ledger itself told of.
    receipt_version: Version,
    /// What is known of the store's return from an older copy.
    restoring: Restoring,
    /// Incarnation that the ledger lists for this instance, where it is not this one.
    follows: Incarnation,
    /// Number of the write or report that stands.
    committed_number: u64,
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
            first_rank: 0,
            purses: BTreeMap::new(),
            ledger: Ledger::default(),
            ledger_version: 0,
            overview: Overview::default(),
            role: Role::default(),
            inbox: BTreeMap::new(),
            outstanding: None,
            receipt_version: 0,
            restoring: Restoring::default(),
            follows: 0,
            committed_number: 0,
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

    /// Sets the most urgent rank that any call has.
    pub fn set_first_rank(&mut self, first_rank: Rank) {
        self.first_rank = first_rank;
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
            let is_spent = self.is_exhausted(now, account, tokens);
            return Err(if is_spent {
                Shortage::Exhausted
            } else {
                Shortage::Reserved
            });
        }
        let bound = self.allowance(now, account);
        let purse = self.purses.entry(account.to_owned()).or_default();
        if purse.free(bound) >= tokens {
            purse.reserved_tokens += tokens;
            return Ok(());
        }
        purse.wanted_tokens = purse.wanted_tokens.max(tokens);
        let shortage = self.shortage(now, account, tokens);
        // Where no instance has the tokens, neither a read nor a write brings any. Where others
        // have them, a member's report brings none either.
        let may_bring = match self.role {
            Role::Writer => shortage != Shortage::Exhausted,
            Role::Member => shortage == Shortage::InStore,
        };
        self.is_short |= may_bring;
        Err(shortage)
    }

    /// Tells whether a call's worst case could be reserved at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let holder = Holder::new(identity, "", EscrowOptions::default());
    /// assert!(holder.has_tokens(Duration::ZERO, "free", 100, 0));
    /// ```
    #[must_use]
    pub fn has_tokens(&self, now: Duration, account: &str, tokens: u64, rank: Rank) -> bool {
        !self.prepaid_tokens.contains_key(account)
            || (self.free_tokens(now, account) >= tokens
                && !self.is_kept_for_urgent(now, account, tokens, rank))
    }

    /// Tells whether an account is prepaid.
    #[must_use]
    pub fn is_prepaid(&self, account: &str) -> bool {
        self.prepaid_tokens.contains_key(account)
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

    /// Returns the worst case of the calls under way.
    #[must_use]
    pub fn reserved_tokens(&self, account: &str) -> u64 {
        self.purses
            .get(account)
            .map_or(0, |purse| purse.reserved_tokens)
    }

    /// Returns what is free here, with what is not unlocked yet.
    #[must_use]
    pub fn granted_free_tokens(&self, account: &str) -> u64 {
        self.purses
            .get(account)
            .map_or(0, |purse| purse.free(purse.allowed_tokens))
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
            settled_tokens: self.overview.account(account).settled_tokens,
            granted_tokens: self.overview.account(account).granted_tokens,
        }
    }

    /// Returns the ledger as last seen.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of instances that the ledger lists.
    #[must_use]
    pub fn instances(&self) -> u64 {
        self.overview.instances
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

    fn was_touched_lately(&self, now: Duration) -> bool {
        let round_interval = self.options.round_interval * self.scale();
        self.touched_at
            .is_some_and(|at| now.saturating_sub(at) <= round_interval * 3 / 2)
    }

    /// Returns what is left of a budget, as far as is known here.
    fn left_tokens(&self, account: &str) -> u64 {
        let prepaid = self.prepaid_tokens.get(account).copied().unwrap_or(0);
        let unsettled = self.purses.get(account).map_or(0, Purse::unsettled);
        prepaid
            .saturating_sub(self.overview.account(account).settled_tokens)
            .saturating_sub(unsettled)
    }

    /// Returns the least that any possible outcome of the writes under way leaves of an account,
    /// without what time unlocks.
    fn least_sums(&self, account: &str) -> Sums {
        let committed = self
            .purses
            .get(account)
            .map_or_else(Sums::default, |purse| Sums {
                allowed_tokens: purse.allowed_tokens,
                ceiling_tokens: purse.ceiling_tokens,
                settled_tokens: purse.settled_tokens,
            });
        self.pending.iter().fold(committed, |least, pending| {
            let sums = pending.sums.get(account).copied().unwrap_or_default();
            Sums {
                allowed_tokens: least.allowed_tokens.min(sums.allowed_tokens),
                ceiling_tokens: least.ceiling_tokens.min(sums.ceiling_tokens),
                settled_tokens: least.settled_tokens,
            }
        })
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
}
