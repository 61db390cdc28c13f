//! Bytes in segments of one size.

use std::collections::VecDeque;

use bytes::Bytes;

/// Size of a segment. All have the same, so that a segment that one body frees serves any other; a
/// buffer that grows as a whole leaves holes of all sizes, which stay with the process.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Size of the smallest first segment, for bodies of unknown size.
const FIRST_BYTES_MIN: usize = 4 * 1024;

/// Bytes in segments of one size, but for the first one, which is smaller for small bodies.
#[derive(Debug, Default)]
pub struct Segments {
    parts: VecDeque<Vec<u8>>,
    length: usize,
    capacity: usize,
}

impl Segments {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory of the segments, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the memory that `bytes` more take. `bytes_max` is the size that all can reach.
    #[must_use]
    pub fn growth(&self, bytes: usize, bytes_max: usize) -> usize {
        let room = self.capacity - self.length;
        let missing = bytes.saturating_sub(room);
        if missing == 0 {
            return 0;
        }
        if self.capacity == 0 {
            return first_bytes(bytes, bytes_max) + whole(missing.saturating_sub(SEGMENT_BYTES));
        }
        whole(missing)
    }

    /// Appends bytes.
    ///
    /// ```
    /// use damaskstile_gateway::segments::Segments;
    /// let mut segments = Segments::default();
    /// segments.extend(b"some ", 10);
    /// segments.extend(b"bytes", 10);
    /// assert_eq!(segments.into_bytes(), "some bytes");
    /// ```
    pub fn extend(&mut self, mut bytes: &[u8], bytes_max: usize) {
        while !bytes.is_empty() {
            let room = self
                .parts
                .back()
                .map_or(0, |last| last.capacity() - last.len());
            if room == 0 {
                let size = if self.capacity == 0 {
                    first_bytes(bytes.len(), bytes_max)
                } else {
                    SEGMENT_BYTES
                };
                self.parts.push_back(Vec::with_capacity(size));
                self.capacity += size;
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(last) = self.parts.back_mut() {
                last.extend_from_slice(now);
            }
            self.length += now.len();
            bytes = later;
        }
    }

    /// Takes the first segment.
    pub fn pop_front(&mut self) -> Option<Bytes> {
        let segment = self.parts.pop_front()?;
        self.length -= segment.len();
        self.capacity -= segment.capacity();
        Some(Bytes::from(segment))
    }

    /// Joins the segments, each of which is freed as soon as it is copied.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.parts.len() <= 1 {
            return self.pop_front().unwrap_or_default();
        }
        let mut bytes = Vec::with_capacity(self.length);
        while let Some(segment) = self.parts.pop_front() {
            bytes.extend_from_slice(&segment);
        }
        Bytes::from(bytes)
    }
}

/// Returns the size of the first segment.
fn first_bytes(bytes: usize, bytes_max: usize) -> usize {
    bytes_max
        .min(SEGMENT_BYTES)
        .min(bytes.next_power_of_two().max(FIRST_BYTES_MIN))
        .max(bytes.min(SEGMENT_BYTES))
}

/// Returns the memory of whole segments for so many bytes.
fn whole(bytes: usize) -> usize {
    bytes.div_ceil(SEGMENT_BYTES) * SEGMENT_BYTES
}
