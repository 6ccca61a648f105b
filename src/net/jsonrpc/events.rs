//! The front's thread: one readiness loop over all its sockets. It never waits but for readiness, a timer or its
//! mailbox, and it gives each connection its turn: so many bytes and lines, then the next one's.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

use connections::{
    ConnectionId, ConnectionState, Eviction, IdleConnections, ProtocolViolation, TimerAction,
};
use crossbeam_channel::{unbounded, Receiver, Sender};
use lifecycle::share;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Poll, Token, Waker};
use slog::{debug, info, warn, Logger};

use super::message::{self, Incoming};
use super::{Counts, Mailbox, Out};
use crate::node::{
    Arrival, Limits, NodeStatus, PolicyMessage, RateLimitedLog, RequestUid, Responder,
};
use crate::wire::Site;

const LISTENER: Token = Token(0);
const MAILBOX: Token = Token(1);
/// Connections are numbered from here up, and no number is given twice: what comes for one that is gone goes nowhere.
const FIRST: usize = 2;

/// What the front needs of the core.
pub struct Core {
    /// What requests are checked against.
    pub site: Arc<Site>,
    /// Health, the free value and idle time.
    pub node_status: Arc<NodeStatus>,
    /// Where requests go.
    pub policy: Sender<PolicyMessage>,
}

/// A socket and what is known of it.
struct Connection {
    stream: TcpStream,
    session: ConnectionState,
    /// What is open on it, by the ids of its requests, where callers tell when they leave.
    open: HashMap<u64, RequestUid>,
    /// There may be something to read; so much is known from the poll, which tells of a change once.
    readable: bool,
    /// The peer has ended its side: the poll has told, so reading goes on until it shows.
    hung_up: bool,
    /// It waits for its turn.
    queued: bool,
    /// The earliest of its timers that is set.
    timer: Option<Instant>,
}

/// See the module's head. It runs on a thread of its own ([`Events::run`]), or a test takes its steps one by one, to have
/// something happen between two.
pub struct Events {
    core: Core,
    limits: Limits,
    log: Logger,
    poll: Poll,
    polled: mio::Events,
    /// None before the node takes clients, and once it takes no more.
    listener: Option<TcpListener>,
    /// Connections may wait to be accepted, but not before the time given.
    acceptable: Option<Instant>,
    mailbox: Arc<Mailbox>,
    inbox: Receiver<Out>,
    counts: Arc<Counts>,
    connections: HashMap<usize, Connection>,
    next: usize,
    room: IdleConnections,
    /// Whose turn it is, first to last.
    turns: VecDeque<usize>,
    /// When to look at which connection again. An entry that is no longer its connection's timer is passed over.
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Connections that the node may have.
    whole: usize,
    /// Bytes that wait to be written, over all connections.
    unsent: usize,
    chunk: Box<[u8]>,
    turned_away: RateLimitedLog,
}

impl Events {
    /// A loop that listens nowhere and does not run yet.
    pub fn new(core: Core, limits: &Limits, log: &Logger) -> io::Result<Events> {
        let poll = Poll::new()?;
        let (sender, inbox) = unbounded();
        let waker = Waker::new(poll.registry(), MAILBOX)?;
        Ok(Events {
            core,
            limits: limits.clone(),
            log: log.clone(),
            poll,
            polled: mio::Events::with_capacity(limits.front_event_batch),
            listener: None,
            acceptable: None,
            mailbox: Arc::new(Mailbox {
                sender,
                waker,
                woken: false.into(),
            }),
            inbox,
            counts: Arc::default(),
            connections: HashMap::new(),
            next: FIRST,
            room: IdleConnections::default(),
            turns: VecDeque::new(),
            timers: BinaryHeap::new(),
            whole: limits.front.max_connections,
            unsent: 0,
            chunk: vec![0; limits.read_bytes].into(),
            turned_away: RateLimitedLog::new(limits.repeated_log_interval),
        })
    }
    pub(super) fn mailbox(&self) -> Arc<Mailbox> {
        self.mailbox.clone()
    }
    pub(super) fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Runs as long as the process does.
    pub fn run(mut self) {
        loop {
            if let Err(e) = self.step(None) {
                // Nothing that a peer does leads here.
                warn!(self.log, "poll"; "error" => %e);
                std::thread::sleep(self.limits.reconnect_backoff);
            }
        }
    }

    /// Waits for something to do, for `most` at the most, and does it.
    pub fn step(&mut self, most: Option<Duration>) -> io::Result<()> {
        let wait = [self.wait(), most].into_iter().flatten().min();
        let mut polled = std::mem::replace(&mut self.polled, mio::Events::with_capacity(1));
        let told = self.poll.poll(&mut polled, wait);
        let now = Instant::now();
        if told.is_ok() {
            for event in &polled {
                match event.token() {
                    LISTENER => self.acceptable = Some(now),
                    MAILBOX => {}
                    Token(number) => self.ready(number, event, now),
                }
            }
        }
        self.polled = polled;
        match told {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        self.answers(now);
        self.accept(now);
        self.take_turns(now);
        self.look_at_timers(now);
        Ok(())
    }

    /// How long there is nothing to do without an event; none where only an event brings work.
    fn wait(&self) -> Option<Duration> {
        let now = Instant::now();
        if !self.turns.is_empty() {
            // While the module is behind, what waits stays with the machine.
            return Some(if self.module_has_room() {
                Duration::ZERO
            } else {
                self.limits.front_backpressure_interval
            });
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let accept = self.acceptable.filter(|_| self.listener.is_some());
        [timer, accept]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_duration_since(now))
    }

    /// The module's mailbox has room for a turn's lines, so that handing them over never waits.
    fn module_has_room(&self) -> bool {
        self.core.policy.len() + self.limits.front.lines_per_turn <= self.limits.policy_mailbox / 2
    }

    // ---- connections come and go ----

    /// Accepts connections here.
    pub fn listen(&mut self, listener: std::net::TcpListener, now: Instant) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        self.poll
            .registry()
            .register(&mut listener, LISTENER, Interest::READABLE)?;
        self.listener = Some(listener);
        // Some may wait already, and the poll tells of changes alone.
        self.acceptable = Some(now);
        Ok(())
    }

    /// The machine has taken in for us who waits at the listener: closed with them, it would reset them. The closing
    /// comes right behind the last look, so that hardly anyone fits between.
    pub fn stop_listening(&mut self, now: Instant) {
        self.acceptable = Some(now);
        // Bounded, as a crowd that comes faster than it is taken in must not hold the loop.
        for _ in 0..self.limits.front_final_accept_batches {
            if self.acceptable.is_none_or(|at| at > now) {
                break;
            }
            self.accept(now);
        }
        self.listener = None;
        self.counts.listening.store(false, SeqCst);
    }

    fn accept(&mut self, now: Instant) {
        for _ in 0..self.limits.front_accept_batch {
            let Some(listener) = self
                .listener
                .as_ref()
                .filter(|_| self.acceptable.is_some_and(|at| at <= now))
            else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.connect(stream, now) {
                        self.turned_away.log(
                            |more| warn!(self.log, "connection"; "error" => %e, "more" => more),
                        );
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.acceptable = None,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    // Out of descriptors, say: give them time to come back.
                    warn!(self.log, "accept"; "error" => %e);
                    self.acceptable = Some(now + self.limits.reconnect_backoff);
                }
            }
        }
    }

    /// Connections that this process may have of the node's. Those past a part that fell go as their room is needed.
    fn look_at_parts(&mut self) {
        let connections = share(self.whole, self.core.node_status.resource_shares());
        if connections != self.limits.front.max_connections {
            self.limits.front.set_max_connections(connections);
        }
    }

    fn connect(&mut self, mut stream: TcpStream, now: Instant) -> io::Result<()> {
        self.look_at_parts();
        for eviction in self
            .room
            .choose_evictions(self.connections.len(), &self.limits.front, now)
        {
            let ConnectionId(number) = eviction.connection();
            match eviction {
                Eviction::Close(_) => {
                    if let Some(c) = self.connections.get_mut(&number) {
                        c.session.skip_linger(&self.limits.front, now);
                    }
                    self.part(number, now);
                }
                Eviction::SayGoodbye(_) => self.farewell(number, now),
            }
        }
        if self.connections.len() >= self.limits.front.max_connections {
            return Err(io::Error::other("too many connections"));
        }
        stream.set_nodelay(true)?;
        let number = self.next;
        self.next += 1;
        // Both at once: the poll tells of changes alone, so the one that is not waited for costs nothing.
        self.poll.registry().register(
            &mut stream,
            Token(number),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let session = ConnectionState::new(&self.limits.front, now);
        let connection = Connection {
            stream,
            session,
            open: HashMap::new(),
            readable: false,
            hung_up: false,
            queued: false,
            timer: None,
        };
        self.connections.insert(number, connection);
        self.counts
            .connections
            .store(self.connections.len(), SeqCst);
        self.settle(number, now);
        Ok(())
    }

    /// Reads no more than has come already, which may be a request that this node was too slow to read: that is still
    /// answered, and with the last answer the connection goes.
    fn part(&mut self, number: usize, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if c.session.is_lingering() {
            return self.remove(number);
        }
        c.session.begin_close();
        c.readable = true;
        self.turn(number, now);
    }

    /// Parts with all that are open, as their times or a lack of slots would have it one by one.
    pub fn part_all(&mut self, now: Instant) {
        let all: Vec<usize> = self.connections.keys().copied().collect();
        all.into_iter().for_each(|number| self.part(number, now));
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    fn farewell(&mut self, number: usize, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if c.session.record_goodbye(now) {
            self.put(number, message::FAREWELL, now);
        }
        self.settle(number, now);
    }

    fn remove(&mut self, number: usize) {
        let Some(c) = self.connections.remove(&number) else {
            return;
        };
        self.room.update(ConnectionId(number), None);
        self.unsent -= c.session.unsent().len();
        self.counts
            .open
            .fetch_sub(c.session.open_request_count(), SeqCst);
        self.counts
            .unsent
            .fetch_sub(usize::from(!c.session.unsent().is_empty()), SeqCst);
        self.counts
            .connections
            .store(self.connections.len(), SeqCst);
    }

    // ---- reading ----

    fn ready(&mut self, number: usize, event: &mio::event::Event, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        if event.is_error() {
            // Reset: nothing that is owed on it can be answered any more.
            return self.remove(number);
        }
        c.hung_up |= event.is_read_closed();
        c.readable |= event.is_readable() || c.hung_up;
        if event.is_writable() && !c.session.unsent().is_empty() {
            self.settle(number, now);
        } else {
            self.queue(number);
        }
    }

    /// Gives a connection its turn if there is anything to do for it.
    fn queue(&mut self, number: usize) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        let hears =
            c.session.may_read(&self.limits.front) && (c.readable || c.session.may_have_line());
        if !c.queued && (hears || c.session.is_lingering() && c.readable) {
            c.queued = true;
            self.turns.push_back(number);
        }
    }

    /// A turn for each that waits, in order. Who comes back in line meanwhile waits for the next round.
    fn take_turns(&mut self, now: Instant) {
        for _ in 0..self.turns.len() {
            if !self.module_has_room() {
                return;
            }
            let Some(number) = self.turns.pop_front() else {
                return;
            };
            self.turn(number, now);
        }
    }

    /// Lines that came before and at most one read, up to what one turn allows.
    fn turn(&mut self, number: usize, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        c.queued = false;
        if c.session.is_lingering() {
            return self.pass_over(number, now);
        }
        let mut lines = c.session.lines_per_turn(&self.limits.front);
        let mut has_read = false;
        while let Some(c) = self.connections.get_mut(&number) {
            if !c.session.may_read(&self.limits.front) || lines == 0 {
                break;
            }
            match c.session.next_line() {
                Ok(Some(line)) => {
                    lines -= 1;
                    let incoming = message::read(line, &self.core.site);
                    self.serve(number, incoming, now);
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
                            // Less than was asked for: the machine has no more, unless the end is what comes next.
                            c.readable = n == self.chunk.len() || c.hung_up;
                            c.session.receive_bytes(&self.chunk[..n], now);
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => c.readable = false,
                        Err(e) if e.kind() == ErrorKind::Interrupted => {}
                        Err(e) => {
                            debug!(self.log, "front read"; "error" => %e);
                            return self.remove(number);
                        }
                    }
                }
                Err(_) => self.breach(number, &message::breach("a line is too long"), now),
            }
        }
        self.settle(number, now);
    }

    /// One read of what comes on a connection whose writing side is shut: a request among it crosses the close, and is sent
    /// again on another connection. Read and passed on it would be lost.
    fn pass_over(&mut self, number: usize, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        match c.stream.read(&mut self.chunk) {
            Ok(0) => return self.remove(number),
            Ok(n) => c.session.record_discarded(n),
            Err(e) if e.kind() == ErrorKind::WouldBlock => c.readable = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return self.remove(number),
        }
        self.settle(number, now);
    }

    fn serve(&mut self, number: usize, incoming: Incoming, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        match incoming {
            Incoming::Alive(id) => {
                c.session.record_message(now);
                let line = message::health(
                    id,
                    self.core.node_status.is_healthy(),
                    self.core.node_status.capacity_hint(),
                );
                self.put(number, &line, now);
            }
            // One that is answered, or was never here, does no harm.
            Incoming::Cancel(id) => {
                let Some(rid) = c.open.remove(&id) else {
                    return;
                };
                if c.session.close_request(id, now) {
                    self.counts.open.fetch_sub(1, SeqCst);
                }
                let _ = self
                    .core
                    .policy
                    .send(PolicyMessage::CallerDisconnected(rid));
            }
            Incoming::Notification => {}
            Incoming::Malformed(answer) => self.breach(number, &answer, now),
            Incoming::Request(id, class, params) => match c.session.open_request(id, now) {
                Ok(()) => {
                    self.counts.open.fetch_add(1, SeqCst);
                    let mailbox = self.mailbox.clone();
                    let reply =
                        Responder::new(move |answer| mailbox.tell(Out::Answer(number, id, answer)));
                    let arrival: Arrival = params.arrival(class, &self.core.site, reply);
                    if self.core.site.tells_gone {
                        c.open.insert(id, arrival.uid);
                    }
                    // Without a module the node has ended.
                    let _ = self
                        .core
                        .policy
                        .send(PolicyMessage::RequestArrived(Box::new(arrival)));
                }
                // An answer under this number would pass for that of the other request.
                Err(ProtocolViolation::DuplicateId) => {
                    self.breach(
                        number,
                        &message::breach("a request with this id is open"),
                        now,
                    );
                }
                // Those that the front end has given up are open here still, and it does not count them: that is no
                // breach.
                Err(ProtocolViolation::TooManyRequests) => {
                    self.put(number, &message::crowded(id), now);
                }
                Err(ProtocolViolation::Closed | ProtocolViolation::LineTooLong) => {}
            },
        }
    }

    /// The peer has broken the protocol. What it says next can't be trusted either, and what it asked for before gets
    /// no answer: no front end that is owed one sends this.
    fn breach(&mut self, number: usize, answer: &str, now: Instant) {
        self.put(number, answer, now);
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        c.session.abort(now);
        self.turned_away.log(|more| {
            let peer = c.stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
            info!(self.log, "protocol broken"; "peer" => peer, "answer" => answer.trim_end(), "more" => more);
        });
    }

    // ---- writing ----

    fn answers(&mut self, now: Instant) {
        let (mailbox, inbox) = (self.mailbox.clone(), self.inbox.clone());
        let mut written = Vec::new();
        for out in mailbox.empty(&inbox) {
            match out {
                Out::Answer(number, id, answer) => {
                    let Some(c) = self.connections.get_mut(&number) else {
                        continue;
                    };
                    c.open.remove(&id);
                    if c.session.close_request(id, now) {
                        self.put(number, &message::answer(id, &answer), now);
                        written.push(number);
                    }
                }
                Out::Farewell => {
                    let all: Vec<usize> = self.connections.keys().copied().collect();
                    all.into_iter()
                        .for_each(|number| self.farewell(number, now));
                }
                Out::Open(listener) => {
                    if let Err(e) = self.listen(listener, now) {
                        // Nothing that a peer does leads here.
                        warn!(self.log, "listen"; "error" => %e);
                    }
                }
                Out::Close => self.stop_listening(now),
            }
        }
        for &number in &written {
            self.settle(number, now);
        }
        // Only now are they on the wire, or counted among what is not.
        self.counts.open.fetch_sub(written.len(), SeqCst);
    }

    /// A line for a connection, written as it settles. Bytes that wait are bounded for each and over all: past that,
    /// who takes least of them is cut off.
    fn put(&mut self, number: usize, line: &str, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        let before = c.session.unsent().len();
        c.session.enqueue_line(line.as_bytes(), now);
        let more = c.session.unsent().len() - before;
        self.unsent += more;
        self.counts
            .unsent
            .fetch_add(usize::from(before == 0 && more > 0), SeqCst);
        if c.session.unsent().len() > self.limits.front.max_unsent_bytes {
            self.remove(number);
        } else if self.unsent > self.limits.front_output_bytes {
            let most = self
                .connections
                .iter()
                .max_by_key(|(_, c)| c.session.unsent().len());
            if let Some(number) = most.map(|(number, _)| *number) {
                self.remove(number);
            }
        }
    }

    /// After anything that happened on a connection: writes what can be written, then sees whether it stays, where it
    /// stands among those that may go, and when to look at it again.
    fn settle(&mut self, number: usize, now: Instant) {
        let Some(c) = self.connections.get_mut(&number) else {
            return;
        };
        while !c.session.unsent().is_empty() {
            match c.stream.write(c.session.unsent()) {
                Ok(n) => {
                    c.session.record_write(n, now);
                    self.unsent -= n;
                    if c.session.unsent().is_empty() {
                        self.counts.unsent.fetch_sub(1, SeqCst);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    debug!(self.log, "front write"; "error" => %e);
                    return self.remove(number);
                }
            }
        }
        if c.session.may_be_dropped(&self.limits.front) {
            return self.remove(number);
        }
        if c.session.begin_linger(now) {
            if c.stream.shutdown(Shutdown::Write).is_err() {
                return self.remove(number);
            }
            // What has come so far is unread, whatever the poll has told.
            c.readable = true;
        }
        self.room.update(ConnectionId(number), c.session.idleness());
        let idle = self
            .core
            .node_status
            .idle_timeout()
            .unwrap_or(self.limits.front_idle);
        if let Some(due) = c
            .session
            .next_timer(idle, &self.limits.front)
            .filter(|due| c.timer.is_none_or(|timer| *due < timer))
        {
            c.timer = Some(due);
            self.timers.push(Reverse((due, number)));
        }
        self.queue(number);
    }

    fn look_at_timers(&mut self, now: Instant) {
        let idle = self
            .core
            .node_status
            .idle_timeout()
            .unwrap_or(self.limits.front_idle);
        while let Some(Reverse((at, number))) = self
            .timers
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.timers.pop();
            let Some(c) = self
                .connections
                .get_mut(&number)
                .filter(|c| c.timer == Some(at))
            else {
                continue;
            };
            c.timer = None;
            match c.session.due_action(idle, &self.limits.front, now) {
                Some(TimerAction::SayGoodbye) => self.farewell(number, now),
                Some(TimerAction::BeginClose) => self.part(number, now),
                Some(TimerAction::Disconnect) => self.remove(number),
                None => self.settle(number, now),
            }
        }
    }
}
