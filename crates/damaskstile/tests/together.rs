//! Tests of a whole fleet: leaving targets, settings, planned stops, recovery and overload.

use std::time::Duration;

use damaskstile::core::prelude::*;
use damaskstile_fakes::options::settings;
use damaskstile_fakes::simulation::RequestSpec;
use damaskstile_fakes::{Simulation, SimulationOptions, check};

/// Time after which a leaving target must not get new runs.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

fn fleet(instances: usize) -> Simulation {
    fleet_with(instances, "")
}

/// Starts a fleet with additional values in the `[fleet]` table of the settings.
fn fleet_with(instances: usize, values: &str) -> Simulation {
    let options = SimulationOptions {
        instances,
        settings: format!("[fleet]\n{values}\n") + &settings(&format!("instances = {instances}")),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 1_000_000);
    simulation.run_for(Duration::from_secs(3));
    simulation
}

fn call_all(simulation: &mut Simulation, rounds: u64) {
    for _ in 0..rounds {
        for name in simulation.names() {
            simulation.request(&name, &RequestSpec::chat(10, 50, 40));
        }
        simulation.run_for(Duration::from_millis(50));
    }
    // Waits for the last answers.
    simulation.run_for(Duration::from_secs(1));
}

fn answered(simulation: &Simulation) -> usize {
    let calls = simulation.calls.values();
    calls
        .filter(|answered| answered.outcome.as_ref().is_some_and(Outcome::is_answered))
        .count()
}

#[test]
fn a_leaving_target_gets_nothing_new_after_a_few_seconds() {
    // Guards against requests to a target that is being removed: the target reports that it leaves,
    // the platform's list does not show it, and one instance is cut off from platform and peers.

    // Arrange: half of the tokens are open, so that the isolated instance can spend without peers.
    let mut simulation = fleet_with(4, "open_percent = 50");
    simulation.network.island.insert("i000".to_owned());
    let now = simulation.now;
    let target = simulation.targets.targets.get_mut("chat-1").unwrap();
    target.leaving_since = Some(now);

    // Act
    call_all(&mut simulation, 200);

    // Assert
    assert!(simulation.targets.latest_start_after_leaving < LEAVING_LIMIT);
    assert_eq!(answered(&simulation), simulation.calls.len());
}

#[test]
fn a_target_that_cannot_be_asked_gets_nothing_new() {
    // Arrange
    let mut simulation = fleet(3);
    simulation
        .targets
        .targets
        .get_mut("chat-1")
        .unwrap()
        .is_down = true;
    simulation.run_for(LEAVING_LIMIT);
    let before = simulation.targets.dispatches;

    // Act
    call_all(&mut simulation, 20);

    // Assert: it got no dispatches, and all requests were answered by other targets.
    assert_eq!(simulation.targets.dispatches - before, 60);
    assert_eq!(answered(&simulation), 60);
}

#[test]
fn a_nightly_upgrade_cuts_off_nothing() {
    // Arrange
    let mut simulation = fleet(4);

    // Act: the targets leave and return one after the other.
    for number in 0..3 {
        let name = format!("chat-{number}");
        let now = simulation.now;
        simulation
            .targets
            .targets
            .get_mut(&name)
            .unwrap()
            .leaving_since = Some(now);
        call_all(&mut simulation, 100);
        simulation
            .targets
            .targets
            .get_mut(&name)
            .unwrap()
            .leaving_since = None;
        call_all(&mut simulation, 40);
    }
    simulation.run_for(Duration::from_secs(2));

    // Assert
    assert_eq!(answered(&simulation), simulation.calls.len());
}

#[test]
fn a_rolling_restart_loses_nothing() {
    // Arrange
    let mut simulation = fleet(4);

    // Act
    for name in simulation.names() {
        call_all(&mut simulation, 5);
        simulation.stop(&name);
        simulation.run_for(Duration::from_secs(5));
        assert!(simulation.stopped.contains(&name), "{name} has not stopped");
        assert_eq!(simulation.store.ledger("office").held_tokens(&name), 0);
        simulation.start(&name);
        simulation.run_for(Duration::from_secs(3));
    }
    simulation.run_for(Duration::from_secs(5));

    // Assert
    assert_eq!(answered(&simulation), simulation.calls.len());
    assert_eq!(check::answered_is_billed(&simulation), Ok(()));
    let ledger = simulation.store.ledger("office");
    assert_eq!(ledger.settled_tokens, simulation.targets.ran("office"));
}

#[test]
fn settings_reach_all_instances_while_a_watcher_is_cut_off_from_the_store() {
    // Arrange
    let mut simulation = fleet(9);
    let text = "[fleet]\nmax_output_tokens = 7\n".to_owned() + &settings("instances = 9");
    let version = simulation.put_settings(&text);
    let cut = simulation.watchers.pop_first().unwrap();

    // Act
    simulation.show_settings();
    simulation.run_for(Duration::from_secs(2));

    // Assert
    for (name, instance) in simulation.live_instances() {
        assert_eq!(
            instance.settings().version(),
            version,
            "{name}, {cut} was cut"
        );
    }
}

#[test]
fn settings_never_go_back() {
    // Guards against a return to older settings: after newer ones are applied, a lagging read, a
    // stale peer or a restart may deliver the older ones.

    // Arrange
    let mut simulation = fleet(3);
    let older = simulation.store.get("settings/tree").cloned().unwrap();
    let version = simulation.put_settings(&settings("instances = 3\nretry_percent = 5"));
    simulation.show_settings();
    simulation.run_for(Duration::from_secs(2));

    // Act
    for name in simulation.names() {
        let key = "settings/tree".to_owned();
        let object = older.clone();
        simulation.deliver(&name, Event::Changed { key, object });
        assert_eq!(
            simulation.instance(&name).unwrap().settings().version(),
            version
        );
    }
    simulation.kill("i001");
    simulation.start("i001");
    simulation.run_for(Duration::from_secs(2));

    // Assert
    for (_, instance) in simulation.live_instances() {
        assert_eq!(instance.settings().version(), version);
    }
}

#[test]
fn invalid_settings_leave_those_in_force() {
    let mut simulation = fleet(3);
    let before = simulation.instance("i000").unwrap().settings().version();

    simulation.put_settings("[fleet]\nmax_output_tokens = 0");
    simulation.show_settings();
    simulation.run_for(Duration::from_secs(2));

    assert_eq!(
        simulation.instance("i000").unwrap().settings().version(),
        before
    );
    assert!(simulation.logged.contains_key(&EventCode::SettingsRefused));
}

#[test]
fn an_instance_that_starts_in_an_outage_serves_from_its_peers() {
    // Arrange
    let mut simulation = fleet(3);
    simulation.store.is_out = true;
    simulation.kill("i002");
    simulation.run_for(Duration::from_secs(2));
    let started_at = simulation.now;

    // Act
    simulation.start("i002");
    simulation.run_for(Duration::from_millis(500));
    let call = simulation.request("i002", &RequestSpec::chat(10, 50, 40));
    simulation.run_for(Duration::from_secs(1));

    // Assert: settings and tokens came from peers within one second.
    let answered = &simulation.calls[&call];
    assert!(
        answered.outcome.as_ref().unwrap().is_answered(),
        "{answered:?}"
    );
    assert!(answered.answered_at.unwrap() < started_at + Duration::from_secs(1));
}

#[test]
fn an_instance_that_is_cut_off_for_hours_serves_what_it_holds_and_no_more() {
    // Arrange
    let mut simulation = fleet(3);
    simulation.network.island.insert("i000".to_owned());
    simulation.network.is_store_on_island = false;

    // Act
    for _ in 0..200 {
        simulation.request("i000", &RequestSpec::chat(1_000, 1_000, 900));
        simulation.run_for(Duration::from_mins(1));
        assert_eq!(check::always(&simulation), Ok(()));
    }

    // Assert: it answered from open tokens and refused requests when these were spent.
    let refused = simulation.calls.len() - answered(&simulation);
    assert!(refused > 0 && answered(&simulation) > 0);
    assert_eq!(check::at_end(&simulation), Ok(()));
}

#[test]
fn retries_do_not_multiply_the_load_when_half_of_the_targets_fail() {
    // Arrange
    let mut simulation = fleet(3);
    simulation
        .targets
        .targets
        .get_mut("chat-0")
        .unwrap()
        .is_refusing = true;
    let before = simulation.targets.dispatches;

    // Act
    call_all(&mut simulation, 200);

    // Assert: at most ten retries per hundred requests, plus the retry budget saved up before.
    let requests = 600;
    let retries = simulation.targets.dispatches - before - requests;
    assert!(retries <= requests / 10 + 100, "{retries} retries");
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    // Arrange: one target with one slot, and two accounts: a large one that fills the queue, and a
    // small one.
    let token = "b".repeat(64);
    let small = format!("[account.small]\nbudget = \"office\"\ntoken_sha256 = [\"{token}\"]\n");
    let options = SimulationOptions {
        instances: 1,
        targets: 1,
        slots_requests: 1,
        settings: settings("instances = 1\nqueue_requests = 16\nqueue_wait_ms = 60000") + &small,
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 1_000_000);
    simulation.run_for(Duration::from_secs(3));

    // Act
    for _ in 0..40 {
        simulation.request("i000", &RequestSpec::chat(10, 50, 40));
    }
    let spec = RequestSpec {
        token_sha256: token,
        ..RequestSpec::chat(10, 50, 40)
    };
    let calls: Vec<RequestHandle> = (0..4).map(|_| simulation.request("i000", &spec)).collect();
    simulation.run_for(Duration::from_secs(30));

    // Assert
    for call in calls {
        let outcome = simulation.calls[&call].outcome.as_ref().unwrap();
        assert!(outcome.is_answered(), "{outcome:?}");
    }
}

#[test]
fn a_cut_call_of_a_plain_service_is_not_sent_again() {
    // Guards against a second execution of a non-idempotent call: its connection breaks and it is
    // sent again to be resumed. `can_resume` is on by default, but plain services cannot resume.

    // Arrange
    let mut simulation = fleet(3);
    let before = simulation.targets.dispatches;
    let call = simulation.request("i000", &RequestSpec::publish(""));
    simulation.run_for(Duration::from_millis(15));
    let run = simulation.targets.runs.keys().next().unwrap().clone();

    // Act
    let report = RunReport::Broken;
    simulation.deliver("i000", Event::Run { run, report });
    simulation.run_for(Duration::from_secs(5));

    // Assert
    assert_eq!(simulation.targets.dispatches - before, 1);
    let outcome = simulation.calls[&call].outcome.as_ref().unwrap();
    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
}

#[test]
fn bills_of_a_long_outage_fit_into_the_store_afterwards() {
    // Guards against a ledger that is never written again after a long outage: thousands of bills
    // wait while the store is down, and one write of all of them exceeds the store's size limit, so
    // that it is refused on every attempt.

    // Arrange
    let options = SimulationOptions {
        instances: 1,
        slots_requests: 100_000,
        settings: settings("instances = 1"),
        ..SimulationOptions::default()
    };
    let mut simulation = Simulation::new(options, 10_000_000);
    simulation.run_for(Duration::from_secs(3));
    simulation.store.is_out = true;

    // Act
    for _ in 0..6_000 {
        simulation.request("i000", &RequestSpec::chat(1, 2, 2));
        simulation.run_for(Duration::from_millis(5));
    }
    simulation.store.is_out = false;
    simulation.run_for(Duration::from_mins(1));

    // Assert
    assert_eq!(check::at_end(&simulation), Ok(()));
    assert_eq!(answered(&simulation), 6_000);
    assert_eq!(check::answered_is_billed(&simulation), Ok(()));
}
