//! `explain ID` on the logs of several instances.

use std::process::Command;

/// Log lines of two instances; those of the first have the prefix of a log collector.
const LOGS: [&str; 2] = [
    r#"7.1 host {"msg":"StoreLost","level":"WARN","ts":"2026-01-01T00:00:01Z","instance":"a","fields":"cause=silence","event":506}
7.2 host {"msg":"CallRefused","level":"INFO","ts":"2026-01-01T00:00:02Z","instance":"a","fields":"id=c1 shortage=elsewhere status=503","event":108}
no event
"#,
    r#"{"msg":"CatalogueApplied","level":"INFO","ts":"2026-01-01T00:00:00Z","instance":"b","fields":"version=7","event":503}
{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:03Z","instance":"b","fields":"id=c1 outcome=answered","event":107}
{"msg":"CallAnswered","level":"INFO","ts":"2026-01-01T00:00:03Z","instance":"b","fields":"id=c10 outcome=answered","event":107}
"#,
];

/// Runs `explain ID` on the logs and returns its exit code and output.
fn explain(id: &str) -> (Option<i32>, String) {
    let dir = std::env::temp_dir().join(format!("damaskctl-explain-{id}"));
    std::fs::create_dir_all(&dir).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_damaskctl"));
    command.args(["explain", id]);
    for (index, text) in LOGS.iter().enumerate() {
        let path = dir.join(format!("{index}.log"));
        std::fs::write(&path, text).unwrap();
        command.arg(path);
    }
    let output = command.output().unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    (output.status.code(), text)
}

#[test]
fn each_line_of_a_call_follows_context_lines_of_its_instance() {
    // Act
    let (code, text) = explain("c1");

    // Assert
    assert_eq!(code, Some(0));
    let order = [
        "StoreLost",
        "CallRefused",
        "CatalogueApplied",
        "CallAnswered",
    ];
    let positions: Vec<_> = order.iter().map(|name| text.find(name).unwrap()).collect();
    assert!(positions.is_sorted(), "{text}");
    assert!(!text.contains("c10"), "{text}");
}

#[test]
fn a_call_id_in_no_log_exits_with_not_found() {
    assert_eq!(explain("none").0, Some(5));
}
