//! One instance's part of the budgets.

mod lending;
mod merge;
mod orphaned;
mod pending;
mod plan;
mod reports;
mod restoring;
mod round;
mod shortage;
mod transfers;

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use crate::account_totals::AccountTotals;
use crate::balance::{Balance, Rank};
use crate::ledger::Ledger;
use crate::options::EscrowOptions;
use crate::overview::Overview;
use crate::report::Report;
use crate::shortage::Shortage;
use crate::spend_limits::SpendLimits;
use crate::stamp::Stamp;
use crate::unlock_rate::UnlockRate;

use pending::Pending;
use reports::Outstanding;
pub use reports::Role;
use restoring::Restoring;
pub use round::Round;

/// Reserves tokens for calls and decides what to write to the ledger.
///
/// Has no clock and does no I/O. The host carries each [`Round`] to the store and reports its
/// outcome. A write without a clear answer may still take effect later; until the ledger shows its
/// outcome, the smaller of the possible allowances applies.
#[derive(Debug)]
pub struct Holder {
    identity: Identity,
    address: String,
    options: EscrowOptions,
    /// What the accounts of the newest catalogue have bought. An account that it lacks has nothing
    /// to grant, but may have calls in progress, and may come back.
    prepaid_tokens: BTreeMap<AccountId, u64>,
    catalogue_version: Version,
    /// Most urgent rank in use.
    first_rank: Rank,
    balances: BTreeMap<AccountId, Balance>,
    ledger: Ledger,
    ledger_version: Version,
    /// Totals of all accounts, from the ledger or the last receipt.
    overview: Overview,
    role: Role,
    /// Peers' reports to enter with the next write, with their time of arrival.
    inbox: BTreeMap<InstanceId, (Duration, Report)>,
    /// This instance's report that has no answer yet.
    outstanding: Option<Outstanding>,
    /// Newest ledger version seen in a receipt or in the ledger itself.
    receipt_version: Version,
    /// State of the rebuild of the ledger after the store was restored from an older copy.
    restoring: Restoring,
    /// Incarnation that the ledger lists for this instance, if that is a different one; 0 if it
    /// lists none.
    follows: Incarnation,
    /// Number of the latest write or report that took effect.
    committed_number: u64,
    seen_at: Option<Duration>,
    /// Time at which the store or a receipt last confirmed the state of the ledger.
    contact_at: Option<Duration>,
    /// Time at which that write or report was made.
    committed_at: Duration,
    /// Unlock rate that was stored with it.
    committed_unlock_rate: UnlockRate,
    /// Stamp of the start of this incarnation; its predecessor had ended by then.
    start: Option<Stamp>,
    started_at: Option<Duration>,
    /// Writes and reports whose outcome is unknown.
    pending: Vec<Pending>,
    last_round: u64,
    round_at: Option<Duration>,
    is_short: bool,
    is_stopping: bool,
    /// A write got no clear answer, and the ledger has not been seen since.
    is_in_doubt: bool,
}

impl Holder {
    /// Creates a holder without tokens.
    #[must_use]
    pub fn new(identity: Identity, address: &str, options: EscrowOptions) -> Self {
        Self {
            identity,
            address: address.to_owned(),
            options,
            prepaid_tokens: BTreeMap::new(),
            catalogue_version: 0,
            first_rank: 0,
            balances: BTreeMap::new(),
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
            contact_at: None,
            committed_at: Duration::ZERO,
            committed_unlock_rate: UnlockRate::default(),
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

    /// Sets what the accounts have bought, with the catalogue version that states it. Older
    /// versions are ignored.
    pub fn set_prepaid(&mut self, version: Version, prepaid_tokens: BTreeMap<AccountId, u64>) {
        if version > self.catalogue_version {
            self.catalogue_version = version;
            self.prepaid_tokens = prepaid_tokens;
        }
    }

    /// Sets the most urgent rank in use.
    pub fn set_first_rank(&mut self, first_rank: Rank) {
        self.first_rank = first_rank;
    }

    /// Reserves the worst-case cost of a call. An account that the catalogue lacks, or has not been
    /// seen in any, gets no more than this instance holds of it.
    ///
    /// # Errors
    ///
    /// Returns where the missing tokens may be, as far as this instance can know.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let mut holder = Holder::new(identity, "", EscrowOptions::default());
    /// // An instance that has not seen the ledger holds no tokens.
    /// assert!(holder.try_reserve(Duration::ZERO, "account", 100, 0).is_err());
    /// ```
    pub fn try_reserve(
        &mut self,
        now: Duration,
        account: &str,
        tokens: u64,
        rank: Rank,
    ) -> Result<(), Shortage> {
        if self.is_reserved_for_urgent(now, account, tokens, rank) {
            let is_spent = self.is_exhausted(now, account, tokens);
            return Err(if is_spent {
                Shortage::Exhausted
            } else {
                Shortage::Reserved
            });
        }
        let bound = self.allowance(now, account);
        let balance = self.balances.entry(account.to_owned()).or_default();
        if balance.free(bound) >= tokens {
            balance.reserved_tokens += tokens;
            return Ok(());
        }
        balance.wanted_tokens = balance.wanted_tokens.max(tokens);
        let shortage = self.shortage(now, account, tokens);
        // If no instance has the tokens, neither a read nor a write brings any. If other instances
        // have them, a member's report brings none either.
        let may_bring = match self.role {
            Role::Writer => shortage != Shortage::Exhausted,
            Role::Member => shortage == Shortage::InStore,
        };
        self.is_short |= may_bring;
        Err(shortage)
    }

    /// Returns whether the worst-case cost of a call could be reserved at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::*;
    /// use damaskstile_escrow::{EscrowOptions, Holder};
    /// let identity = Identity::new("a", 1, "north");
    /// let holder = Holder::new(identity, "", EscrowOptions::default());
    /// assert!(!holder.has_tokens(Duration::ZERO, "account", 100, 0));
    /// ```
    #[must_use]
    pub fn has_tokens(&self, now: Duration, account: &str, tokens: u64, rank: Rank) -> bool {
        self.free_tokens(now, account) >= tokens
            && !self.is_reserved_for_urgent(now, account, tokens, rank)
    }

    /// Returns whether an account is prepaid.
    #[must_use]
    pub fn is_prepaid(&self, account: &str) -> bool {
        self.prepaid_tokens.contains_key(account)
    }

    /// Counts a call's tokens as demand. To be called once for each call, however often its
    /// reservation is tried.
    pub fn note_demand(&mut self, now: Duration, account: &str, tokens: u64, rank: Rank) {
        if self.prepaid_tokens.contains_key(account) {
            let balance = self.balances.entry(account.to_owned()).or_default();
            balance.note_demand(now, tokens, rank);
        }
    }

    /// Ends a reservation: `used_tokens` of it are spent and the rest is free again.
    pub fn release(&mut self, account: &str, reserved_tokens: u64, used_tokens: u64) {
        if let Some(balance) = self.balances.get_mut(account) {
            balance.reserved_tokens = balance.reserved_tokens.saturating_sub(reserved_tokens);
            balance.add_used(used_tokens.min(reserved_tokens));
        }
    }

    /// Returns the tokens that could be reserved at once.
    #[must_use]
    pub fn free_tokens(&self, now: Duration, account: &str) -> u64 {
        let bound = self.allowance(now, account);
        self.balances
            .get(account)
            .map_or(0, |balance| balance.free(bound))
    }

    /// Returns the worst-case cost of the calls in progress.
    #[must_use]
    pub fn reserved_tokens(&self, account: &str) -> u64 {
        self.balances
            .get(account)
            .map_or(0, |balance| balance.reserved_tokens)
    }

    /// Returns the free tokens, including those that are not unlocked yet.
    #[must_use]
    pub fn granted_free_tokens(&self, account: &str) -> u64 {
        self.balances
            .get(account)
            .map_or(0, |balance| balance.free(balance.allowed_tokens))
    }

    /// Returns the tokens that finished calls have used and that the ledger does not count as spent
    /// yet.
    #[must_use]
    pub fn unsettled_tokens(&self, account: &str) -> u64 {
        self.balances.get(account).map_or(0, Balance::unsettled)
    }

    /// Returns the accounts of which this instance has held or requested tokens, whether or not the
    /// catalogue still has them.
    pub fn known_accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.balances.keys()
    }

    /// Returns the prepaid accounts.
    pub fn prepaid_accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.prepaid_tokens.keys()
    }

    /// Returns the totals of an account according to the last seen ledger.
    #[must_use]
    pub fn account_totals(&self, account: &str) -> AccountTotals {
        AccountTotals {
            bought_tokens: self.bought_tokens(account),
            settled_tokens: self.overview.account(account).settled_tokens,
            granted_tokens: self.overview.account(account).granted_tokens,
        }
    }

    /// Returns the last seen ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of instances that the ledger lists.
    #[must_use]
    pub fn instances(&self) -> u64 {
        self.overview.instances
    }

    /// Returns the version of the last seen ledger; 0 if none was seen.
    #[must_use]
    pub fn ledger_version(&self) -> Version {
        self.ledger_version
    }

    /// Returns the time since the ledger or a receipt was last seen.
    #[must_use]
    pub fn ledger_age(&self, now: Duration) -> Option<Duration> {
        self.seen_at.map(|at| now.saturating_sub(at))
    }

    fn had_recent_contact(&self, now: Duration) -> bool {
        let round_interval = self.options.round_interval * self.interval_scale();
        self.contact_at
            .is_some_and(|at| now.saturating_sub(at) <= round_interval * 3 / 2)
    }

    /// Returns what an account has bought according to the newest catalogue; 0 if that lacks it.
    fn bought_tokens(&self, account: &str) -> u64 {
        self.prepaid_tokens.get(account).copied().unwrap_or(0)
    }

    /// Returns the remaining tokens of a budget, as far as this instance knows.
    fn left_tokens(&self, account: &str) -> u64 {
        let unsettled = self.balances.get(account).map_or(0, Balance::unsettled);
        self.bought_tokens(account)
            .saturating_sub(self.overview.account(account).settled_tokens)
            .saturating_sub(unsettled)
    }

    /// Returns the smallest amounts that any possible outcome of the pending writes leaves of an
    /// account, without what time unlocks.
    fn least_limits(&self, account: &str) -> SpendLimits {
        let committed = self
            .balances
            .get(account)
            .map_or_else(SpendLimits::default, |balance| SpendLimits {
                allowed_tokens: balance.allowed_tokens,
                ceiling_tokens: balance.ceiling_tokens,
                settled_tokens: balance.settled_tokens,
            });
        self.pending.iter().fold(committed, |least, pending| {
            let limits = pending.limits.get(account).copied().unwrap_or_default();
            SpendLimits {
                allowed_tokens: least.allowed_tokens.min(limits.allowed_tokens),
                ceiling_tokens: least.ceiling_tokens.min(limits.ceiling_tokens),
                settled_tokens: least.settled_tokens,
            }
        })
    }

    /// Returns the smallest allowance that any possible outcome of the pending writes leaves.
    ///
    /// While the store is reachable, an instance stays below its ceiling, so that little is lost if
    /// it ends. An isolated instance gradually unlocks its whole grant, at a rate that is known to
    /// the instance that settles the grant.
    fn allowance(&self, now: Duration, account: &str) -> u64 {
        let committed = self.balances.get(account).map_or(0, |balance| {
            let since = now.saturating_sub(self.committed_at);
            let unlocked = self.committed_unlock_rate.unlocked(since);
            unlocked.of(balance.ceiling_tokens, balance.allowed_tokens)
        });
        self.pending
            .iter()
            .map(|pending| pending.allowed(now, account))
            .fold(committed, u64::min)
    }

    /// Returns the unlock rate of the grants that are written now.
    fn unlock_rate(&self) -> UnlockRate {
        UnlockRate {
            after_ms: unix_ms(self.options.unlock_after * self.interval_scale()),
            span_ms: unix_ms(self.options.unlock_span),
        }
    }
}
