//! The thread of the JSON-RPC server: its listener and handler, run together or stepped by a test.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use client_listener::protocol::GOODBYE_LINE;
use client_listener::{ClientListener, ListenerCounters, ListenerSettings, LiveLimits, TimerMode};
use crossbeam_channel::{unbounded, Sender};
use lifecycle::amount_for_shares;
use slog::{warn, Logger};

use super::handler::{listen_on, RequestHandler};
use super::mailbox::Mailbox;
use crate::node::{Limits, NodeStatus, PolicyMessage, RateLimitedLog};
use crate::wire::Site;

/// Clients' lines take no more than one part in this many of the policy's mailbox: the rest is for its other senders.
const MAILBOX_SHARE_DIVISOR: usize = 2;

/// What the server needs of the node.
#[derive(Clone)]
pub struct NodeContext {
    /// What requests are checked against.
    pub site: Arc<Site>,
    /// Health, the capacity hint and the idle time of connections.
    pub node_status: Arc<NodeStatus>,
    /// Where requests go.
    pub policy: Sender<PolicyMessage>,
}

/// The limits that the node changes while it runs.
struct NodeLiveLimits {
    context: NodeContext,
    /// Connections that the node may have; this process has a share of them.
    max_node_connections: usize,
    default_idle_timeout: Duration,
    lines_per_turn: usize,
    max_waiting_messages: usize,
    pause: Duration,
}

impl LiveLimits for NodeLiveLimits {
    fn idle_timeout(&self) -> Duration {
        self.context
            .node_status
            .idle_timeout()
            .unwrap_or(self.default_idle_timeout)
    }

    fn max_connections(&self) -> usize {
        amount_for_shares(
            self.max_node_connections,
            self.context.node_status.connection_shares(),
        )
    }

    /// Lines are read while the policy's mailbox has room for those of a turn, so that passing them on never waits.
    fn read_pause(&self) -> Option<Duration> {
        let has_room = self.context.policy.len() + self.lines_per_turn <= self.max_waiting_messages;
        (!has_room).then_some(self.pause)
    }
}

/// The event loop of the JSON-RPC server. It runs on a thread of its own ([`ServerLoop::run`]), or a test takes its steps
/// one by one, to have something happen between two.
pub struct ServerLoop {
    clients: ClientListener<RequestHandler>,
    handler: RequestHandler,
    retry_pause: Duration,
}

impl ServerLoop {
    /// A loop that does not listen and does not run yet.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn new(context: NodeContext, limits: &Limits, log: &Logger) -> io::Result<ServerLoop> {
        let live_limits = NodeLiveLimits {
            context: context.clone(),
            max_node_connections: limits.client_connections.max_connections,
            default_idle_timeout: limits.listener.idle_timeout,
            lines_per_turn: limits.client_connections.lines_per_turn,
            max_waiting_messages: limits.policy.mailbox / MAILBOX_SHARE_DIVISOR,
            pause: limits.listener.backpressure_interval,
        };
        let clients = ClientListener::new(listener_settings(limits), Box::new(live_limits), log)?;
        let (sender, commands) = unbounded();
        let mailbox = Mailbox::new(sender, clients.waker()?);
        let handler = RequestHandler {
            context,
            mailbox: Arc::new(mailbox),
            commands,
            log: log.clone(),
            rate_limited_log: RateLimitedLog::new(limits.repeated_log_interval),
        };
        Ok(ServerLoop {
            clients,
            handler,
            retry_pause: limits.reconnect_backoff,
        })
    }

    pub(super) fn mailbox(&self) -> Arc<Mailbox> {
        self.handler.mailbox.clone()
    }

    pub(super) fn counters(&self) -> Arc<ListenerCounters> {
        self.clients.counters()
    }

    /// Runs as long as the process does.
    pub fn run(mut self) {
        loop {
            if let Err(e) = self.step(None) {
                // Nothing that a peer does leads here.
                warn!(self.handler.log, "poll"; "error" => %e);
                std::thread::sleep(self.retry_pause);
            }
        }
    }

    /// Waits for something to do, for `max_wait` at most, and does it.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn step(&mut self, max_wait: Option<Duration>) -> io::Result<()> {
        self.clients.step(&mut self.handler, max_wait)
    }

    /// Accepts connections of this socket.
    ///
    /// # Errors
    /// An error of the system.
    pub fn listen(&mut self, socket: std::net::TcpListener, now: Instant) -> io::Result<()> {
        listen_on(&mut self.clients, socket, now)
    }

    /// Accepts the connections that wait to be accepted, and stops listening.
    pub fn stop_listening(&mut self, now: Instant) {
        self.clients.stop_listening(&mut self.handler, now);
    }

    /// Closes all connections once what has arrived on them is read and answered.
    pub fn begin_close_all(&mut self, now: Instant) {
        self.clients.begin_close_all(&mut self.handler, now);
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.clients.connection_count()
    }
}

fn listener_settings(limits: &Limits) -> ListenerSettings {
    ListenerSettings {
        limits: limits.client_connections.clone(),
        max_events: limits.listener.event_batch,
        read_buffer_bytes: limits.read_bytes,
        accepts_per_step: limits.listener.accept_batch,
        final_accept_rounds: limits.listener.final_accept_batches,
        accept_retry_pause: limits.reconnect_backoff,
        max_total_unsent_bytes: limits.listener.output_bytes,
        goodbye_line: GOODBYE_LINE,
        is_goodbye_limited: true,
        writes_on_every_event: false,
        timer_mode: TimerMode::Exact,
    }
}
