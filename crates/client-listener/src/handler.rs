//! The interface through which a server handles the lines of its clients.

use std::io;
use std::time::Instant;

use connections::ConnectionId;
use mio::event::Event;
use mio::net::TcpStream;

use crate::ClientListener;

/// The meaning of a line from a client.
pub enum ClientMessage<R> {
    /// A health check with this id.
    HealthCheck(u64),
    /// A request with this id.
    Request(u64, R),
    /// A notification that the client no longer waits for the request with this id.
    Cancel(u64),
    /// A notification that gets no answer and has no effect.
    Notification,
    /// A line that violates the protocol; the connection gets this answer and is closed.
    Malformed(String),
}

/// Identifies an open request by its connection and its id on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHandle {
    /// Connection on which the request arrived.
    pub connection: ConnectionId,
    /// Id that the client gave the request.
    pub id: u64,
}

/// The protocol of a server, and its other work in each step of the loop.
pub trait ClientHandler: Sized {
    /// Data that the server stores for each connection; dropped together with the connection.
    type ConnectionData: Default;
    /// A parsed request.
    type Request;

    /// Parses a line, without its line ending.
    fn parse_line(&self, line: &[u8]) -> ClientMessage<Self::Request>;

    /// Returns the answer to a health check.
    fn health_answer(&self, id: u64, now: Instant) -> String;

    /// Returns the answer to a line that is too long. It is the last answer on the connection.
    fn line_too_long_answer(&self) -> String;

    /// Returns the answer to a request whose id is in use. It is the last answer on the connection.
    fn duplicate_id_answer(&self) -> String;

    /// Returns the answer to a request on a connection with too many open requests. The connection
    /// stays open.
    fn too_many_requests_answer(&self, id: u64) -> String;

    /// Handles a request that was recorded as open.
    fn handle_request(
        &mut self,
        clients: &mut ClientListener<Self>,
        handle: RequestHandle,
        request: Self::Request,
        now: Instant,
    );

    /// Handles the notification that a client no longer waits for a request. The request may have
    /// been answered already or be unknown.
    fn cancel_request(
        &mut self,
        _clients: &mut ClientListener<Self>,
        _handle: RequestHandle,
        _now: Instant,
    ) {
    }

    /// Returns the next time at which the handler has work to do without any event.
    fn next_wakeup(&self) -> Option<Instant> {
        None
    }

    /// Called in each step after waiting for events, before any of them is handled.
    fn begin_step(&mut self, _now: Instant) {}

    /// Handles an event of a socket that the handler has registered. Returns false if the event
    /// belongs to a client.
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

    /// Called at the end of the step in which a connection was removed with requests open on it,
    /// with its data. These requests can't be answered any more.
    fn connection_lost(&mut self, _data: Self::ConnectionData) {}

    /// Called after a connection was accepted and closed again because of this error.
    fn connection_rejected(&self, error: &io::Error);

    /// Called after a client has violated the protocol and was sent this answer.
    fn protocol_violated(&self, _peer: &TcpStream, _answer: &str) {}
}
