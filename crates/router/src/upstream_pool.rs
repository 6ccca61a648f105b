//! The router's connections to nodes: their sockets, and the selection of a connection for a
//! request.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use cells::Name;
use client_listener::{ClientHandler, ClientListener};
use mio::net::TcpStream;
use mio::Token;

use crate::upstream_state::UpstreamState;

/// Maximum number of open requests on one connection that the protocol allows.
const MAX_OPEN_REQUESTS_PER_CONNECTION: usize = 32;
/// Number of open requests on every connection to a node at which another connection is opened.
const PREFERRED_OPEN_REQUESTS_PER_CONNECTION: usize = 16;
/// Size of the buffer for one read from a connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection to a node.
pub(crate) struct UpstreamConnection {
    pub(crate) node: Name,
    stream: TcpStream,
    pub(crate) state: UpstreamState,
    /// True if the connection carries only health checks of its node.
    pub(crate) is_for_health_checks: bool,
}

/// The outcome of a read from a connection.
pub(crate) enum ReadOutcome {
    /// Bytes were read, and these lines are complete now; there may be none.
    Lines(Vec<Vec<u8>>),
    /// There is nothing to read.
    Empty,
    /// The connection was closed or failed.
    Closed,
}

impl UpstreamConnection {
    /// Completes the connection on the first event that reports it writable. Returns false if it
    /// could not be established.
    pub(crate) fn finish_connecting(&mut self) -> bool {
        // A connecting socket may become writable without a pending error and still not be
        // connected; peer_addr fails then.
        let has_no_error = matches!(self.stream.take_error(), Ok(None));
        if !has_no_error || self.stream.peer_addr().is_err() {
            return false;
        }
        self.state.is_connected = true;
        let _ = self.stream.set_nodelay(true);
        true
    }

    /// Writes unsent bytes as far as the socket accepts them.
    pub(crate) fn write_unsent(&mut self) -> io::Result<()> {
        while self.state.is_connected && !self.state.unsent().is_empty() {
            match self.stream.write(self.state.unsent()) {
                Ok(count) => self.state.record_write(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// All connections to nodes, by the token under which they are registered.
pub(crate) struct UpstreamPool {
    connections: HashMap<Token, UpstreamConnection>,
    max_connections_per_node: usize,
    max_line_bytes: usize,
    read_buffer: Box<[u8]>,
}

impl UpstreamPool {
    pub(crate) fn new(max_connections_per_node: usize, max_line_bytes: usize) -> UpstreamPool {
        UpstreamPool {
            connections: HashMap::new(),
            max_connections_per_node,
            max_line_bytes,
            read_buffer: vec![0; READ_BUFFER_BYTES].into(),
        }
    }

    pub(crate) fn contains(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    pub(crate) fn get_mut(&mut self, token: Token) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(&token)
    }

    pub(crate) fn remove(&mut self, token: Token) -> Option<UpstreamConnection> {
        self.connections.remove(&token)
    }

    /// Returns the connection to this node with the fewest open requests, or a new one if there is
    /// none or it has too many. Returns `None` if the limits allow neither or connecting fails.
    pub(crate) fn connection_for_request<H: ClientHandler>(
        &mut self,
        clients: &mut ClientListener<H>,
        node: &Name,
        address: Option<SocketAddr>,
    ) -> Option<Token> {
        let usable: Vec<(usize, Token)> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.node == *node
                    && !connection.is_for_health_checks
                    && !connection.state.has_close_notice
            })
            .map(|(token, connection)| (connection.state.open_request_count(), *token))
            .collect();
        let may_connect = usable.len() < self.max_connections_per_node;
        if let Some((open_requests, token)) = usable.iter().min().copied() {
            let limit = if may_connect {
                PREFERRED_OPEN_REQUESTS_PER_CONNECTION
            } else {
                MAX_OPEN_REQUESTS_PER_CONNECTION
            };
            if open_requests < limit {
                return Some(token);
            }
        }
        if !may_connect {
            return None;
        }
        self.connect(clients, node, address?, false)
    }

    /// Starts connecting to a node.
    fn connect<H: ClientHandler>(
        &mut self,
        clients: &mut ClientListener<H>,
        node: &Name,
        address: SocketAddr,
        is_for_health_checks: bool,
    ) -> Option<Token> {
        let mut stream = TcpStream::connect(address).ok()?;
        let token = clients.register(&mut stream).ok()?;
        let connection = UpstreamConnection {
            node: node.clone(),
            stream,
            state: UpstreamState::default(),
            is_for_health_checks,
        };
        self.connections.insert(token, connection);
        Some(token)
    }

    /// Returns the connection for the health checks of a node, or a new one.
    pub(crate) fn connection_for_health_checks<H: ClientHandler>(
        &mut self,
        clients: &mut ClientListener<H>,
        node: &Name,
        address: Option<SocketAddr>,
    ) -> Option<Token> {
        let existing = self
            .connections
            .iter()
            .find(|(_, connection)| connection.is_for_health_checks && connection.node == *node);
        if let Some((token, _)) = existing {
            return Some(*token);
        }
        self.connect(clients, node, address?, true)
    }

    /// Reads once from a connection.
    pub(crate) fn read(&mut self, token: Token) -> ReadOutcome {
        let Some(connection) = self.connections.get_mut(&token) else {
            return ReadOutcome::Empty;
        };
        match connection.stream.read(&mut self.read_buffer) {
            Ok(0) => ReadOutcome::Closed,
            Ok(count) => connection
                .state
                .receive_bytes(&self.read_buffer[..count], self.max_line_bytes)
                .map_or(ReadOutcome::Closed, ReadOutcome::Lines),
            Err(e) if e.kind() == ErrorKind::WouldBlock => ReadOutcome::Empty,
            Err(e) if e.kind() == ErrorKind::Interrupted => ReadOutcome::Lines(Vec::new()),
            Err(_) => ReadOutcome::Closed,
        }
    }

    /// Returns the connections that are no longer needed: those to unknown nodes (`is_known` is
    /// false) once no request is open on them, those for health checks of unknown nodes, and all
    /// those for health checks while health checks are not needed.
    pub(crate) fn unneeded(
        &self,
        is_known: impl Fn(&Name) -> bool,
        needs_health_checks: bool,
    ) -> Vec<Token> {
        self.connections
            .iter()
            .filter(|(_, connection)| {
                let is_for_checks = connection.is_for_health_checks;
                let is_idle = connection.state.open_request_count() == 0;
                let is_unused = is_for_checks && !needs_health_checks;
                is_unused || !is_known(&connection.node) && (is_for_checks || is_idle)
            })
            .map(|(token, _)| *token)
            .collect()
    }
}
