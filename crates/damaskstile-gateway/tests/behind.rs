//! Handling of stale watch events and lists of targets, and of entries that lapsed during an
//! outage.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_gateway::follow::{Followed, follow};
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::objects::{Change, Listing, ObjectStore, StoreResult, StoredObject};
use damaskstile_gateway::peers::{Datagram, DatagramBody, Digest, Peers, serve_pulls};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use prost::Message;
use support::{choose, gateway, listed, no_answer, unused_address};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

/// Time limit for each expected event.
const LIMIT: Duration = Duration::from_secs(5);
/// Versions of the store's list, of the change that the watch reports, and of a peer's list.
const LISTED: Version = 280;
const WATCHED: Version = 285;
const NEWER: Version = 290;

/// A store whose first watch reports, once it is released, that a target was delisted.
#[derive(Debug, Default)]
struct DelayedStore {
    release: Notify,
    watches: Mutex<usize>,
}

impl DelayedStore {
    fn watches(&self) -> usize {
        *self.watches.lock().unwrap()
    }
}

fn object(name: &str) -> StoredObject {
    StoredObject {
        name: name.to_owned(),
        version: 1,
        content: Bytes::new(),
    }
}

impl ObjectStore for DelayedStore {
    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>> {
        let listing = Listing {
            objects: vec![object("t0"), object("t1")],
            version: LISTED,
            ..Listing::default()
        };
        async { Ok(listing) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _kind: &'a str,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>> {
        let mut watches = self.watches.lock().unwrap();
        *watches += 1;
        if *watches > 1 {
            return std::future::pending().boxed();
        }
        async {
            self.release.notified().await;
            Ok((vec![Change::Gone("t0".to_owned())], WATCHED))
        }
        .boxed()
    }

    fn probe(&self) -> BoxFuture<'_, StoreResult<()>> {
        async { Ok(()) }.boxed()
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

async fn wait_for(is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, waiting).await.unwrap();
}

fn apply_list(gateway: &Gateway, version: Version, names: &[&str], is_around_outage: bool) {
    let now = gateway.now();
    let all = names.iter().map(|name| Ok(listed(name, unused_address())));
    let all = all.collect();
    gateway
        .state()
        .apply_list(now, version, all, is_around_outage);
}

#[tokio::test]
async fn stale_watch_event_does_not_delist_a_target_of_a_newer_list() {
    // Guards against a healthy target getting no calls because peers are told that it was delisted.
    // It is delisted and listed again; a peer's list that contains it is accepted; then a delayed
    // watch reports only the delisting. The event that arrived last used to count as the newest.

    // Arrange
    let store = Arc::new(DelayedStore::default());
    let known: Arc<dyn ObjectStore> = Arc::<DelayedStore>::clone(&store);
    let gateway = gateway(unused_address(), known);
    tokio::spawn(follow(Arc::clone(&gateway), Followed::Targets));
    wait_for(|| store.watches() == 1).await;
    apply_list(&gateway, NEWER, &["t0", "t1"], false);

    // Act
    store.release.notify_one();
    wait_for(|| store.watches() == 2).await;

    // Assert
    let now = gateway.now();
    assert!(gateway.state().delisted(now).is_empty());
    assert!(choose(&gateway, &["t1"]).is_some());
}

/// Returns the digest of a peer that watches the store for a large fleet.
fn watchers_digest() -> Digest {
    Digest {
        targets_version: NEWER,
        known_instances: 80,
        is_watcher: true,
        capacity_percent: 100,
        store_age_ms: 10,
        ..Digest::default()
    }
}

#[tokio::test]
async fn follower_keeps_lapsed_targets_like_the_watcher_whose_list_it_pulls() {
    // Guards against most instances of a large fleet having no target after an outage of some
    // seconds, while the few that watch the store use all of them. The entries lapse; a watcher
    // that noticed the outage keeps them; a follower, which made no store call meanwhile, pulls the
    // watcher's list. It used to judge the list by its own contact with the store alone.

    // Arrange
    let store: Arc<dyn ObjectStore> = Arc::new(DelayedStore::default());
    let listener = TcpListener::bind(unused_address()).await.unwrap();
    let watcher_address = listener.local_addr().unwrap();
    let watcher = gateway(watcher_address, Arc::clone(&store));
    apply_list(&watcher, LISTED, &["t0", "t1"], false);
    let now = watcher.now();
    watcher.state().contact.failed(now);
    apply_list(&watcher, NEWER, &["t1"], true);
    tokio::spawn(serve_pulls(Arc::clone(&watcher), listener));
    let own = UdpSocket::bind(unused_address()).await.unwrap();
    let own_address = own.local_addr().unwrap();
    drop(own);
    let follower = gateway(own_address, store);
    apply_list(&follower, LISTED, &["t0", "t1"], false);
    tokio::spawn(Peers::try_new(&follower).await.unwrap().receive());

    // Act
    let socket = UdpSocket::bind(watcher_address).await.unwrap();
    for from in ["w1", "w2", "w3", "w1"] {
        let datagram = Datagram {
            from: from.to_owned(),
            incarnation: 1,
            body: Some(DatagramBody::Digest(watchers_digest())),
        };
        let bytes = datagram.encode_to_vec();
        socket.send_to(&bytes, own_address).await.unwrap();
    }
    wait_for(|| follower.state().targets_version == NEWER).await;

    // Assert
    assert!(choose(&watcher, &["t1"]).is_some());
    assert!(choose(&follower, &["t1"]).is_some());
}
