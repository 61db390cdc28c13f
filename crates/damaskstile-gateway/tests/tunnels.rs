//! Tunnels to targets through peers, for instances that do not reach the targets themselves.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile_gateway::caller_connection::CallerConnection;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::outbound_call::OutboundCall;
use damaskstile_gateway::peers::{Digest, serve_pulls};
use damaskstile_gateway::run::{self, Run, SendFailure};
use damaskstile_gateway::send_options::SendOptions;
use damaskstile_gateway::wait_limit::WaitLimit;
use damaskstile_requests::Attempts;
use damaskstile_targets::Work;
use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use support::{SERVICE, UnreachableStore, choose, gateway, listed, terms, unused_address};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// Time limit of a call in these tests.
const LIMIT: Duration = Duration::from_secs(2);
/// An answer that ends with its connection.
const ANSWER_WITHOUT_LENGTH: &[u8] = b"HTTP/1.1 404 Not Found\r\nconnection: close\r\n\r\nhalf";
/// Time in which bytes on loopback arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Returns an address at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    listener.local_addr().unwrap()
}

/// Makes an instance that lists a target at an address.
fn instance(target: SocketAddr) -> Arc<Gateway> {
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let now = gateway.now();
    gateway.state().target_table.list(now, listed("t0", target));
    gateway
}

/// Starts a peer that reaches the target at `target`, in a runtime of its own.
fn start_peer(target: SocketAddr) -> (Runtime, SocketAddr) {
    let runtime = Runtime::new().unwrap();
    let address = runtime.block_on(async {
        let listener = TcpListener::bind(unused_address()).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_pulls(instance(target), listener));
        address
    });
    (runtime, address)
}

fn add_peer(gateway: &Gateway, name: &str, address: SocketAddr, digest: &Digest) {
    let now = gateway.now();
    let member = Member::new(1, address, now, digest);
    gateway.state().members.insert(name.to_owned(), member);
}

/// Sends a call to the only target.
async fn send(gateway: &Arc<Gateway>) -> Result<Run, SendFailure> {
    let call = OutboundCall {
        method: Method::POST,
        uri: Uri::from_static("/a/"),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"call"),
        id: None,
        work: Work::default(),
    };
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (_caller, accepted) = tokio::join!(connecting, listener.accept());
    let caller = CallerConnection::new(&Arc::new(accepted.unwrap().0));
    let (terms, attempts) = (terms(LIMIT), Attempts::default());
    let wait_limit = WaitLimit {
        gateway,
        call: &call,
        terms: &terms,
        attempts: &attempts,
        tried: &[],
        deadline: gateway.now() + LIMIT,
        resumes_from: None,
    };
    let choice = choose(gateway, &[]).unwrap();
    run::start(
        gateway,
        &caller,
        &wait_limit,
        choice,
        SendOptions::default(),
    )
    .await
}

/// Accepts one call and answers it; then closes the connection if `closes`, or keeps it open.
fn answer_once(runtime: &Runtime, listener: std::net::TcpListener, closes: bool) {
    listener.set_nonblocking(true).unwrap();
    runtime.spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut call = [0; 4096];
        assert!(stream.read(&mut call).await.unwrap() > 0);
        stream.write_all(ANSWER_WITHOUT_LENGTH).await.unwrap();
        if !closes {
            std::future::pending::<()>().await;
        }
    });
}

/// Lets an instance that does not reach its target read an answer without a length through a peer;
/// kills the peer in the middle if `is_killed`. Returns the body if it looks complete.
fn body_through_peer(is_killed: bool) -> Option<Bytes> {
    let targets = Runtime::new().unwrap();
    let listener = std::net::TcpListener::bind(unused_address()).unwrap();
    let address = listener.local_addr().unwrap();
    answer_once(&targets, listener, !is_killed);
    let (peer, peer_address) = start_peer(address);
    let own = Runtime::new().unwrap();
    let run = own.block_on(async {
        let gateway = instance(closed_address().await);
        add_peer(&gateway, "peer", peer_address, &Digest::default());
        let run = send(&gateway).await.unwrap();
        tokio::time::sleep(ARRIVAL_TIME).await;
        run
    });
    assert!(run.lease.peer.is_some());
    if is_killed {
        peer.shutdown_background();
    }
    let body = own.block_on(run.body.collect());
    body.ok().map(http_body_util::Collected::to_bytes)
}

#[test]
fn an_answer_through_a_killed_peer_does_not_look_complete() {
    // Guards against half an answer that a caller takes for the whole: one without a length ends
    // with its connection, which a killed peer closes as well.

    // Arrange and act
    let whole = body_through_peer(false);
    let half = body_through_peer(true);

    // Assert
    assert_eq!(whole, Some(Bytes::from_static(b"half")));
    assert_eq!(half, None);
}

#[tokio::test]
async fn a_target_that_peers_reach_does_not_count_as_ended() {
    // Guards against an instance that takes its own view for the fleet's: a target that refuses its
    // connections counts as ended, and as cold, although peers reach it.

    // Arrange: the peer reaches the target of the first instance, and not that of the second.
    let target = TcpListener::bind(unused_address()).await.unwrap();
    let target_address = target.local_addr().unwrap();
    let reached = instance(closed_address().await);
    let ended = instance(closed_address().await);
    let closed = closed_address().await;
    let starting = [target_address, closed]
        .map(|target| tokio::task::spawn_blocking(move || start_peer(target)));
    let [peer, other] = starting;
    let (peer, address) = peer.await.unwrap();
    let (other, other_address) = other.await.unwrap();
    add_peer(&reached, "peer", address, &Digest::default());
    add_peer(&ended, "peer", other_address, &Digest::default());

    // Act
    let without_answer = send(&reached).await.err();
    let without_connection = send(&ended).await.err();

    // Assert
    let cold_for = |gateway: &Gateway| {
        let now = gateway.now();
        gateway.state().target_table.cold_for(now, "t0")
    };
    assert!(without_answer.is_some());
    assert_eq!(cold_for(&reached), Duration::ZERO);
    assert!(without_connection.is_some());
    assert!(cold_for(&ended) > Duration::ZERO);
    peer.shutdown_background();
    other.shutdown_background();
}

#[test]
fn peers_of_other_data_centres_are_asked_as_well() {
    // Guards against an instance that asks only neighbours that have lost the same paths.

    // Arrange
    let gateway = instance(unused_address());
    let digest = |data_centre: &str, partitioned: &[&str]| Digest {
        data_centre: data_centre.to_owned(),
        partitioned_services: partitioned.iter().map(|one| (*one).to_owned()).collect(),
        ..Digest::default()
    };
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    for port in 1..=4 {
        let name = format!("near-{port}");
        add_peer(&gateway, &name, address(port), &digest("north", &[]));
    }
    add_peer(&gateway, "far", address(5), &digest("south", &[]));
    add_peer(&gateway, "cut", address(6), &digest("south", &[SERVICE]));

    // Act
    let now = gateway.now();
    let peers = gateway.state().tunnel_peers(now, SERVICE);

    // Assert: a neighbour, the reachable peer elsewhere, another neighbour.
    assert_eq!(peers.len(), 3);
    assert!(peers[0].port() <= 4);
    assert_eq!(peers[1], address(5));
    assert!(peers[2].port() <= 4);
}
