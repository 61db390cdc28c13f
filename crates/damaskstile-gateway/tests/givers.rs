//! Selection of the peers that are asked for the tokens that a call lacks.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_gateway::gateway::Gateway;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::peers::{AccountTokens, Digest};
use support::{UnreachableStore, gateway, unused_address};

const ACCOUNT: &str = "account";

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Makes an instance that knows peers with these numbers of free tokens, at ports from 1 on.
fn with_peers(free_tokens: &[u64]) -> Arc<Gateway> {
    let gateway = gateway(unused_address(), Arc::new(UnreachableStore));
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

fn token_senders(gateway: &Gateway, tokens: u64) -> Vec<(SocketAddr, u64)> {
    gateway
        .state()
        .token_senders(gateway.now(), ACCOUNT, tokens)
}

#[test]
fn one_peer_that_has_twice_the_tokens_is_asked_alone() {
    // Arrange
    let gateway = with_peers(&[3_000, 30_000, 9_000]);

    // Act
    let asked = token_senders(&gateway, 12_000);

    // Assert
    assert_eq!(asked, [(address(2), 12_000)]);
}

#[test]
fn several_peers_are_asked_for_shares_of_the_tokens_of_a_long_call() {
    // Guards against refusing long calls while the whole fleet is isolated from the store although
    // their account has half of its tokens left: sixty instances each hold the tokens of a few
    // short calls, and a call of 12,000 tokens asked only the richest peer, which had to hold twice
    // as many.

    // Arrange
    let gateway = with_peers(&[4_000, 10_000, 8_000, 6_000, 2_000]);

    // Act
    let asked = token_senders(&gateway, 12_000);

    // Assert: each keeps half, the richest is asked first, and the last one sends the rest.
    let parts = [
        (address(2), 5_000),
        (address(3), 4_000),
        (address(4), 3_000),
    ];
    assert_eq!(asked, parts);
}

#[test]
fn no_peer_is_asked_if_all_together_have_too_few_tokens() {
    // Arrange: two thousand peers with few tokens each, of which only a few are asked.
    let gateway = with_peers(&[1_000; 2_000]);

    // Act
    let asked = token_senders(&gateway, 12_000);

    // Assert: the call is refused at once.
    assert_eq!(asked, []);
}
