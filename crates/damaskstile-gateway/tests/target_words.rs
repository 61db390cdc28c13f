//! Per-target resources beside the target table: pooled connections, and metrics for operators.

use std::sync::Arc;
use std::time::Duration;

use damaskstile_core::prelude::TargetIdentity;
use damaskstile_gateway::metrics::{Metrics, Stored};
use damaskstile_gateway::pool::Pool;
use damaskstile_targets::TargetCounts;
use tokio::net::TcpListener;

/// Time for which a target keeps an idle connection open.
const REUSE: Duration = Duration::from_secs(10);

#[tokio::test]
async fn a_connection_to_one_incarnation_is_not_used_for_the_next() {
    // Guards against a call for a restarted target being executed by its predecessor and cut off
    // when that ends. The predecessor drains and still serves; the new incarnation is listed under
    // the same name. Connections used to be pooled by name only.

    // Arrange
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(&Arc::default(), &Arc::default());
    let before = TargetIdentity::new("t0", Some(5));
    let next = TargetIdentity::new("t0", Some(9));
    let lease = pool.lease(&before, address).await.unwrap();
    lease.give_back(Some(REUSE)).await;

    // Act
    let for_next = pool.lease(&next, address).await.unwrap();
    let for_before = pool.lease(&before, address).await.unwrap();
    let is_kept = for_before.is_reused;
    for_before.give_back(Some(REUSE)).await;
    pool.prune(|identity| *identity == next);
    let after_prune = pool.lease(&before, address).await.unwrap();

    // Assert
    assert!(is_kept);
    assert!(!for_next.is_reused);
    assert!(!after_prune.is_reused);
}

#[test]
fn metrics_count_targets_by_state_and_refused_objects() {
    // Arrange
    let metrics = Metrics::new();
    let counts = TargetCounts {
        ready: 4,
        leaving: 3,
        lapsed: 2,
        refused: 1,
    };

    // Act
    metrics.count_targets(&counts);
    metrics.refused(Stored::Target);
    metrics.refused(Stored::Ledger);
    let text = metrics.encode();

    // Assert
    for line in [
        "damaskstile_targets{state=\"ready\"} 4",
        "damaskstile_targets{state=\"leaving\"} 3",
        "damaskstile_targets{state=\"lapsed\"} 2",
        "damaskstile_targets{state=\"refused\"} 1",
        "damaskstile_refused_entries_total{stored=\"target\"} 1",
        "damaskstile_refused_entries_total{stored=\"ledger\"} 1",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}
