//! Delta encoding of catalogues: the rebuilt bytes are identical, and the delta is small.

use damaskstile_core::prelude::*;
use damaskstile_gateway::content_changes::{ContentChanges, rebuild};
use proptest::prelude::*;

/// Builds a JSON text of objects, like a stored catalogue.
fn text(version: u64, objects: &[u64]) -> Vec<u8> {
    let objects: Vec<String> = objects
        .iter()
        .map(|object| {
            format!("{{\"Name\":\"r-{object}\",\"Host\":\"h{object}.example\",\"Ms\":400}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}]}}",
        objects.join(",")
    )
    .into_bytes()
}

fn bytes(changes: &ContentChanges, since: Version, content: &[u8]) -> usize {
    let pieces = changes.since(since, content).unwrap();
    pieces.iter().map(prost::Message::encoded_len).sum()
}

#[test]
fn the_delta_for_one_added_route_is_about_as_large_as_the_route() {
    // Guards against sending the whole catalogue to each instance of a large fleet for each
    // version.

    // Arrange
    let objects: Vec<u64> = (0..1_500).collect();
    let mut more = objects.clone();
    more.insert(700, 9_999);
    let (before, after) = (text(1, &objects), text(2, &more));
    let mut changes = ContentChanges::default();
    changes.note(1, &before);

    // Act
    let sent = bytes(&changes, 1, &after);

    // Assert
    assert!(sent < 300, "{sent} of {} bytes", after.len());
}

#[test]
fn old_versions_are_forgotten() {
    // Arrange
    let mut changes = ContentChanges::default();

    // Act
    for version in 1..100 {
        changes.note(version, &text(version, &[1, 2, 3]));
    }

    // Assert
    assert_eq!(changes.since(1, b""), None);
    assert!(changes.since(99, b"").is_some());
}

proptest! {
    #[test]
    fn any_text_is_rebuilt_from_its_delta(
        before in prop::collection::vec(0..40_u64, 0..60),
        after in prop::collection::vec(0..40_u64, 0..60),
        tail in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        // Arrange
        let before = text(1, &before);
        let after = [text(2, &after), tail].concat();
        let mut changes = ContentChanges::default();
        changes.note(1, &before);

        // Act
        let pieces = changes.since(1, &after).unwrap();

        // Assert
        prop_assert_eq!(rebuild(&before, &pieces), Some(after));
    }

    #[test]
    fn pieces_of_another_text_never_panic(
        from_chunk in any::<u64>(), chunks in any::<u64>(), base in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let piece = damaskstile_gateway::content_changes::ContentPiece {
            from_chunk,
            chunks,
            literal: Vec::new(),
        };
        // The pieces may or may not fit; either way the function must return.
        let _ = rebuild(&base, &[piece]);
    }
}
