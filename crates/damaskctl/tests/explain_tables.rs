//! Tables of `explain` on recorded log lines of instances.

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// Log lines of two instances; the second ends without a log line and is restarted.
const LOGS: [&str; 2] = [
    r#"{"msg":"RoundWritten","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"on=1 round=1","event":211}
0.5 host {"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:02.000Z","instance":"a","fields":"account=office ahead=0 cost_ms=20 events=10 first_byte_ms=300 id=c1 outcome=answered pause_ms=90 reserved=1200 route=chat running=2 sent_ms=0 target=t1 took_ms=1000 uncached=900 used=1050","event":107}
{"msg":"CallerLeft","level":"INFO","ts":"2026-01-01T00:00:02.100Z","instance":"a","fields":"account=office events=2 id=c2 outcome=caller_left reserved=700 used=610","event":110}
{"msg":"CallFailed","level":"WARN","ts":"2026-01-01T00:00:02.200Z","instance":"a","fields":"account=office cause=broken events=3 id=c3 outcome=broken_off reserved=700 used=515","event":109}
{"msg":"CallFailed","level":"WARN","ts":"2026-01-01T00:00:02.300Z","instance":"a","fields":"account=office events=0 id=c4 outcome=target_lost reserved=700 used=500","event":109}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:02.400Z","instance":"a","fields":"account=office bought=20000 free=0 id=c5 needed=900 outcome=budget_unreachable shortage=elsewhere","event":108}
{"msg":"HoldingsNoted","level":"INFO","ts":"2026-01-01T00:00:08.000Z","instance":"a","fields":"held=office:20000/300/1000/4000 omitted=0","event":217}
no event
"#,
    r#"{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"b","fields":"account=office events=4 id=d1 outcome=answered reserved=400 used=300","event":107}
{"msg":"RoundWritten","level":"INFO","ts":"2026-01-01T00:00:01.500Z","instance":"b","fields":"on=2 round=1","event":211}
{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:02.000Z","instance":"b","fields":"account=office ahead=0 cost_ms=500 events=4 first_byte_ms=600 id=d2 outcome=answered pause_ms=10 reserved=40000 route=long running=1 sent_ms=100 target=t1 took_ms=900 uncached=30000 used=400","event":107}
{"msg":"HoldingsNoted","level":"INFO","ts":"2026-01-01T00:00:02.500Z","instance":"b","fields":"held=office:20000/0/500/5000 omitted=0","event":217}
{"msg":"Started","level":"INFO","ts":"2026-01-01T00:00:04.000Z","instance":"b","fields":"data_centre=north","event":700}
{"msg":"EstateSettled","level":"INFO","ts":"2026-01-01T00:00:05.000Z","instance":"b","fields":"estate=b/1f lived_ms=1500 spent_of_granted=office:2000/5000,other:7/9","event":214}
"#,
];

/// Runs `explain TABLE` on files with the given contents and on further paths; returns the exit
/// code, the rows and the error output.
fn explain(
    name: &str,
    table: &str,
    logs: &[&str],
    further_paths: &[&str],
) -> (Option<i32>, Value, String) {
    let dir = std::env::temp_dir().join(format!("damaskctl-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_damaskctl"));
    command.args(["--json", "explain", table]);
    for (index, text) in logs.iter().enumerate() {
        let path = dir.join(format!("{index}.log"));
        std::fs::write(&path, text).unwrap();
        command.arg(path);
    }
    command.args(further_paths.iter().map(PathBuf::from));
    let output = command.output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    let rows = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), rows, errors)
}

#[test]
fn tokens_are_counted_by_how_their_calls_ended() {
    // Act
    let (code, rows, errors) = explain("ends", "budgets", &LOGS, &[]);

    // Assert
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    let office = &rows[0];
    assert_eq!(office["account"], "office");
    assert_eq!(office["bought_tokens"], 20_000);
    assert_eq!(office["answered_tokens"], 1_050 + 300 + 400);
    assert_eq!(office["caller_left_tokens"], 610);
    assert_eq!(office["broken_off_tokens"], 515);
    assert_eq!(office["failed_tokens"], 500);
    assert_eq!(office["refused_calls"], 1);
}

#[test]
fn use_after_the_last_round_of_an_ended_incarnation_is_known() {
    // Act
    let (_, rows, _) = explain("estates", "budgets", &LOGS, &[]);

    // Assert: 400 of the 2,000 written-off tokens are in the line of a call that ended after the
    // last ledger write.
    assert_eq!(rows[0]["written_off_tokens"], 2_000);
    assert_eq!(rows[0]["written_off_known_tokens"], 400);
    assert_eq!(rows[1]["account"], "other");
    assert_eq!(rows[1]["written_off_tokens"], 7);
}

#[test]
fn only_live_instances_hold_tokens() {
    // Act
    let (_, rows, _) = explain("held", "budgets", &LOGS, &[]);

    // Assert: the holdings of the second instance were settled, so only the first holds tokens.
    assert_eq!(rows[0]["reserved_tokens"], 300);
    assert_eq!(rows[0]["free_tokens"], 4_000);
    assert_eq!(rows[0]["most_free_at"], "a");
    let seen = 1_050 + 300 + 400 + 610 + 515 + 500 + 1_600 + 300 + 4_000;
    assert_eq!(rows[0]["not_seen_tokens"], 20_000 - seen);
}

#[test]
fn overlapping_prefill_is_found_in_the_logs_of_other_instances() {
    // Act
    let (code, rows, _) = explain("beside", "latency", &LOGS, &[]);

    // Assert
    assert_eq!(code, Some(0));
    let chat = &rows[0];
    assert_eq!(chat["route"], "chat");
    assert_eq!(chat["first_token_ms"][0], 300);
    assert_eq!(chat["expected_ms"][0], 20);
    assert_eq!(chat["pause_ms"][0], 90);
    assert_eq!(chat["read_beside_tokens"][0], 30_000);
    assert_eq!(rows[1]["first_token_ms"][0], 500);
    assert_eq!(rows[1]["read_beside_tokens"][0], 900);
}

#[test]
fn first_tokens_are_compared_with_their_predictions_by_target() {
    // Guards against a comparison with the cost where the target's speed gave a better prediction.

    // Arrange: 30 calls at a target that is known to be slow, beside those at another one.
    let slow = LOGS[1].lines().nth(2).unwrap();
    let slow = slow.replace("cost_ms=500", "cost_ms=900 expected_ms=400 speed=250");
    let slow = slow.replace("target=t1", "target=t2") + "\n";

    // Act
    let (code, rows, _) = explain("by-target", "latency", &[LOGS[0], &slow.repeat(30)], &[]);

    // Assert
    assert_eq!(code, Some(0));
    let rows = rows.as_array().unwrap();
    let of = |target: &str| rows.iter().find(|row| row["target"] == target).unwrap();
    assert_eq!(of("t1")["observed_percent"], 1_500);
    assert_eq!(of("t1")["speed_percent"], Value::Null);
    assert_eq!(of("t2")["expected_ms"], 400);
    assert_eq!(of("t2")["speed_percent"], 250);
    let all = rows.last().unwrap();
    assert_eq!(all["targets"], 1);
    assert_eq!(all["observed_percent_90"], 125);
}

#[test]
fn unreadable_lines_are_reported_and_the_rest_is_still_read() {
    // Arrange
    let truncated = format!("{}{{\"msg\":\"CallAnswered\",\"ev\n", LOGS[0]);
    let foreign = "{\"level\":\"info\",\"message\":\"hello\"}\n{no json}\n";

    // Act
    let (code, rows, errors) = explain(
        "bad",
        "budgets",
        &[&truncated, foreign, LOGS[1]],
        &["/nowhere/at/all.log"],
    );

    // Assert
    assert_eq!(code, Some(1));
    assert_eq!(rows[0]["answered_tokens"], 1_050 + 300 + 400);
    assert!(errors.contains("0.log:9: truncated line"), "{errors}");
    assert!(
        errors.contains("1.log:1: not a log line of an instance"),
        "{errors}"
    );
    assert!(
        errors.contains("1.log:2: not a log line of an instance"),
        "{errors}"
    );
    assert!(
        errors.contains("1.log: no log lines of an instance"),
        "{errors}"
    );
    assert!(
        errors.contains("/nowhere/at/all.log: No such file"),
        "{errors}"
    );
}

#[test]
fn unreadable_lines_beyond_the_maximum_are_only_counted() {
    // Arrange
    let foreign = "{no json}\n".repeat(1_000);

    // Act
    let (code, _, errors) = explain("many", "latency", &[LOGS[0], &foreign], &[]);

    // Assert
    assert_eq!(code, Some(1));
    assert!(errors.contains("995 more unreadable lines"), "{errors}");
    assert!(errors.lines().count() < 10, "{errors}");
}

/// Log lines of an instance that borrows, and of its lender, which is restarted.
const LENDING: [&str; 2] = [
    r#"{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:02.000Z","instance":"a","fields":"account=office asked=b events=2 id=c1 lent_by=b outcome=answered reserved=700 used=600","event":107}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:03.000Z","instance":"a","fields":"account=office asked=b asked=c id=c2 needed=900 outcome=budget_unreachable shortage=in_store","event":108}
{"msg":"StoreCallsNoted","level":"INFO","ts":"2026-01-01T00:00:03.500Z","instance":"a","fields":"calls=list targets/answered:2,probe/lost:1","event":509}
{"msg":"StoreCallsNoted","level":"INFO","ts":"2026-01-01T00:00:08.500Z","instance":"a","fields":"calls=list targets/answered:2,probe/lost:4","event":509}
"#,
    r#"{"msg":"StoreCallsNoted","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"b","fields":"calls=list targets/answered:5","event":509}
{"msg":"Started","level":"INFO","ts":"2026-01-01T00:00:04.000Z","instance":"b","fields":"data_centre=north","event":700}
{"msg":"StoreCallsNoted","level":"INFO","ts":"2026-01-01T00:00:06.000Z","instance":"b","fields":"calls=list targets/answered:1","event":509}
{"msg":"EstateSettled","level":"INFO","ts":"2026-01-01T00:00:07.000Z","instance":"b","fields":"estate=b/1f lived_ms=1500 spent_of_granted=office:2000/5000","event":214}
"#,
];

#[test]
fn lenders_and_instances_asked_in_vain_are_listed_by_account() {
    // Act
    let (code, rows, errors) = explain("lenders", "lenders", &LENDING, &[]);

    // Assert
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    let of = |index: usize, name: &str| rows[index][name].clone();
    assert_eq!((of(0, "lender"), of(1, "lender")), ("b".into(), "c".into()));
    assert_eq!(
        (of(0, "calls"), of(0, "used_tokens")),
        (1.into(), 600.into())
    );
    assert_eq!(
        (of(1, "calls"), of(1, "asked_in_vain")),
        (0.into(), 1.into())
    );
}

#[test]
fn borrowed_tokens_count_as_used_by_the_lender() {
    // Act
    let (_, rows, _) = explain("borrowed", "budgets", &LENDING, &[]);

    // Assert: the lender's next incarnation wrote off 2,000 tokens, of which the call is known to
    // have used 600.
    assert_eq!(rows[0]["written_off_known_tokens"], 600);
}

/// Log lines of two instances on a content under which two targets crashed, and on another content
/// that ran on one of them at the same time.
const CRASHES: [&str; 2] = [
    r#"{"msg":"RunBroken","level":"WARN","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"account=one content=beef id=c1 ran_ms=60 state=ended target=t1","event":605}
{"msg":"RunBroken","level":"WARN","ts":"2026-01-01T00:00:01.001Z","instance":"a","fields":"account=two content=cafe id=c2 ran_ms=900 state=ended target=t1","event":605}
{"msg":"RunBroken","level":"WARN","ts":"2026-01-01T00:00:01.500Z","instance":"a","fields":"account=two content=cafe id=c3 ran_ms=10 state=lives target=t4","event":605}
{"msg":"ContentBarred","level":"ERROR","ts":"2026-01-01T00:00:03.000Z","instance":"a","fields":"account=one content=beef ends=3 source=b","event":113}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:04.000Z","instance":"a","fields":"account=one content=beef id=c9 outcome=crashes_targets","event":108}
"#,
    r#"{"msg":"RunBroken","level":"WARN","ts":"2026-01-01T00:00:02.000Z","instance":"b","fields":"account=one content=beef id=c4 ran_ms=60 state=ended target=t2","event":605}
"#,
];

#[test]
fn crashed_targets_are_counted_by_request_content() {
    // Act
    let (code, rows, errors) = explain("contents", "contents", &CRASHES, &[]);

    // Assert: the content with the most crashed targets comes first.
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    let of = |index: usize, name: &str| rows[index][name].clone();
    assert_eq!(
        (of(0, "content"), of(1, "content")),
        ("beef".into(), "cafe".into())
    );
    assert_eq!(
        (of(0, "ended_targets"), of(0, "instances")),
        (2.into(), 2.into())
    );
    assert_eq!(
        (of(0, "calls"), of(0, "refused_calls")),
        (2.into(), 1.into())
    );
    assert_eq!(of(0, "refused_since"), "2026-01-01T00:00:03.000Z");
    assert_eq!(
        (of(1, "ended_targets"), of(1, "broken_else")),
        (1.into(), 1.into())
    );
    assert_eq!(of(1, "refused_since"), "");
}

#[test]
fn store_calls_are_summed_over_all_incarnations_of_all_instances() {
    // Act
    let (code, rows, _) = explain("store", "store", &LENDING, &[]);

    // Assert: only the last line of each incarnation counts.
    assert_eq!(code, Some(0));
    assert_eq!(rows[0]["call"], "list targets");
    assert_eq!(
        (rows[0]["calls"].clone(), rows[0]["most"].clone()),
        (8.into(), 5.into())
    );
    assert_eq!(
        (rows[1]["outcome"].clone(), rows[1]["calls"].clone()),
        ("lost".into(), 4.into())
    );
}

/// Log lines of an instance that was overloaded twice, and of one that never was.
const OVERLOADS: [&str; 2] = [
    r#"{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"before=ready now=overloaded","event":704}
{"msg":"InstanceLoaded","level":"WARN","ts":"2026-01-01T00:00:02.000Z","instance":"a","fields":"busy_ms=callers:600,hear:30 calls=90 longest_ms=body:12,connect:410 late_ms=40 span_ms=1000 waits_ms=in:0,out:250,processor:0","event":705}
{"msg":"InstanceLoaded","level":"WARN","ts":"2026-01-01T00:00:03.000Z","instance":"a","fields":"busy_ms=callers:300,hear:40 calls=50 longest_ms=connect:90 late_ms=3 span_ms=1000 waits_ms=in:0,out:0,processor:0","event":705}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:18.000Z","instance":"a","fields":"before=overloaded now=ready","event":704}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:20.000Z","instance":"a","fields":"before=ready now=overloaded","event":704}
"#,
    r#"{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"b","fields":"before=starting now=ready","event":704}
{"msg":"Started","level":"INFO","ts":"2026-01-01T00:00:24.000Z","instance":"b","fields":"data_centre=north","event":700}
"#,
];

/// Log lines of an instance that rejected calls for its load and one for tokens.
const REJECTIONS: &str = r#"{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"account=one priority=2 criterion=wait limit_ms=100 delay_ms=140 yields_to=0 outcome=overloaded","event":108}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:01.100Z","instance":"a","fields":"account=two priority=2 criterion=committed limit_ms=100 delay_ms=10 yields_to=0 outcome=overloaded","event":108}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:01.200Z","instance":"a","fields":"account=one priority=0 criterion=wait limit_ms=400 delay_ms=410 outcome=overloaded","event":108}
{"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:01.300Z","instance":"b","fields":"account=one outcome=budget_unreachable","event":108}
"#;

#[test]
fn rejections_for_load_are_counted_by_priority() {
    // Guards against rejected urgent calls that cannot be told from rejected bulk calls.

    // Act
    let (code, rows, errors) = explain("rejections", "load", &[REJECTIONS], &[]);

    // Assert
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert_eq!(rows.as_array().map(Vec::len), Some(1));
    let expected = serde_json::json!({"0": 1, "2": 2});
    assert_eq!(
        (&rows[0]["rejected"], &rows[0]["yielded"]),
        (&expected, &2.into())
    );
}

/// Log lines of an instance that left rotation twice by its relative load; it was overloaded once.
const SHEDDINGS: &str = r#"{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"before=ready mean_percent=4 now=shedding peers=9 peers_out=0 share_percent=50","event":704}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:03.000Z","instance":"a","fields":"before=shedding mean_percent=6 now=ready peers=9 peers_out=1 share_percent=10","event":704}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:04.000Z","instance":"a","fields":"before=ready mean_percent=6 now=shedding peers=9 peers_out=1 share_percent=60","event":704}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:08.000Z","instance":"a","fields":"before=shedding mean_percent=0 now=overloaded peers=1 peers_out=0 share_percent=90","event":704}
{"msg":"ReadinessChanged","level":"INFO","ts":"2026-01-01T00:00:24.000Z","instance":"a","fields":"before=overloaded mean_percent=0 now=ready peers=1 peers_out=0 share_percent=5","event":704}
"#;

#[test]
fn times_out_of_rotation_by_relative_load_are_listed_apart_from_overloads() {
    // Guards against an instance that passes on load in time looking like an overloaded one.

    // Act
    let (code, rows, errors) = explain("sheddings", "load", &[SHEDDINGS], &[]);

    // Assert
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    let row = &rows[0];
    assert_eq!(
        (&row["sheddings"], &row["shedding_ms"]),
        (&2.into(), &6_000.into())
    );
    assert_eq!(
        (&row["overloads"], &row["overloaded_ms"]),
        (&1.into(), &16_000.into())
    );
}

#[test]
fn overloaded_instances_are_listed_with_their_busiest_task() {
    // Act
    let (code, rows, errors) = explain("load", "load", &OVERLOADS, &[]);

    // Assert: the second overload lasts until the end of the logs.
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    assert_eq!(rows.as_array().map(Vec::len), Some(1));
    let row = &rows[0];
    assert_eq!(
        (&row["overloads"], &row["overloaded_ms"]),
        (&2.into(), &21_000.into())
    );
    assert_eq!(
        (&row["late_ms_max"], &row["connect_ms_max"]),
        (&40.into(), &410.into())
    );
    assert_eq!(
        (&row["busiest"], &row["busiest_ms"]),
        (&"callers".into(), &900.into())
    );
}

#[test]
fn copies_of_runs_are_counted_by_route() {
    // Guards against streams that continued being counted as cut, or the reverse.

    // Arrange
    let log = r#"{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:01.000Z","instance":"a","fields":"continued=1 copy=t2 copy_reason=lost_runs id=c1 outcome=answered route=chat target=t1","event":107}
{"msg":"CallFailed","level":"WARN","ts":"2026-01-01T00:00:01.100Z","instance":"a","fields":"cause=broken continued=0 copy=t2 copy_reason=suspect_target id=c2 outcome=broken_off route=chat target=t1","event":109}
{"msg":"CallFailed","level":"WARN","ts":"2026-01-01T00:00:01.200Z","instance":"a","fields":"cause=broken id=c3 outcome=broken_off route=chat target=t1","event":109}
"#;

    // Act
    let (code, rows, errors) = explain("copies", "copies", &[log], &[]);

    // Assert
    assert_eq!((code, errors.as_str()), (Some(0), ""));
    let expected = serde_json::json!([{
        "route": "chat", "calls": 3, "copied": 2, "at_suspect_targets": 1, "continued": 1,
        "missing": 1, "cut": 2,
    }]);
    assert_eq!(rows, expected);
}
