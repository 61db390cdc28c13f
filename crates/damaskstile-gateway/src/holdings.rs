//! Periodic log lines on the balances of this instance, its store calls and the bytes that it sent
//! to peers.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::gateway::Gateway;

/// Interval between two lines. Reports on a whole day need only the last line, and a line costs
/// about as much as that of a call.
const INTERVAL: Duration = Duration::from_secs(5);
/// Accounts in one line, those with the largest balances first: about 1 KB.
const ACCOUNTS_MAX: usize = 16;

/// Logs the balances until the process ends.
pub async fn log_periodically(gateway: Arc<Gateway>) {
    let mut calls_before = String::new();
    let mut bytes_before = String::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        log_balances(&gateway);
        let calls = gateway.store.summary();
        if calls != calls_before {
            gateway.log(EventCode::StoreCallsNoted, &[("calls", &calls)]);
            calls_before = calls;
        }
        let bytes = gateway.sent_bytes.summary();
        if bytes != bytes_before {
            gateway.log(EventCode::PeerBytesNoted, &[("bytes", &bytes)]);
            bytes_before = bytes;
        }
    }
}

/// Logs the current balances: bought, reserved, unlocked and free tokens by account, and what calls
/// have used and the ledger does not count yet. Accounts that the catalogue lacks are included.
pub fn log_balances(gateway: &Gateway) {
    let now = gateway.now();
    let (held, unsettled) = {
        let state = gateway.state();
        let holder = &state.holder;
        let held = holder.known_accounts().map(|account| {
            let bought = holder.account_totals(account).bought_tokens;
            let reserved = holder.reserved_tokens(account);
            let free = holder.granted_free_tokens(account);
            let unlocked = holder.free_tokens(now, account).min(free);
            let text = format!("{account}:{bought}/{reserved}/{unlocked}/{free}");
            (reserved + free, text)
        });
        let unsettled = holder.known_accounts().map(|account| {
            let tokens = holder.unsettled_tokens(account);
            (tokens, format!("{account}:{tokens}"))
        });
        (largest(held), largest(unsettled))
    };
    if held.0.is_empty() && unsettled.0.is_empty() {
        return;
    }
    let omitted = (held.1 + unsettled.1).to_string();
    let fields = [
        ("held", held.0.as_str()),
        ("unsettled", &unsettled.0),
        ("omitted", &omitted),
    ];
    gateway.log(EventCode::HoldingsNoted, &fields);
}

/// Returns the texts with the most tokens, without those that have none, and the number of texts
/// that were left out.
fn largest(texts: impl Iterator<Item = (u64, String)>) -> (String, usize) {
    let mut texts: Vec<(u64, String)> = texts.filter(|(tokens, _)| *tokens > 0).collect();
    texts.sort_by(|one, other| other.cmp(one));
    let omitted = texts.len().saturating_sub(ACCOUNTS_MAX);
    let kept: Vec<String> = texts.into_iter().map(|(_, text)| text).collect();
    (kept[..kept.len() - omitted].join(","), omitted)
}
