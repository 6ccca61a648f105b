//! What a server does with the lines of its clients.

use std::io;
use std::time::Instant;

use connections::ConnectionId;
use mio::event::Event;
use mio::net::TcpStream;

use crate::ClientListener;

/// What a line of a client means.
pub enum ClientMessage<R> {
    /// A health check with this id.
    HealthCheck(u64),
    /// A request with this id.
    Request(u64, R),
    /// The client no longer waits for the request with this id.
    Cancel(u64),
    /// A notification that gets no answer and has no effect.
    Notification,
    /// A line that breaks the protocol; its connection gets this answer and is closed.
    Malformed(String),
}

/// Identifies an open request: the connection it arrived on and its id there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHandle {
    /// The connection of the request.
    pub connection: ConnectionId,
    /// The id that the client gave it.
    pub id: u64,
}

/// The protocol of a server, and what it does beside its clients in each step of the loop.
pub trait ClientHandler: Sized {
    /// What the server keeps for each connection; dropped with it.
    type ConnectionData: Default;
    /// A parsed request.
    type Request;

    /// Parses a line, without its line ending.
    fn parse_line(&self, line: &[u8]) -> ClientMessage<Self::Request>;

    /// The answer to a health check.
    fn health_answer(&self, id: u64, now: Instant) -> String;

    /// The answer to a line that is too long, the last one on its connection.
    fn line_too_long_answer(&self) -> String;

    /// The answer to a request whose id is in use, the last one on its connection.
    fn duplicate_id_answer(&self) -> String;

    /// The answer to a request on a connection that has too many open; the connection stays.
    fn too_many_requests_answer(&self, id: u64) -> String;

    /// Handles a request that was recorded as open.
    fn handle_request(
        &mut self,
        clients: &mut ClientListener<Self>,
        handle: RequestHandle,
        request: Self::Request,
        now: Instant,
    );

    /// Handles the notice that a client no longer waits for a request, which may be answered or unknown.
    fn cancel_request(
        &mut self,
        _clients: &mut ClientListener<Self>,
        _handle: RequestHandle,
        _now: Instant,
    ) {
    }

    /// When the handler has something to do without any event.
    fn next_wakeup(&self) -> Option<Instant> {
        None
    }

    /// Called in each step after the wait for events, before any of them is handled.
    fn begin_step(&mut self, _now: Instant) {}

    /// Handles an event of a socket that the handler has registered; false if the event belongs to a client.
    fn handle_event(
        &mut self,
        _clients: &mut ClientListener<Self>,
        _event: &Event,
        _now: Instant,
    ) -> bool {
        false
    }

    /// Called in each step after the events and before clients are accepted and read.
    fn before_turns(&mut self, _clients: &mut ClientListener<Self>, _now: Instant) {}

    /// Called at the end of each step.
    fn after_turns(&mut self, _clients: &mut ClientListener<Self>, _now: Instant) {}

    /// A connection was accepted and dropped again.
    fn connection_rejected(&self, error: &io::Error);

    /// A client has broken the protocol and got this answer.
    fn protocol_violated(&self, _peer: &TcpStream, _answer: &str) {}
}
