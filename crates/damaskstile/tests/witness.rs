//! Tests of witnesses: recovery of a silent holder's grants, and records of runs and transfers.

use std::time::Duration;

use damaskstile::core::peer::{RecordAck, TokenTransfer};
use damaskstile::core::prelude::*;
use damaskstile::{Instance, InstanceOptions};
use damaskstile_fakes::options::{OFFICE_TOKEN, settings};
use damaskstile_fakes::simulation::{RequestSpec, STARTED_AT};
use damaskstile_fakes::{Simulation, SimulationOptions, check};

/// Starts a fleet without open tokens, so that all spending needs records at witnesses.
fn recorded_fleet(instances: usize) -> Simulation {
    let values = "[fleet]\nopen_percent = 0\n";
    let options = SimulationOptions {
        instances,
        settings: values.to_owned() + &settings(&format!("instances = {instances}")),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 10_000);
    simulation.run_for(Duration::from_secs(5));
    simulation
}

#[test]
fn unspent_tokens_of_a_killed_holder_return_to_the_budget() {
    // Arrange
    let mut simulation = recorded_fleet(3);
    simulation.request("i000", &RequestSpec::chat(10, 50, 40));
    simulation.run_for(Duration::from_secs(2));

    // Act
    simulation.kill("i000");
    simulation.run_for(Duration::from_secs(30));

    // Assert: the ledger has no tokens left with the killed instance.
    assert_eq!(simulation.store.ledger("office").held_tokens("i000"), 0);
    assert_eq!(check::answered_is_billed(&simulation), Ok(()));
}

#[test]
fn a_holder_that_was_paused_past_its_seal_spends_nothing_of_it() {
    // Guards against overspending by a holder that is paused while its witnesses seal its grants
    // and others spend the tokens, and that wakes up with its old holdings. The hosts check no time
    // limits here, so a right to spend that ended by time alone would let the test fail.

    // Arrange
    let mut simulation = recorded_fleet(3);
    simulation.hosts_check_expiry = false;
    for _ in 0..5 {
        simulation.request("i000", &RequestSpec::chat(10, 50, 40));
    }
    simulation.pause("i000", Duration::from_mins(2));

    // Act
    simulation.run_for(Duration::from_secs(30));
    for _ in 0..400 {
        simulation.request("i001", &RequestSpec::chat(10, 50, 40));
        simulation.run_for(Duration::from_millis(20));
    }
    for _ in 0..50 {
        simulation.request("i000", &RequestSpec::chat(10, 50, 40));
    }
    simulation.run_for(Duration::from_mins(3));

    // Assert
    assert_eq!(check::at_end(&simulation), Ok(()));
}

#[test]
fn a_restarted_witness_may_not_accept_for_the_one_before_it() {
    // Guards against spending of a sealed grant: a witness seals a paused holder's grant and is
    // restarted, then the holder wakes up and sends a record to the new incarnation, which does not
    // know of the seal. An acceptance counts only from the incarnation that the grant names.

    // Arrange: a holder whose grant names incarnation 5 of the witness `two`.
    let mut holder = holder_with_grant(5);
    let mut effects = Vec::new();
    holder.handle(later(1_000), request(1), &mut effects);
    let run = recorded_run(&effects).expect("the run is recorded first");
    assert!(!has_dispatch(&effects));

    // Act
    let ack = PeerMessage::RecordAck(RecordAck {
        run,
        is_accepted: true,
    });
    let mut by_other = Vec::new();
    holder.handle(later(1_001), from_two(6, ack.clone()), &mut by_other);
    let mut by_named = Vec::new();
    holder.handle(later(1_002), from_two(5, ack), &mut by_named);

    // Assert
    assert!(!has_dispatch(&by_other));
    assert!(has_dispatch(&by_named));
}

#[test]
fn a_transfer_that_is_delivered_twice_counts_once() {
    // Arrange
    let mut simulation = recorded_fleet(3);
    simulation.network.duplicate_percent = 100;

    // Act
    for number in 0..200 {
        simulation.request(
            &format!("i00{}", number % 3),
            &RequestSpec::chat(50, 50, 50),
        );
        simulation.run_for(Duration::from_millis(5));
    }
    simulation.run_for(Duration::from_secs(5));

    // Assert
    assert!(simulation.logged.contains_key(&EventCode::TokensTaken));
    assert_eq!(check::at_end(&simulation), Ok(()));
}

#[test]
fn a_transfer_that_was_not_requested_is_not_accepted() {
    // Arrange
    let mut holder = holder_with_grant(5);
    let free_tokens = holder.free_tokens("office");
    let give = PeerMessage::Give(TokenTransfer {
        ask: 12_345,
        budget: "office".to_owned(),
        transfer: "t".to_owned(),
        grant: "g".to_owned(),
        tokens: 1_000,
        origins: Vec::new(),
    });

    // Act
    holder.handle(later(1_000), from_two(5, give), &mut Vec::new());

    // Assert
    assert_eq!(holder.free_tokens("office"), free_tokens);
}

fn later(millis: u64) -> Duration {
    STARTED_AT + Duration::from_millis(millis)
}

fn from_two(incarnation: u64, message: PeerMessage) -> Event {
    Event::Peer {
        from: "two".to_owned(),
        incarnation,
        message,
    }
}

fn request(handle: RequestHandle) -> Event {
    Event::Request(NewRequest {
        request: handle,
        token_sha256: OFFICE_TOKEN.to_owned(),
        key: Some(format!("key-{handle}")),
        service: "chat".to_owned(),
        body_hash: 1,
        prompt_bytes: 10,
        max_output_tokens: Some(10),
        non_idempotent: false,
        is_streamed: true,
        priority: None,
        time_limit: None,
    })
}

/// Returns an instance that holds a grant whose witness is this incarnation of `two`.
fn holder_with_grant(incarnation: u64) -> Instance {
    let identity = Identity::new("one", 3, "dc");
    let mut options = InstanceOptions::new(identity);
    options.seeds = vec![damaskstile::core::peer::MemberState {
        instance: "two".to_owned(),
        incarnation,
        started_unix_ms: 1,
        data_centre: "dc".to_owned(),
        ..Default::default()
    }];
    let mut instance = Instance::new(options, later(0));
    let mut store = damaskstile_fakes::FakeStore::default();
    store.top_up("office", "first", 1_000);
    let text = "[fleet]\nopen_percent = 0\n".to_owned() + &settings("instances = 2");
    let stored = serde_json::json!({"author": "", "note": "", "at_unix_ms": 0, "text": text});
    store.put("settings/tree", stored.to_string());

    let targets = vec![TargetInfo {
        target: "chat-0".to_owned(),
        address: "at".to_owned(),
        service: "chat".to_owned(),
        data_centre: String::new(),
        is_leaving: false,
    }];
    let mut events = VecDeque::from([Event::Targets { targets }]);
    while let Some(event) = events.pop_front() {
        let mut effects = Vec::new();
        instance.handle(later(10), event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Store { call, request } => {
                    let answer = store.call(request);
                    events.push_back(Event::Store { call, answer });
                }
                Effect::Probe { target, .. } => events.push_back(Event::TargetStatus {
                    target,
                    status: Some(TargetStatus {
                        is_leaving: false,
                        in_flight_requests: 0,
                        slots_requests: 4,
                        age_ms: 0,
                    }),
                }),
                _ => {}
            }
        }
    }
    assert!(instance.free_tokens("office") > 0);
    instance
}

fn recorded_run(effects: &[Effect]) -> Option<RunId> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::Record(record),
            ..
        } if !record.target.is_empty() => Some(record.run.clone()),
        _ => None,
    })
}

fn has_dispatch(effects: &[Effect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Dispatch(_)))
}
