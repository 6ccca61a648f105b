//! The admin server: operators send a command and receive a reply, one line each, on a separate
//! address. One thread serves all clients with non-blocking I/O and waits for no other actor, so
//! that it answers however busy the rest of the node is. The number of clients is bounded, and
//! their descriptors are reserved: see [`AdminLimits::max_clients`].
//!
//! [`AdminLimits::max_clients`]: crate::node::limits::AdminLimits::max_clients

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::Sender;
use lifecycle::{AdminCommand, AdminRequestError, AdminResponse, LineBuffer};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slog::{info, warn, Logger};

use super::spawn;
use crate::node::{Limits, NodeStatus, RateLimitedLog};

const LISTENER_TOKEN: Token = Token(0);

/// Size of one read from a client in bytes.
const READ_BYTES: usize = 256;

/// Maximum number of reads from one client before the others are served.
const READS_PER_TURN: usize = 16;

/// A connected client.
struct AdminClient {
    stream: TcpStream,
    line: LineBuffer,
    /// True if the client has been answered and the connection is open only for it to read the
    /// answer. If it were closed with unread input, the operating system would reset it and the
    /// answer could be lost.
    is_answered: bool,
    /// Time by which it must have sent its command or, once answered, have read the answer.
    deadline: Instant,
}

/// The result of one read from a client.
enum ReadOutcome {
    Command(AdminCommand),
    Invalid(AdminRequestError),
    /// There is no complete line yet, or the input came after the answer and is discarded.
    Incomplete,
    /// There is nothing to read.
    WouldBlock,
    /// The client has closed its connection, or the connection broke.
    Closed,
}

impl AdminClient {
    fn read(&mut self) -> ReadOutcome {
        let mut chunk = [0; READ_BYTES];
        match self.stream.read(&mut chunk) {
            Ok(0) if self.is_answered => ReadOutcome::Closed,
            Ok(0) => ReadOutcome::Invalid(AdminRequestError::Truncated),
            Ok(_) if self.is_answered => ReadOutcome::Incomplete,
            Ok(n) => match self.line.push(&chunk[..n]) {
                Some(Ok(command)) => ReadOutcome::Command(command),
                Some(Err(error)) => ReadOutcome::Invalid(error),
                None => ReadOutcome::Incomplete,
            },
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
            Err(e) if e.kind() == ErrorKind::Interrupted => ReadOutcome::Incomplete,
            Err(_) => ReadOutcome::Closed,
        }
    }
}

/// The state of the server's thread.
struct AdminServer {
    poll: Poll,
    listener: TcpListener,
    /// Clients by number, numbered in the order in which they connected.
    clients: BTreeMap<usize, AdminClient>,
    next_number: usize,
    node_status: Arc<NodeStatus>,
    /// Notified after each change of the process state.
    state_changes: Sender<()>,
    limits: Limits,
    too_many_clients_log: RateLimitedLog,
    accept_failure_log: RateLimitedLog,
    log: Logger,
}

/// Starts the server and returns its listen address. `state_changes` is notified of each change of
/// the process state that a command causes.
///
/// # Errors
/// Returns an error if the listener cannot be used or the thread cannot be started.
pub fn start(
    listener: std::net::TcpListener,
    node_status: &Arc<NodeStatus>,
    state_changes: Sender<()>,
    limits: &Limits,
    log: &Logger,
) -> io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let mut listener = TcpListener::from_std(listener);
    let address = listener.local_addr()?;
    let poll = Poll::new()?;
    poll.registry()
        .register(&mut listener, LISTENER_TOKEN, Interest::READABLE)?;
    let server = AdminServer {
        poll,
        listener,
        clients: BTreeMap::new(),
        next_number: LISTENER_TOKEN.0 + 1,
        node_status: node_status.clone(),
        state_changes,
        limits: limits.clone(),
        too_many_clients_log: RateLimitedLog::new(limits.repeated_log_interval),
        accept_failure_log: RateLimitedLog::new(limits.repeated_log_interval),
        log: log.clone(),
    };
    spawn("admin", limits.stack_bytes, move || server.run())?;
    Ok(address)
}

impl AdminServer {
    fn run(mut self) {
        let mut events = Events::with_capacity(self.limits.admin.max_clients * 2);
        // Time at which the next client may be waiting to be accepted.
        let mut acceptable_at = None;
        loop {
            self.wait_for_events(&mut events, acceptable_at);
            let now = Instant::now();
            if events.iter().any(|event| event.token() == LISTENER_TOKEN) {
                acceptable_at = Some(now);
            }
            // Clients with input are served before a new client may evict one of them.
            for Token(number) in events
                .iter()
                .map(Event::token)
                .filter(|t| *t != LISTENER_TOKEN)
            {
                self.serve_client(number);
            }
            if acceptable_at.is_some_and(|at| at <= now) {
                acceptable_at = self.accept(now);
            }
            self.handle_expired_deadlines();
        }
    }

    fn wait_for_events(&mut self, events: &mut Events, acceptable_at: Option<Instant>) {
        let now = Instant::now();
        let deadlines = self.clients.values().map(|client| client.deadline);
        let next_step = deadlines.chain(acceptable_at).min();
        let timeout = next_step.map(|at| at.saturating_duration_since(now));
        match self.poll.poll(events, timeout) {
            Err(e) if e.kind() != ErrorKind::Interrupted => {
                // Not caused by anything that a client does.
                warn!(self.log, "admin: poll failed"; "error" => %e);
                std::thread::sleep(self.limits.reconnect_backoff);
            }
            _ => {}
        }
    }

    /// Accepts one client. Returns the time at which another one may be accepted; `None` if none is
    /// waiting.
    fn accept(&mut self, now: Instant) -> Option<Instant> {
        match self.listener.accept() {
            Ok((stream, _)) => {
                self.evict_client_if_full();
                self.add_client(stream);
                Some(now)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            Err(e) if is_transient(&e) => Some(now),
            Err(e) => {
                // For example, no free descriptors. The socket reports no further event for a
                // client that is already waiting.
                self.accept_failure_log.log(|suppressed| {
                    warn!(self.log, "admin: accept failed"; "error" => %e, "suppressed" => suppressed);
                });
                Some(now + self.limits.reconnect_backoff)
            }
        }
    }

    /// If the maximum number of clients is reached, disconnects one: the oldest that has been
    /// answered, or else the oldest.
    fn evict_client_if_full(&mut self) {
        if self.clients.len() < self.limits.admin.max_clients {
            return;
        }
        let evicted = self
            .clients
            .iter()
            .find(|(_, client)| client.is_answered)
            .or_else(|| self.clients.iter().next());
        let Some(number) = evicted.map(|(number, _)| *number) else {
            return;
        };
        self.serve_client(number);
        if self.is_unanswered(number) {
            self.too_many_clients_log.log(
                |suppressed| warn!(self.log, "admin: too many clients"; "suppressed" => suppressed),
            );
            self.answer(
                number,
                AdminResponse::InvalidRequest(AdminRequestError::TooManyClients),
            );
        }
        self.clients.remove(&number);
    }

    fn add_client(&mut self, mut stream: TcpStream) {
        let number = self.next_number;
        self.next_number += 1;
        let registered =
            self.poll
                .registry()
                .register(&mut stream, Token(number), Interest::READABLE);
        if registered.is_err() {
            return;
        }
        let client = AdminClient {
            stream,
            line: LineBuffer::new(self.limits.admin.line_bytes),
            is_answered: false,
            deadline: Instant::now() + self.limits.admin.request_timeout,
        };
        self.clients.insert(number, client);
        // Most clients send their command as soon as they connect.
        self.serve_client(number);
    }

    /// Reads the input of a client and answers once a line is complete. Discards input after the
    /// answer.
    fn serve_client(&mut self, number: usize) {
        for _ in 0..READS_PER_TURN {
            let Some(client) = self.clients.get_mut(&number) else {
                return;
            };
            match client.read() {
                ReadOutcome::Command(command) => {
                    let response = self.execute(command);
                    self.answer(number, response);
                }
                ReadOutcome::Invalid(error) => {
                    self.answer(number, AdminResponse::InvalidRequest(error));
                }
                ReadOutcome::Incomplete => {}
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed => {
                    self.clients.remove(&number);
                    return;
                }
            }
        }
    }

    fn execute(&self, command: AdminCommand) -> AdminResponse {
        let (before, response, after) = self.node_status.update_state(|state| {
            let before = *state;
            let response = command.execute(state);
            (before, response, *state)
        });
        if before != after {
            info!(self.log, "process state changed"; "from" => %before, "to" => %after, "command" => ?command);
            // The receiver reads the state itself, so one queued notification is enough for several
            // changes.
            let _ = self.state_changes.try_send(());
        }
        response
    }

    fn answer(&mut self, number: usize, response: AdminResponse) {
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        // The line fits into the send buffer, which is empty.
        let _ = client.stream.write_all(format!("{response}\n").as_bytes());
        let _ = client.stream.shutdown(Shutdown::Write);
        client.is_answered = true;
        client.deadline = Instant::now() + self.limits.admin.response_timeout;
    }

    fn is_unanswered(&self, number: usize) -> bool {
        self.clients
            .get(&number)
            .is_some_and(|client| !client.is_answered)
    }

    /// Answers clients that have sent no line in time, and disconnects those whose time to read the
    /// answer has expired.
    fn handle_expired_deadlines(&mut self) {
        let now = Instant::now();
        let expired: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| client.deadline <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            if self.is_unanswered(number) {
                self.answer(
                    number,
                    AdminResponse::InvalidRequest(AdminRequestError::TimedOut),
                );
            } else {
                self.clients.remove(&number);
            }
        }
    }
}

/// Returns true if the next client may be accepted immediately after this error.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}
