//! Sending of a call to a target that goes out of use, or cannot be reached, while the call waits
//! for its connection.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_gateway::caller_connection::CallerConnection;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::outbound_call::OutboundCall;
use damaskstile_gateway::run::{self, SendFailure};
use damaskstile_gateway::send_options::SendOptions;
use damaskstile_gateway::wait_limit::WaitLimit;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Work;
use futures_util::poll;
use http::{HeaderMap, Method, Uri};
use support::{UnreachableStore, choose, gateway, listed, terms, unused_address};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

/// Time limit of a call in these tests: far more than a local connection needs.
const LIMIT: Duration = Duration::from_secs(2);
/// Time after which a local connection attempt is known to wait in a full accept queue.
const QUEUE_WAIT: Duration = Duration::from_millis(200);
/// Resolution of timers.
const TIMER_STEP: Duration = Duration::from_millis(2);

fn outbound_call() -> OutboundCall {
    OutboundCall {
        method: Method::POST,
        uri: Uri::from_static("/a/"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"call"),
        id: None,
        work: Work::default(),
    }
}

/// Accepts one connection and reads all that is sent on it.
async fn read_all(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    bytes
}

/// Connects a caller; returns the instance's end and the caller's end of the connection.
async fn caller() -> (CallerConnection, TcpStream) {
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    let (accepted, _) = accepted.unwrap();
    (
        CallerConnection::new(&Arc::new(accepted)),
        connected.unwrap(),
    )
}

/// Sends a call for which a target was chosen, and runs `meanwhile` while the call waits for its
/// connection. Returns how the send failed, if it did, and what the target read.
async fn send_with(meanwhile: impl FnOnce(&Gateway)) -> (Option<SendFailure>, Vec<u8>) {
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let now = gateway.now();
    gateway
        .state()
        .target_table
        .list(now, listed("t0", address));
    let (call, terms) = (outbound_call(), terms(LIMIT));
    let choice = choose(&gateway, &[]).unwrap();
    let reading = tokio::spawn(read_all(listener));
    let (caller, _stream) = caller().await;
    let attempts = Attempts::default();
    let wait_limit = WaitLimit {
        gateway: &gateway,
        call: &call,
        terms: &terms,
        attempts: &attempts,
        tried: &[],
        deadline: now + LIMIT / 4,
        resumes_from: None,
    };
    let mut sending = Box::pin(run::start(
        &gateway,
        &caller,
        &wait_limit,
        choice,
        SendOptions::default(),
    ));
    assert!(poll!(sending.as_mut()).is_pending());
    meanwhile(&gateway);
    let failure = sending.await.err();
    (failure, reading.await.unwrap())
}

#[tokio::test]
async fn a_call_is_not_sent_if_the_target_leaves_while_connecting() {
    // Guards against a call being sent to a target that the instance knows to be leaving. The
    // target is chosen; connecting takes hundreds of milliseconds over a saturated link; meanwhile
    // the instance learns that the target is leaving; then the connection is ready and the call is
    // sent. The target's state used not to be checked again after connecting.

    // Arrange and act
    let (failure, read) = send_with(|gateway| {
        let now = gateway.now();
        let target = TargetIdentity::new("t0", None);
        gateway.state().target_table.leave(now, &target);
    })
    .await;

    // Assert: nothing was sent, so even a non-idempotent call may go to another target.
    assert_eq!(String::from_utf8_lossy(&read), "");
    assert_eq!(
        failure.map(|failure| failure.end),
        Some(SendFailureKind::NotSent)
    );
    let mut attempts = Attempts::default();
    attempts.note(SendFailureKind::NotSent);
    assert_eq!(attempts.next(false, 1, || false), NextStep::Retry);
}

#[tokio::test]
async fn a_call_is_not_sent_if_the_target_is_delisted_while_connecting() {
    // Arrange and act
    let (failure, read) = send_with(|gateway| {
        let now = gateway.now();
        gateway.state().target_table.unlist(now, "t0", false);
    })
    .await;

    // Assert
    assert_eq!(String::from_utf8_lossy(&read), "");
    assert_eq!(
        failure.map(|failure| failure.end),
        Some(SendFailureKind::NotSent)
    );
}

#[tokio::test]
async fn a_call_is_sent_to_a_target_that_stays_in_use() {
    // Arrange and act: the target reads the call and never answers.
    let (failure, read) = send_with(|_| {}).await;

    // Assert
    assert!(read.starts_with(b"POST /a/"));
    assert_eq!(
        failure.map(|failure| failure.end),
        Some(SendFailureKind::Unknown)
    );
}

/// Opens a listener whose accept queue is full, with the connections that fill it.
async fn unresponsive_target() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(unused_address()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = timeout(QUEUE_WAIT, TcpStream::connect(address)).await {
        queued.push(stream.unwrap());
    }
    (listener, queued)
}

#[tokio::test]
async fn a_blocked_connect_ends_at_the_deadline_of_the_call() {
    // Guards against calls without an answer half a second after their route's time-out. A call
    // with little time left is given to a target whose link is saturated, so the connection is not
    // made. The connect time-out used to be added to the call's own limit.

    // Arrange
    let (listener, _queued) = unresponsive_target().await;
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let now = gateway.now();
    let address = listener.local_addr().unwrap();
    gateway
        .state()
        .target_table
        .list(now, listed("t0", address));
    let (call, terms) = (outbound_call(), terms(LIMIT));
    let choice = choose(&gateway, &[]).unwrap();
    let (caller, _stream) = caller().await;
    let attempts = Attempts::default();
    tokio::time::pause();
    let left = Duration::from_millis(100);
    let wait_limit = WaitLimit {
        gateway: &gateway,
        call: &call,
        terms: &terms,
        attempts: &attempts,
        tried: &[],
        deadline: gateway.now() + left,
        resumes_from: None,
    };
    let began_at = Instant::now();

    // Act
    let sending = run::start(
        &gateway,
        &caller,
        &wait_limit,
        choice,
        SendOptions::default(),
    );
    let failure = sending.await.err();

    // Assert
    assert!(began_at.elapsed() <= left + TIMER_STEP);
    assert_eq!(
        failure.map(|failure| failure.end),
        Some(SendFailureKind::NotSent)
    );
}
