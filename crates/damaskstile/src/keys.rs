//! Keys of the objects in the platform's store, and generation of request keys.

use damaskstile_core::random::stable_hash;
use damaskstile_requests::claim::key_unix_ms;

/// Number of claim tables per client account and time span.
pub const CLAIM_SHARDS: u64 = 16;

/// Returns the store key of a budget's ledger.
///
/// ```
/// assert_eq!(damaskstile::keys::ledger_key("b"), "budgets/b");
/// ```
#[must_use]
pub fn ledger_key(budget: &str) -> String {
    format!("budgets/{budget}")
}

/// Returns the store key of one page of a budget's bills.
#[must_use]
pub fn page_key(budget: &str, page: u64) -> String {
    format!("bills/{budget}/{page:010}")
}

/// Time span of the request keys in one claim table, in milliseconds.
const CLAIM_SPAN_MS: u64 = 10 * 60 * 1000;

/// Returns the number of the table that holds the claim of a request key.
///
/// The time span comes from the timestamp inside the key (`UUIDv7`), so that every instance
/// computes the same table for it and a table holds the claims of one time span only. Keys
/// without a timestamp count as from time 0.
#[must_use]
pub fn claim_table(account: &str, key: &str) -> u64 {
    let span = key_unix_ms(key).unwrap_or(0) / CLAIM_SPAN_MS;
    span * CLAIM_SHARDS + stable_hash(&[account, key]) % CLAIM_SHARDS
}

/// Returns the store key of a claim table.
///
/// ```
/// assert_eq!(damaskstile::keys::claims_key("a", 35), "claims/a/0000000002/03");
/// ```
#[must_use]
pub fn claims_key(account: &str, table: u64) -> String {
    let (span, shard) = (table / CLAIM_SHARDS, table % CLAIM_SHARDS);
    format!("claims/{account}/{span:010}/{shard:02}")
}

/// Returns the store key of one version in the settings history.
#[must_use]
pub fn settings_history_key(version: u64) -> String {
    format!("settings/history/{version:010}")
}

/// Builds a `UUIDv7` from a time and random bits, for requests that arrive without a key.
///
/// ```
/// let key = damaskstile::keys::new_request_key(std::time::Duration::from_secs(1), 1, 2);
/// assert_eq!(key.len(), 36);
/// ```
#[must_use]
pub fn new_request_key(now: std::time::Duration, high: u64, low: u64) -> String {
    let millis = u64::try_from(now.as_millis()).unwrap_or(0);
    let mut random = [0_u8; 10];
    random[..2].copy_from_slice(&high.to_be_bytes()[..2]);
    random[2..].copy_from_slice(&low.to_be_bytes());
    uuid::Builder::from_unix_timestamp_millis(millis, &random)
        .into_uuid()
        .to_string()
}
