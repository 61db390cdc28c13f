//! What instances know of targets where words about them overtake each other, and whom they tell.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_gateway::follow::{Followed, follow};
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::objects::{Change, Listing, ObjectStore, StoreResult, StoredObject};
use damaskstile_gateway::peers::{Datagram, DatagramBody, Digest, Peers, serve_pulls};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use prost::Message;
use support::{SERVICE, choose, gateway, listed, no_answer, unused_address};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

/// Time after which what a test waits for does not come any more.
const PATIENCE: Duration = Duration::from_secs(5);
/// Peers of an instance of a large fleet.
const PEERS: usize = 40;
/// Time that one round of digests takes on one machine, and less than until the next.
const ROUND: Duration = Duration::from_millis(200);

/// A store that lists two targets, at version 285, once it is let go, and then says nothing more.
#[derive(Default)]
struct SlowStore {
    is_let_go: Notify,
    is_watched: Notify,
}

fn object(name: &str) -> StoredObject {
    StoredObject {
        name: name.to_owned(),
        version: 1,
        content: Bytes::new(),
    }
}

impl ObjectStore for SlowStore {
    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>> {
        async {
            self.is_let_go.notified().await;
            Ok(Listing {
                objects: vec![object("t0"), object("t1")],
                version: 285,
            })
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        _kind: &'a str,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>> {
        self.is_watched.notify_one();
        std::future::pending().boxed()
    }

    fn probe(&self) -> BoxFuture<'_, StoreResult<()>> {
        no_answer()
    }

    fn read<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>> {
        no_answer()
    }

    fn write<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
        _expected_version: Version,
        _content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>> {
        no_answer()
    }
}

/// Makes an instance whose list names two targets at a version.
fn knowing(peers_address: SocketAddr, version: Version) -> (Arc<Gateway>, Arc<SlowStore>) {
    let store = Arc::new(SlowStore::default());
    let known: Arc<dyn ObjectStore> = Arc::<SlowStore>::clone(&store);
    let gateway = gateway(peers_address, known);
    take_list(&gateway, version, &["t0", "t1"]);
    (gateway, store)
}

/// Has an instance know a list, as it does after it was read whole.
fn take_list(gateway: &Gateway, version: Version, names: &[&str]) {
    let now = gateway.now();
    let all = names.iter().map(|name| Ok(listed(name, unused_address())));
    let mut state = gateway.state();
    state.book.list_all(now, all.collect(), false);
    state.targets_version = version;
}

/// Makes an instance that the store does not answer, so that it goes by what peers say, and has
/// it hear them.
async fn hearing(version: Version) -> (Arc<Gateway>, SocketAddr) {
    let address = free_address();
    let (gateway, _) = knowing(address, version);
    let now = gateway.now();
    gateway.state().contact.failed(now);
    let peers = Peers::try_new(&gateway).await.unwrap();
    tokio::spawn(peers.hear());
    (gateway, address)
}

fn free_address() -> SocketAddr {
    let socket = std::net::UdpSocket::bind(unused_address()).unwrap();
    socket.local_addr().unwrap()
}

/// Tells an instance what a peer in touch with the store knows.
async fn tell(from: &UdpSocket, to: SocketAddr, version: Version, vanished: &[&str]) {
    let digest = Digest {
        targets_version: version,
        vanished: vanished.iter().map(|name| (*name).to_owned()).collect(),
        ..Digest::default()
    };
    let datagram = Datagram {
        from: from.local_addr().unwrap().to_string(),
        incarnation: 1,
        body: Some(DatagramBody::Digest(digest)),
    };
    from.send_to(&datagram.encode_to_vec(), to).await.unwrap();
}

async fn wait_for(is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap();
}

fn heard_peers(gateway: &Gateway) -> BTreeSet<InstanceId> {
    gateway.state().members.keys().cloned().collect()
}

#[tokio::test]
async fn an_older_list_of_a_peer_does_not_bring_back_a_target_that_vanished() {
    // Symptom: an instance that knows that a target is gone gives it calls again, up to 0.3 s in
    // calm runs, and until the next word of it where datagrams get lost. Sequence: the instance
    // asks a peer for its list; before the answer comes, another peer says that a target has
    // vanished from the list since; then the older list comes, which still names it. Cause: what
    // came last was taken for what is newest.

    // Arrange: the peer with the older list answers only once it is let.
    let (gateway, address) = hearing(280).await;
    let older = TcpListener::bind(unused_address()).await.unwrap();
    let older_address = older.local_addr().unwrap();
    let (older_peer, _) = knowing(older_address, 289);
    let older_socket = UdpSocket::bind(older_address).await.unwrap();
    let newer_socket = UdpSocket::bind(unused_address()).await.unwrap();

    // Act
    tell(&older_socket, address, 289, &[]).await;
    wait_for(|| heard_peers(&gateway).len() == 1).await;
    tell(&newer_socket, address, 290, &["t0"]).await;
    wait_for(|| choose(&gateway, &["t1"]).is_none()).await;
    tokio::spawn(serve_pulls(older_peer, older));
    wait_for(|| gateway.state().targets_version == 289).await;

    // Assert
    assert_eq!(choose(&gateway, &["t1"]), None);
    assert!(choose(&gateway, &[]).is_some());
}

#[tokio::test]
async fn a_list_that_came_slowly_does_not_bring_back_a_target_that_vanished() {
    // Symptom: an instance goes back to targets that have left. Sequence: it asks the store for
    // the list; the answer takes its time over a full link; meanwhile a peer's newer list comes,
    // without a target; then the store's older one, which still names it. Cause: a list replaced
    // what was known, whichever was newer.

    // Arrange
    let (gateway, store) = knowing(unused_address(), 280);
    tokio::spawn(follow(Arc::clone(&gateway), Followed::Targets));

    // Act
    take_list(&gateway, 290, &["t1"]);
    store.is_let_go.notify_one();
    tokio::time::timeout(PATIENCE, store.is_watched.notified())
        .await
        .unwrap();

    // Assert
    assert_eq!(choose(&gateway, &["t1"]), None);
    assert_eq!(gateway.state().targets_version, 290);
}

#[tokio::test]
async fn late_word_that_a_target_vanished_does_not_take_it_out_after_its_return() {
    // Symptom: a sound target gets no calls from some instances until the list changes again.
    // Sequence: it vanishes from the list and returns to it; an instance whose list shows it again
    // hears from a peer that is behind that it vanished. Cause: such words bore no version.

    // Arrange
    let (gateway, address) = hearing(300).await;
    let behind = UdpSocket::bind(unused_address()).await.unwrap();

    // Act
    tell(&behind, address, 290, &["t0"]).await;
    wait_for(|| heard_peers(&gateway).len() == 1).await;

    // Assert
    assert!(choose(&gateway, &["t1"]).is_some());
}

#[tokio::test]
async fn word_that_a_target_vanished_takes_it_out_where_it_is_newer_than_the_list() {
    // Arrange
    let (gateway, address) = hearing(280).await;
    let ahead = UdpSocket::bind(unused_address()).await.unwrap();

    // Act
    tell(&ahead, address, 290, &["t0"]).await;
    wait_for(|| heard_peers(&gateway).len() == 1).await;

    // Assert
    assert_eq!(choose(&gateway, &["t1"]), None);
}

#[tokio::test]
async fn a_list_of_any_length_comes_from_a_peer() {
    // Guards against: a list that does not fit into one message, or not into the time of one, so that
    // whoever lacks it asks for it again and again.

    // Arrange: twice the targets of the largest fleet in view.
    const TARGETS: usize = 40_000;
    let (gateway, address) = hearing(280).await;
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let peer_address = listener.local_addr().unwrap();
    let (peer, _) = knowing(peer_address, 289);
    let names: Vec<String> = (0..TARGETS)
        .map(|index| format!("target-{index:024}"))
        .collect();
    let names = names.iter().map(String::as_str).skip(2);
    let names: Vec<&str> = ["t0", "t1"].into_iter().chain(names).collect();
    take_list(&peer, 290, &names);
    let socket = UdpSocket::bind(peer_address).await.unwrap();

    // Act
    tokio::spawn(serve_pulls(peer, listener));
    tell(&socket, address, 290, &[]).await;
    wait_for(|| gateway.state().targets_version == 290).await;

    // Assert
    let now = gateway.now();
    assert_eq!(gateway.state().book.usable_targets(now, SERVICE), TARGETS);
}

/// Makes an instance that knows peers, none of which the store answers.
async fn instance() -> (Arc<Gateway>, Vec<UdpSocket>) {
    let (gateway, _) = knowing(unused_address(), 280);
    let now = gateway.now();
    let isolated = Digest {
        store_age_ms: u64::MAX,
        ..Digest::default()
    };
    let mut sockets = Vec::new();
    for index in 0..PEERS {
        let socket = UdpSocket::bind(unused_address()).await.unwrap();
        let member = Member::new(1, socket.local_addr().unwrap(), now, &isolated);
        gateway
            .state()
            .members
            .insert(format!("peer{index}"), member);
        sockets.push(socket);
    }
    (gateway, sockets)
}

/// Has an instance tell its news once, and returns the number of peers that hear it.
async fn tell_once(gateway: &Arc<Gateway>, sockets: &[UdpSocket]) -> usize {
    let peers = Peers::try_new(gateway).await.unwrap();
    let telling = tokio::spawn(peers.tell());
    gateway.news.notify_one();
    tokio::time::sleep(ROUND).await;
    telling.abort();
    let mut buffer = [0; 2048];
    let mut heard = 0;
    for socket in sockets {
        heard += usize::from(socket.try_recv(&mut buffer).is_ok());
    }
    heard
}

#[tokio::test]
async fn an_isolated_instance_of_a_large_fleet_tells_a_few_peers_and_not_all() {
    // Symptom: while all instances of a large fleet are cut off from the store, a fifth of a narrow
    // link carries digests, which grow with the targets that left, and calls and digests wait or
    // get lost behind them. Sequence: no peer is in touch with the store, so each instance takes
    // itself for one that must tell all others. Cause: what makes it one was not asked for.

    // Arrange
    let (gateway, sockets) = instance().await;

    // Act
    let heard = tell_once(&gateway, &sockets).await;

    // Assert
    assert!((1..=PEERS / 4).contains(&heard), "{heard}");
}

#[tokio::test]
async fn an_instance_in_touch_with_the_store_that_watches_for_others_tells_all() {
    // Arrange
    let (gateway, sockets) = instance().await;
    let now = gateway.now();
    gateway.state().contact.answered(now);

    // Act
    let heard = tell_once(&gateway, &sockets).await;

    // Assert
    assert_eq!(heard, PEERS);
}
