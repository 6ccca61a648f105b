//! The JSON-RPC 2.0 server, one message per line. One thread accepts, reads, frames and answers, and keeps the timers of
//! all connections: the loop is the crate `client_listener`, and the states of a connection and the evictions are decided
//! in the crate `connections`. `docs/front.md` has the figures for one thread against two for each connection.
//!
//! Slots are for connections that use them. A connection on which nothing valid arrives is closed soon, one that breaks
//! the protocol at once, and when slots run short the one that has been silent or idle the longest is evicted. None is
//! closed while a request of a peer that keeps to the protocol is open on it.

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

/// The JSON-RPC server, as the node's main thread controls it.
pub struct JsonRpcServer {
    mailbox: Arc<Mailbox>,
    counters: Arc<ListenerCounters>,
}

impl JsonRpcServer {
    /// Starts the server's thread, which accepts no connection before [`JsonRpcServer::listen`].
    ///
    /// # Errors
    /// An error of the system: no poll or no thread.
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

    /// Accepts connections of this socket from now on.
    pub fn listen(&self, socket: TcpListener) {
        self.counters.is_listening.store(true, SeqCst);
        self.mailbox.send(ServerCommand::Listen(socket));
    }

    /// The number of requests whose answer is not written, plus that of connections with bytes left to write: 0 once all is
    /// written.
    pub fn unfinished_count(&self) -> usize {
        self.counters.open_requests.load(SeqCst) + self.counters.unsent_connections.load(SeqCst)
    }

    /// Whether the server listens, so that connections may still wait to be accepted.
    pub fn is_listening(&self) -> bool {
        self.counters.is_listening.load(SeqCst)
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.counters.connections.load(SeqCst)
    }

    /// Sends all clients a goodbye.
    pub fn say_goodbye(&self) {
        self.mailbox.send(ServerCommand::SayGoodbye);
    }

    /// Accepts the connections that wait to be accepted, and stops listening.
    pub fn stop_listening(&self) {
        self.mailbox.send(ServerCommand::StopListening);
    }
}
