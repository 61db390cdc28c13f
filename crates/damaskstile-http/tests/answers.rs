//! Tests of `AnswerReader`: for any input, an answer is either complete or reported as broken.

use damaskstile_core::report::RunReport;
use damaskstile_http::AnswerReader;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

fn stream(chunks: usize) -> String {
    let chunk = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
    let usage =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":7}}\n\n";
    chunk.repeat(chunks) + usage + "data: [DONE]\n\n"
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_give_reports_in_order(pieces in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..80), 0..10,
    )) {
        let mut reader = AnswerReader::new(0);
        let mut next = 0;
        for piece in pieces {
            for report in reader.push(&piece) {
                if let RunReport::Chunk { index, .. } = report {
                    prop_assert_eq!(index, next);
                    next += 1;
                }
            }
        }
    }

    #[test]
    fn a_stream_reads_the_same_however_it_is_cut(chunks in 0..6_usize, size in 1..40_usize) {
        let text = stream(chunks);
        let mut whole = AnswerReader::new(0);
        let expected = whole.push(text.as_bytes());

        let mut reader = AnswerReader::new(0);
        let reports: Vec<RunReport> = text
            .as_bytes()
            .chunks(size)
            .flat_map(|piece| reader.push(piece))
            .collect();

        prop_assert_eq!(reports, expected);
    }

    #[test]
    fn a_stream_that_ends_early_is_never_finished(chunks in 1..6_usize, cut in 2..400_usize) {
        let text = stream(chunks);
        // At least the end of the `[DONE]` line is cut off, so the stream is incomplete.
        let end = text.len().saturating_sub(cut);
        let mut reader = AnswerReader::new(0);

        let reports = reader.push(&text.as_bytes()[..end]);

        prop_assert!(!reader.is_done());
        let is_finished = |report: &RunReport| matches!(report, RunReport::Finished { .. });
        prop_assert!(!reports.iter().any(is_finished));
    }
}

#[test]
fn a_line_that_is_not_a_chunk_breaks_the_stream() {
    let mut reader = AnswerReader::new(0);

    let reports = reader.push(b"data: {\"choices\":[{}]}\n\ndata: nonsense\n\ndata: [DONE]\n\n");

    assert_eq!(reports.last(), Some(&RunReport::Broken));
    assert!(reader.is_done());
}

#[test]
fn a_resumed_stream_continues_the_chunk_index() {
    let mut reader = AnswerReader::new(4);

    let reports = reader.push(stream(1).as_bytes());

    assert!(matches!(reports[0], RunReport::Chunk { index: 4, .. }));
    assert!(matches!(
        reports[1],
        RunReport::Finished {
            chunks: 5,
            output_tokens: 7,
            ..
        }
    ));
}
