//! Reports to peers of an instance's load.

use damaskstile_core::prelude::*;

use crate::busiest_account::BusiestAccount;
use crate::peer_load::PeerLoad;

/// Upper bound on a reported load. A single wrong report must not hide the load of all others in
/// their mean.
const LOAD_PERCENT_MAX: u64 = 1_000;

/// Upper bound on a reported rate of tokens: more than all calls of a fleet request.
const TOKENS_PER_S_MAX: u64 = 1_000_000_000;

/// `LoadReport` is the load of an instance.
#[derive(prost::Message, Clone, PartialEq)]
pub struct LoadReport {
    /// Share in use of the capacity that calls may use, of link or processor, whichever is higher,
    /// in percent.
    #[prost(uint64, tag = "1")]
    pub load_percent: u64,
    /// Whether the instance accepts new connections.
    #[prost(bool, tag = "2")]
    pub is_in_rotation: bool,
    /// Account whose calls need most of the instance; empty if there is none.
    #[prost(string, tag = "3")]
    pub busiest_account: String,
    /// Share of that capacity that these calls need, in percent.
    #[prost(uint64, tag = "4")]
    pub busiest_percent: u64,
    /// Rate at which these calls request tokens, in tokens per second.
    #[prost(uint64, tag = "5")]
    pub busiest_tokens_per_s: u64,
}

impl LoadReport {
    /// Makes the report of a load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::peer_load::PeerLoad;
    /// use damaskstile_gateway::peers::LoadReport;
    /// let now = Duration::from_secs(5);
    /// let load = PeerLoad { at: now, share: 0.25, is_in_rotation: true, busiest: None };
    /// assert_eq!(LoadReport::of(&load).to_load(now), load);
    /// ```
    #[must_use]
    pub fn of(load: &PeerLoad) -> Self {
        let busiest = load.busiest.clone().unwrap_or_default();
        Self {
            load_percent: percent(load.share),
            is_in_rotation: load.is_in_rotation,
            busiest_account: busiest.account,
            busiest_percent: percent(busiest.share),
            busiest_tokens_per_s: busiest.tokens_per_s,
        }
    }

    /// Returns the load as of `now`.
    #[must_use]
    pub fn to_load(&self, now: Duration) -> PeerLoad {
        let busiest = BusiestAccount {
            account: self.busiest_account.clone(),
            share: share(self.busiest_percent),
            tokens_per_s: self.busiest_tokens_per_s.min(TOKENS_PER_S_MAX),
        };
        PeerLoad {
            at: now,
            share: share(self.load_percent),
            is_in_rotation: self.is_in_rotation,
            busiest: Some(busiest).filter(|busiest| !busiest.account.is_empty()),
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // bounded
fn percent(share: f64) -> u64 {
    (share.clamp(0.0, 1e6) * 100.0).round() as u64
}

fn share(percent: u64) -> f64 {
    let percent = u32::try_from(percent.min(LOAD_PERCENT_MAX));
    f64::from(percent.unwrap_or_default()) / 100.0
}
