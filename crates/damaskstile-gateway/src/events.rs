//! `events` cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is kept while it is incomplete, in bytes. Events of a model hold a few
/// tokens; one beyond this is no event, and keeping it would let a target fill the memory.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// `WholeEvent` is one event with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// `EventCutter` cuts a stream of bytes into whole events.
///
/// A target may stop in the middle of an event. If the half were passed on, an event of the run
/// that goes on elsewhere would be glued to it.
#[derive(Debug, Default)]
pub struct EventCutter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventCutter {
    /// Takes in bytes. Returns false where the event under way grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_BYTES_MAX
    }

    /// Returns the next whole event.
    ///
    /// ```
    /// use damaskstile_gateway::events::EventCutter;
    /// let mut cutter = EventCutter::default();
    /// cutter.push(b"id: 4\ndata: x\n\nid: 5\n");
    /// assert_eq!(cutter.next_event().unwrap().id, Some(4));
    /// assert!(cutter.next_event().is_none());
    /// assert!(!cutter.is_empty());
    /// ```
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(WholeEvent { bytes, id })
    }

    /// Tells whether no part of an event is left over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buffer[from..];
        for (index, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &bytes[index + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(from + index + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(from + index + 3);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}
