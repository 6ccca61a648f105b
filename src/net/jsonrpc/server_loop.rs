//! The event loop of the JSON-RPC server: its listener and handler, run on a thread or stepped by a
//! test.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use client_listener::protocol::CLOSE_NOTICE_LINE;
use client_listener::{ClientListener, ListenerCounters, ListenerSettings, LiveLimits, TimerMode};
use crossbeam_channel::{unbounded, Sender};
use lifecycle::amount_for_shares;
use slog::{warn, Logger};

use super::handler::{listen_on, RequestHandler};
use super::mailbox::Mailbox;
use crate::node::{Limits, NodeStatus, PolicyMessage, RateLimitedLog};
use crate::wire::Site;

/// Divisor of the policy's mailbox capacity that gives the share for requests of clients. The rest
/// is reserved for its other senders.
const MAILBOX_SHARE_DIVISOR: usize = 2;

/// The parts of the node that the server uses.
#[derive(Clone)]
pub struct NodeContext {
    /// The site against whose settings requests are checked.
    pub site: Arc<Site>,
    /// Source of the health, the capacity hint and the idle timeout of connections.
    pub node_status: Arc<NodeStatus>,
    /// Receiver of requests.
    pub policy: Sender<PolicyMessage>,
}

/// Limits that the node may change while it runs.
struct NodeLiveLimits {
    context: NodeContext,
    /// Maximum number of connections of the node, of which this process has a share.
    max_node_connections: usize,
    default_idle_timeout: Duration,
    lines_per_turn: usize,
    max_queued_messages: usize,
    backpressure_pause: Duration,
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

    /// Lines are read only while the policy's mailbox has capacity for those of one turn, so that
    /// passing them on never blocks.
    fn read_pause(&self) -> Option<Duration> {
        let has_capacity =
            self.context.policy.len() + self.lines_per_turn <= self.max_queued_messages;
        (!has_capacity).then_some(self.backpressure_pause)
    }
}

/// The event loop of the JSON-RPC server. It runs on its own thread ([`ServerLoop::run`]), or a
/// test calls [`ServerLoop::step`], to act between two steps.
pub struct ServerLoop {
    clients: ClientListener<RequestHandler>,
    handler: RequestHandler,
    retry_pause: Duration,
}

impl ServerLoop {
    /// Creates a loop that neither listens nor runs yet.
    ///
    /// # Errors
    /// Returns an error of the system's poll.
    pub fn new(context: NodeContext, limits: &Limits, log: &Logger) -> io::Result<ServerLoop> {
        let live_limits = NodeLiveLimits {
            context: context.clone(),
            max_node_connections: limits.client_connections.max_connections,
            default_idle_timeout: limits.listener.idle_timeout,
            lines_per_turn: limits.client_connections.lines_per_turn,
            max_queued_messages: limits.policy.mailbox / MAILBOX_SHARE_DIVISOR,
            backpressure_pause: limits.listener.backpressure_interval,
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

    /// Runs until the process exits.
    pub fn run(mut self) {
        loop {
            if let Err(e) = self.step(None) {
                // Not caused by anything that a client does.
                warn!(self.handler.log, "JSON-RPC server: poll failed"; "error" => %e);
                std::thread::sleep(self.retry_pause);
            }
        }
    }

    /// Waits up to `max_wait` for events and handles them.
    ///
    /// # Errors
    /// Returns an error of the system's poll.
    pub fn step(&mut self, max_wait: Option<Duration>) -> io::Result<()> {
        self.clients.step(&mut self.handler, max_wait)
    }

    /// Starts accepting connections on this socket.
    ///
    /// # Errors
    /// Returns an error of the system.
    pub fn listen(&mut self, socket: std::net::TcpListener, now: Instant) -> io::Result<()> {
        listen_on(&mut self.clients, socket, now)
    }

    /// Accepts the connections that wait to be accepted, and stops listening.
    pub fn stop_listening(&mut self, now: Instant) {
        self.clients.stop_listening(&mut self.handler, now);
    }

    /// Closes each connection once everything that has arrived on it is read and answered.
    pub fn begin_close_all(&mut self, now: Instant) {
        self.clients.begin_close_all(&mut self.handler, now);
    }

    /// Returns the number of open connections.
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
        close_notice_line: CLOSE_NOTICE_LINE,
        is_close_notice_limited: true,
        writes_on_every_event: false,
        timer_mode: TimerMode::Exact,
    }
}
