//! Connections that carry one message a line, without their sockets: the states of one ([`Session`]), and which of many
//! go when slots run short ([`Room`]). The node's front and the router's run the same code.

mod room;
mod session;

use std::time::Duration;

pub use room::{Go, Room};
pub use session::{Breach, Due, Session, Unused};

/// The sizes, counts and times that these connections keep to.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Requests open on one connection. A front end has 32 at most, but those that it gives up, of which it says
    /// nothing, stay open here until their due time.
    pub open: usize,
    /// Requests that the protocol lets be open on one: one with more has a line a turn.
    pub fair: usize,
    /// Lines read from one in one turn.
    pub lines: usize,
    /// Bytes of one line.
    pub line: usize,
    /// Bytes that wait to be written on one; nothing is read from it while half of that waits.
    pub output: usize,
    /// Connections. Each is one descriptor.
    pub connections: usize,
    /// Connections that are kept free, by closing those that carry nothing.
    pub spare: usize,
    /// Connections kept that carry nothing: those used last. The rest of the table is for those at work.
    pub unused: usize,
    /// After this long without a sensible message one that is in the way goes without a farewell.
    pub mute: Duration,
    /// How long one may stay, up to its farewell, on which nothing sensible has come.
    pub silent: Duration,
    /// How long a message may take from its first byte to its last.
    pub whole: Duration,
    /// After a farewell, how long an idle one may stay open.
    pub farewell: Duration,
    /// Once its writing side is shut, how long one stays open for its peer to close, and how many bytes that still come
    /// are passed over meanwhile: closed over unread bytes it would be reset, and what was written last might be lost.
    pub linger: Duration,
    /// See `linger`.
    pub linger_bytes: usize,
    /// Time after which a peer that takes none of what is written is given up.
    pub write: Duration,
}

impl Bounds {
    /// So many connections from now on.
    pub fn set_connections(&mut self, connections: usize) {
        (self.connections, self.unused) = (connections, connections / 4 * 3);
    }
    /// Bounds of a front that may have so many connections.
    pub fn new(connections: usize) -> Bounds {
        Bounds {
            open: 64,
            fair: 32,
            lines: 8,
            // A body of 2 KiB in base64 and its fields, with room.
            line: 16 * 1024,
            // Answers to all that may be open on one, twice over.
            output: 768 * 1024,
            connections,
            spare: 24,
            unused: connections / 4 * 3,
            mute: Duration::from_millis(300),
            silent: Duration::from_millis(1100),
            // Front ends may take 2 s to write one, and one that never finishes has to go 3 s after it came.
            whole: Duration::from_millis(2600),
            farewell: Duration::from_millis(900),
            linger: Duration::from_millis(200),
            linger_bytes: 64 * 1024,
            write: Duration::from_secs(10),
        }
    }
}
