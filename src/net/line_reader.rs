//! Reading lines from a stream.

use std::io::{self, BufRead, BufReader, Read};

/// Reads lines of bounded length from a stream.
pub struct LineReader<R> {
    stream: BufReader<R>,
    max_bytes: usize,
    line: Vec<u8>,
}

impl<R: Read> LineReader<R> {
    /// Creates a reader of lines of at most `max_bytes`, with a buffer of `buffer_bytes`.
    pub fn new(stream: R, max_bytes: usize, buffer_bytes: usize) -> LineReader<R> {
        LineReader {
            stream: BufReader::with_capacity(buffer_bytes, stream),
            max_bytes,
            line: Vec::new(),
        }
    }

    /// Returns the next line without its line ending; `None` at the end of the stream, where an
    /// incomplete line is dropped. The length is limited so that a peer cannot exhaust the memory
    /// with one line.
    ///
    /// # Errors
    /// Returns an error if the stream cannot be read, or of the kind `InvalidData` if the line is
    /// too long.
    pub fn next_line(&mut self) -> io::Result<Option<&[u8]>> {
        self.line.clear();
        let read = (&mut self.stream)
            .take(self.max_bytes as u64 + 1)
            .read_until(b'\n', &mut self.line)?;
        if self.line.pop_if(|last| *last == b'\n').is_some() {
            self.line.pop_if(|last| *last == b'\r');
            return Ok(Some(&self.line));
        }
        if read > self.max_bytes {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "line too long"));
        }
        Ok(None)
    }
}
