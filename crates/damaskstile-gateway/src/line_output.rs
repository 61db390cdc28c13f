//! Output that writes whole log lines.

use std::io::{ErrorKind, Result, Write};
use std::thread::sleep;
use std::time::Duration;

/// Pause between two attempts to write to an output that accepts no bytes at the moment.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Collects a line and writes it when it is flushed. If that fails, the line is dropped, and later
/// lines begin on a line of their own.
///
/// An output in non-blocking mode whose reader lags behind is waited for.
#[derive(Debug)]
pub struct LineOutput<W> {
    output: W,
    line: Vec<u8>,
    /// Whether only a part of the last line was written.
    is_torn: bool,
}

impl<W> LineOutput<W> {
    /// Wraps an output without a buffer of its own.
    ///
    /// ```
    /// use std::io::Write;
    /// use damaskstile_gateway::line_output::LineOutput;
    /// let mut bytes = Vec::new();
    /// let mut output = LineOutput::new(&mut bytes);
    /// output.write_all(b"line\n")?;
    /// output.flush()?;
    /// assert_eq!(bytes, b"line\n");
    /// # Ok::<(), std::io::Error>(())
    /// ```
    #[must_use]
    pub fn new(output: W) -> Self {
        Self {
            output,
            line: Vec::new(),
            is_torn: false,
        }
    }
}

impl<W: Write> LineOutput<W> {
    fn write_line(&mut self, line: &[u8]) -> Result<()> {
        let mut rest = line;
        while !rest.is_empty() {
            match self.output.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(bytes) => {
                    self.is_torn = rest[bytes - 1] != b'\n';
                    rest = &rest[bytes..];
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(RETRY_INTERVAL),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl<W: Write> Write for LineOutput<W> {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        if self.line.is_empty() && self.is_torn {
            self.line.push(b'\n');
        }
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        let mut line = std::mem::take(&mut self.line);
        let written = self.write_line(&line);
        line.clear();
        self.line = line;
        written
    }
}
