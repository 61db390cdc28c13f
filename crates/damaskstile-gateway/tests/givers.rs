//! Which peers are asked for tokens that a call lacks.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::peers::{AccountTokens, Digest};
use support::{Away, gateway, unused_address};

const ACCOUNT: &str = "account";

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Makes an instance that has heard of peers with so many free tokens, at ports from 1 on.
fn with_peers(free_tokens: &[u64]) -> Arc<Gateway> {
    let gateway = gateway(unused_address(), Arc::new(Away));
    let now = gateway.now();
    for (port, tokens) in (1..).zip(free_tokens) {
        let digest = Digest {
            free: vec![AccountTokens {
                account: ACCOUNT.to_owned(),
                tokens: *tokens,
            }],
            ..Digest::default()
        };
        let member = Member::new(1, address(port), now, &digest);
        let members = &mut gateway.state().members;
        members.insert(format!("i{port}"), member);
    }
    gateway
}

fn givers(gateway: &Gateway, tokens: u64) -> Vec<(SocketAddr, u64)> {
    gateway.state().givers(gateway.now(), ACCOUNT, tokens)
}

#[test]
fn one_peer_that_has_twice_the_tokens_is_asked_alone() {
    // Arrange
    let gateway = with_peers(&[3_000, 30_000, 9_000]);

    // Act
    let asked = givers(&gateway, 12_000);

    // Assert
    assert_eq!(asked, [(address(2), 12_000)]);
}

#[test]
fn several_peers_give_parts_of_what_a_long_call_lacks() {
    // Symptom: in an isolation of the whole fleet long calls are refused although their account has
    // half of its tokens left. Sequence: sixty instances hold a few short calls' tokens each, and a
    // call of 12,000 asks the richest one. Cause: only a peer with twice as many was asked.

    // Arrange
    let gateway = with_peers(&[4_000, 10_000, 8_000, 6_000, 2_000]);

    // Act
    let asked = givers(&gateway, 12_000);

    // Assert: each keeps half, the richest first, the last gives what is still missing.
    let parts = [
        (address(2), 5_000),
        (address(3), 4_000),
        (address(4), 3_000),
    ];
    assert_eq!(asked, parts);
}

#[test]
fn nobody_is_asked_where_all_together_have_too_little() {
    // Arrange: two thousand peers with a little; no more than a few of them are asked.
    let gateway = with_peers(&[1_000; 2_000]);

    // Act
    let asked = givers(&gateway, 12_000);

    // Assert: the call is refused at once.
    assert_eq!(asked, []);
}
