//! One front connection as a state machine, apart from its socket: bytes and times come in; lines, verdicts and the
//! bytes to write come out. The same code runs under the event loop and under the tests' random steps.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::Bounds;

/// Why a peer is turned down before the core hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// More requests are open than are kept for one connection.
    TooMany,
    /// One with this id is open.
    IdInUse,
    /// The connection was closed for a breach: nothing more is done for it.
    Closed,
    /// A line is longer than any message.
    LineTooLong,
}

/// How a connection carries nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unused {
    /// Its peer was told to go.
    Leaving,
    /// Nothing sensible has come on it yet.
    Silent,
    /// It has been used, or a message is coming on it.
    Idle,
}

/// What time asks of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// It has carried nothing for long enough: its peer is told to go.
    Farewell,
    /// Its peer was told and is still here: what has come is read and answered, then it goes.
    Part,
    /// Its peer takes none of what is written, or was heard out and stays: it is cut off.
    Cut,
}

/// A front connection: what is open on it, what has come and is not looked at, what is to be written, and whether
/// its peer has been told to go.
pub struct Session {
    open: HashSet<u64>,
    most_open: usize,
    most_line: usize,
    /// A whole message that makes sense has come.
    spoke: bool,
    farewell: bool,
    parting: bool,
    closed: bool,
    ended: bool,
    /// The peer itself has ended its side: nothing can come that is not read.
    end_of_input: bool,
    /// Since when its writing side is shut, and the bytes passed over since.
    lingering: Option<Instant>,
    passed_over: usize,
    /// It is closed without waiting for its peer.
    hurried: bool,
    /// When bytes were written last.
    wrote: Option<Instant>,
    used: Instant,
    /// What has come; looked at up to `taken`, and without an end of line up to `searched`.
    input: Vec<u8>,
    taken: usize,
    searched: usize,
    /// Since when what came has held the beginning of a message, and no more.
    begun: Option<Instant>,
    /// When bytes came last.
    fed: Instant,
    /// What is to be written; up to `written` it has been.
    output: Vec<u8>,
    written: usize,
    /// Since when something is to be written and the peer takes none of it.
    stuck: Option<Instant>,
}

impl Session {
    /// A fresh connection.
    pub fn new(bounds: &Bounds, now: Instant) -> Session {
        Session {
            open: HashSet::new(),
            most_open: bounds.open,
            most_line: bounds.line,
            spoke: false,
            farewell: false,
            parting: false,
            closed: false,
            ended: false,
            end_of_input: false,
            lingering: None,
            passed_over: 0,
            hurried: false,
            wrote: None,
            used: now,
            input: Vec::new(),
            taken: 0,
            searched: 0,
            begun: None,
            fed: now,
            output: Vec::new(),
            written: 0,
            stuck: None,
        }
    }

    // ---- what comes in ----

    /// Bytes came.
    pub fn feed(&mut self, bytes: &[u8], now: Instant) {
        self.begun = self.begun.or(Some(now));
        self.fed = now;
        self.input.extend_from_slice(bytes);
    }
    /// The next whole line of what came, without its end; none until more comes. A connection that carries nothing
    /// keeps no buffer.
    pub fn line(&mut self) -> Result<Option<&[u8]>, Breach> {
        let end = self.input[self.searched..]
            .iter()
            .position(|b| *b == b'\n')
            .map(|at| self.searched + at);
        let from = self.taken;
        if end.unwrap_or(self.input.len()) - from > self.most_line {
            return Err(Breach::LineTooLong);
        }
        let Some(end) = end else {
            if from == self.input.len() {
                self.input = Vec::new();
                self.begun = None;
            } else {
                self.input.drain(..from);
            }
            (self.taken, self.searched) = (0, self.input.len());
            return Ok(None);
        };
        (self.taken, self.searched) = (end + 1, end + 1);
        // What stands behind a whole message is the beginning of another one.
        self.begun = Some(self.fed);
        let line = &self.input[from..end];
        Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
    }
    /// A request came.
    pub fn request(&mut self, id: u64, now: Instant) -> Result<(), Breach> {
        if self.closed {
            return Err(Breach::Closed);
        }
        self.touch(now);
        if self.open.contains(&id) {
            return Err(Breach::IdInUse);
        }
        if self.open.len() >= self.most_open {
            return Err(Breach::TooMany);
        }
        self.open.insert(id);
        Ok(())
    }
    /// Something else came that makes sense, such as a health check.
    pub fn touch(&mut self, now: Instant) {
        self.spoke = true;
        self.used = now;
    }
    /// The peer sends no more.
    pub fn end(&mut self) {
        self.ended = true;
        self.end_of_input = true;
    }
    /// Bytes came that nobody looks at any more.
    pub fn pass_over(&mut self, bytes: usize) {
        self.passed_over += bytes;
    }
    /// Whether there may be a whole line among what came.
    pub fn has_more(&self) -> bool {
        self.searched < self.input.len()
    }
    /// All that the machine had for it is read. One that parts ends with that, unless a request was among it: then it
    /// is in use. True where the peer must be told to go all the same.
    pub fn drained(&mut self) -> bool {
        if !std::mem::take(&mut self.parting) {
            return false;
        }
        self.ended |= self.open.is_empty();
        !self.ended
    }
    /// Whether more may be read: not from a peer that is done with, nor from one that lets its answers pile up.
    pub fn hears(&self, bounds: &Bounds) -> bool {
        !self.closed && !self.ended && self.unsent().len() <= bounds.output / 2
    }
    /// Lines that it may have read in one turn: one that has more open than the protocol lets it have must not hold
    /// up those that keep to it.
    pub fn allowance(&self, bounds: &Bounds) -> usize {
        if self.open.len() > bounds.fair {
            1
        } else {
            bounds.lines
        }
    }

    // ---- what goes out ----

    /// A line is to be written; after a breach nothing is.
    pub fn put(&mut self, line: &[u8], now: Instant) {
        if self.closed {
            return;
        }
        if self.written == self.output.len() {
            self.output.clear();
            self.written = 0;
            self.stuck = Some(now);
        }
        self.output.extend_from_slice(line);
    }
    /// An answer goes out; false if none is owed for this id. Its place is free before the front end can know, which
    /// may fill it at once: freed after the writing, it would make the newcomer one too many.
    pub fn answered(&mut self, id: u64, now: Instant) -> bool {
        self.used = now;
        self.open.remove(&id)
    }
    /// What is still to be written.
    pub fn unsent(&self) -> &[u8] {
        &self.output[self.written..]
    }
    /// So much of it was taken.
    pub fn sent(&mut self, bytes: usize, now: Instant) {
        self.written += bytes;
        (self.stuck, self.wrote, self.hurried) = (Some(now), Some(now), false);
        if self.written >= self.output.len() {
            (self.output, self.written, self.stuck) = (Vec::new(), 0, None);
        }
    }

    // ---- whether it stays ----

    /// The peer is told to send no new requests here, and has a while from now to close; false if it was told before.
    pub fn farewell(&mut self, now: Instant) -> bool {
        if !self.farewell {
            self.used = now;
        }
        !std::mem::replace(&mut self.farewell, true)
    }
    /// The connection goes once what has come is read and answered.
    pub fn part(&mut self) {
        self.parting = true;
    }
    /// Its slot is wanted: where it goes, it does not wait for its peer, unless something was written so lately that a
    /// reset could still take it away.
    pub fn hurry(&mut self, bounds: &Bounds, now: Instant) {
        self.hurried = self
            .wrote
            .is_none_or(|at| now.saturating_duration_since(at) >= bounds.linger);
    }
    /// Closes it whatever is open, but for what is to be written: the peer has broken the protocol.
    pub fn close(&mut self, now: Instant) {
        self.closed = true;
        self.used = now;
        self.input = Vec::new();
        self.begun = None;
        (self.taken, self.searched) = (0, 0);
    }
    /// Nothing more is read or written.
    fn done(&self) -> bool {
        self.unsent().is_empty() && (self.closed || self.ended && self.open.is_empty())
    }
    /// It can be closed: its peer has ended its side as well, or has sent on for too long after it was told.
    pub fn over(&self, bounds: &Bounds) -> bool {
        self.done() && (self.end_of_input || self.hurried || self.passed_over > bounds.linger_bytes)
    }
    /// Whether its writing side is to be shut now; true once. From then on what comes is passed over.
    pub fn shuts(&mut self, now: Instant) -> bool {
        let shuts = self.done() && self.lingering.is_none();
        if shuts {
            self.lingering = Some(now);
        }
        shuts
    }
    /// Its writing side is shut: it waits for its peer to close.
    pub fn lingers(&self) -> bool {
        self.lingering.is_some()
    }
    /// When time will ask something of it, where nothing else happens before; `idle` is how long one that was used
    /// may carry nothing.
    pub fn due(&self, idle: Duration, bounds: &Bounds) -> Option<Instant> {
        if let Some(since) = self.lingering {
            return Some(since + bounds.linger);
        }
        let written = self.stuck.map(|since| {
            since
                + if self.closed {
                    bounds.farewell
                } else {
                    bounds.write
                }
        });
        let (since, patience) = match self.begun {
            // One that has said nothing whole yet has its time from the first moment on.
            Some(begun) if self.spoke || self.farewell => (begun, bounds.whole),
            Some(_) => (self.used, bounds.whole),
            None => (self.used, self.patience(idle, bounds)),
        };
        let unused = self.dispensable().map(|_| since + patience);
        [written, unused].into_iter().flatten().min()
    }
    /// How long one may stay on which nothing is coming.
    fn patience(&self, idle: Duration, bounds: &Bounds) -> Duration {
        match () {
            () if self.farewell => bounds.farewell,
            () if !self.spoke => bounds.silent,
            () => idle,
        }
    }
    /// What time asks of it now.
    pub fn on_time(&self, idle: Duration, bounds: &Bounds, now: Instant) -> Option<Due> {
        self.due(idle, bounds).filter(|due| *due <= now)?;
        Some(match () {
            () if self.stuck.is_some() || self.lingering.is_some() => Due::Cut,
            // What has taken too long to come will not be whole, and a farewell would only prolong it.
            () if self.farewell || self.begun.is_some() => Due::Part,
            () => Due::Farewell,
        })
    }
    /// Its place among those that may go to make room, the first to go first: those told to go, the silent, then by
    /// how long nothing came or went, be it a piece of a message. None while a request is open on it, or while it goes; one that only waits for
    /// its peer to close is among the first.
    pub fn dispensable(&self) -> Option<(Unused, Instant)> {
        if let Some(since) = self.lingering {
            return Some((Unused::Leaving, since));
        }
        let kind = match () {
            () if self.begun.is_some() => Unused::Idle,
            () if self.farewell => Unused::Leaving,
            () if !self.spoke => Unused::Silent,
            () => Unused::Idle,
        };
        let unused = self.open.is_empty() && !self.parting && !self.closed && !self.ended;
        // A peer that goes on writing must not be taken for one that has stopped.
        let last = if self.begun.is_some() {
            self.used.max(self.fed)
        } else {
            self.used
        };
        unused.then_some((kind, last))
    }
    /// Requests open on it.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}
