//! Tests of the frames between instances, with valid and with arbitrary input.

use assert_matches::assert_matches;
use damaskstile_core::errors::Error;
use damaskstile_core::peer::{
    Adoption, Draw, Gossip, MAX_FRAME_BYTES, MemberState, PeerMessage, RunRecord, TargetNote,
    TokenRequest, TokenTransfer, decode_frame, encode_frame,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (".{0,20}", any::<u64>(), any::<u64>()).prop_map(|(budget, tokens, ask)| {
            PeerMessage::Ask(TokenRequest {
                budget,
                tokens,
                ask,
            })
        }),
        (".{0,20}", any::<u64>(), any::<u64>()).prop_map(|(transfer, tokens, incarnation)| {
            PeerMessage::Give(TokenTransfer {
                transfer: transfer.clone(),
                tokens,
                origins: vec![Adoption {
                    transfer,
                    incarnation,
                    ..Adoption::default()
                }],
                ..TokenTransfer::default()
            })
        }),
        (".{0,20}", any::<u64>()).prop_map(|(run, tokens)| {
            PeerMessage::Record(RunRecord {
                run,
                draws: vec![Draw {
                    grant: "g".to_owned(),
                    tokens,
                }],
                ..RunRecord::default()
            })
        }),
        (".{0,20}", any::<u64>(), any::<bool>()).prop_map(|(name, number, flag)| {
            PeerMessage::Gossip(Gossip {
                members: vec![MemberState {
                    instance: name.clone(),
                    heartbeat: number,
                    is_stopping: flag,
                    ..MemberState::default()
                }],
                targets: vec![TargetNote {
                    target: name,
                    is_leaving: flag,
                    age_ms: number,
                }],
            })
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_yield_a_frame_or_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_frame(&bytes);
    }

    #[test]
    fn a_message_round_trips_through_a_frame(message in message(), incarnation in any::<u64>()) {
        let bytes = encode_frame("one", incarnation, message.clone());
        prop_assert_eq!(decode_frame(&bytes), Ok(("one".to_owned(), incarnation, message)));
    }

    #[test]
    fn a_cut_frame_never_names_another_sender(message in message(), cut in 0..64_usize) {
        let bytes = encode_frame("one", 1, message);
        let cut = cut.min(bytes.len());
        if let Ok((from, _, _)) = decode_frame(&bytes[..cut]) {
            prop_assert_eq!(from, "one");
        }
    }
}

#[test]
fn a_frame_without_sender_or_message_is_refused() {
    let ask = PeerMessage::Ask(TokenRequest::default());
    assert_matches!(
        decode_frame(&encode_frame("", 1, ask)),
        Err(Error::Invalid(_))
    );
    assert_matches!(decode_frame(b"\x0a\x03one"), Err(Error::Invalid(_)));
}

#[test]
fn a_frame_that_is_too_large_is_refused() {
    let bytes = vec![0; MAX_FRAME_BYTES + 1];
    assert_matches!(decode_frame(&bytes), Err(Error::Invalid(_)));
}
