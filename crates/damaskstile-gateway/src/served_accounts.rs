//! Accounts whose callers reach this instance, and how much they need.

use damaskstile_core::prelude::*;

/// Share of an instance that an account's calls must need for its callers to count as reaching the
/// instance. Single calls of an account may reach any instance.
const SHARE_MIN: f64 = 0.1;
/// Time for which an account is remembered after its callers last reached the instance.
const MEMORY: Duration = Duration::from_mins(1);
/// Time constant in which the highest demand of an account is forgotten. Callers that sent a burst
/// are likely to send another one soon.
const DEMAND_MEMORY: Duration = Duration::from_secs(20);
/// Most accounts that are remembered.
const ACCOUNTS_MAX: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Served {
    /// When the account's callers last reached this instance.
    at: Duration,
    /// Highest recent demand, as of `demand_at`.
    demand: f64,
    demand_at: Duration,
}

/// Accounts whose callers reach this instance while it is in the load balancer's rotation. A
/// balancer that hashes by caller will send them here again, even after they were elsewhere.
#[derive(Debug, Clone, Default)]
pub struct ServedAccounts {
    accounts: BTreeMap<AccountId, Served>,
}

impl ServedAccounts {
    /// Records the share of this instance that an account's calls need here.
    pub fn note(&mut self, now: Duration, account: &str, share: f64) {
        self.accounts
            .retain(|_, served| now.saturating_sub(served.at) < MEMORY);
        if share < SHARE_MIN {
            return;
        }
        if let Some(served) = self.accounts.get_mut(account) {
            served.at = now;
        } else if self.accounts.len() < ACCOUNTS_MAX {
            let served = Served {
                at: now,
                demand: 0.0,
                demand_at: now,
            };
            self.accounts.insert(account.to_owned(), served);
        }
    }

    /// Updates the demand of each account, as a share of this instance's capacity, and returns the
    /// highest recent one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::served_accounts::ServedAccounts;
    /// let mut served = ServedAccounts::default();
    /// served.note(Duration::ZERO, "a", 0.3);
    /// assert_eq!(served.highest_demand(Duration::ZERO, |_| 2.0), 2.0);
    /// let later = served.highest_demand(Duration::from_secs(20), |_| 0.0);
    /// assert!(later > 0.7 && later < 0.8, "{later}");
    /// ```
    pub fn highest_demand(&mut self, now: Duration, demand: impl Fn(&str) -> f64) -> f64 {
        let mut highest = 0.0_f64;
        for (account, served) in &mut self.accounts {
            let passed_s = now.saturating_sub(served.demand_at).as_secs_f64();
            let kept = (-passed_s / DEMAND_MEMORY.as_secs_f64()).exp();
            served.demand = (served.demand * kept).max(demand(account));
            served.demand_at = now;
            highest = highest.max(served.demand);
        }
        highest
    }
}
