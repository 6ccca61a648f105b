//! One client connection as a state machine without its socket: bytes and times come in; lines, decisions and the bytes to
//! write come out. The same code runs under the event loop and under the random steps of the tests.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::input_buffer::InputBuffer;
use crate::output_buffer::OutputBuffer;
use crate::ConnectionLimits;

/// Why a line is rejected before the request in it is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolViolation {
    /// More requests are open than one connection may have.
    TooManyRequests,
    /// A request with this id is open.
    DuplicateId,
    /// The connection was closed after a violation; nothing more is read from it.
    Closed,
    /// A line is longer than any valid message.
    LineTooLong,
}

/// Why a connection counts as idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleKind {
    /// Its peer got a goodbye, or its writing side is shut down.
    Closing,
    /// No valid message has arrived on it yet.
    Silent,
    /// It has been used, or a message is arriving on it.
    Idle,
}

/// That a connection is idle, of which kind and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Idleness {
    /// Why it counts as idle.
    pub kind: IdleKind,
    /// When it was used last.
    pub since: Instant,
}

/// What a timer of a connection requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerAction {
    /// It has been idle for long enough: send its peer a goodbye.
    SayGoodbye,
    /// Its peer got a goodbye and is still connected: read and answer what has arrived, then close.
    BeginClose,
    /// Its peer accepts no output, or stays after the writing side was shut down: disconnect.
    Disconnect,
}

/// The state of a client connection: open requests, received and unsent bytes, and how far it is on its way to being
/// closed.
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
    /// A complete and valid message has arrived.
    has_received_message: bool,
    goodbye_sent: bool,
    /// It closes once what has arrived is read, unless a request is among it.
    close_requested: bool,
    /// It was closed after a protocol violation.
    is_aborted: bool,
    /// No more requests are read from it.
    input_finished: bool,
    /// The peer itself has ended its side: nothing can arrive that is not read.
    peer_ended: bool,
    /// Since when its writing side is shut down.
    lingering_since: Option<Instant>,
    /// Bytes discarded since then.
    discarded_bytes: usize,
    /// It is closed without waiting for its peer.
    skips_linger: bool,
}

impl ConnectionState {
    /// The state of a new connection.
    pub fn new(limits: &ConnectionLimits, now: Instant) -> ConnectionState {
        ConnectionState {
            open_requests: HashSet::new(),
            max_open_requests: limits.max_open_requests,
            max_line_bytes: limits.max_line_bytes,
            input: InputBuffer::new(now),
            output: OutputBuffer::default(),
            last_used_at: now,
            has_received_message: false,
            goodbye_sent: false,
            close_requested: false,
            is_aborted: false,
            input_finished: false,
            peer_ended: false,
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

    /// The next complete line of the received bytes, without its line ending; none until more bytes arrive.
    ///
    /// # Errors
    /// [`ProtocolViolation::LineTooLong`] for a line past the limit, complete or not.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, ProtocolViolation> {
        self.input.next_line(self.max_line_bytes)
    }

    /// Records a request that has arrived as open.
    ///
    /// # Errors
    /// The violation for which the request must not be handled.
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

    /// Records that the peer has ended its side.
    pub fn record_peer_end(&mut self) {
        self.input_finished = true;
        self.peer_ended = true;
    }

    /// Records bytes that were received and discarded.
    pub fn record_discarded(&mut self, bytes: usize) {
        self.discarded_bytes += bytes;
    }

    /// Whether a complete line may be among the received bytes.
    pub fn may_have_line(&self) -> bool {
        self.input.may_have_line()
    }

    /// Completes a close that was requested, once everything that has arrived is read. Unless a request was among it, the
    /// connection ends with that; otherwise it is in use, and the result is true: its peer must get a goodbye instead.
    pub fn finish_close_request(&mut self) -> bool {
        if !std::mem::take(&mut self.close_requested) {
            return false;
        }
        self.input_finished |= self.open_requests.is_empty();
        !self.input_finished
    }

    /// Whether more may be read: not once its input is finished, nor while the peer lets its answers pile up.
    pub fn may_read(&self, limits: &ConnectionLimits) -> bool {
        !self.is_aborted
            && !self.input_finished
            && self.unsent().len() <= limits.max_unsent_bytes / 2
    }

    /// Lines that may be read from it in one turn. A connection with more open requests than the protocol allows must not
    /// delay those that keep to it.
    pub fn lines_per_turn(&self, limits: &ConnectionLimits) -> usize {
        if self.open_requests.len() > limits.fair_open_requests {
            1
        } else {
            limits.lines_per_turn
        }
    }

    // ---- output ----

    /// Appends a line to the output; after a protocol violation nothing is written any more.
    pub fn enqueue_line(&mut self, line: &[u8], now: Instant) {
        if !self.is_aborted {
            self.output.enqueue(line, now);
        }
    }

    /// Records that a request is answered; false if no request with this id is open. Call it before the answer is written:
    /// the client may send another request as soon as it has the answer, and that one must find the place free.
    pub fn close_request(&mut self, id: u64, now: Instant) -> bool {
        self.last_used_at = now;
        self.open_requests.remove(&id)
    }

    /// Bytes that are not written yet.
    pub fn unsent(&self) -> &[u8] {
        self.output.unsent()
    }

    /// Records that so many bytes were written.
    pub fn record_write(&mut self, bytes: usize, now: Instant) {
        self.skips_linger = false;
        self.output.record_write(bytes, now);
    }

    // ---- closing ----

    /// Records that the peer gets a goodbye, after which it sends no new requests and has a while to close; false if it
    /// already got one.
    pub fn record_goodbye(&mut self, now: Instant) -> bool {
        if self.goodbye_sent {
            return false;
        }
        self.goodbye_sent = true;
        self.last_used_at = now;
        true
    }

    /// Requests that the connection closes once what has arrived is read and answered.
    pub fn begin_close(&mut self) {
        self.close_requested = true;
    }

    /// Has a closing connection not wait for its peer, because its slot is needed, unless something was written so recently
    /// that a reset could still destroy it.
    pub fn skip_linger(&mut self, limits: &ConnectionLimits, now: Instant) {
        self.skips_linger = self
            .output
            .last_write_at()
            .is_none_or(|at| now.saturating_duration_since(at) >= limits.linger_timeout);
    }

    /// Closes the connection after a protocol violation: open requests get no answer, only unsent bytes are written.
    pub fn abort(&mut self, now: Instant) {
        self.is_aborted = true;
        self.last_used_at = now;
        self.input.clear();
    }

    /// Whether nothing more is read or written.
    fn is_finished(&self) -> bool {
        let has_no_more_work =
            self.is_aborted || self.input_finished && self.open_requests.is_empty();
        self.unsent().is_empty() && has_no_more_work
    }

    /// Whether the connection can be dropped: it is finished, and its peer has ended its side too or has sent too much
    /// since the writing side was shut down.
    pub fn may_be_dropped(&self, limits: &ConnectionLimits) -> bool {
        let waits_for_peer = !self.peer_ended
            && !self.skips_linger
            && self.discarded_bytes <= limits.max_linger_bytes;
        self.is_finished() && !waits_for_peer
    }

    /// Whether the writing side is to be shut down now; true once. From then on what arrives is discarded.
    pub fn begin_linger(&mut self, now: Instant) -> bool {
        let begins = self.is_finished() && self.lingering_since.is_none();
        if begins {
            self.lingering_since = Some(now);
        }
        begins
    }

    /// Whether the writing side is shut down and the connection waits for its peer to close.
    pub fn is_lingering(&self) -> bool {
        self.lingering_since.is_some()
    }

    // ---- timers ----

    /// When the next timer expires if nothing else happens before. A connection that was used may be idle for
    /// `idle_timeout`.
    pub fn next_timer(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Option<Instant> {
        if let Some(since) = self.lingering_since {
            return Some(since + limits.linger_timeout);
        }
        let write_expires_at = self.output.blocked_since().map(|since| {
            since
                + if self.is_aborted {
                    limits.goodbye_timeout
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

    /// When an idle connection has been idle for too long, or the message arriving on it has taken too long.
    fn idle_expires_at(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Instant {
        match self.input.message_started_at() {
            // The first message of a connection has its time from the moment the connection was accepted.
            Some(started_at) if self.has_received_message || self.goodbye_sent => {
                started_at + limits.message_timeout
            }
            Some(_) => self.last_used_at + limits.message_timeout,
            None => self.last_used_at + self.quiet_timeout(idle_timeout, limits),
        }
    }

    /// How long the connection may stay while nothing arrives on it.
    fn quiet_timeout(&self, idle_timeout: Duration, limits: &ConnectionLimits) -> Duration {
        if self.goodbye_sent {
            limits.goodbye_timeout
        } else if !self.has_received_message {
            limits.first_message_timeout
        } else {
            idle_timeout
        }
    }

    /// What an expired timer requires now.
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
        // A message that has taken too long will not be completed, and a goodbye would only prolong it.
        if self.goodbye_sent || self.input.message_started_at().is_some() {
            return Some(TimerAction::BeginClose);
        }
        Some(TimerAction::SayGoodbye)
    }

    /// Whether and since when the connection is idle and so may be evicted. None while a request is open on it or while it
    /// is closing; one that only waits for its peer to close is among the first to go.
    pub fn idleness(&self) -> Option<Idleness> {
        if let Some(since) = self.lingering_since {
            let kind = IdleKind::Closing;
            return Some(Idleness { kind, since });
        }
        let is_closing = self.close_requested || self.is_aborted || self.input_finished;
        if is_closing || !self.open_requests.is_empty() {
            return None;
        }
        if self.input.message_started_at().is_some() {
            // A peer that is still writing must not be taken for one that has stopped.
            return Some(Idleness {
                kind: IdleKind::Idle,
                since: self.last_used_at.max(self.input.last_received_at()),
            });
        }
        let kind = if self.goodbye_sent {
            IdleKind::Closing
        } else if !self.has_received_message {
            IdleKind::Silent
        } else {
            IdleKind::Idle
        };
        let since = self.last_used_at;
        Some(Idleness { kind, since })
    }

    /// Requests that are open on it.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }
}
