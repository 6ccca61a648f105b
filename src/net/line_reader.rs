//! Lines from a stream.

use std::io::{self, BufRead, BufReader, Read};

/// Reads lines of bounded length from a stream.
pub struct LineReader<R> {
    stream: BufReader<R>,
    max_bytes: usize,
    line: Vec<u8>,
}

impl<R: Read> LineReader<R> {
    /// A reader of lines of at most `max_bytes`, which reads `buffer_bytes` at once.
    pub fn new(stream: R, max_bytes: usize, buffer_bytes: usize) -> LineReader<R> {
        LineReader {
            stream: BufReader::with_capacity(buffer_bytes, stream),
            max_bytes,
            line: Vec::new(),
        }
    }

    /// The next line without its end; `None` at the end of the stream, where an incomplete line is dropped. A line that
    /// is too long is an error of the kind `InvalidData`: a peer must not fill our memory with one line.
    ///
    /// # Errors
    /// Where the stream can't be read or the line is too long.
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
