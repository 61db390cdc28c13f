//! Bytes in segments of one size.

use damaskstile_gateway::segments::Segments;
use proptest::prelude::*;

proptest! {
    #[test]
    fn bytes_are_kept_in_order_and_memory_is_what_was_told(
        sizes in proptest::collection::vec(1..200_000_usize, 0..20),
        bytes_max in 0..2_000_000_usize,
    ) {
        let mut segments = Segments::default();
        let mut expected = Vec::new();
        for (index, size) in sizes.iter().enumerate() {
            let bytes = vec![u8::try_from(index).unwrap(); *size];
            let told = segments.capacity() + segments.growth(*size, bytes_max);
            segments.extend(&bytes, bytes_max);
            prop_assert_eq!(segments.capacity(), told);
            expected.extend_from_slice(&bytes);
        }
        prop_assert_eq!(segments.len(), expected.len());
        prop_assert_eq!(segments.into_bytes(), expected);
    }
}

#[test]
fn a_body_that_fits_takes_no_more_than_its_size() {
    let mut segments = Segments::default();

    segments.extend(&[b'x'; 700], 1_000);
    segments.extend(&[b'x'; 300], 1_000);

    assert_eq!(segments.capacity(), 1_000);
}

#[test]
fn segments_are_taken_in_order_and_released() {
    let mut segments = Segments::default();
    segments.extend(&vec![b'a'; 64 * 1024], 100_000);
    segments.extend(b"b", 100_000);

    let first = segments.pop_front().unwrap();

    assert!(first.iter().all(|byte| *byte == b'a'));
    assert_eq!(segments.len(), 1);
    assert_eq!(segments.pop_front().unwrap(), "b");
    assert_eq!((segments.capacity(), segments.pop_front()), (0, None));
}
