//! Delta encoding between versions of a stored text.

use std::collections::{BTreeMap, VecDeque};

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash_of_bytes;

/// Number of versions whose chunk hashes are kept.
const VERSIONS_MAX: usize = 32;
/// Delimiter of the chunks: the end of each JSON object in the text.
const CHUNK_END: u8 = b'}';

/// A part of a text: a range of chunks of an older version, followed by literal bytes.
#[derive(prost::Message, Clone, PartialEq)]
pub struct ContentPiece {
    /// First chunk of the older version.
    #[prost(uint64, tag = "1")]
    pub from_chunk: u64,
    /// Number of chunks copied from the older version.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
    /// Literal bytes that follow the copied chunks.
    #[prost(bytes = "vec", tag = "3")]
    pub literal: Vec<u8>,
}

/// Keeps the chunk hashes of the latest versions of a text, so that an instance that has one of
/// them can be sent the difference only. The hashes take a few KB for a text of some hundred KB.
#[derive(Debug, Clone, Default)]
pub struct ContentChanges {
    versions: VecDeque<(Version, Vec<u64>)>,
}

impl ContentChanges {
    /// Adds a version.
    pub fn note(&mut self, version: Version, content: &[u8]) {
        let hashes = chunks(content).map(stable_hash_of_bytes).collect();
        self.versions.push_back((version, hashes));
        if self.versions.len() > VERSIONS_MAX {
            self.versions.pop_front();
        }
    }

    /// Returns the difference between a text and an older version; `None` if that version is no
    /// longer known.
    ///
    /// ```
    /// use damaskstile_gateway::content_changes::{ContentChanges, rebuild};
    /// let mut changes = ContentChanges::default();
    /// changes.note(1, b"[{a}{b}{c}]");
    /// let pieces = changes.since(1, b"[{a}{new}{c}]").unwrap();
    /// assert_eq!(rebuild(b"[{a}{b}{c}]", &pieces).unwrap(), b"[{a}{new}{c}]");
    /// assert_eq!(changes.since(2, b""), None);
    /// ```
    #[must_use]
    pub fn since(&self, version: Version, content: &[u8]) -> Option<Vec<ContentPiece>> {
        let (_, hashes) = self.versions.iter().find(|(known, _)| *known == version)?;
        let positions = hashes.iter().zip(0..).collect::<BTreeMap<&u64, u64>>();
        let mut pieces: Vec<ContentPiece> = Vec::new();
        let mut next = 0;
        for chunk in chunks(content) {
            let hash = stable_hash_of_bytes(chunk);
            let is_next = usize::try_from(next).is_ok_and(|next| hashes.get(next) == Some(&hash));
            let position = if is_next {
                Some(next)
            } else {
                positions.get(&hash).copied()
            };
            let last = pieces.last_mut();
            match (position, last) {
                (Some(position), Some(last))
                    if last.literal.is_empty() && last.from_chunk + last.chunks == position =>
                {
                    last.chunks += 1;
                }
                (Some(position), _) => pieces.push(ContentPiece {
                    from_chunk: position,
                    chunks: 1,
                    literal: Vec::new(),
                }),
                (None, Some(last)) => last.literal.extend_from_slice(chunk),
                (None, None) => pieces.push(ContentPiece {
                    literal: chunk.to_vec(),
                    ..ContentPiece::default()
                }),
            }
            next = position.map_or(next, |position| position + 1);
        }
        Some(pieces)
    }
}

/// Rebuilds a text from an older version and the difference; `None` if they do not match.
#[must_use]
pub fn rebuild(base: &[u8], pieces: &[ContentPiece]) -> Option<Vec<u8>> {
    let base: Vec<&[u8]> = chunks(base).collect();
    let mut content = Vec::new();
    for piece in pieces {
        let from = usize::try_from(piece.from_chunk).ok()?;
        let until = from.checked_add(usize::try_from(piece.chunks).ok()?)?;
        for chunk in base.get(from..until)? {
            content.extend_from_slice(chunk);
        }
        content.extend_from_slice(&piece.literal);
    }
    Some(content)
}

fn chunks(content: &[u8]) -> impl Iterator<Item = &[u8]> {
    content.split_inclusive(|byte| *byte == CHUNK_END)
}
