//! `content_changes` says how one version of a stored text differs from another.

use std::collections::{BTreeMap, VecDeque};

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash_of_bytes;

/// Versions whose outline is kept.
const VERSIONS_MAX: usize = 32;
/// Byte after which a text is cut: the end of each object in it.
const CUT_AFTER: u8 = b'}';

/// `ContentPiece` is a part of a text: chunks of an older version, and then bytes of its own.
#[derive(prost::Message, Clone, PartialEq)]
pub struct ContentPiece {
    /// First chunk of the older version.
    #[prost(uint64, tag = "1")]
    pub from_chunk: u64,
    /// How many chunks of it follow.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
    /// Bytes that come after them.
    #[prost(bytes = "vec", tag = "3")]
    pub literal: Vec<u8>,
}

/// `ContentChanges` remembers the outlines of the latest versions of a text, so that whoever has one
/// of them can be told what differs. An outline is a hash of each chunk, a few KB for a text of some
/// hundred.
#[derive(Debug, Clone, Default)]
pub struct ContentChanges {
    outlines: VecDeque<(Version, Vec<u64>)>,
}

impl ContentChanges {
    /// Remembers a version.
    pub fn note(&mut self, version: Version, content: &[u8]) {
        let outline = chunks(content).map(stable_hash_of_bytes).collect();
        self.outlines.push_back((version, outline));
        if self.outlines.len() > VERSIONS_MAX {
            self.outlines.pop_front();
        }
    }

    /// Returns how a text differs from an older version; `None` where that is not remembered.
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
        let (_, outline) = self.outlines.iter().find(|(known, _)| *known == version)?;
        let places = outline.iter().zip(0..).collect::<BTreeMap<&u64, u64>>();
        let mut pieces: Vec<ContentPiece> = Vec::new();
        let mut next = 0;
        for chunk in chunks(content) {
            let hash = stable_hash_of_bytes(chunk);
            let is_next = usize::try_from(next).is_ok_and(|next| outline.get(next) == Some(&hash));
            let place = if is_next {
                Some(next)
            } else {
                places.get(&hash).copied()
            };
            let last = pieces.last_mut();
            match (place, last) {
                (Some(place), Some(last))
                    if last.literal.is_empty() && last.from_chunk + last.chunks == place =>
                {
                    last.chunks += 1;
                }
                (Some(place), _) => pieces.push(ContentPiece {
                    from_chunk: place,
                    chunks: 1,
                    literal: Vec::new(),
                }),
                (None, Some(last)) => last.literal.extend_from_slice(chunk),
                (None, None) => pieces.push(ContentPiece {
                    literal: chunk.to_vec(),
                    ..ContentPiece::default()
                }),
            }
            next = place.map_or(next, |place| place + 1);
        }
        Some(pieces)
    }
}

/// Puts a text together from an older version and what differs; `None` where they do not fit.
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
    content.split_inclusive(|byte| *byte == CUT_AFTER)
}
