//! Load that the calls of single accounts would need.

use damaskstile_core::prelude::*;

/// Time constant of the moving average.
const SPAN: Duration = Duration::from_secs(1);
/// Most accounts that are followed; the one with the least load is dropped first.
const ACCOUNTS_MAX: usize = 256;

/// Load that the calls of single accounts would need if all of them were served, as shares of the
/// capacity that calls may use.
#[derive(Debug, Clone, Default)]
pub struct AccountDemand {
    recent: BTreeMap<AccountId, (Duration, [f64; 3])>,
}

impl AccountDemand {
    /// Adds a call. `shares_s` is what it takes of the incoming link, the outgoing link and the
    /// processor, in seconds of the capacity that calls may use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::account_demand::AccountDemand;
    /// let mut demand = AccountDemand::default();
    /// for ms in 0..5_000 {
    ///     demand.add(Duration::from_millis(ms), "a", [0.0, 0.0, 0.0005]);
    /// }
    /// let (account, share) = demand.busiest(Duration::from_secs(5)).unwrap();
    /// assert!(account == "a" && (0.45..0.55).contains(&share), "{share}");
    /// ```
    pub fn add(&mut self, now: Duration, account: &str, shares_s: [f64; 3]) {
        if !self.recent.contains_key(account) {
            if self.recent.len() >= ACCOUNTS_MAX {
                self.drop_idlest(now);
            }
            self.recent.insert(account.to_owned(), (now, [0.0; 3]));
        }
        if let Some((at, sums)) = self.recent.get_mut(account) {
            let kept = decay(now.saturating_sub(*at));
            for (sum, share_s) in sums.iter_mut().zip(shares_s) {
                *sum = *sum * kept + share_s;
            }
            *at = (*at).max(now);
        }
    }

    /// Returns the account whose calls would need most, with that share; the highest of link and
    /// processor counts.
    #[must_use]
    pub fn busiest(&self, now: Duration) -> Option<(&str, f64)> {
        let shares = self.shares(now);
        shares.max_by(|(_, one), (_, other)| one.total_cmp(other))
    }

    /// Returns all accounts with the share that their calls would need.
    pub fn shares(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        self.recent.iter().map(move |(account, recent)| {
            let share = share_of(now, recent);
            (account.as_str(), share)
        })
    }

    /// Returns the share that the calls of an account would need.
    #[must_use]
    pub fn share(&self, now: Duration, account: &str) -> f64 {
        self.recent
            .get(account)
            .map_or(0.0, |recent| share_of(now, recent))
    }

    fn drop_idlest(&mut self, now: Duration) {
        let idlest = self
            .shares(now)
            .min_by(|(_, one), (_, other)| one.total_cmp(other));
        if let Some(idlest) = idlest.map(|(account, _)| account.to_owned()) {
            self.recent.remove(&idlest);
        }
    }
}

fn share_of(now: Duration, (at, sums): &(Duration, [f64; 3])) -> f64 {
    let most = sums.iter().copied().fold(0.0, f64::max);
    most * decay(now.saturating_sub(*at)) / SPAN.as_secs_f64()
}

fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / SPAN.as_secs_f64()).exp()
}
