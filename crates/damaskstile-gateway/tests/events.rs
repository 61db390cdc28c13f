//! Splitting of streams into complete events, independent of how their bytes are fragmented.

use damaskstile_gateway::events::EventSplitter;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Cases per property; each takes microseconds.
const CASES: u32 = 1_000;

fn config() -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Splits a stream that arrives in fragments of the given lengths.
fn cut(stream: &[u8], lengths: &[usize]) -> (Vec<Option<u64>>, Vec<u8>, bool) {
    let mut splitter = EventSplitter::default();
    let (mut ids, mut passed, mut rest) = (Vec::new(), Vec::new(), stream);
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = (*lengths.next().unwrap()).min(rest.len());
        assert!(splitter.push(&rest[..length]));
        rest = &rest[length..];
        while let Some(event) = splitter.next_event() {
            ids.push(event.id);
            passed.extend_from_slice(&event.bytes);
        }
    }
    (ids, passed, splitter.is_empty())
}

#[test]
fn complete_events_are_returned_once_and_incomplete_ones_never() {
    let pieces = prop::collection::vec(1..20_usize, 1..8);
    proptest!(config(), |(count in 0..12_u64, lengths in pieces, is_crlf: bool, incomplete: bool)| {
        let end = if is_crlf { "\r\n" } else { "\n" };
        let event = |id| format!("id: {id}{end}data: some text {id}{end}{end}");
        let whole = (1..=count).map(event).collect::<Vec<_>>().concat();
        let mut stream = whole.clone().into_bytes();
        if incomplete {
            stream.extend_from_slice(b"id: 99\ndata: cut o");
        }
        let (ids, passed, is_empty) = cut(&stream, &lengths);
        let expected: Vec<Option<u64>> = (1..=count).map(Some).collect();
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(passed, whole.into_bytes());
        prop_assert_eq!(is_empty, !incomplete);
    });
}

#[test]
fn an_unterminated_event_is_rejected_at_the_size_limit() {
    let mut splitter = EventSplitter::default();
    let is_bounded = (0..100).any(|_| !splitter.push(&[b'x'; 8 * 1024]));
    assert!(is_bounded);
}
