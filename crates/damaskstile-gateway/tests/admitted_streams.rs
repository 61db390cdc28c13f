//! Counting of admitted streams until they end.

mod support;

use std::sync::Arc;
use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_gateway::admitted_stream::AdmittedStream;
use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::state::Terms;
use damaskstile_routes::{Catalogue, Route, RouteKind};
use support::{SERVICE, UnreachableStore, gateway, unused_address};

/// Time that a stream is open before it ends.
const OPEN_FOR: Duration = Duration::from_millis(10);

fn terms(kind: RouteKind) -> Terms {
    let route = Route {
        name: "r".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        shares: Vec::new(),
        timeout: Duration::from_secs(8),
        objective: Duration::from_secs(1),
        pause_limit: Some(Duration::from_millis(300)),
        priority: 0,
        attempts_max: 1,
        is_anonymous: true,
        home_regions: BTreeSet::new(),
    };
    Terms {
        catalogue: Arc::new(Catalogue::default()),
        catalogue_age: Duration::ZERO,
        route: Arc::new(route),
        service: SERVICE.to_owned(),
        account: None,
        home_regions: None,
        priority: 0,
        is_bulk: false,
    }
}

/// Admits streams that receive some events and stay open for a while.
async fn begin(gateway: &Arc<Gateway>, terms: &Terms, events: usize) -> Vec<AdmittedStream> {
    let mut streams: Vec<_> = (0..5)
        .map(|_| AdmittedStream::begin(gateway, terms))
        .collect();
    for stream in &mut streams {
        (0..events).for_each(|_| stream.note_event(1_000));
    }
    tokio::time::sleep(OPEN_FOR).await;
    streams
}

fn committed_link(gateway: &Gateway) -> f64 {
    gateway.state().pressure.committed().link
}

#[tokio::test]
async fn a_stream_is_committed_until_it_ends_in_whatever_way() {
    // Failure: targets or callers disconnect, so streams end before they are complete. Guards
    // against an instance that rejects calls for streams that ended long ago.

    // Arrange: what streams of the route take is learned from some that ended.
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let stream = terms(RouteKind::Stream);
    drop(begin(&gateway, &stream, 10).await);
    let idle = committed_link(&gateway);

    // Act: of five streams, none has received an event when its connection breaks.
    let open = begin(&gateway, &stream, 0).await;
    let while_open = committed_link(&gateway);
    drop(open);
    let after = committed_link(&gateway);

    // Assert
    assert!(while_open > 0.0);
    assert_eq!((idle, after), (0.0, 0.0));
}

#[tokio::test]
async fn plain_calls_commit_nothing() {
    // Guards against plain calls being counted as streams that never end.

    // Arrange
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let plain = terms(RouteKind::Idempotent);

    // Act
    drop(begin(&gateway, &plain, 10).await);
    let _open = begin(&gateway, &plain, 0).await;

    // Assert
    assert_eq!(committed_link(&gateway).to_bits(), 0.0_f64.to_bits());
}
