//! End-to-end tests: real processes are killed, paused and stopped while calls continue.

mod support;

use std::time::Duration;

use damaskstile_standins::target::Faults;
use rustix::process::Signal;
use support::{Answer, Fleet, key};

const NAMES: [&str; 3] = ["one", "two", "three"];

/// Sends chat completions to the named instances in turn, 15 ms apart, and waits for all answers.
async fn load(fleet: &Fleet, names: &[&str], first: u64, count: u64) -> Vec<(String, Answer)> {
    let mut calls = Vec::new();
    for number in 0..count {
        let name = names[usize::try_from(number).unwrap_or(0) % names.len()];
        let key = key(first + number);
        let answer = fleet.chat(name, &key, 10);
        calls.push(tokio::spawn(async move { (key, answer.await) }));
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("call"));
    }
    answers
}

fn answered(answers: &[(String, Answer)]) -> Vec<String> {
    answers
        .iter()
        .filter(|(_, answer)| answer.is_answered())
        .map(|(key, _)| key.clone())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_instance_leaves_every_answer_billed_once() {
    // Guards against lost or duplicate bills. An instance answers, is killed before it has stored
    // its bills, and restarts; bills that only its process holds would be lost.

    // Arrange
    let mut fleet = Fleet::start("kill", &NAMES, 200_000).await;

    // Act
    let mut answers = load(&fleet, &NAMES, 0, 30).await;
    fleet.signal("one", Signal::KILL);
    fleet.wait_ended("one").await;
    answers.extend(load(&fleet, &["two", "three"], 100, 30).await);
    fleet.restart("one").await;
    answers.extend(load(&fleet, &NAMES, 200, 30).await);

    // Assert
    let keys = answered(&answers);
    assert!(keys.len() >= 88, "{} of 90 answered", keys.len());
    let missing = fleet.wait_billed(&keys, Duration::from_secs(20)).await;
    assert_eq!(missing, Vec::<String>::new());
    let mut billed: Vec<String> = fleet
        .bills()
        .await
        .into_iter()
        .map(|bill| bill.key)
        .collect();
    let all = billed.len();
    billed.sort();
    billed.dedup();
    assert_eq!(billed.len(), all, "a request is billed twice");
    let (_, ran_tokens) = fleet.executed();
    assert!(ran_tokens <= fleet.ledger().await.committed_tokens());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_instance_spends_no_tokens_of_closed_grants() {
    // Guards against running more tokens than were topped up. An instance is paused, its witnesses
    // close its grants and others spend the tokens; then it resumes without knowing. A grant that
    // is revoked by time alone would be spent twice.

    // Arrange: 322 requests of 12 tokens cost more than the budget.
    let fleet = Fleet::start("pause", &NAMES, 3_000).await;

    // Act
    let mut answers = load(&fleet, &NAMES, 0, 12).await;
    fleet.signal("two", Signal::STOP);
    answers.extend(load(&fleet, &["one", "three"], 100, 250).await);
    fleet.signal("two", Signal::CONT);
    answers.extend(load(&fleet, &["two"], 500, 60).await);
    tokio::time::sleep(Duration::from_secs(1)).await;

    // Assert
    let (_, ran_tokens) = fleet.executed();
    let ledger = fleet.ledger().await;
    assert!(ran_tokens <= ledger.committed_tokens());
    assert!(ledger.committed_tokens() <= 3_000);
    let (answered, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|(_, answer)| answer.is_answered());
    assert!(answered.len() <= 250, "{} answered", answered.len());
    for (_, answer) in refused {
        assert_eq!(answer.body["outcome"], "not_run", "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_outage_stops_neither_answers_nor_bills() {
    // Arrange
    let fleet = Fleet::start("outage", &NAMES, 200_000).await;
    let mut answers = load(&fleet, &NAMES, 0, 12).await;

    // Act
    fleet
        .set_platform_faults(&serde_json::json!({"is_out": true}))
        .await;
    answers.extend(load(&fleet, &NAMES, 100, 100).await);
    fleet
        .set_platform_faults(&serde_json::json!({"lose_answers": 3}))
        .await;

    // Assert
    let keys = answered(&answers);
    assert_eq!(keys.len(), 112);
    let missing = fleet.wait_billed(&keys, Duration::from_secs(15)).await;
    assert_eq!(missing, Vec::<String>::new());
    let ledger = fleet.ledger().await;
    assert_eq!(ledger.settled_tokens, fleet.executed().1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_under_load_cuts_off_nothing() {
    // Guards against streams cut short and requests refused during a rolling restart. Each instance
    // gets SIGTERM under load, with answers of 200 ms open, while new calls go to the others. It
    // must not exit before its last answer is read and its bills are handed over.

    // Arrange
    let mut fleet = Fleet::start("rolling", &NAMES, 200_000).await;
    for target in ["chat-1", "chat-2"] {
        let faults = Faults {
            pace_ms: 20,
            ..Faults::default()
        };
        fleet.set_engine_faults(target, faults);
    }
    let mut answers = Vec::new();

    // Act
    for (round, name) in NAMES.into_iter().enumerate() {
        let others: Vec<&str> = NAMES.into_iter().filter(|other| *other != name).collect();
        let first = u64::try_from(round).unwrap_or(0) * 100;
        answers.extend(load_then_stop(&fleet, name, &others, first).await);
        assert!(fleet.wait_ended(name).await, "{name} did not end well");
        fleet.restart(name).await;
    }

    // Assert
    let keys = answered(&answers);
    assert_eq!(keys.len(), answers.len(), "{answers:?}");
    let missing = fleet.wait_billed(&keys, Duration::from_secs(10)).await;
    assert_eq!(missing, Vec::<String>::new());
    assert_eq!(fleet.ledger().await.settled_tokens, fleet.executed().1);
}

/// Stops an instance while it has open answers; new calls go to the others.
async fn load_then_stop(
    fleet: &Fleet,
    name: &str,
    others: &[&str],
    first: u64,
) -> Vec<(String, Answer)> {
    let mut open = Vec::new();
    for number in 0..20 {
        let key = key(first + number);
        let answer = fleet.chat(name, &key, 10);
        open.push(tokio::spawn(async move { (key, answer.await) }));
    }
    tokio::time::sleep(Duration::from_millis(30)).await;
    fleet.signal(name, Signal::TERM);
    let mut answers = load(fleet, others, first + 50, 20).await;
    for call in open {
        answers.push(call.await.expect("call"));
    }
    answers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_non_idempotent_call_runs_once_across_instances() {
    // Arrange
    let fleet = Fleet::start("publish", &NAMES, 10_000).await;
    let keys: Vec<String> = (0..10).map(key).collect();

    // Act: send every key to all instances at once.
    let mut calls = Vec::new();
    for key in &keys {
        for name in NAMES {
            calls.push(tokio::spawn(fleet.publish(name, key)));
        }
    }
    let mut answered = 0;
    for call in calls {
        let answer = call.await.expect("call");
        let code = answer.body["code"].as_str().unwrap_or_default().to_owned();
        if answer.is_answered() {
            answered += 1;
        } else {
            assert!(
                ["in_progress", "already_ran"].contains(&code.as_str()),
                "{answer:?}"
            );
        }
    }

    // Assert
    assert_eq!(answered, keys.len());
    let (mut ran, _) = fleet.executed();
    ran.sort();
    assert_eq!(ran, keys);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_settings_are_in_force_everywhere_soon_and_never_revert() {
    // Arrange
    let mut fleet = Fleet::start("settings", &NAMES, 10_000).await;

    // Act
    let version = fleet.put_settings("max_output_tokens = 7").await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    // Assert
    for name in NAMES {
        assert_eq!(fleet.status(name).await["settings_version"], version);
    }

    // Act: an instance restarts without any state while the platform is unavailable.
    fleet
        .set_platform_faults(&serde_json::json!({"is_out": true}))
        .await;
    fleet.signal("three", Signal::KILL);
    fleet.wait_ended("three").await;
    fleet.restart("three").await;

    // Assert: it gets the settings from its peers.
    assert_eq!(fleet.status("three").await["settings_version"], version);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_that_an_outage_lost_does_not_hold_back_settings() {
    // Guards against new settings taking effect many seconds late. A change ends the watch, and the
    // platform loses the next watch in an outage but answers all other calls afterwards. If only
    // its own time limit ends the lost watch, settings wait for 20 s or more.

    // Arrange
    let fleet = Fleet::start("lost-watch", &["one"], 10_000).await;

    // Act
    fleet
        .set_platform_faults(&serde_json::json!({"lose_watches": 1}))
        .await;
    fleet.put_settings("").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet
        .set_platform_faults(&serde_json::json!({"is_out": true}))
        .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.set_platform_faults(&serde_json::json!({})).await;
    let version = fleet.put_settings("").await;
    let accepted_at = std::time::Instant::now();
    let limit = Duration::from_secs(10);
    while fleet.status("one").await["settings_version"] != version && accepted_at.elapsed() < limit
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    // Assert
    let took = accepted_at.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
}
