//! Checks of targets whose calls broke.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_core::prelude::TargetIdentity;
use damaskstile_gateway::target_ends::{EndCheck, TargetEndChecks, TargetLiveness};
use tokio::net::TcpListener;

const ANY: &str = "127.0.0.1:0";

#[tokio::test]
async fn a_result_from_before_a_restart_is_marked_as_reused() {
    // Guards against a run at a restarted target that continues at a second one because calls to
    // the process before broke within the time for which results are reused.

    // Arrange
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let checks = TargetEndChecks::default();
    let target = TargetIdentity::new("t", None);
    let check = |ms| checks.check(Duration::from_millis(ms), &target, address);

    // Act
    let ended = check(0).await;
    let restarted = TcpListener::bind(address).await.unwrap();
    let reused = check(200).await;
    let repeated = check(300).await;
    drop(restarted);

    // Assert
    let result = |state, is_reused| EndCheck { state, is_reused };
    assert_eq!(ended, result(TargetLiveness::Ended, false));
    assert_eq!(reused, result(TargetLiveness::Ended, true));
    assert_eq!(repeated, result(TargetLiveness::Alive, false));
}
