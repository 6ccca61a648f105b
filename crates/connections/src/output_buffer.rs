//! Bytes of a connection that wait to be written.

use std::time::Instant;

/// Lines to be written, and when the peer last accepted some of them.
#[derive(Default)]
pub(crate) struct OutputBuffer {
    bytes: Vec<u8>,
    /// Bytes at the front that were written.
    written: usize,
    /// Since when bytes wait and the peer accepts none of them.
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

    /// Bytes that are not written yet.
    pub(crate) fn unsent(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Records that so many bytes were written.
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

    /// Since when bytes wait and the peer accepts none of them.
    pub(crate) fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since
    }

    /// When bytes were written last.
    pub(crate) fn last_write_at(&self) -> Option<Instant> {
        self.last_write_at
    }
}
