//! Received bytes of a connection, split into lines.

use std::time::Instant;

use crate::ProtocolViolation;

/// The bytes that were received and not yet returned as lines.
pub(crate) struct InputBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that were returned as lines.
    consumed: usize,
    /// Number of bytes at the front that were searched for a line ending.
    searched: usize,
    /// Time at which the incomplete message at the end of the buffer began.
    message_started_at: Option<Instant>,
    last_received_at: Instant,
}

impl InputBuffer {
    pub(crate) fn new(now: Instant) -> InputBuffer {
        InputBuffer {
            bytes: Vec::new(),
            consumed: 0,
            searched: 0,
            message_started_at: None,
            last_received_at: now,
        }
    }

    /// Appends received bytes.
    pub(crate) fn receive(&mut self, bytes: &[u8], now: Instant) {
        self.message_started_at = self.message_started_at.or(Some(now));
        self.last_received_at = now;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete line without its line ending, or `None` until more bytes arrive.
    pub(crate) fn next_line(
        &mut self,
        max_line_bytes: usize,
    ) -> Result<Option<&[u8]>, ProtocolViolation> {
        let line_end = self.bytes[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
            .map(|offset| self.searched + offset);
        let line_start = self.consumed;
        if line_end.unwrap_or(self.bytes.len()) - line_start > max_line_bytes {
            return Err(ProtocolViolation::LineTooLong);
        }
        let Some(line_end) = line_end else {
            self.discard_consumed();
            return Ok(None);
        };
        self.consumed = line_end + 1;
        self.searched = line_end + 1;
        // Bytes after a complete message are the beginning of the next one, which arrived with the
        // last bytes.
        self.message_started_at = Some(self.last_received_at);
        let line = &self.bytes[line_start..line_end];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    /// Removes the bytes that were returned as lines. An empty buffer releases its memory, as most
    /// connections are idle.
    fn discard_consumed(&mut self) {
        if self.consumed == self.bytes.len() {
            self.bytes = Vec::new();
            self.message_started_at = None;
        } else {
            self.bytes.drain(..self.consumed);
        }
        self.consumed = 0;
        self.searched = self.bytes.len();
    }

    /// Removes all received bytes.
    pub(crate) fn clear(&mut self) {
        self.bytes = Vec::new();
        self.message_started_at = None;
        self.consumed = 0;
        self.searched = 0;
    }

    /// Returns true if the received bytes may contain a complete line.
    pub(crate) fn may_have_line(&self) -> bool {
        self.searched < self.bytes.len()
    }

    /// Returns the time at which the incomplete message at the end of the buffer began.
    pub(crate) fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at
    }

    /// Returns the time at which bytes were last received.
    pub(crate) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }
}
