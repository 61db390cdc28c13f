//! Tests of how instances act together: leaving targets, settings, planned stops, recovery, load.

use std::time::Duration;

use damaskstile::core::prelude::*;
use damaskstile_fakes::options::settings;
use damaskstile_fakes::world::Work;
use damaskstile_fakes::{World, WorldOptions, check};

/// Time after which a leaving target gets nothing new.
const LEAVING_LIMIT: Duration = Duration::from_secs(4);

fn fleet(instances: usize) -> World {
    fleet_with(instances, "")
}

/// A fleet with more values in the `[fleet]` table.
fn fleet_with(instances: usize, values: &str) -> World {
    let options = WorldOptions {
        instances,
        settings: format!("[fleet]\n{values}\n") + &settings(&format!("instances = {instances}")),
        ..WorldOptions::default()
    };
    let mut world = World::new(options, 1_000_000);
    world.run_for(Duration::from_secs(3));
    world
}

fn call_all(world: &mut World, rounds: u64) {
    for _ in 0..rounds {
        for name in world.names() {
            world.request(&name, &Work::chat(10, 50, 40));
        }
        world.run_for(Duration::from_millis(50));
    }
    // The last answers take a little longer.
    world.run_for(Duration::from_secs(1));
}

fn answered(world: &World) -> usize {
    let answers = world.answers.values();
    answers
        .filter(|answered| answered.outcome.as_ref().is_some_and(Outcome::is_answered))
        .count()
}

#[test]
fn a_leaving_target_gets_nothing_new_after_a_few_seconds() {
    // Symptom: a target that is taken away still gets requests. Sequence: it says that it leaves;
    // the platform's list does not say so; an instance is cut off from the platform and peers.

    // Arrange: the one that is cut off has tokens that it may spend alone.
    let mut world = fleet_with(4, "open_percent = 50");
    world.network.island.insert("i000".to_owned());
    let now = world.now;
    let target = world.targets.targets.get_mut("chat-1").unwrap();
    target.leaving_since = Some(now);

    // Act
    call_all(&mut world, 200);

    // Assert
    assert!(world.targets.latest_start_after_leaving < LEAVING_LIMIT);
    assert_eq!(answered(&world), world.answers.len());
}

#[test]
fn a_target_that_cannot_be_asked_gets_nothing_new() {
    // Arrange
    let mut world = fleet(3);
    world.targets.targets.get_mut("chat-1").unwrap().is_down = true;
    world.run_for(LEAVING_LIMIT);
    let before = world.targets.dispatches;

    // Act
    call_all(&mut world, 20);

    // Assert: nobody even tried it, and all were answered elsewhere.
    assert_eq!(world.targets.dispatches - before, 60);
    assert_eq!(answered(&world), 60);
}

#[test]
fn a_nightly_upgrade_cuts_off_nothing() {
    // Arrange
    let mut world = fleet(4);

    // Act: every target leaves for a while, one after the other.
    for number in 0..3 {
        let name = format!("chat-{number}");
        let now = world.now;
        world.targets.targets.get_mut(&name).unwrap().leaving_since = Some(now);
        call_all(&mut world, 100);
        world.targets.targets.get_mut(&name).unwrap().leaving_since = None;
        call_all(&mut world, 40);
    }
    world.run_for(Duration::from_secs(2));

    // Assert
    assert_eq!(answered(&world), world.answers.len());
}

#[test]
fn a_rolling_restart_loses_nothing() {
    // Arrange
    let mut world = fleet(4);

    // Act
    for name in world.names() {
        call_all(&mut world, 5);
        world.stop(&name);
        world.run_for(Duration::from_secs(5));
        assert!(world.stopped.contains(&name), "{name} has not stopped");
        assert_eq!(world.store.ledger("office").held_tokens(&name), 0);
        world.start(&name);
        world.run_for(Duration::from_secs(3));
    }
    world.run_for(Duration::from_secs(5));

    // Assert
    assert_eq!(answered(&world), world.answers.len());
    assert_eq!(check::answered_is_billed(&world), Ok(()));
    let ledger = world.store.ledger("office");
    assert_eq!(ledger.settled_tokens, world.targets.ran("office"));
}

#[test]
fn settings_reach_all_although_a_watcher_is_cut_from_the_store() {
    // Arrange
    let mut world = fleet(9);
    let text = "[fleet]\nmax_output_tokens = 7\n".to_owned() + &settings("instances = 9");
    let version = world.put_settings(&text);
    let cut = world.watchers.pop_first().unwrap();

    // Act
    world.show_settings();
    world.run_for(Duration::from_secs(2));

    // Assert
    for (name, instance) in world.live_instances() {
        assert_eq!(
            instance.settings().version(),
            version,
            "{name}, {cut} was cut"
        );
    }
}

#[test]
fn settings_never_go_back() {
    // Symptom: an older configuration is in force again. Sequence: a newer one is applied; then a
    // lagging read, a stale peer and a restart bring the older one.

    // Arrange
    let mut world = fleet(3);
    let old = world.store.get("settings/tree").cloned().unwrap();
    let version = world.put_settings(&settings("instances = 3\nretry_percent = 5"));
    world.show_settings();
    world.run_for(Duration::from_secs(2));

    // Act
    for name in world.names() {
        let key = "settings/tree".to_owned();
        let object = old.clone();
        world.give(&name, Event::Changed { key, object });
        assert_eq!(world.instance(&name).unwrap().settings().version(), version);
    }
    world.kill("i001");
    world.start("i001");
    world.run_for(Duration::from_secs(2));

    // Assert
    for (_, instance) in world.live_instances() {
        assert_eq!(instance.settings().version(), version);
    }
}

#[test]
fn invalid_settings_leave_those_in_force() {
    let mut world = fleet(3);
    let before = world.instance("i000").unwrap().settings().version();

    world.put_settings("[fleet]\nmax_output_tokens = 0");
    world.show_settings();
    world.run_for(Duration::from_secs(2));

    assert_eq!(world.instance("i000").unwrap().settings().version(), before);
    assert!(world.logged.contains_key(&EventCode::SettingsRefused));
}

#[test]
fn an_instance_that_starts_in_an_outage_serves_from_its_peers() {
    // Arrange
    let mut world = fleet(3);
    world.store.is_out = true;
    world.kill("i002");
    world.run_for(Duration::from_secs(2));
    let started_at = world.now;

    // Act
    world.start("i002");
    world.run_for(Duration::from_millis(500));
    let call = world.request("i002", &Work::chat(10, 50, 40));
    world.run_for(Duration::from_secs(1));

    // Assert: settings and tokens come from peers, within a second.
    let answered = &world.answers[&call];
    assert!(
        answered.outcome.as_ref().unwrap().is_answered(),
        "{answered:?}"
    );
    assert!(answered.answered_at.unwrap() < started_at + Duration::from_secs(1));
}

#[test]
fn an_instance_that_is_cut_off_for_hours_serves_what_it_holds_and_no_more() {
    // Arrange
    let mut world = fleet(3);
    world.network.island.insert("i000".to_owned());
    world.network.is_store_on_island = false;

    // Act
    for _ in 0..200 {
        world.request("i000", &Work::chat(1_000, 1_000, 900));
        world.run_for(Duration::from_mins(1));
        assert_eq!(check::always(&world), Ok(()));
    }

    // Assert: it answered out of open tokens, and refused at once when they were spent.
    let refused = world.answers.len() - answered(&world);
    assert!(refused > 0 && answered(&world) > 0);
    assert_eq!(check::at_the_end(&world), Ok(()));
}

#[test]
fn retries_do_not_multiply_the_load_when_half_of_the_targets_fail() {
    // Arrange
    let mut world = fleet(3);
    world.targets.targets.get_mut("chat-0").unwrap().is_refusing = true;
    let before = world.targets.dispatches;

    // Act
    call_all(&mut world, 200);

    // Assert: ten retries for each hundred requests, and what was saved up before.
    let requests = 600;
    let retries = world.targets.dispatches - before - requests;
    assert!(retries <= requests / 10 + 100, "{retries} retries");
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    // Arrange: one target with one slot, a large account that fills the queue, and a small one.
    let token = "b".repeat(64);
    let small = format!("[account.small]\nbudget = \"office\"\ntoken_sha256 = [\"{token}\"]\n");
    let options = WorldOptions {
        instances: 1,
        targets: 1,
        slots_requests: 1,
        settings: settings("instances = 1\nqueue_requests = 16\nqueue_wait_ms = 60000") + &small,
        ..WorldOptions::default()
    };
    let mut world = World::new(options, 1_000_000);
    world.run_for(Duration::from_secs(3));

    // Act
    for _ in 0..40 {
        world.request("i000", &Work::chat(10, 50, 40));
    }
    let work = Work {
        token_sha256: token,
        ..Work::chat(10, 50, 40)
    };
    let calls: Vec<RequestHandle> = (0..4).map(|_| world.request("i000", &work)).collect();
    world.run_for(Duration::from_secs(30));

    // Assert
    for call in calls {
        let outcome = world.answers[&call].outcome.as_ref().unwrap();
        assert!(outcome.is_answered(), "{outcome:?}");
    }
}

#[test]
fn a_cut_call_of_a_plain_service_is_not_sent_again() {
    // Symptom: a call that must never run twice runs twice.
    // Sequence: the call is sent, its connection breaks, and it is sent again to be resumed.
    // Cause: a service's `can_resume` is on unless it is set, and plain services cannot resume.

    // Arrange
    let mut world = fleet(3);
    let before = world.targets.dispatches;
    let call = world.request("i000", &Work::publish(""));
    world.run_for(Duration::from_millis(15));
    let run = world.targets.runs.keys().next().unwrap().clone();

    // Act
    let report = RunReport::Broken;
    world.give("i000", Event::Run { run, report });
    world.run_for(Duration::from_secs(5));

    // Assert
    assert_eq!(world.targets.dispatches - before, 1);
    let outcome = world.answers[&call].outcome.as_ref().unwrap();
    assert!(matches!(outcome, Outcome::Unknown { .. }), "{outcome:?}");
}

#[test]
fn bills_of_a_long_outage_fit_into_the_store_afterwards() {
    // Symptom: after a long outage no bill is stored any more, and the ledger stays as it was.
    // Sequence: thousands of bills wait while the store is down; then all go in one write.
    // Cause: the value grows above what the store takes, and is refused on every try.

    // Arrange
    let options = WorldOptions {
        instances: 1,
        slots_requests: 100_000,
        settings: settings("instances = 1"),
        ..WorldOptions::default()
    };
    let mut world = World::new(options, 10_000_000);
    world.run_for(Duration::from_secs(3));
    world.store.is_out = true;

    // Act
    for _ in 0..6_000 {
        world.request("i000", &Work::chat(1, 2, 2));
        world.run_for(Duration::from_millis(5));
    }
    world.store.is_out = false;
    world.run_for(Duration::from_mins(1));

    // Assert
    assert_eq!(check::at_the_end(&world), Ok(()));
    assert_eq!(answered(&world), 6_000);
    assert_eq!(check::answered_is_billed(&world), Ok(()));
}
