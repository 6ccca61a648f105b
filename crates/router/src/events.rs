//! The router's loop: clients on one side, nodes on the other, one thread. Decisions are the crate `routing`'s
//! and the membership's; here are sockets and timers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cells::map::{CellMap, Name};
use connections::{
    ConnectionId, ConnectionLimits, ConnectionState, Eviction, IdleConnections, ProtocolViolation,
    TimerAction,
};
use fleet_runtime as fleet;
use membership::AdvertisedStatus;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use routing::{
    AttemptOutcome, Availability, Rejection, Request, RetryDecision, RouteDecision, Router,
    RoutingSettings, Ticket,
};
use slog::{debug, info, o, warn, Logger};

use crate::config::Config;
use crate::message::{self, Call, REFUSED};
use crate::nodes::{Nodes, BEAT};
use crate::upstream::Upstream;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST: usize = 2;
/// Stack of the thread that keeps the fleet's view.
const FLEET_STACK: usize = 160 * 1024;
/// The ticket of a health check: routing numbers tickets from 1.
const HEALTH: Ticket = 0;

/// What can be seen of a router from outside its thread.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests taken up and not answered.
    pub open: AtomicUsize,
    /// Requests answered by a node's answer.
    pub answered: AtomicUsize,
    /// Further tries made.
    pub again: AtomicUsize,
    /// Requests refused by the router itself.
    pub refused: AtomicUsize,
    /// Requests that failed here as ones that may have run.
    pub may_have_run: AtomicUsize,
}

/// What another thread holds of a router.
#[derive(Clone)]
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it counts.
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    waker: Arc<Waker>,
}

impl Handle {
    /// Has the router stop listening, answer what is open, and end.
    pub fn stop(&self) {
        self.stop.store(true, SeqCst);
        let _ = self.waker.wake();
    }
    /// Has the router read its file of cells again; one that can't be used is logged and changes nothing.
    pub fn reload(&self) {
        self.reload.store(true, SeqCst);
        let _ = self.waker.wake();
    }
}

struct Client {
    stream: TcpStream,
    session: ConnectionState,
    readable: bool,
    hung_up: bool,
    queued: bool,
}

struct Link {
    node: Name,
    stream: TcpStream,
    state: Upstream,
    /// It is the node's health connection.
    health: bool,
}

/// A request taken up: whose it is, and what it looks like.
struct Open {
    client: usize,
    id: u64,
    method: String,
    params: String,
    once: bool,
    deadline: Instant,
    link: Option<usize>,
}

/// A router that is not yet running.
pub struct RouterLoop {
    config: Config,
    bounds: ConnectionLimits,
    log: Logger,
    poll: Poll,
    listener: Option<TcpListener>,
    accept: bool,
    handle: Handle,
    started: Instant,
    map: CellMap,
    nodes: Nodes,
    router: Router,
    clients: HashMap<usize, Client>,
    links: HashMap<usize, Link>,
    room: IdleConnections,
    next: usize,
    turns: VecDeque<usize>,
    open: HashMap<Ticket, Open>,
    /// Deadlines of requests, by ticket.
    timers: BinaryHeap<Reverse<(Instant, Ticket)>>,
    beat: Instant,
    /// Further tries a second that were wanted of late.
    tries_wanted: u64,
    chunk: Box<[u8]>,
}

impl RouterLoop {
    /// Binds the listener.
    pub fn bind(
        config: Config,
        rules: RoutingSettings,
        seed: u64,
        log: &Logger,
    ) -> io::Result<RouterLoop> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(config.listen)?;
        poll.registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        let handle = Handle {
            address: listener.local_addr()?,
            counts: Arc::default(),
            stop: Arc::default(),
            reload: Arc::default(),
            waker: Arc::new(Waker::new(poll.registry(), WAKER)?),
        };
        let now = Instant::now();
        let mut router = RouterLoop {
            bounds: ConnectionLimits::new(config.clients),
            log: log.clone(),
            poll,
            listener: Some(listener),
            accept: true,
            handle,
            started: now,
            map: CellMap::default(),
            nodes: Nodes::new(),
            router: Router::new(rules, seed),
            clients: HashMap::new(),
            links: HashMap::new(),
            room: IdleConnections::default(),
            next: FIRST,
            turns: VecDeque::new(),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            beat: now,
            tries_wanted: 0,
            chunk: vec![0; 16 * 1024].into(),
            config,
        };
        let layout = router.config.layout.clone();
        router
            .take_layout(&layout)
            .map_err(|e| io::Error::other(e.to_string()))?;
        if let Some(config) = router.config.fleet.clone() {
            router.join(config)?;
        }
        Ok(router)
    }
    /// Becomes a member of the fleet, one that serves nothing.
    fn join(&mut self, config: fleet::Config) -> io::Result<()> {
        let me = fleet::Me {
            name: config.name.clone().unwrap_or_default(),
            client_address: None,
            shared_counters: None,
        };
        let waker = self.handle.waker.clone();
        let changed = Box::new(move || drop(waker.wake()));
        let log = self.log.new(o!("actor" => "fleet"));
        let view = fleet::start(config, me, FLEET_STACK, changed, &log)?;
        info!(log, "fleet"; "at" => %view.address);
        view.set_status(AdvertisedStatus::Up);
        self.nodes.join(view);
        Ok(())
    }
    /// For other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    fn take_layout(&mut self, layout: &cells::Layout) -> Result<(), cells::LayoutError> {
        let (map, moves) = self.map.apply_layout(layout)?;
        if !moves.is_empty() {
            warn!(self.log, "tenants stay where they live until they are moved"; "tenants" => moves.len());
        }
        self.nodes.take_map(&map);
        self.map = map;
        Ok(())
    }
    fn reload(&mut self) {
        let read = Config::layout(&self.config.cells).map_err(|e| e.to_string());
        match read.and_then(|layout| self.take_layout(&layout).map_err(|e| e.to_string())) {
            Ok(()) => info!(self.log, "cells read again"; "epoch" => self.map.epoch()),
            Err(e) => warn!(self.log, "the new cells are not used"; "error" => e),
        }
        let (Some(view), Some(file)) = (self.nodes.view(), &self.config.fleet_file) else {
            return;
        };
        match Config::fleet(file) {
            Ok(config) => view.reload(config),
            Err(e) => warn!(self.log, "the new fleet's file is not used"; "error" => %e),
        }
    }

    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Runs until it is told to stop and all is answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(512);
        loop {
            if self.handle.stop.load(SeqCst) {
                self.listener = None;
                if self.open.is_empty()
                    && self.clients.values().all(|c| c.session.unsent().is_empty())
                {
                    if let Some(view) = self.nodes.view() {
                        view.leave();
                    }
                    return Ok(());
                }
            }
            if self.handle.reload.swap(false, SeqCst) {
                self.reload();
            }
            match self.poll.poll(&mut events, Some(self.wait())) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = Instant::now();
            self.nodes.look(self.time(now));
            for event in &events {
                match event.token() {
                    LISTENER => self.accept = true,
                    WAKER => {}
                    Token(number) if self.links.contains_key(&number) => {
                        self.link_ready(number, event, now);
                    }
                    Token(number) => self.client_ready(number, event, now),
                }
            }
            self.accept(now);
            for _ in 0..self.turns.len() {
                let Some(number) = self.turns.pop_front() else {
                    break;
                };
                self.turn(number, now);
            }
            self.beats(now);
            self.look(now);
            self.next_waiting(now);
        }
    }

    fn wait(&self) -> Duration {
        let now = Instant::now();
        if !self.turns.is_empty() || self.accept && self.listener.is_some() {
            return Duration::ZERO;
        }
        let first = self
            .timers
            .peek()
            .map_or(self.beat, |Reverse((at, _))| self.beat.min(*at));
        first.saturating_duration_since(now)
    }

    // ---- clients ----

    fn accept(&mut self, now: Instant) {
        for _ in 0..16 {
            let Some(listener) = self.listener.as_ref().filter(|_| self.accept) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.connect_client(stream, now) {
                        debug!(self.log, "client"; "error" => %e);
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    self.accept = false;
                    if e.kind() != ErrorKind::WouldBlock {
                        warn!(self.log, "accept"; "error" => %e);
                    }
                }
            }
        }
    }
    fn connect_client(&mut self, mut stream: TcpStream, now: Instant) -> io::Result<()> {
        for eviction in self
            .room
            .choose_evictions(self.clients.len(), &self.bounds, now)
        {
            let ConnectionId(number) = eviction.connection();
            match eviction {
                Eviction::Close(_) => {
                    if let Some(c) = self.clients.get_mut(&number) {
                        c.session.skip_linger(&self.bounds, now);
                    }
                    self.part(number, now);
                }
                Eviction::SayGoodbye(_) => self.farewell(number, now),
            }
        }
        if self.clients.len() >= self.bounds.max_connections {
            return Err(io::Error::other("too many connections"));
        }
        stream.set_nodelay(true)?;
        let number = self.number();
        self.poll.registry().register(
            &mut stream,
            Token(number),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let session = ConnectionState::new(&self.bounds, now);
        self.clients.insert(
            number,
            Client {
                stream,
                session,
                readable: false,
                hung_up: false,
                queued: false,
            },
        );
        self.settle(number, now);
        Ok(())
    }
    fn number(&mut self) -> usize {
        self.next += 1;
        self.next
    }
    fn part(&mut self, number: usize, now: Instant) {
        if let Some(c) = self.clients.get_mut(&number) {
            if c.session.is_lingering() {
                return self.remove_client(number);
            }
            c.session.begin_close();
            c.readable = true;
            self.turn(number, now);
        }
    }
    fn farewell(&mut self, number: usize, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        if c.session.record_goodbye(now) {
            c.session
                .enqueue_line(b"{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n", now);
        }
        self.settle(number, now);
    }
    fn remove_client(&mut self, number: usize) {
        self.clients.remove(&number);
        self.room.update(ConnectionId(number), None);
    }
    fn client_ready(&mut self, number: usize, event: &mio::event::Event, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        if event.is_error() {
            return self.remove_client(number);
        }
        c.hung_up |= event.is_read_closed();
        c.readable |= event.is_readable() || c.hung_up;
        self.settle(number, now);
    }

    fn turn(&mut self, number: usize, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        c.queued = false;
        if c.session.is_lingering() {
            return self.pass_over(number, now);
        }
        let mut lines = c.session.lines_per_turn(&self.bounds);
        let mut has_read = false;
        while let Some(c) = self.clients.get_mut(&number) {
            if lines == 0 || !c.session.may_read(&self.bounds) {
                break;
            }
            match c.session.next_line() {
                Ok(Some(line)) => {
                    lines -= 1;
                    let line = line.to_vec();
                    self.serve(number, &line, now);
                }
                Ok(None) if !c.readable => {
                    if c.session.finish_close_request() {
                        return self.farewell(number, now);
                    }
                    break;
                }
                Ok(None) if has_read => break,
                Ok(None) => {
                    has_read = true;
                    match c.stream.read(&mut self.chunk) {
                        Ok(0) => c.session.record_peer_end(),
                        Ok(n) => {
                            c.readable = n == self.chunk.len() || c.hung_up;
                            c.session.receive_bytes(&self.chunk[..n], now);
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => c.readable = false,
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(_) => return self.remove_client(number),
                    }
                }
                Err(_) => self.breach(
                    number,
                    &message::error(None, -32600, "a line is too long", None),
                    now,
                ),
            }
        }
        self.settle(number, now);
    }

    /// One read of what comes on a connection whose writing side is shut.
    fn pass_over(&mut self, number: usize, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        match c.stream.read(&mut self.chunk) {
            Ok(0) => return self.remove_client(number),
            Ok(n) => c.session.record_discarded(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => c.readable = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return self.remove_client(number),
        }
        self.settle(number, now);
    }

    fn breach(&mut self, number: usize, line: &str, now: Instant) {
        if let Some(c) = self.clients.get_mut(&number) {
            c.session.enqueue_line(line.as_bytes(), now);
            c.session.abort(now);
        }
    }
    fn put(&mut self, number: usize, line: &str, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        c.session.enqueue_line(line.as_bytes(), now);
        if c.session.unsent().len() > self.bounds.max_unsent_bytes {
            self.remove_client(number);
        }
    }

    /// Writes, sees whether the client stays, and gives it a turn if there is anything to do.
    fn settle(&mut self, number: usize, now: Instant) {
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        while !c.session.unsent().is_empty() {
            match c.stream.write(c.session.unsent()) {
                Ok(n) => c.session.record_write(n, now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.remove_client(number),
            }
        }
        if c.session.may_be_dropped(&self.bounds) {
            return self.remove_client(number);
        }
        if c.session.begin_linger(now) {
            if c.stream.shutdown(Shutdown::Write).is_err() {
                return self.remove_client(number);
            }
            c.readable = true;
        }
        self.room.update(ConnectionId(number), c.session.idleness());
        let hears = c.session.may_read(&self.bounds) && (c.readable || c.session.may_have_line());
        if !c.queued && (hears || c.session.is_lingering() && c.readable) {
            c.queued = true;
            self.turns.push_back(number);
        }
    }

    fn serve(&mut self, number: usize, line: &[u8], now: Instant) {
        let Some(call) = Call::read(line) else {
            return self.breach(
                number,
                &message::error(None, -32600, "not a JSON-RPC 2.0 request", None),
                now,
            );
        };
        let Some(id) = call.id.filter(|id| *id > 0) else {
            // A notification gets no answer.
            return;
        };
        let Some(c) = self.clients.get_mut(&number) else {
            return;
        };
        if call.method == "alive" {
            c.session.record_message(now);
            let time = self.time(now);
            let up = |node| self.nodes.presence(node, time) != Availability::Unavailable;
            let ready = self.nodes.addresses.keys().any(|node| up(node));
            let line =
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ready\":{ready}}}}}\n");
            return self.put(number, &line, now);
        }
        let Some(class) = self.config.classes.get(call.method).copied() else {
            return self.breach(
                number,
                &message::error(Some(id), -32601, "no such method", None),
                now,
            );
        };
        let Some(fields) = call.fields() else {
            return self.breach(
                number,
                &message::error(Some(id), -32602, "t0 is missing or not a number", None),
                now,
            );
        };
        match c.session.open_request(id, now) {
            Ok(()) => {}
            Err(ProtocolViolation::DuplicateId) => {
                return self.breach(
                    number,
                    &message::error(None, -32600, "a request with this id is open", None),
                    now,
                );
            }
            Err(ProtocolViolation::TooManyRequests) => {
                let line = message::error(
                    Some(id),
                    REFUSED,
                    "refused: too many requests are open on this connection",
                    None,
                );
                return self.put(number, &line, now);
            }
            Err(ProtocolViolation::Closed | ProtocolViolation::LineTooLong) => return,
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64()
            * 1e3;
        let left = class.deadline.as_secs_f64() * 1e3 - (unix - fields.t0).max(0.0);
        let left = Duration::try_from_secs_f64(left.max(0.0) / 1e3)
            .unwrap_or_default()
            .min(class.deadline);
        let request = Request {
            tenant: fields.acct.unwrap_or("").into(),
            subject: fields.obj.map(Into::into),
            is_idempotent: !class.once,
            deadline: self.time(now) + left,
        };
        let open = Open {
            client: number,
            id,
            method: call.method.to_string(),
            params: call
                .params
                .map_or("{}".to_string(), |p| p.get().to_string()),
            once: class.once,
            deadline: now + left,
            link: None,
        };
        let time = self.time(now);
        let nodes = &self.nodes;
        let (ticket, route) =
            self.router
                .route_request(request, &self.map, |n| nodes.presence(n, time), time);
        self.timers.push(Reverse((open.deadline, ticket)));
        self.open.insert(ticket, open);
        self.handle.counts.open.store(self.open.len(), SeqCst);
        self.route(ticket, route, now);
    }

    fn route(&mut self, ticket: Ticket, route: RouteDecision, now: Instant) {
        match route {
            RouteDecision::Forward(node) => self.send(ticket, &node, now),
            RouteDecision::Queue => {}
            RouteDecision::Reject(why) => {
                let (what, backoff) = match why {
                    Rejection::NoCell => ("refused: no cell serves this tenant", None),
                    Rejection::NoNode { retry_after: stay } => {
                        ("refused: no node of its cell is there", Some(stay))
                    }
                    Rejection::QueueFull { retry_after: stay } => {
                        ("refused: too many wait for its cell", Some(stay))
                    }
                    Rejection::DeadlinePassed => ("refused: its time is over", None),
                };
                self.handle.counts.refused.fetch_add(1, SeqCst);
                self.refuse(ticket, what, backoff, now);
            }
        }
    }
    fn refuse(&mut self, ticket: Ticket, what: &str, backoff: Option<Duration>, now: Instant) {
        let Some(open) = self.open.get(&ticket) else {
            return;
        };
        let line = message::error(
            Some(open.id),
            REFUSED,
            what,
            backoff.map(|b| b.as_millis() as u64),
        );
        self.answer(ticket, &line, now);
    }

    /// The one answer to a request.
    fn answer(&mut self, ticket: Ticket, line: &str, now: Instant) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        self.handle.counts.open.store(self.open.len(), SeqCst);
        let Some(c) = self.clients.get_mut(&open.client) else {
            return;
        };
        if c.session.close_request(open.id, now) {
            self.put(open.client, line, now);
            self.settle(open.client, now);
        }
    }

    // ---- nodes ----

    fn send(&mut self, ticket: Ticket, node: &Name, now: Instant) {
        let Some(link) = self.link_to(node) else {
            return self.ended(ticket, AttemptOutcome::NotSent, None, None, now);
        };
        let Some(open) = self.open.get_mut(&ticket) else {
            return;
        };
        open.link = Some(link);
        let Some(l) = self.links.get_mut(&link) else {
            return;
        };
        let number = l.state.number();
        let method = serde_json::to_string(&open.method).unwrap_or_default();
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":{method},\"params\":{}}}\n",
            open.params
        );
        l.state.ask(number, ticket, &line);
        self.flush(link, now);
    }

    /// The connection to this node with the least open, or a new one.
    fn link_to(&mut self, node: &Name) -> Option<usize> {
        let of: Vec<(usize, usize)> = self
            .links
            .iter()
            .filter(|(_, l)| l.node == *node && !l.health && !l.state.leaving)
            .map(|(number, l)| (l.state.open(), *number))
            .collect();
        let least = of.iter().min().copied();
        // The protocol allows 32 on one; half of that is asked for before another is opened.
        match least {
            Some((open, number))
                if open < 16 || (of.len() >= self.config.per_node && open < 32) =>
            {
                Some(number)
            }
            _ if of.len() < self.config.per_node => self.connect(node, false),
            _ => None,
        }
    }
    fn connect(&mut self, node: &Name, health: bool) -> Option<usize> {
        let at = *self.nodes.addresses.get(node)?;
        let mut stream = TcpStream::connect(at).ok()?;
        let number = self.number();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(number), both)
            .ok()?;
        self.links.insert(
            number,
            Link {
                node: node.clone(),
                stream,
                state: Upstream::default(),
                health,
            },
        );
        Some(number)
    }

    fn flush(&mut self, number: usize, now: Instant) {
        let Some(l) = self.links.get_mut(&number) else {
            return;
        };
        while l.state.connected && !l.state.unsent().is_empty() {
            match l.stream.write(l.state.unsent()) {
                Ok(n) => l.state.sent(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.link_ended(number, now),
            }
        }
    }

    fn link_ready(&mut self, number: usize, event: &mio::event::Event, now: Instant) {
        let Some(l) = self.links.get_mut(&number) else {
            return;
        };
        if event.is_error() {
            return self.link_ended(number, now);
        }
        if !l.state.connected && event.is_writable() {
            // Writable without an error: it stands, if the machine agrees.
            if matches!(l.stream.take_error(), Ok(None)) && l.stream.peer_addr().is_ok() {
                l.state.connected = true;
                let _ = l.stream.set_nodelay(true);
            } else {
                return self.link_ended(number, now);
            }
        }
        self.flush(number, now);
        if event.is_readable() || event.is_read_closed() {
            self.read_link(number, now);
        }
    }

    fn read_link(&mut self, number: usize, now: Instant) {
        loop {
            let Some(l) = self.links.get_mut(&number) else {
                return;
            };
            match l.stream.read(&mut self.chunk) {
                Ok(0) => return self.link_ended(number, now),
                Ok(n) => {
                    let Some(lines) = l.state.feed(&self.chunk[..n], self.bounds.max_line_bytes)
                    else {
                        return self.link_ended(number, now);
                    };
                    lines.iter().for_each(|line| self.said(number, line, now));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.link_ended(number, now),
            }
        }
    }

    fn said(&mut self, number: usize, line: &[u8], now: Instant) {
        let Some(l) = self.links.get_mut(&number) else {
            return;
        };
        let Some(said) = message::Said::read(line) else {
            // What is not understood may be the answer to anything that is open here.
            return self.link_ended(number, now);
        };
        if said.method == Some("farewell") {
            l.state.leaving = true;
        }
        let (code, told) = said.told();
        let Some(ticket) = said.id.and_then(|id| l.state.answered(id)) else {
            return;
        };
        if ticket == HEALTH {
            let (node, ready) = (l.node.clone(), told.ready == Some(true));
            let time = self.time(now);
            self.nodes.checked(&node, ready, time);
            return;
        }
        let end = match code {
            None => AttemptOutcome::Served,
            Some(REFUSED) => AttemptOutcome::Rejected {
                is_final: told.last == Some(1),
            },
            Some(_) => AttemptOutcome::Failed,
        };
        let Some(id) = self.open.get(&ticket).map(|open| open.id) else {
            // Given up at its deadline: its place is free now.
            return self.ended(ticket, end, told.hint, None, now);
        };
        self.ended(ticket, end, told.hint, Some(said.under(id)), now);
        if let Some(l) = self
            .links
            .get(&number)
            .filter(|l| l.state.leaving && l.state.open() == 0)
        {
            debug!(self.log, "left"; "node" => &*l.node);
            self.links.remove(&number);
        }
    }

    fn link_ended(&mut self, number: usize, now: Instant) {
        let Some(mut link) = self.links.remove(&number) else {
            return;
        };
        for (ticket, taken) in link.state.ended() {
            if ticket != HEALTH {
                self.ended(
                    ticket,
                    if taken {
                        AttemptOutcome::Lost
                    } else {
                        AttemptOutcome::NotSent
                    },
                    None,
                    None,
                    now,
                );
            }
        }
    }

    /// A try has ended, with the node's answer if it gave one.
    fn ended(
        &mut self,
        ticket: Ticket,
        end: AttemptOutcome,
        hint: Option<f64>,
        answer: Option<String>,
        now: Instant,
    ) {
        let time = self.time(now);
        let nodes = &self.nodes;
        let after = self.router.finish_attempt(
            ticket,
            end,
            hint,
            &self.map,
            |n| nodes.presence(n, time),
            time,
        );
        let Some(open) = self.open.get(&ticket) else {
            return;
        };
        let id = open.id;
        match after {
            RetryDecision::Retry(node) => {
                self.handle.counts.again.fetch_add(1, SeqCst);
                self.send(ticket, &node, now);
            }
            RetryDecision::ReturnAnswer => {
                self.handle.counts.answered.fetch_add(1, SeqCst);
                let line =
                    answer.unwrap_or_else(|| message::error(Some(id), -32000, "failed", None));
                self.answer(ticket, &line, now);
            }
            RetryDecision::MayHaveRun => {
                self.handle.counts.may_have_run.fetch_add(1, SeqCst);
                self.answer(
                    ticket,
                    &message::error(Some(id), -32000, "may have run", None),
                    now,
                );
            }
            RetryDecision::NeverRan { retry_after: stay } => {
                self.handle.counts.refused.fetch_add(1, SeqCst);
                self.refuse(ticket, "refused: no node could be reached", Some(stay), now);
            }
        }
    }

    // ---- time ----

    /// Further tries, where the fleet has a budget of them: what was spent and wanted, and what may be from now on.
    fn share_tries(&mut self, now: Instant) {
        let Some(tries) = self.nodes.view().and_then(|view| view.quota(fleet::TRIES)) else {
            return;
        };
        let a_second = |count: u64| count * 1000 / BEAT.as_millis() as u64;
        let usage = self.router.retry_budgets().take_usage();
        // What was wanted a moment ago may be wanted again before a part that went could come back.
        self.tries_wanted = (a_second(usage.requested) + 1).max(self.tries_wanted / 2);
        let limit = tries.limit();
        tries.report_usage(a_second(usage.sent).min(limit), self.tries_wanted);
        let now = self.time(now);
        self.router.retry_budgets().set_quota(Some(limit), now);
    }
    /// What is done each beat; where no view tells who is there, a health check for each node, on a connection of its own.
    fn beats(&mut self, now: Instant) {
        if now < self.beat {
            return;
        }
        self.beat = now + BEAT;
        self.share_tries(now);
        let asks = self.nodes.asks();
        let nodes: Vec<Name> = if asks {
            self.nodes.addresses.keys().cloned().collect()
        } else {
            Vec::new()
        };
        for node in nodes {
            let link = self
                .links
                .iter()
                .find(|(_, l)| l.health && l.node == node)
                .map(|(number, _)| *number);
            let Some(number) = link.or_else(|| self.connect(&node, true)) else {
                continue;
            };
            let Some(l) = self.links.get_mut(&number) else {
                continue;
            };
            if l.state.leaving {
                self.links.remove(&number);
            } else if l.state.open() < 4 {
                let id = l.state.number();
                l.state.ask(
                    id,
                    HEALTH,
                    &format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"alive\"}}\n"),
                );
                self.flush(number, now);
            }
        }
        for (node, presence) in self.nodes.changed(self.time(now)) {
            info!(self.log, "node"; "node" => &*node, "is" => ?presence);
        }
        // Links to nodes that are gone from the map end once nothing is open on them.
        let known = |node: &Name| self.nodes.addresses.contains_key(node);
        let gone =
            |l: &Link| l.health && !asks || !known(&l.node) && (l.health || l.state.open() == 0);
        let idle: Vec<usize> = self
            .links
            .iter()
            .filter(|(_, l)| gone(l))
            .map(|(number, _)| *number)
            .collect();
        idle.into_iter()
            .for_each(|number| self.link_ended(number, now));
        let due: Vec<(usize, Option<TimerAction>)> = self
            .clients
            .iter()
            .map(|(number, c)| {
                (
                    *number,
                    c.session
                        .due_action(Duration::from_secs(30), &self.bounds, now),
                )
            })
            .collect();
        for (number, due) in due {
            match due {
                Some(TimerAction::SayGoodbye) => self.farewell(number, now),
                Some(TimerAction::BeginClose) => self.part(number, now),
                Some(TimerAction::Disconnect) => self.remove_client(number),
                None => {}
            }
        }
    }

    /// Requests whose time is over are answered; what comes of them later frees their place and goes nowhere.
    fn look(&mut self, now: Instant) {
        while let Some(Reverse((_, ticket))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.timers.pop();
            let Some(open) = self.open.get(&ticket) else {
                continue;
            };
            // One that waits was never sent, and others before it in the line may have longer than it has.
            if self.router.remove_queued(ticket) {
                self.route(
                    ticket,
                    RouteDecision::Reject(Rejection::DeadlinePassed),
                    now,
                );
                continue;
            }
            if open.link.is_some() {
                let what = if open.once {
                    "may have run"
                } else {
                    "no answer in time"
                };
                let line = message::error(Some(open.id), -32000, what, None);
                self.answer(ticket, &line, now);
            }
        }
    }

    fn next_waiting(&mut self, now: Instant) {
        loop {
            let time = self.time(now);
            let nodes = &self.nodes;
            let next = self
                .router
                .route_next_queued(&self.map, |n| nodes.presence(n, time), time);
            let Some((ticket, route)) = next else { return };
            self.route(ticket, route, now);
        }
    }
}
