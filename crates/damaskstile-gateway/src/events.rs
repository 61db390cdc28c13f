//! Splitter for streams of server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered, in bytes. Events of a model hold a few tokens;
/// without the limit a faulty target could exhaust the memory.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// A complete event, including its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvent {
    /// Raw bytes.
    pub bytes: Bytes,
    /// Numeric event id, if present.
    pub id: Option<u64>,
}

/// Splits a stream of bytes into complete events.
///
/// A target may stop in the middle of an event. If the incomplete part were passed on, the first
/// event of the resumed run would be appended to it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns false if the buffered bytes exceed the size limit of an event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_BYTES_MAX
    }

    /// Returns the next complete event.
    ///
    /// ```
    /// use damaskstile_gateway::events::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 4\ndata: x\n\nid: 5\n");
    /// assert_eq!(splitter.next_event().unwrap().id, Some(4));
    /// assert!(splitter.next_event().is_none());
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(CompleteEvent { bytes, id })
    }

    /// Returns whether no part of an event is buffered.
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
