//! The loop itself: waiting for events and the order of work in one step.

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

pub(crate) const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
/// Sockets are numbered from here up, and no number is given twice: what arrives for a connection that is gone has no
/// effect.
const FIRST_TOKEN: usize = 2;

/// Counters of a listener that other threads may read.
#[derive(Default)]
pub struct ListenerCounters {
    /// Requests read whose answer is not written.
    pub open_requests: AtomicUsize,
    /// Connections with unsent bytes.
    pub unsent_connections: AtomicUsize,
    /// Open connections.
    pub connections: AtomicUsize,
    /// It accepts connections, or is about to.
    pub is_listening: AtomicBool,
}

/// The event loop of a server, which runs on the thread that calls [`ClientListener::step`].
pub struct ClientListener<H: ClientHandler> {
    pub(crate) settings: ListenerSettings,
    /// The limits of the settings, with the number of connections that is allowed now.
    pub(crate) limits: ConnectionLimits,
    pub(crate) live_limits: Box<dyn LiveLimits + Send>,
    pub(crate) log: Logger,
    pub(crate) poll: Poll,
    events: Events,
    /// None before it listens and once it has stopped.
    pub(crate) socket: Option<TcpListener>,
    /// Connections may wait to be accepted, but not before this time.
    pub(crate) acceptable_at: Option<Instant>,
    pub(crate) connections: HashMap<ConnectionId, ClientConnection<H::ConnectionData>>,
    next_token: usize,
    pub(crate) idle_connections: IdleConnections,
    /// Connections that wait for their turn.
    pub(crate) turn_queue: VecDeque<ConnectionId>,
    /// Timers of connections. An entry that is no longer its connection's timer is skipped.
    pub(crate) timers: BinaryHeap<Reverse<(Instant, ConnectionId)>>,
    /// Unsent bytes over all connections.
    pub(crate) total_unsent_bytes: usize,
    pub(crate) read_buffer: Box<[u8]>,
    pub(crate) counters: Arc<ListenerCounters>,
}

impl<H: ClientHandler> ClientListener<H> {
    /// A listener without a socket.
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
            acceptable_at: None,
            connections: HashMap::new(),
            next_token: FIRST_TOKEN,
            idle_connections: IdleConnections::default(),
            turn_queue: VecDeque::new(),
            timers: BinaryHeap::new(),
            total_unsent_bytes: 0,
            read_buffer: vec![0; settings.read_buffer_bytes].into(),
            counters: Arc::default(),
            settings,
        })
    }

    /// A waker that ends the wait of [`ClientListener::step`] from another thread. Only one may be created.
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn waker(&self) -> io::Result<Waker> {
        Waker::new(self.poll.registry(), WAKER)
    }

    /// Counters for other threads.
    pub fn counters(&self) -> Arc<ListenerCounters> {
        self.counters.clone()
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether any connection has bytes that are not written yet.
    pub fn has_unsent_bytes(&self) -> bool {
        self.total_unsent_bytes > 0
    }

    /// What the handler keeps for a connection, while it is open.
    pub fn connection_data(&mut self, connection: ConnectionId) -> Option<&mut H::ConnectionData> {
        self.connections
            .get_mut(&connection)
            .map(|connection| &mut connection.data)
    }

    /// Registers a socket of the handler's for reading and writing; its events go to [`ClientHandler::handle_event`].
    ///
    /// # Errors
    /// An error of the system's poll.
    pub fn register(&mut self, stream: &mut TcpStream) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        // Both at once: the poll reports changes only, so the interest that is not waited for costs nothing.
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(stream, token, interest)?;
        Ok(token)
    }

    /// Waits for something to do, for `max_wait` at most, and does it.
    ///
    /// # Errors
    /// An error of the system's poll; nothing that a peer does causes one.
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
        self.take_all_turns(handler, now);
        self.handle_due_timers(handler, now);
        handler.after_turns(self, now);
        Ok(())
    }

    fn handle_event(&mut self, handler: &mut H, event: &Event, now: Instant) {
        match event.token() {
            LISTENER => self.acceptable_at = Some(now),
            WAKER => {}
            Token(number) => {
                if !handler.handle_event(self, event, now) {
                    self.handle_readiness(ConnectionId(number), event, now);
                }
            }
        }
    }

    /// How long there is nothing to do without an event; none where only an event brings work.
    fn wait_time(&self, handler: &H) -> Option<Duration> {
        let now = Instant::now();
        if !self.turn_queue.is_empty() {
            // While the handler takes no more lines, what arrives stays in the sockets.
            return Some(self.live_limits.read_pause().unwrap_or(Duration::ZERO));
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let acceptable_at = self.acceptable_at.filter(|_| self.socket.is_some());
        [timer, acceptable_at, handler.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_duration_since(now))
    }
}
