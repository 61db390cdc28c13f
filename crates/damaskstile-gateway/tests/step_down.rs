//! An instance of a large fleet that no longer watches the store for others.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_gateway::follow::{Followed, follow};
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::objects::{Change, Listing, ObjectStore, StoreResult, StoredObject};
use damaskstile_gateway::peers::Digest;
use damaskstile_gateway::store_probe;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use support::gateway;

/// Peers of the instance, all ranked before it as watchers.
const PEERS: u8 = 30;
/// Time within which the instance must read a catalogue that a peer has. Its watch waits for 10 s.
const LIMIT: Duration = Duration::from_secs(2);

/// A store whose watches never end, and that counts its list calls.
#[derive(Debug, Default)]
struct SilentStore {
    lists: AtomicUsize,
}

impl ObjectStore for SilentStore {
    fn list<'a>(&'a self, _kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        async { Ok(Listing::default()) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _kind: &'a str,
        _after: Version,
        _wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>> {
        std::future::pending().boxed()
    }

    fn probe(&self) -> BoxFuture<'_, StoreResult<()>> {
        async { Ok(()) }.boxed()
    }

    fn read<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>> {
        async { Ok(None) }.boxed()
    }

    fn write<'a>(
        &'a self,
        _kind: &'a str,
        _name: &'a str,
        _expected_version: Version,
        _content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>> {
        async { Ok(1) }.boxed()
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 7200))
}

/// Registers peers that are in contact with the store, as if their digests had just arrived.
fn hear_peers(gateway: &Gateway) {
    let now = gateway.now();
    for index in 2..=PEERS {
        let digest = Digest {
            store_age_ms: 100,
            capacity_percent: 50,
            known_instances: u64::from(PEERS),
            is_watcher: true,
            ..Digest::default()
        };
        let member = Member::new(1, address(index), now, &digest);
        let name = format!("large-{index}");
        gateway.state().members.insert(name, member);
    }
}

#[tokio::test]
async fn an_instance_relieved_of_watching_drops_its_open_watch() {
    // Guards against an instance of a large fleet getting a new catalogue ten seconds late after an
    // outage. While it heard from no peer it watched the store itself; its peers are back and
    // report a newer catalogue; the store has lost its watch. The instance used to stay in the
    // watch that it no longer needed, where it did not notice the request to read the catalogue.

    // Arrange
    let store = Arc::new(SilentStore::default());
    let known: Arc<dyn ObjectStore> = Arc::<SilentStore>::clone(&store);
    let gateway = gateway(address(1), known);
    tokio::spawn(follow(Arc::clone(&gateway), Followed::Catalogue));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let lists = store.lists.load(Ordering::Relaxed);

    // Act
    let until = gateway.now() + LIMIT;
    while gateway.now() < until && store.lists.load(Ordering::Relaxed) == lists {
        hear_peers(&gateway);
        gateway.catalogue_wanted.notify_one();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    // Assert
    assert_eq!(lists, 1);
    assert!(store.lists.load(Ordering::Relaxed) > lists);
}

#[tokio::test]
async fn a_non_watching_instance_notices_that_the_store_is_back() {
    // Guards against an instance of a large fleet keeping targets in use for 1.5 s longer than
    // other instances do, long after an outage. Its only call during the outage fails; peers watch
    // and write for it from then on, so it makes no other call. It used to treat the store as
    // unreachable until its next list, 20 s later.

    // Arrange
    let gateway = gateway(address(1), Arc::new(SilentStore::default()));
    let failed_at = gateway.now();
    gateway.state().contact.failed(failed_at);
    hear_peers(&gateway);
    tokio::spawn(store_probe::keep(Arc::clone(&gateway)));

    // Act
    let until = failed_at + 2 * LIMIT;
    while gateway.now() < until && gateway.state().contact.is_lost() {
        hear_peers(&gateway);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    // Assert
    assert!(!gateway.state().is_watcher(gateway.now()));
    assert!(!gateway.state().contact.is_lost());
}
