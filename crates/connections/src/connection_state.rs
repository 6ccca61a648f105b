//! The state machine of a client connection, without its socket. Its inputs are received bytes and
//! times; its outputs are lines, decisions and the bytes to write. The event loop and the
//! randomised tests run the same code.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::input_buffer::InputBuffer;
use crate::output_buffer::OutputBuffer;
use crate::ConnectionLimits;

/// The reason why a line is rejected before the request in it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// The connection already has the maximum number of open requests.
    TooManyRequests,
    /// A request with the same id is open.
    DuplicateId,
    /// The connection was closed after a violation; nothing more is read from it.
    Closed,
    /// The line is longer than any valid message.
    LineTooLong,
}

/// The kind of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleKind {
    /// The close notice was sent to the peer, or the writing side is shut down.
    Closing,
    /// No valid message has arrived on the connection yet.
    Silent,
    /// The connection has been used, or a message is arriving on it.
    Idle,
}

/// The kind of an idle connection and the time since which it has been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idleness {
    /// Kind of the idle connection.
    pub kind: IdleKind,
    /// Time of the last use, or of the last received bytes while a message is arriving.
    pub since: Instant,
}

/// The action that an expired timer of a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerAction {
    /// Send the close notice, as the connection has reached its idle timeout.
    SendCloseNotice,
    /// Handle and answer what has arrived, then close: the peer is still connected after the close
    /// notice, or has not completed a message in time.
    BeginClose,
    /// Disconnect: the peer accepts no output, or is still connected after the writing side was
    /// shut down.
    Disconnect,
}

/// The state of a client connection: open requests, received and unsent bytes, and the progress of
/// its close.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about a connection that occur in any combination"
)]
pub struct ConnectionState {
    open_requests: HashSet<u64>,
    max_open_requests: usize,
    max_line_bytes: usize,
    input: InputBuffer,
    output: OutputBuffer,
    last_used_at: Instant,
    /// True if a complete and valid message has arrived.
    has_received_message: bool,
    close_notice_sent: bool,
    /// True if the connection is to close once everything that has arrived is read, unless a
    /// request is open then.
    close_pending: bool,
    /// True if the connection was closed after a protocol violation.
    is_aborted: bool,
    /// True if no more requests are read.
    input_finished: bool,
    /// True if the peer has closed its sending side, so that no unread bytes can arrive any more.
    peer_closed: bool,
    /// Time at which the writing side was shut down.
    lingering_since: Option<Instant>,
    /// Number of bytes discarded since then.
    discarded_bytes: usize,
    /// True if the connection is closed without waiting for the peer.
    skips_linger: bool,
}

impl ConnectionState {
    /// Returns the state of a new connection.
    pub fn new(limits: &ConnectionLimits, now: Instant) -> ConnectionState {
        ConnectionState {
            open_requests: HashSet::new(),
            max_open_requests: limits.max_open_requests,
            max_line_bytes: limits.max_line_bytes,
            input: InputBuffer::new(now),
            output: OutputBuffer::default(),
            last_used_at: now,
            has_received_message: false,
            close_notice_sent: false,
            close_pending: false,
            is_aborted: false,
            input_finished: false,
            peer_closed: false,
            lingering_since: None,
            discarded_bytes: 0,
            skips_linger: false,
        }
    }

    // ---- input ----

    /// Appends received bytes.
    pub fn receive_bytes(&mut self, bytes: &[u8], now: Instant) {
        self.input.receive(bytes, now);
    }

    /// Returns the next complete line of the received bytes without its line ending, or `None`
    /// until more bytes arrive.
    ///
    /// # Errors
    /// [`ProtocolViolation::LineTooLong`] for a line over the limit, complete or not.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, ProtocolViolation> {
        self.input.next_line(self.max_line_bytes)
    }

    /// Records a request that has arrived as open.
    ///
    /// # Errors
    /// The violation because of which the request must not be handled.
    pub fn open_request(&mut self, id: u64, now: Instant) -> Result<(), ProtocolViolation> {
        if self.is_aborted {
            return Err(ProtocolViolation::Closed);
        }
        self.record_message(now);
        if self.open_requests.contains(&id) {
            return Err(ProtocolViolation::DuplicateId);
        }
        if self.open_requests.len() >= self.max_open_requests {
            return Err(ProtocolViolation::TooManyRequests);
        }
        self.open_requests.insert(id);
        Ok(())
    }

    /// Records that a valid message has arrived, such as a health check.
    pub fn record_message(&mut self, now: Instant) {
        self.has_received_message = true;
        self.last_used_at = now;
    }

    /// Records that the peer has closed its sending side.
    pub fn record_peer_close(&mut self) {
        self.input_finished = true;
        self.peer_closed = true;
    }

    /// Records bytes that were received and discarded.
    pub fn record_discarded(&mut self, bytes: usize) {
        self.discarded_bytes += bytes;
    }

    /// Returns true if the received bytes may contain a complete line.
    pub fn may_have_line(&self) -> bool {
        self.input.may_have_line()
    }

    /// Completes a pending close once everything that has arrived is read. Without open requests,
    /// nothing more is read from the connection. With open requests it is in use and stays open.
    /// The result is true then, unless the peer has closed its sending side: the peer must get a
    /// close notice instead.
    pub fn finish_pending_close(&mut self) -> bool {
        if !std::mem::take(&mut self.close_pending) {
            return false;
        }
        self.input_finished |= self.open_requests.is_empty();
        !self.input_finished
    }

    /// Returns true if more may be read: neither after the end of the input, nor while more than
    /// half of the allowed unsent bytes wait for the peer.
    pub fn may_read(&self, limits: &ConnectionLimits) -> bool {
        !self.is_aborted
            && !self.input_finished
            && self.unsent().len() <= limits.max_unsent_bytes / 2
    }

    /// Returns the number of lines that may be read in one turn. A connection with more open
    /// requests than the protocol allows must not delay connections that comply with it.
    pub fn lines_per_turn(&self, limits: &ConnectionLimits) -> usize {
        if self.open_requests.len() > limits.protocol_max_open_requests {
            1
        } else {
            limits.lines_per_turn
        }
    }

    // ---- output ----

    /// Appends a line to the output, unless the connection was closed after a protocol violation.
    pub fn enqueue_line(&mut self, line: &[u8], now: Instant) {
        if !self.is_aborted {
            self.output.enqueue(line, now);
        }
    }

    /// Records that a request is answered. Returns false if no request with this id is open. Must
    /// be called before the answer is written: the client may send another request as soon as it
    /// has the answer, and must not exceed the limit of open requests with it.
    pub fn close_request(&mut self, id: u64, now: Instant) -> bool {
        self.last_used_at = now;
        self.open_requests.remove(&id)
    }

    /// Returns the bytes that are not written yet.
    pub fn unsent(&self) -> &[u8] {
        self.output.unsent()
    }

    /// Records that this many bytes were written.
    pub fn record_write(&mut self, bytes: usize, now: Instant) {
        self.skips_linger = false;
        self.output.record_write(bytes, now);
    }

    // ---- closing ----

    /// Records that the close notice is sent. The peer then sends no new requests and has to close
    /// within the close notice timeout. Returns false if the notice was sent before.
    pub fn record_close_notice(&mut self, now: Instant) -> bool {
        if self.close_notice_sent {
            return false;
        }
        self.close_notice_sent = true;
        self.last_used_at = now;
        true
    }

    /// Begins to close the connection: it closes once everything that has arrived is read and
    /// answered.
    pub fn begin_close(&mut self) {
        self.close_pending = true;
    }

    /// Closes the connection without waiting for the peer, because its slot is needed, unless
    /// something was written so recently that a reset could still destroy it.
    pub fn skip_linger(&mut self, limits: &ConnectionLimits, now: Instant) {
        self.skips_linger = self
            .output
            .last_write_at()
            .is_none_or(|at| now.saturating_duration_since(at) >= limits.linger_timeout);
    }

    /// Closes the connection after a protocol violation. Open requests get no answer; only bytes
    /// that are already in the output are written.
    pub fn abort(&mut self, now: Instant) {
        self.is_aborted = true;
        self.last_used_at = now;
        self.input.clear();
    }

    /// Returns true if nothing more is to be read or written.
    fn is_finished(&self) -> bool {
        let has_no_more_work =
            self.is_aborted || self.input_finished && self.open_requests.is_empty();
        self.unsent().is_empty() && has_no_more_work
    }

    /// Returns true if the connection can be dropped: nothing more is to be read or written, and it
    /// does not wait for its peer. It does not wait if the peer has closed its sending side too, if
    /// the peer has sent more than [`ConnectionLimits::max_linger_bytes`] since the writing side
    /// was shut down, or after [`ConnectionState::skip_linger`].
    pub fn may_be_dropped(&self, limits: &ConnectionLimits) -> bool {
        let waits_for_peer = !self.peer_closed
            && !self.skips_linger
            && self.discarded_bytes <= limits.max_linger_bytes;
        self.is_finished() && !waits_for_peer
    }

    /// Returns true, only once, if the writing side is to be shut down now. Bytes that arrive
    /// afterwards are discarded.
    pub fn begin_linger(&mut self, now: Instant) -> bool {
        let begins = self.is_finished() && self.lingering_since.is_none();
        if begins {
            self.lingering_since = Some(now);
        }
        begins
    }

    /// Returns true if the writing side is shut down and the connection waits for its peer to
    /// close.
    pub fn is_lingering(&self) -> bool {
        self.lingering_since.is_some()
    }

    // ---- timers ----

    /// Returns the time at which the next timer expires if nothing else happens before. A
    /// connection that was used may be idle for `idle_timeout`.
    pub fn next_timer(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Option<Instant> {
        if let Some(since) = self.lingering_since {
            return Some(since + limits.linger_timeout);
        }
        let write_expires_at = self.output.blocked_since().map(|since| {
            since
                + if self.is_aborted {
                    limits.close_notice_timeout
                } else {
                    limits.write_timeout
                }
        });
        let idle_expires_at = self
            .idleness()
            .map(|_| self.idle_expires_at(idle_timeout, limits));
        [write_expires_at, idle_expires_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the time at which an idle connection reaches its timeout, or the message arriving on
    /// it does.
    fn idle_expires_at(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Instant {
        match self.input.message_started_at() {
            // The timeout of the first message counts from the time at which the connection was
            // accepted.
            Some(started_at) if self.has_received_message || self.close_notice_sent => {
                started_at + limits.message_timeout
            }
            Some(_) => self.last_used_at + limits.message_timeout,
            None => self.last_used_at + self.inactivity_timeout(idle_timeout, limits),
        }
    }

    /// Returns how long the connection may stay open while nothing arrives on it.
    fn inactivity_timeout(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Duration {
        if self.close_notice_sent {
            limits.close_notice_timeout
        } else if !self.has_received_message {
            limits.first_message_timeout
        } else {
            idle_timeout
        }
    }

    /// Returns the action that an expired timer requires, or `None` if none has expired.
    pub fn due_action(
        &self,
        idle_timeout: Duration,
        limits: &ConnectionLimits,
        now: Instant,
    ) -> Option<TimerAction> {
        if self.next_timer(idle_timeout, limits)? > now {
            return None;
        }
        if self.output.blocked_since().is_some() || self.is_lingering() {
            return Some(TimerAction::Disconnect);
        }
        // A message that has taken too long is not expected to be completed, and a close notice
        // would only delay the close.
        if self.close_notice_sent || self.input.message_started_at().is_some() {
            return Some(TimerAction::BeginClose);
        }
        Some(TimerAction::SendCloseNotice)
    }

    /// Returns the kind and start of the connection's idle period, during which it may be evicted.
    /// `None` while a request is open on it, or while it is closing and its writing side is not
    /// shut down yet. A connection that only waits for its peer to close is among the first to be
    /// evicted.
    pub fn idleness(&self) -> Option<Idleness> {
        if let Some(since) = self.lingering_since {
            let kind = IdleKind::Closing;
            return Some(Idleness { kind, since });
        }
        let is_closing = self.close_pending || self.is_aborted || self.input_finished;
        if is_closing || !self.open_requests.is_empty() {
            return None;
        }
        if self.input.message_started_at().is_some() {
            // A peer that is still sending must not be treated as one that has stopped.
            return Some(Idleness {
                kind: IdleKind::Idle,
                since: self.last_used_at.max(self.input.last_received_at()),
            });
        }
        let kind = if self.close_notice_sent {
            IdleKind::Closing
        } else if !self.has_received_message {
            IdleKind::Silent
        } else {
            IdleKind::Idle
        };
        let since = self.last_used_at;
        Some(Idleness { kind, since })
    }

    /// Returns the number of open requests.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }
}
