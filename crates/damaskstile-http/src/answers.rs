//! Converts a target's event stream to run reports.

use damaskstile_core::prelude::*;
use serde::Deserialize;

use crate::sse::SseDecoder;

/// Token usage as reported by a target.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<serde_json::Value>,
    #[serde(default)]
    usage: Option<Usage>,
}

/// Incremental parser of a target's event stream.
#[derive(Debug)]
pub struct AnswerReader {
    decoder: SseDecoder,
    next_index: u64,
    usage: Option<Usage>,
    is_done: bool,
}

impl AnswerReader {
    /// Creates a reader whose first chunk has the given index; it is above 0 for a resumed run.
    #[must_use]
    pub fn new(first_index: u64) -> Self {
        Self {
            decoder: SseDecoder::new(),
            next_index: first_index,
            usage: None,
            is_done: false,
        }
    }

    /// Adds bytes and returns the reports that they complete.
    ///
    /// A data line that is not a valid chunk, or is too long, breaks the stream: the last report is
    /// `RunReport::Broken`. Bytes after the end of the stream are ignored.
    ///
    /// ```
    /// use damaskstile_core::report::RunReport;
    /// use damaskstile_http::AnswerReader;
    /// let mut reader = AnswerReader::new(0);
    /// let reports = reader.push(b"data: {\"choices\":[{}]}\n\ndata: [DONE]\n\n");
    /// assert!(matches!(reports[1], RunReport::Finished { chunks: 1, .. }));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<RunReport> {
        let lines = self.decoder.push(bytes);
        let mut reports = Vec::new();
        for line in lines {
            if self.is_done {
                break;
            }
            if line == "[DONE]" {
                self.is_done = true;
                reports.push(self.finished_report());
                continue;
            }
            if let Ok(chunk) = serde_json::from_str::<Chunk>(&line) {
                self.add_chunk(&chunk, line, &mut reports);
            } else {
                self.is_done = true;
                reports.push(RunReport::Broken);
            }
        }
        if self.decoder.is_overlong() && !self.is_done {
            self.is_done = true;
            reports.push(RunReport::Broken);
        }
        reports
    }

    fn add_chunk(&mut self, chunk: &Chunk, line: String, reports: &mut Vec<RunReport>) {
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if chunk.choices.is_empty() {
            return;
        }
        reports.push(RunReport::Chunk {
            index: self.next_index,
            tokens: 1,
            data: line,
        });
        self.next_index += 1;
    }

    fn finished_report(&self) -> RunReport {
        // If the target reported no usage, each chunk counts as one token, and the prompt as the
        // maximum; the instance caps it at its own count of the prompt.
        let usage = self.usage.unwrap_or(Usage {
            prompt_tokens: u64::MAX,
            completion_tokens: self.next_index,
        });
        RunReport::Finished {
            chunks: self.next_index,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
        }
    }

    /// Returns whether the stream has finished or is broken.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_done
    }
}
