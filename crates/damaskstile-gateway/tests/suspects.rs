//! Choice of the instances that collect reports on crash-inducing content.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::peers::Digest;
use damaskstile_requests::{Content, Fingerprint};
use support::{UnreachableStore, gateway, unused_address};

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

/// Creates an instance that knows this many peers.
fn instance_among(peers: u16) -> Arc<Gateway> {
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
    let now = gateway.now();
    for index in 0..peers {
        let digest = Digest {
            known_instances: u64::from(peers) + 1,
            ..Digest::default()
        };
        let member = Member::new(1, address(index), now, &digest);
        let members = &mut gateway.state().members;
        members.insert(format!("peer-{index}"), member);
    }
    gateway
}

fn content(body: &str) -> Fingerprint {
    Fingerprint::of(&Content {
        account: "one",
        method: "POST",
        host: "host",
        path: "/",
        body: body.as_bytes(),
    })
}

#[test]
fn all_instances_of_a_small_fleet_collect_crash_reports() {
    let small = instance_among(6);
    let collectors = small.state().collectors(&content("x"));
    assert_eq!(collectors.len(), 6);
}

#[test]
fn a_few_instances_of_a_large_fleet_collect_reports_on_a_content() {
    // Arrange: the two instances do not know the same peers.
    let (one, other) = (instance_among(295), instance_among(290));

    // Act
    let mut used = BTreeSet::new();
    let mut shared = 0;
    for body in 0..100 {
        let content = content(&body.to_string());
        let of_one: BTreeSet<_> = one.state().collectors(&content).into_iter().collect();
        let of_other: BTreeSet<_> = other.state().collectors(&content).into_iter().collect();
        assert_eq!(of_one.len(), 4);
        shared += of_one.intersection(&of_other).count();
        used.extend(of_one);
    }

    // Assert: collectors known to both are chosen by both, and the work is spread.
    assert!(shared >= 380, "{shared}");
    assert!(used.len() > 150, "{}", used.len());
}
