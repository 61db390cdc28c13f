//! Logs whose output fails, tears lines or is blocked.

use std::io::{ErrorKind, Result, Write};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use damaskstile_core::log::{EventCode, LogEvent};
use damaskstile_gateway::logs::{self, LogFormat};

/// More lines than the queue of the log holds.
const MANY_LINES: usize = 6_000;

/// Output that fails in the middle of a line with the word `torn`, and from then on until a line with
/// the word `last`.
#[derive(Debug, Clone, Default)]
struct FailingOutput {
    written: Arc<Mutex<Vec<u8>>>,
    is_failing: bool,
}

impl FailingOutput {
    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl Write for FailingOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let text = String::from_utf8_lossy(bytes);
        self.is_failing &= !text.contains("last");
        if self.is_failing {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let torn_at = text.find("torn");
        self.is_failing = torn_at.is_some();
        let part = torn_at.unwrap_or(bytes.len());
        self.written.lock().unwrap().extend(&bytes[..part]);
        Ok(part)
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Output that blocks until the other end of its channel is dropped.
#[derive(Debug)]
struct BlockedOutput {
    blocked_until_closed: mpsc::Receiver<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let _ = self.blocked_until_closed.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

fn event(text: &str) -> LogEvent {
    LogEvent::new(EventCode::Started, &[("text", text)])
}

#[test]
fn lines_after_a_failed_write_are_written_with_the_number_of_those_dropped() {
    // Guards against a log that ends without a trace at the first write that fails.

    for format in [LogFormat::Json, LogFormat::Terminal] {
        // Arrange
        let output = FailingOutput::default();
        let (log, guard) = logs::logger(format, "one", output.clone());

        // Act
        for text in ["first", "torn", "lost", "last", "after"] {
            logs::write(&log, &event(text));
        }
        drop((log, guard));

        // Assert: whole lines stand apart from the torn one.
        let text = output.text();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines.len(), 5, "{text}");
        let whole = [lines[0], lines[2], lines[3], lines[4]];
        let expected = ["text=first", "text=last", "count=2", "text=after"];
        for (line, expected) in whole.into_iter().zip(expected) {
            assert!(line.contains(expected), "{text}");
        }
        assert!(whole[2].contains("LogLinesDropped"), "{text}");
    }
}

#[test]
fn a_blocked_output_holds_up_the_end_for_a_short_time_only() {
    // Guards against a process that does not exit while nobody reads its log and its queue is full.

    // Arrange
    let (unblock, blocked_until_closed) = mpsc::channel();
    let output = BlockedOutput {
        blocked_until_closed,
    };
    let (log, guard) = logs::logger(LogFormat::Json, "one", output);
    for _ in 0..MANY_LINES {
        logs::write(&log, &event("line"));
    }

    // Act
    let began_at = Instant::now();
    drop((log, guard));

    // Assert
    assert!(began_at.elapsed() < Duration::from_secs(2));
    drop(unblock);
}
