//! Reports of peers about targets: lists, also those of an earlier release, and digests.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::peers::{Datagram, DatagramBody, Digest, Peers};
use damaskstile_targets::Listed;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use support::{UnreachableStore, gateway};
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const SERVICE: &str = "model";
/// Peers with more capacity than the instance, so that it relies on their lists.
const WATCHERS: [&str; 3] = ["a", "b", "c"];
/// Time limit for a list to be pulled.
const LIMIT: Duration = Duration::from_secs(5);

/// The list of targets as sent by the earlier release.
#[derive(prost::Message, Clone, PartialEq)]
struct OldAnswer {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, repeated, tag = "4")]
    targets: Vec<OldTarget>,
}

#[derive(prost::Message, Clone, PartialEq)]
struct OldTarget {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(bool, tag = "6")]
    is_ready: bool,
}

/// Makes an instance that receives messages at an address of this process and test alone.
async fn instance(test: u8) -> (Arc<Gateway>, String) {
    let pid = std::process::id();
    let (high, low) = (100 + pid % 100, pid / 100 % 250);
    let address = format!("127.{high}.{low}.{test}:7200");
    let gateway = gateway(address.parse().unwrap(), Arc::new(UnreachableStore));
    let peers = Peers::try_new(&gateway).await.unwrap();
    tokio::spawn(peers.receive());
    (gateway, address)
}

fn listed(name: &str, incarnation: u64) -> Listed {
    Listed {
        target: name.to_owned(),
        incarnation: Some(incarnation),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: String::new(),
        slots_requests: 8,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

/// Makes the digest of a peer that watches the store for a large fleet.
fn digest(targets_version: Version) -> Digest {
    Digest {
        targets_version,
        is_watcher: true,
        known_instances: 40,
        capacity_percent: 50,
        ..Digest::default()
    }
}

async fn send_digest(socket: &UdpSocket, address: &str, from: &str, digest: Digest) {
    let datagram = Datagram {
        from: from.to_owned(),
        incarnation: 1,
        body: Some(DatagramBody::Digest(digest)),
    };
    let bytes = datagram.encode_to_vec();
    socket.send_to(&bytes, address).await.unwrap();
}

/// Serves a list to any peer, as the earlier release does.
async fn serve_list(listener: TcpListener, answer: OldAnswer) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
        frames.next().await;
        let bytes = Bytes::from(answer.encode_to_vec());
        frames.send(bytes).await.unwrap();
    }
}

#[tokio::test]
async fn a_list_without_incarnations_keeps_targets_in_use() {
    // Guards against instances of a new release refusing every call for lack of targets during an
    // upgrade. The instance knows the targets' incarnations from the store and then pulls the list
    // of a peer of the earlier release, which sends none; an entry without the known start was
    // taken for another writer's.

    // Arrange
    let (gateway, address) = instance(1).await;
    for (name, incarnation) in [("t0", 5), ("t1", 6)] {
        let now = gateway.now();
        gateway
            .state()
            .target_table
            .list(now, listed(name, incarnation));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer_address = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(peer_address).await.unwrap();
    let old = |name: &str| OldTarget {
        target: name.to_owned(),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:2".to_owned(),
        is_ready: true,
    };
    let answer = OldAnswer {
        version: 9,
        targets: vec![old("t1"), old("t2")],
    };
    tokio::spawn(serve_list(listener, answer));

    // Act: three peers with more capacity watch the store for a large fleet.
    for from in WATCHERS.into_iter().chain(["a"]) {
        send_digest(&socket, &address, from, digest(9)).await;
    }
    let end = tokio::time::Instant::now() + LIMIT;
    while gateway.state().targets_version != 9 {
        assert!(
            tokio::time::Instant::now() < end,
            "the list was not pulled in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    // Assert: one target is gone and one is kept with its incarnation. A new one without
    // incarnation is not used while others have one, until the instance lists the targets itself.
    let state = gateway.state();
    let incarnations: Vec<_> = state.target_table.present().map(Listed::identity).collect();
    assert_eq!(state.target_table.usable_targets(gateway.now(), SERVICE), 1);
    assert_eq!(incarnations, [TargetIdentity::new("t1", Some(6))]);
}

#[tokio::test]
async fn a_delisting_report_of_an_older_list_removes_no_target() {
    // Guards against a healthy target getting no calls from some instances of a large fleet for up
    // to twenty seconds. Its entry is gone for a moment and comes back; an instance applies the new
    // list and then receives the report of a peer that has not done so yet that the target was
    // delisted. The report was taken for news, and no newer list came to end it.

    // Arrange
    let (gateway, address) = instance(2).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let delisted_at = |version| [(TargetIdentity::new("t0", Some(5)), version)];
    let now = gateway.now();
    gateway.state().target_table.list(now, listed("t0", 5));
    gateway.state().targets_version = 9;
    for from in WATCHERS {
        send_digest(&socket, &address, from, digest(9)).await;
    }

    // Act
    let older = digest(8).with_departures(&[], &delisted_at(8));
    send_digest(&socket, &address, "late", older).await;
    wait_for_digest(&gateway, "late").await;
    let after_older = gateway.state().target_table.usable_targets(now, SERVICE);
    let newer = digest(10).with_departures(&[], &delisted_at(10));
    send_digest(&socket, &address, "timely", newer).await;
    wait_for_digest(&gateway, "timely").await;

    // Assert
    assert_eq!(after_older, 1);
    assert_eq!(gateway.state().target_table.usable_targets(now, SERVICE), 0);
}

async fn wait_for_digest(gateway: &Gateway, peer: &str) {
    let end = tokio::time::Instant::now() + LIMIT;
    while !gateway.state().members.contains_key(peer) {
        assert!(
            tokio::time::Instant::now() < end,
            "no digest of {peer} was received"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
