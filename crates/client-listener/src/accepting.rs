//! Accepting connections, and evicting others when slots run short.

use std::io::{self, ErrorKind};
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

use connections::{ConnectionId, ConnectionState, Eviction};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use slog::warn;

use crate::connection::ClientConnection;
use crate::listener::LISTENER_TOKEN;
use crate::{ClientHandler, ClientListener};

impl<H: ClientHandler> ClientListener<H> {
    /// Starts accepting connections from this socket.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn listen(&mut self, mut socket: TcpListener, now: Instant) -> io::Result<()> {
        self.poll
            .registry()
            .register(&mut socket, LISTENER_TOKEN, Interest::READABLE)?;
        self.socket = Some(socket);
        // Connections may already be waiting, and the poll is edge-triggered.
        self.next_accept_at = Some(now);
        Ok(())
    }

    /// Accepts the pending connections of the socket and closes it. The system has completed their
    /// handshakes, and closing the socket before they are accepted would reset them. The socket is
    /// closed directly after the last accept, so that hardly any connection arrives in between.
    pub fn stop_listening(&mut self, handler: &mut H, now: Instant) {
        self.next_accept_at = Some(now);
        // The number of rounds is limited, as clients that connect faster than they are accepted
        // must not block the loop.
        for _ in 0..self.settings.final_accept_rounds {
            if self.next_accept_at.is_none_or(|at| at > now) {
                break;
            }
            self.accept(handler, now);
        }
        self.close_socket();
    }

    /// Closes the listening socket without accepting pending connections.
    pub fn close_socket(&mut self) {
        self.socket = None;
        self.counters.is_listening.store(false, SeqCst);
    }

    pub(crate) fn accept(&mut self, handler: &mut H, now: Instant) {
        for _ in 0..self.settings.accepts_per_step {
            let may_accept = self.next_accept_at.is_some_and(|at| at <= now);
            let Some(socket) = self.socket.as_ref().filter(|_| may_accept) else {
                return;
            };
            match socket.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.add_connection(handler, stream, now) {
                        handler.connection_rejected(&e);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.next_accept_at = None,
                Err(e) if is_transient(&e) => {}
                Err(e) => {
                    // For example, no file descriptors are left: the pause allows some to be
                    // released.
                    warn!(self.log, "accepting a client connection failed"; "error" => %e);
                    self.next_accept_at = Some(now + self.settings.accept_retry_pause);
                }
            }
        }
    }

    fn add_connection(
        &mut self,
        handler: &mut H,
        mut stream: TcpStream,
        now: Instant,
    ) -> io::Result<()> {
        self.update_max_connections();
        self.evict_for_new_connection(handler, now);
        if self.connections.len() >= self.limits.max_connections {
            return Err(io::Error::other("too many connections"));
        }
        stream.set_nodelay(true)?;
        let token = self.register(&mut stream)?;
        let id = ConnectionId(token.0);
        let state = ConnectionState::new(&self.limits, now);
        self.connections
            .insert(id, ClientConnection::new(stream, state));
        self.counters
            .connections
            .store(self.connections.len(), SeqCst);
        self.flush_and_update(id, now);
        Ok(())
    }

    /// Applies the current maximum number of connections. Connections over a lowered limit are
    /// evicted when their slots are needed.
    fn update_max_connections(&mut self) {
        let max_connections = self.live_limits.max_connections();
        if max_connections != self.limits.max_connections {
            self.limits.set_max_connections(max_connections);
        }
    }

    fn evict_for_new_connection(&mut self, handler: &mut H, now: Instant) {
        let evictions =
            self.idle_connections
                .choose_evictions(self.connections.len(), &self.limits, now);
        for eviction in evictions {
            match eviction {
                Eviction::Close(id) => {
                    if let Some(connection) = self.connections.get_mut(&id) {
                        connection.state.skip_linger(&self.limits, now);
                    }
                    self.begin_close(handler, id, now);
                }
                Eviction::SendCloseNotice(id) => self.send_close_notice(id, now),
            }
        }
    }
}

/// Returns true if accepting can continue after this error.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    )
}
