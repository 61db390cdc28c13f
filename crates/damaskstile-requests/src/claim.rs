//! `claim` holds the stored claims by which a non-idempotent request runs at most once.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `ClaimState` is how far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its claimer may send it, or has sent it.
    Claimed,
    /// It was answered whole.
    Answered {
        /// Target that answered.
        target: TargetId,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens that the target generated.
        output_tokens: u64,
    },
    /// It was sent and its outcome is not known.
    Unknown,
}

/// `Claim` gives one run the sole right to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Run that has the right.
    pub run: RunId,
    /// Instance of the run.
    pub instance: InstanceId,
    /// How far it has come.
    pub state: ClaimState,
}

/// `ClaimTable` is the stored table of one shard of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimTable {
    /// Claims by key.
    pub claims: BTreeMap<RequestKey, Claim>,
    /// Number of writes, so that every write changes the value.
    pub writes: u64,
}

/// `ClaimOp` is one change to a table. Each can be applied twice without harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOp {
    /// Claims a key, unless it is claimed.
    Claim {
        /// The key.
        key: RequestKey,
        /// The claim.
        claim: Claim,
    },
    /// Sets the state of an own claim.
    Finish {
        /// The key.
        key: RequestKey,
        /// Run that has the claim.
        run: RunId,
        /// Its new state.
        state: ClaimState,
    },
    /// Gives an own claim up; the request was not sent.
    Release {
        /// The key.
        key: RequestKey,
        /// Run that has the claim.
        run: RunId,
    },
}

impl ClaimTable {
    /// Applies a change.
    pub fn apply(&mut self, op: &ClaimOp) {
        match op {
            ClaimOp::Claim { key, claim } => {
                self.claims
                    .entry(key.clone())
                    .or_insert_with(|| claim.clone());
            }
            ClaimOp::Finish { key, run, state } => {
                if let Some(claim) = self.claims.get_mut(key)
                    && &claim.run == run
                {
                    claim.state = state.clone();
                }
            }
            ClaimOp::Release { key, run } => {
                if self.claims.get(key).is_some_and(|claim| &claim.run == run) {
                    self.claims.remove(key);
                }
            }
        }
    }

    /// Forgets claims whose keys are older than the retention. Such keys are refused, so none
    /// of them can be claimed again.
    pub fn forget_before(&mut self, oldest_unix_ms: u64) {
        self.claims
            .retain(|key, _| key_unix_ms(key).is_some_and(|time| time >= oldest_unix_ms));
    }
}

/// Returns the time in a `UUIDv7` key, in milliseconds since the Unix epoch.
///
/// ```
/// use damaskstile_requests::claim::key_unix_ms;
/// assert_eq!(key_unix_ms("0192d3f0-0000-7000-8000-000000000000"), Some(0x0192_d3f0_0000));
/// assert_eq!(key_unix_ms("not-a-uuid"), None);
/// ```
#[must_use]
pub fn key_unix_ms(key: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
