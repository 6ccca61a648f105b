//! The event loop: waiting for events, and the order of work in one step.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::Arc;
use std::time::{Duration, Instant};

use connections::{ConnectionId, ConnectionLimits, IdleConnections};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slog::Logger;

use crate::connection::ClientConnection;
use crate::{ClientHandler, ListenerSettings, LiveLimits};

pub(crate) const LISTENER_TOKEN: Token = Token(0);
const WAKER_TOKEN: Token = Token(1);
/// First token of the sockets of clients and of the handler. Tokens are never reused, so that an
/// event for a connection that was removed has no effect.
const FIRST_TOKEN: usize = 2;

/// Counters of a listener that other threads may read.
#[derive(Default)]
pub struct ListenerCounters {
    /// Number of requests that were read and whose answers are not written.
    pub open_requests: AtomicUsize,
    /// Number of connections with unsent bytes.
    pub unsent_connections: AtomicUsize,
    /// Number of open connections.
    pub connections: AtomicUsize,
    /// True if the listener accepts connections or is about to.
    pub is_listening: AtomicBool,
}

/// The event loop of a server, which runs on the thread that calls [`ClientListener::step`].
pub struct ClientListener<H: ClientHandler> {
    pub(crate) settings: ListenerSettings,
    /// Limits from the settings, with the current maximum number of connections.
    pub(crate) limits: ConnectionLimits,
    pub(crate) live_limits: Box<dyn LiveLimits + Send>,
    pub(crate) log: Logger,
    pub(crate) poll: Poll,
    events: Events,
    /// The listening socket; `None` before the listener starts and after it stops listening.
    pub(crate) socket: Option<TcpListener>,
    /// Time from which pending connections may be accepted; `None` if none are known to be pending.
    pub(crate) next_accept_at: Option<Instant>,
    pub(crate) connections: HashMap<ConnectionId, ClientConnection<H::ConnectionData>>,
    next_token: usize,
    pub(crate) idle_connections: IdleConnections,
    /// Connections that wait for their turn.
    pub(crate) turn_queue: VecDeque<ConnectionId>,
    /// Data of connections that were removed in this step with requests open on them.
    pub(crate) removed: Vec<H::ConnectionData>,
    /// Timers of connections. An entry that differs from the current timer of its connection is
    /// skipped.
    pub(crate) timers: BinaryHeap<Reverse<(Instant, ConnectionId)>>,
    /// Number of unsent bytes of all connections.
    pub(crate) total_unsent_bytes: usize,
    pub(crate) read_buffer: Box<[u8]>,
    pub(crate) counters: Arc<ListenerCounters>,
}

impl<H: ClientHandler> ClientListener<H> {
    /// Creates a listener without a socket.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn new(
        settings: ListenerSettings,
        live_limits: Box<dyn LiveLimits + Send>,
        log: &Logger,
    ) -> io::Result<ClientListener<H>> {
        Ok(ClientListener {
            limits: settings.limits.clone(),
            live_limits,
            log: log.clone(),
            poll: Poll::new()?,
            events: Events::with_capacity(settings.max_events),
            socket: None,
            next_accept_at: None,
            connections: HashMap::new(),
            next_token: FIRST_TOKEN,
            idle_connections: IdleConnections::default(),
            turn_queue: VecDeque::new(),
            removed: Vec::new(),
            timers: BinaryHeap::new(),
            total_unsent_bytes: 0,
            read_buffer: vec![0; settings.read_buffer_bytes].into(),
            counters: Arc::default(),
            settings,
        })
    }

    /// Creates a waker that ends the wait in [`ClientListener::step`] from another thread. Only one
    /// may be created.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(self.poll.registry(), WAKER_TOKEN)
    }

    /// Returns the counters, which other threads may read.
    pub fn counters(&self) -> Arc<ListenerCounters> {
        self.counters.clone()
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if any connection has bytes that are not written yet.
    pub fn has_unsent_bytes(&self) -> bool {
        self.total_unsent_bytes > 0
    }

    /// Returns the data that the handler stores for a connection, or `None` if the connection is
    /// not open.
    pub fn connection_data(&mut self, connection: ConnectionId) -> Option<&mut H::ConnectionData> {
        self.connections
            .get_mut(&connection)
            .map(|connection| &mut connection.data)
    }

    /// Registers a socket of the handler for reading and writing. Its events are passed to
    /// [`ClientHandler::handle_event`].
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn register(&mut self, stream: &mut TcpStream) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // Both are registered at once: the poll is edge-triggered, so an interest that is not
        // needed costs nothing.
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(stream, token, interest)?;
        Ok(token)
    }

    /// Waits for work for at most `max_wait` and does it.
    ///
    /// # Errors
    /// An error of the system's poll. No action of a peer causes one.
    pub fn step(&mut self, handler: &mut H, max_wait: Option<Duration>) -> io::Result<()> {
        let timeout = [self.wait_time(handler), max_wait]
            .into_iter()
            .flatten()
            .min();
        let mut events = std::mem::replace(&mut self.events, Events::with_capacity(1));
        let polled = self.poll.poll(&mut events, timeout);
        let now = Instant::now();
        if polled.is_ok() {
            handler.begin_step(now);
            for event in &events {
                self.handle_event(handler, event, now);
            }
        }
        self.events = events;
        match polled {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        handler.before_turns(self, now);
        self.accept(handler, now);
        self.process_turn_queue(handler, now);
        self.handle_due_timers(handler, now);
        handler.after_turns(self, now);
        for data in self.removed.drain(..) {
            handler.connection_lost(data);
        }
        Ok(())
    }

    fn handle_event(&mut self, handler: &mut H, event: &Event, now: Instant) {
        match event.token() {
            LISTENER_TOKEN => self.next_accept_at = Some(now),
            WAKER_TOKEN => {}
            Token(number) => {
                if !handler.handle_event(self, event, now) {
                    self.handle_readiness(ConnectionId(number), event, now);
                }
            }
        }
    }

    /// Returns the time until there is work to do without an event, or `None` if only an event can
    /// cause work.
    fn wait_time(&self, handler: &H) -> Option<Duration> {
        let now = Instant::now();
        if !self.turn_queue.is_empty() {
            // While the handler accepts no more lines, received bytes stay in the sockets.
            return Some(self.live_limits.read_pause().unwrap_or(Duration::ZERO));
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let next_accept_at = self.next_accept_at.filter(|_| self.socket.is_some());
        [timer, next_accept_at, handler.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_duration_since(now))
    }
}
