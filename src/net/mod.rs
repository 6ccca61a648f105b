//! The platform's wires, on `std::net` with small-stack threads: an actor for each peer.

pub mod database;
pub mod door;
pub mod executor;
pub mod jsonrpc;
pub mod membership;

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

/// Starts a named thread with a small stack.
pub fn spawn(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(stack)
        .spawn(body)
        .map(drop)
}

/// Where a peer is now: a reload may move it. What is open stays where it is, new connections go to the new place.
/// Nowhere at a site that has no such peer.
pub struct Address(RwLock<Option<SocketAddr>>);

impl Address {
    /// A peer at this place, if there is one.
    pub fn new(at: impl Into<Option<SocketAddr>>) -> Address {
        Address(RwLock::new(at.into()))
    }
    /// The place.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }
    /// Moves it.
    pub fn set(&self, to: Option<SocketAddr>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = to;
    }
}

/// Takes an address for clients, without listening yet: one that can't be had is known at the start. Where there is a
/// door the platform may start a second process beside this one, so the address is shared with it.
pub fn take_address(at: SocketAddr, shared: bool) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    // As std does: what a process before this one has left in TIME_WAIT must not keep this one out.
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&at.into())?;
    Ok(socket)
}

/// Lines of bounded length from a stream.
pub struct Lines<R> {
    from: BufReader<R>,
    most: usize,
    line: Vec<u8>,
}

impl<R: Read> Lines<R> {
    /// Lines of at most `most` bytes, read so many at once.
    pub fn new(from: R, most: usize, at_once: usize) -> Lines<R> {
        Lines {
            from: BufReader::with_capacity(at_once, from),
            most,
            line: Vec::new(),
        }
    }

    /// The next line without its end, or nothing at the end of the stream. A last line that was cut off is not a
    /// line. A longer one is an error of the kind `InvalidData`: a peer must not fill our memory with one line.
    pub fn next_line(&mut self) -> io::Result<Option<&[u8]>> {
        self.line.clear();
        let read = (&mut self.from)
            .take(self.most as u64 + 1)
            .read_until(b'\n', &mut self.line)?;
        if self.line.pop_if(|last| *last == b'\n').is_some() {
            self.line.pop_if(|last| *last == b'\r');
            return Ok(Some(&self.line));
        }
        if read > self.most {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "line too long"));
        }
        Ok(None)
    }
}

/// Pauses between tries, doubled up to a bound.
pub struct Backoff {
    next: Duration,
    first: Duration,
    most: Duration,
}

impl Backoff {
    /// From `first` up to `most`.
    pub fn new(first: Duration, most: Duration) -> Backoff {
        Backoff {
            next: first,
            first,
            most,
        }
    }
    /// The pause before the next try.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.most);
        pause
    }
    /// It worked: start again from the first.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
