//! Replays recorded traces against their stated outcomes.

use std::io::{BufReader, Cursor};
use std::time::Duration;

use assert_matches::assert_matches;
use damaskstile::core::prelude::*;
use damaskstile::trace::{self, Error, TraceHead, TraceLine, replay};
use damaskstile_fakes::options::{OFFICE_TOKEN, settings};

const START: Duration = Duration::from_hours(500_000);

fn at(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn event(millis: u64, event: Event) -> TraceLine {
    TraceLine::Event {
        now: at(millis),
        event,
    }
}

fn store(millis: u64, call: CallId, answer: StoreAnswer) -> TraceLine {
    event(millis, Event::Store { call, answer })
}

fn chat(handle: RequestHandle, key: &str) -> Event {
    Event::Request(NewRequest {
        request: handle,
        token_sha256: OFFICE_TOKEN.to_owned(),
        key: Some(key.to_owned()),
        service: "chat".to_owned(),
        body_hash: 1,
        prompt_bytes: 10,
        max_output_tokens: Some(10),
        non_idempotent: false,
        is_streamed: false,
        priority: None,
        time_limit: None,
    })
}

/// Events after which an instance has settings, but no answer from its store and no peers.
fn startup_lines() -> Vec<TraceLine> {
    let text = "[fleet]\nbudget_policy = \"transfers\"\n".to_owned() + &settings("instances = 1");
    let stored = serde_json::json!({"author": "", "note": "", "at_unix_ms": 0, "text": text});
    let object = Object {
        version: 3,
        value: stored.to_string(),
    };
    vec![
        event(0, Event::Tick),
        event(
            5,
            Event::Changed {
                key: "settings/tree".to_owned(),
                object,
            },
        ),
    ]
}

fn replayed(lines: &[TraceLine]) -> trace::ReplayReport {
    let head = TraceHead {
        identity: Identity::new("one", 9, "dc"),
        seed: 9,
        started_at: START,
    };
    let mut bytes = Vec::new();
    trace::write_line(&mut bytes, &head).unwrap();
    for line in lines {
        trace::write_line(&mut bytes, line).unwrap();
    }
    replay(&mut BufReader::new(Cursor::new(bytes))).unwrap()
}

#[test]
fn without_store_and_peers_a_request_is_refused_at_once() {
    // Arrange: the store's answers, among them the one to the read of the ledger, are lost.
    let mut lines = startup_lines();
    lines.push(event(10, chat(1, "k")));
    lines.push(TraceLine::ExpectOpen { request: 1 });
    for call in 1..12 {
        lines.push(store(14, call, StoreAnswer::Lost));
    }

    // Act
    lines.push(TraceLine::Expect {
        request: 1,
        outcome: Outcome::not_run(RefusalCode::BudgetUnreachable, Some(Duration::from_secs(1))),
    });
    lines.push(TraceLine::ExpectDispatches {
        request: 1,
        dispatches: 0,
    });
    let replayed = replayed(&lines);

    // Assert
    assert_eq!(replayed.broken, Vec::<String>::new());
    assert_eq!(replayed.held, 3);
}

#[test]
fn an_unmet_expectation_is_reported_with_what_was_found() {
    let mut lines = startup_lines();
    lines.push(TraceLine::ExpectDispatches {
        request: 1,
        dispatches: 1,
    });

    let replayed = replayed(&lines);

    assert_eq!(replayed.held, 0);
    assert!(replayed.broken[0].contains("0 dispatches"), "{replayed:?}");
}

#[test]
fn a_replay_is_deterministic() {
    let mut lines = startup_lines();
    for number in 0..50 {
        lines.push(event(10 + number, chat(number, &format!("k{number}"))));
    }

    assert_eq!(replayed(&lines), replayed(&lines));
}

#[test]
fn a_malformed_line_is_reported_with_its_number() {
    let text = "{\"identity\":{\"instance\":\"a\",\"incarnation\":1,\"data_centre\":\"\"},\
                \"seed\":1,\"started_at\":{\"secs\":1,\"nanos\":0}}\nnonsense\n";

    let error = replay(&mut Cursor::new(text)).unwrap_err();

    assert_matches!(error, Error::Malformed { line: 2, .. });
}
