//! The states of one front connection, apart from its socket.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Why a request is turned down before the core hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// More are open than are kept for one connection.
    TooMany,
    /// One with this id is open.
    IdInUse,
    /// The connection was closed for a breach: nothing more is done for it.
    Closed,
}

/// How a connection carries nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unused {
    /// Its peer was told to go.
    Leaving,
    /// Nothing sensible has come on it yet.
    Silent,
    /// It has been used.
    Idle,
}

/// What is open on a connection and whether it has been told to go.
pub struct Session {
    open: HashSet<u64>,
    most: usize,
    /// A whole message that makes sense has come.
    spoke: bool,
    farewell: bool,
    parting: bool,
    closed: bool,
    ended: bool,
    used: Instant,
}

impl Session {
    /// A fresh connection on which `most` requests may be open.
    pub fn new(most: usize, now: Instant) -> Session {
        Session {
            open: HashSet::new(),
            most,
            spoke: false,
            farewell: false,
            parting: false,
            closed: false,
            ended: false,
            used: now,
        }
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
        if self.open.len() >= self.most {
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
    /// An answer goes out; false if none is owed for this id.
    pub fn answered(&mut self, id: u64, now: Instant) -> bool {
        self.used = now;
        self.open.remove(&id)
    }
    /// The peer is told to send no new requests here, and has a while from now to close; false if it was told before.
    pub fn farewell(&mut self, now: Instant) -> bool {
        if !self.farewell {
            self.used = now;
        }
        !std::mem::replace(&mut self.farewell, true)
    }
    /// The connection goes once what has come is answered.
    pub fn part(&mut self) {
        self.parting = true;
    }
    /// Closes it whatever is open: the peer has broken the protocol.
    pub fn close(&mut self) {
        self.closed = true;
    }
    /// The peer sends no more.
    pub fn end(&mut self) {
        self.ended = true;
    }
    /// Nothing more will come or go.
    pub fn over(&self) -> bool {
        self.ended && self.open.is_empty()
    }
    /// How much longer it may carry nothing, if `idle` is the most; none while a request is open, or
    /// once it parts.
    pub fn idle_left(&self, idle: Duration, now: Instant) -> Option<Duration> {
        (self.open.is_empty() && !self.parting).then(|| (self.used + idle).saturating_duration_since(now))
    }
    /// Its place among those that may go to make room, the first to go first: those told to go, the silent, then by
    /// how long nothing came or went. None while a request is open on it, or once it goes.
    pub fn dispensable(&self) -> Option<(Unused, Instant)> {
        let kind = match () {
            () if self.farewell => Unused::Leaving,
            () if !self.spoke => Unused::Silent,
            () => Unused::Idle,
        };
        (self.open.is_empty() && !self.parting && !self.closed).then_some((kind, self.used))
    }
    /// Whether nothing that makes sense has come on it.
    pub fn silent(&self) -> bool {
        !self.spoke
    }
    /// Whether the peer was told to go.
    pub fn leaving(&self) -> bool {
        self.farewell
    }
}
