//! A client's socket and the state of its connection.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Instant;

use connections::ConnectionState;
use mio::net::TcpStream;

/// An accepted connection.
pub(crate) struct ClientConnection<D> {
    pub(crate) stream: TcpStream,
    pub(crate) state: ConnectionState,
    /// Data that the handler stores for the connection.
    pub(crate) data: D,
    /// True if there may be bytes to read. The poll is edge-triggered, so this has to be stored.
    pub(crate) is_readable: bool,
    /// True if the poll has reported that the peer closed its sending side; reading continues until
    /// the end of the input.
    pub(crate) peer_hung_up: bool,
    /// True if the connection is in the queue of connections that wait for their turn.
    pub(crate) is_queued: bool,
    /// Time of the earliest timer that is set for the connection.
    pub(crate) timer: Option<Instant>,
}

impl<D: Default> ClientConnection<D> {
    pub(crate) fn new(stream: TcpStream, state: ConnectionState) -> ClientConnection<D> {
        ClientConnection {
            stream,
            state,
            data: D::default(),
            is_readable: false,
            peer_hung_up: false,
            is_queued: false,
            timer: None,
        }
    }
}

impl<D> ClientConnection<D> {
    /// Reads once from the socket into the state.
    pub(crate) fn read(&mut self, buffer: &mut [u8], now: Instant) -> io::Result<()> {
        match self.stream.read(buffer) {
            Ok(0) => self.state.record_peer_close(),
            Ok(count) => {
                // A short read has emptied the socket, unless the end of the input follows.
                self.is_readable = count == buffer.len() || self.peer_hung_up;
                self.state.receive_bytes(&buffer[..count], now);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.is_readable = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Reads once and discards the bytes. Returns false once the peer has closed its sending side.
    pub(crate) fn read_and_discard(&mut self, buffer: &mut [u8]) -> io::Result<bool> {
        match self.stream.read(buffer) {
            Ok(0) => return Ok(false),
            Ok(count) => self.state.record_discarded(count),
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.is_readable = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        Ok(true)
    }

    /// Writes unsent bytes as far as the socket accepts them.
    pub(crate) fn write_unsent(&mut self, now: Instant) -> io::Result<()> {
        while !self.state.unsent().is_empty() {
            match self.stream.write(self.state.unsent()) {
                Ok(count) => self.state.record_write(count, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
