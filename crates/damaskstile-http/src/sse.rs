//! Incremental decoder of server-sent events.

/// Maximum length of an incomplete line, in bytes.
const LINE_BYTES_MAX: usize = 1024 * 1024;

/// Buffers bytes and returns the content of complete `data:` lines.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buffer: Vec<u8>,
    is_overlong: bool,
}

impl SseDecoder {
    /// Creates an empty decoder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the content of the `data:` lines that they complete.
    ///
    /// ```
    /// use damaskstile_http::SseDecoder;
    /// let mut decoder = SseDecoder::new();
    /// assert!(decoder.push(b"data: {\"a\"").is_empty());
    /// assert_eq!(decoder.push(b":1}\n\ndata: [DONE]\n\n"), ["{\"a\":1}", "[DONE]"]);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend_from_slice(bytes);
        let mut lines = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                lines.push(data.trim_start().to_owned());
            }
        }
        if self.buffer.len() > LINE_BYTES_MAX {
            // Bounds the memory that an endless line can take.
            self.buffer.clear();
            self.is_overlong = true;
        }
        lines
    }

    /// Returns whether a line was too long; the stream must then be abandoned.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.is_overlong
    }
}
