//! Periodic log lines on the balances of this instance, its store calls and the bytes that it sent
//! to peers.

use std::fmt::Write;
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

/// Logs the current balances: bought, reserved, unlocked and free tokens by account.
pub fn log_balances(gateway: &Gateway) {
    let now = gateway.now();
    let mut held: Vec<(u64, String)> = {
        let state = gateway.state();
        let accounts = state.holder.prepaid_accounts();
        accounts
            .map(|account| {
                let bought = state.holder.account_totals(account).bought_tokens;
                let reserved = state.holder.reserved_tokens(account);
                let free = state.holder.granted_free_tokens(account);
                let unlocked = state.holder.free_tokens(now, account).min(free);
                let text = format!("{account}:{bought}/{reserved}/{unlocked}/{free}");
                (reserved + free, text)
            })
            .filter(|(tokens, _)| *tokens > 0)
            .collect()
    };
    if held.is_empty() {
        return;
    }
    held.sort_by(|one, other| other.cmp(one));
    let omitted = held.len().saturating_sub(ACCOUNTS_MAX).to_string();
    let mut text = String::new();
    for (_, one) in held.iter().take(ACCOUNTS_MAX) {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{one}");
    }
    let fields = [("held", text.as_str()), ("omitted", omitted.as_str())];
    gateway.log(EventCode::HoldingsNoted, &fields);
}
