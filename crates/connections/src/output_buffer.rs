//! Bytes of a connection that are waiting to be written.

use std::time::Instant;

/// The lines to be written, and the time at which the peer last accepted some bytes.
#[derive(Default)]
pub(crate) struct OutputBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that were written.
    written: usize,
    /// Time since which bytes have been waiting without the peer accepting any.
    blocked_since: Option<Instant>,
    last_write_at: Option<Instant>,
}

impl OutputBuffer {
    /// Appends a line.
    pub(crate) fn enqueue(&mut self, line: &[u8], now: Instant) {
        if self.written == self.bytes.len() {
            self.bytes.clear();
            self.written = 0;
            self.blocked_since = Some(now);
        }
        self.bytes.extend_from_slice(line);
    }

    /// Returns the bytes that are not written yet.
    pub(crate) fn unsent(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Records that this many bytes were written.
    pub(crate) fn record_write(&mut self, count: usize, now: Instant) {
        self.written += count;
        self.blocked_since = Some(now);
        self.last_write_at = Some(now);
        if self.written >= self.bytes.len() {
            self.bytes = Vec::new();
            self.written = 0;
            self.blocked_since = None;
        }
    }

    /// Returns the time since which bytes have been waiting without the peer accepting any.
    pub(crate) fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since
    }

    /// Returns the time at which bytes were last written.
    pub(crate) fn last_write_at(&self) -> Option<Instant> {
        self.last_write_at
    }
}
