//! The JSON-RPC 2.0 server, with one message per line. One thread accepts connections, reads,
//! frames and answers messages, and manages the timers of all connections. The event loop is in the
//! crate `client_listener`; connection states and evictions are decided in the crate `connections`.
//! `docs/front.md` has the figures for one thread compared with two threads per connection.
//!
//! Slots are reserved for connections that use them. A connection on which nothing valid arrives is
//! closed after a short time, and one that violates the protocol immediately. When slots run short,
//! the connection that has been silent or idle the longest is evicted. No connection is closed
//! while it has an open request of a client that follows the protocol.

mod answer;
mod handler;
mod mailbox;
mod message;
mod request;
mod server_loop;

use std::io;
use std::net::TcpListener;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

use client_listener::ListenerCounters;
use crossbeam_channel::Sender;
use slog::Logger;

use super::spawn;
use crate::node::{Limits, NodeStatus, PolicyMessage};
use crate::wire::Site;
use mailbox::{Mailbox, ServerCommand};
pub use server_loop::{NodeContext, ServerLoop};

/// Handle through which the node's main thread controls the JSON-RPC server.
pub struct JsonRpcServer {
    mailbox: Arc<Mailbox>,
    counters: Arc<ListenerCounters>,
}

impl JsonRpcServer {
    /// Starts the server's thread, which accepts no connections before [`JsonRpcServer::listen`].
    ///
    /// # Errors
    /// Returns an error if the system cannot create the poll or the thread.
    pub fn start(
        site: Arc<Site>,
        limits: &Limits,
        node_status: &Arc<NodeStatus>,
        policy: &Sender<PolicyMessage>,
        log: &Logger,
    ) -> io::Result<JsonRpcServer> {
        let context = NodeContext {
            site,
            node_status: node_status.clone(),
            policy: policy.clone(),
        };
        let server_loop = ServerLoop::new(context, limits, log)?;
        let server = JsonRpcServer {
            mailbox: server_loop.mailbox(),
            counters: server_loop.counters(),
        };
        spawn("front", limits.stack_bytes, move || server_loop.run())?;
        Ok(server)
    }

    /// Starts accepting connections on this socket.
    pub fn listen(&self, socket: TcpListener) {
        self.counters.is_listening.store(true, SeqCst);
        self.mailbox.send(ServerCommand::Listen(socket));
    }

    /// Returns the number of requests whose answers have not been written, plus the number of
    /// connections with unsent bytes: 0 once everything is written.
    pub fn unfinished_count(&self) -> usize {
        self.counters.open_requests.load(SeqCst) + self.counters.unsent_connections.load(SeqCst)
    }

    /// Returns true while the server listens, so that connections may wait to be accepted.
    pub fn is_listening(&self) -> bool {
        self.counters.is_listening.load(SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.counters.connections.load(SeqCst)
    }

    /// Sends a close notice to all clients.
    pub fn send_close_notices(&self) {
        self.mailbox.send(ServerCommand::SendCloseNotices);
    }

    /// Accepts the connections that wait to be accepted, and stops listening.
    pub fn stop_listening(&self) {
        self.mailbox.send(ServerCommand::StopListening);
    }
}
