//! Unconfirmed calls: calls that the node has abandoned and that the database may still have in
//! progress, and the evidence that the database has ended them.
//!
//! Abandoning a call closes this side of its connection. The other side stays open, so that the
//! close by the database can be observed. Until then the database may have the call in progress,
//! however long that takes, and the call counts as one of the node's calls.
//!
//! A connection may also end because it broke. A connection that ends at the same time as another
//! one breaks is assumed to have broken as well. An end long after the close is not treated as the
//! database's reaction to it: the database has ignored the close until then, and may still be
//! running the call.

use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::reply::parse_reply;
use super::silence::Silence;
use crate::node::limits::DatabaseLimits;
use crate::node::RequestUid;

/// Connections that end within this time of each other are assumed to have ended for the same
/// reason.
const BREAK_CORRELATION_TIME: Duration = Duration::from_millis(50);

/// An abandoned call whose connection is still open.
struct ClosingCall {
    uid: RequestUid,
    stream: TcpStream,
    closed_at: Instant,
    has_run_ended: bool,
    /// Bytes of the reply received so far. A complete reply shows that the call has ended, but is
    /// discarded.
    received: Vec<u8>,
}

/// A call whose connection broke before its reply.
struct BrokenCall {
    broke_at: Instant,
    /// True if the database was unresponsive at that time: it had ignored a close or was not
    /// replying to calls.
    was_unresponsive: bool,
}

/// A call that counts as in progress until a fixed time.
struct LingeringCall {
    /// The request that made the call; `None` if an earlier process made it.
    uid: Option<RequestUid>,
    /// Time at which its connection ended; `None` if that was in an earlier process.
    ended_at: Option<Instant>,
    /// True if its connection broke, or may have broken.
    is_broken: bool,
    until: Instant,
    /// Time until which the call counts if the database turns out to have been unresponsive.
    until_if_unresponsive: Instant,
}

/// State of the connection of an abandoned call.
enum ClosingProgress {
    /// The database has not reacted yet.
    Open,
    /// The database has sent a complete reply: the call has ended.
    Replied,
    /// The database has closed its side: it ends the call within the linger time of the settings.
    Closed,
    /// The connection is no longer usable, and the state of the call is unknown.
    Unusable,
}

/// Abandoned calls that may still be in progress at the database.
#[derive(Default)]
pub(super) struct UnconfirmedCalls {
    /// Calls whose connections are open, by the token of the connection.
    closing: HashMap<usize, ClosingCall>,
    /// Calls whose connections broke, by request.
    broken: HashMap<RequestUid, Vec<BrokenCall>>,
    /// Calls that the database may continue for a limited time: it knows that they are abandoned,
    /// or nothing but time can show that they have ended.
    lingering: Vec<LingeringCall>,
    /// Latest estimate of whether the database is silent.
    silence: Silence,
    /// Time at which a connection that this side had not closed last broke.
    last_break_at: Option<Instant>,
    /// Time at which the end of a connection last showed that the database had ignored its close.
    close_ignored_at: Option<Instant>,
}

impl UnconfirmedCalls {
    /// Returns the number of unconfirmed calls that the database may have in progress at this time.
    pub(super) fn count(&mut self, now: Instant) -> usize {
        self.lingering
            .retain(|call| call.until.max(call.until_if_unresponsive) > now);
        let lingering = self.lingering.iter().filter(|call| call.until > now);
        self.closing.len()
            + self.broken.values().map(Vec::len).sum::<usize>()
            + lingering.count()
            + self.possibly_running_count(now)
    }

    /// Returns the number of calls that count in addition while the database may have been silent
    /// as their connections broke. The number is reduced by one, to leave a slot for a new call
    /// that shows whether the database is silent.
    fn possibly_running_count(&self, now: Instant) -> usize {
        let Silence::Possible { since } = self.silence else {
            return 0;
        };
        let broke_in_silence = |call: &&LingeringCall| call.broke_since(since) && call.until <= now;
        let calls = self.lingering.iter().filter(broke_in_silence).count();
        calls.saturating_sub(1)
    }

    /// Returns the next time at which the count changes without an event.
    pub(super) fn next_change(&self, now: Instant, limits: &DatabaseLimits) -> Option<Instant> {
        let ends = self.lingering.iter().map(|call| call.until);
        let reactions = self
            .closing
            .values()
            .map(|call| call.reaction_deadline(limits));
        ends.chain(reactions).filter(|at| *at > now).min()
    }

    /// Counts calls again that were assumed to have ended with their runs, if the database has
    /// since turned out to ignore closes, or to have been silent when their connections broke. It
    /// may still be running them.
    pub(super) fn recount_if_unresponsive(
        &mut self,
        now: Instant,
        silence: Silence,
        limits: &DatabaseLimits,
    ) {
        self.silence = silence;
        let silent_since = match silence {
            Silence::Known { since } => Some(since),
            Silence::Absent | Silence::Possible { .. } => None,
        };
        for call in self.broken.values_mut().flatten() {
            call.was_unresponsive |= silent_since.is_some_and(|since| since <= call.broke_at);
        }
        let ignores_closes = self.ignores_closes(now, limits);
        for call in &mut self.lingering {
            let was_silent = silent_since.is_some_and(|since| call.broke_since(since));
            if was_silent || ignores_closes && call.is_broken {
                call.until = call.until.max(call.until_if_unresponsive);
            }
        }
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.closing.len()
    }

    /// Abandons a call on an open connection by shutting down the sending side, which the database
    /// reads as end of input.
    pub(super) fn close(&mut self, token: usize, uid: RequestUid, stream: TcpStream) {
        // Shutting down fails only for a connection that has ended, which the next read reports.
        let _ = stream.shutdown(Shutdown::Write);
        let call = ClosingCall {
            uid,
            stream,
            closed_at: Instant::now(),
            has_run_ended: false,
            received: Vec::new(),
        };
        self.closing.insert(token, call);
    }

    /// Records that the open connection of a call broke before the reply. This does not show that
    /// the database has detected the break. This applies above all to a silent database, where
    /// nothing may show for a while whether it also ignores closes.
    pub(super) fn connection_broke(
        &mut self,
        uid: RequestUid,
        is_silent: bool,
        limits: &DatabaseLimits,
    ) {
        let now = Instant::now();
        self.last_break_at = Some(now);
        for call in &mut self.lingering {
            call.is_broken |= call
                .ended_at
                .is_some_and(|at| now <= at + BREAK_CORRELATION_TIME);
        }
        self.add_broken(uid, is_silent, limits);
    }

    fn add_broken(&mut self, uid: RequestUid, is_silent: bool, limits: &DatabaseLimits) {
        let broke_at = Instant::now();
        let was_unresponsive = is_silent || self.ignores_closes(broke_at, limits);
        let calls = self.broken.entry(uid).or_default();
        calls.push(BrokenCall {
            broke_at,
            was_unresponsive,
        });
    }

    /// Returns true if the database is ignoring a close, or has done so recently.
    pub(super) fn ignores_closes(&self, now: Instant, limits: &DatabaseLimits) -> bool {
        let was_ignored = self
            .close_ignored_at
            .is_some_and(|at| now < at + limits.ignored_close_time);
        was_ignored
            || self
                .closing
                .values()
                .any(|call| call.is_close_ignored(now, limits))
    }

    /// Removes the earlier calls of a request after the database has replied in full to a later
    /// one, and thereby ended them.
    pub(super) fn later_call_replied(&mut self, uid: RequestUid) {
        self.broken.remove(&uid);
        self.closing.retain(|_, call| call.uid != uid);
        self.lingering.retain(|call| call.uid != Some(uid));
    }

    /// Records that the run which made the calls has ended. The database then ends those on broken
    /// connections within the linger time of the settings.
    pub(super) fn run_ended(&mut self, uid: RequestUid, limits: &DatabaseLimits) {
        for call in self.closing.values_mut().filter(|call| call.uid == uid) {
            call.has_run_ended = true;
        }
        let now = Instant::now();
        for call in self.broken.remove(&uid).unwrap_or_default() {
            let until_if_responsive = now + limits.linger;
            let until_if_unresponsive = call.broke_at + limits.ignored_close_time;
            self.lingering.push(LingeringCall {
                uid: Some(uid),
                ended_at: Some(call.broke_at),
                is_broken: true,
                until: if call.was_unresponsive {
                    until_if_responsive.max(until_if_unresponsive)
                } else {
                    until_if_responsive
                },
                until_if_unresponsive,
            });
        }
        self.recount_if_unresponsive(now, self.silence, limits);
    }

    /// Counts calls of an earlier process, whose connections ended with it. Nothing shows whether
    /// the database has detected that, or when it has finished the calls, so they count for as long
    /// as it may continue calls whose closes it ignores.
    pub(super) fn inherit(&mut self, calls: usize, ignored_close_time: Duration) {
        let until = Instant::now() + ignored_close_time;
        let inherited = std::iter::repeat_with(|| LingeringCall {
            uid: None,
            ended_at: None,
            is_broken: false,
            until,
            until_if_unresponsive: until,
        });
        self.lingering.extend(inherited.take(calls));
    }

    /// Processes an event on the connection of an abandoned call.
    pub(super) fn advance(
        &mut self,
        token: usize,
        read_buffer: &mut [u8],
        limits: &DatabaseLimits,
    ) {
        let Some(call) = self.closing.get_mut(&token) else {
            return;
        };
        let progress = call.read(read_buffer, limits);
        if matches!(progress, ClosingProgress::Open) {
            return;
        }
        let Some(call) = self.closing.remove(&token) else {
            return;
        };
        let now = Instant::now();
        let is_close_ignored = call.is_close_ignored(now, limits);
        if is_close_ignored {
            self.close_ignored_at = Some(now);
        }
        match progress {
            ClosingProgress::Open | ClosingProgress::Replied => {}
            ClosingProgress::Closed if !is_close_ignored => {
                let last_break = self.last_break_at;
                self.lingering.push(LingeringCall {
                    uid: Some(call.uid),
                    ended_at: Some(now),
                    is_broken: last_break.is_some_and(|at| now <= at + BREAK_CORRELATION_TIME),
                    until: now + limits.linger,
                    until_if_unresponsive: now + limits.ignored_close_time,
                });
            }
            ClosingProgress::Closed | ClosingProgress::Unusable => {
                self.add_broken(call.uid, false, limits);
                if call.has_run_ended {
                    self.run_ended(call.uid, limits);
                }
            }
        }
    }
}

impl LingeringCall {
    /// Returns true if its connection broke at this time or later.
    fn broke_since(&self, since: Instant) -> bool {
        self.is_broken && self.ended_at.is_some_and(|at| since <= at)
    }
}

impl ClosingCall {
    /// Returns true if the database has not reacted to the close within the expected time.
    fn is_close_ignored(&self, now: Instant, limits: &DatabaseLimits) -> bool {
        now >= self.reaction_deadline(limits)
    }

    /// Returns the time by which a database that detects the close has reacted to it.
    fn reaction_deadline(&self, limits: &DatabaseLimits) -> Instant {
        self.closed_at + limits.linger + limits.close_reaction
    }

    fn read(&mut self, read_buffer: &mut [u8], limits: &DatabaseLimits) -> ClosingProgress {
        loop {
            match self.stream.read(read_buffer) {
                Ok(0) => return ClosingProgress::Closed,
                Ok(n) => {
                    self.received.extend_from_slice(&read_buffer[..n]);
                    if matches!(parse_reply(&self.received, limits), Ok(Some(_))) {
                        return ClosingProgress::Replied;
                    }
                    if self.received.len() > limits.head_bytes + limits.reply_bytes {
                        return ClosingProgress::Unusable;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ClosingProgress::Open,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // The database resets a connection that it has closed already.
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return ClosingProgress::Closed,
                Err(_) => return ClosingProgress::Unusable,
            }
        }
    }
}
