//! The platform's front: JSON-RPC 2.0, one message a line. Each connection has an actor that writes, with a
//! mailbox, and a reader; both share one socket. What is read goes to the module's mailbox.

mod message;
mod session;

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crossbeam_channel::{after, bounded, never, select, Receiver, Sender};
use slog::{debug, warn, Logger};

use super::{spawn, Lines};
use crate::node::{Answer, Board, Limits, Msg, Reply};
use crate::wire::Site;
use message::Incoming;
pub use session::{Breach, Session};

/// What a connection's actor is told.
enum Out {
    /// The answer to the request of this id.
    Answer(u64, Answer),
    /// A line that answers no request of the core's.
    Line(String),
    /// Say farewell.
    Farewell,
    /// The reader has ended.
    Ended,
}

/// The front: its connections and what is open on them.
pub struct Front {
    site: Arc<Site>,
    limits: Limits,
    board: Arc<Board>,
    module: Sender<Msg>,
    log: Logger,
    address: SocketAddr,
    closed: AtomicBool,
    /// Requests read whose answer is not written.
    open: AtomicUsize,
    connections: Mutex<HashMap<u64, Sender<Out>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Front {
    /// Starts to accept connections.
    pub fn start(
        listener: TcpListener,
        site: Arc<Site>,
        limits: &Limits,
        board: &Arc<Board>,
        module: &Sender<Msg>,
        log: &Logger,
    ) -> io::Result<Arc<Front>> {
        let front = Arc::new(Front {
            site,
            limits: limits.clone(),
            board: board.clone(),
            module: module.clone(),
            log: log.clone(),
            address: listener.local_addr()?,
            closed: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let accepting = front.clone();
        spawn("accept", limits.stack, move || accepting.accept(&listener))?;
        Ok(front)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Requests read and not yet answered on the wire.
    pub fn open(&self) -> usize {
        self.open.load(SeqCst)
    }
    /// Open connections.
    pub fn connections(&self) -> usize {
        lock(&self.connections).len()
    }
    /// Says farewell on each connection.
    pub fn farewell(&self) {
        for mailbox in lock(&self.connections).values() {
            let _ = mailbox.try_send(Out::Farewell);
        }
    }
    /// Stops listening.
    pub fn close(&self) {
        self.closed.store(true, SeqCst);
        // Wakes the accept; one that is refused shows that it is closed already.
        let _ = TcpStream::connect_timeout(&self.address, self.limits.connect);
    }

    fn accept(self: &Arc<Front>, listener: &TcpListener) {
        for number in 0.. {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Out of descriptors, say: give them time to come back.
                    warn!(self.log, "accept"; "error" => %e);
                    select! { recv(after(self.limits.reconnect)) -> _ => {} }
                    continue;
                }
            };
            if self.closed.load(SeqCst) {
                return;
            }
            if let Err(e) = self.connect(number, stream) {
                warn!(self.log, "connection"; "error" => %e);
            }
        }
    }

    fn connect(self: &Arc<Front>, number: u64, stream: TcpStream) -> io::Result<()> {
        if self.connections() >= self.limits.connections {
            return Err(io::Error::other("too many connections"));
        }
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.write))?;
        // Room for every answer that may be owed, and for lines of the reader, which waits when there is none.
        let (mailbox, inbox) = bounded(2 * self.limits.open_per_connection + 4);
        let session = Mutex::new(Session::new(self.limits.open_per_connection, Instant::now()));
        let connection = Arc::new(Connection { front: self.clone(), stream, session });
        lock(&self.connections).insert(number, mailbox.clone());
        let writer = connection.clone();
        let started = spawn("front-write", self.limits.stack, move || {
            writer.write(&inbox);
            let _ = writer.stream.shutdown(Shutdown::Both);
            lock(&writer.front.connections).remove(&number);
        });
        if started.is_err() {
            lock(&self.connections).remove(&number);
        }
        started?;
        // Without a reader the mailbox ends, and with it the writer.
        spawn("front-read", self.limits.stack, move || {
            connection.read(&mailbox);
            let _ = mailbox.send(Out::Ended);
        })
        .inspect_err(|_| drop(lock(&self.connections).remove(&number)))
    }
}

struct Connection {
    front: Arc<Front>,
    stream: TcpStream,
    session: Mutex<Session>,
}

impl Connection {
    fn read(self: &Arc<Connection>, mailbox: &Sender<Out>) {
        let front = &self.front;
        let mut lines = Lines::new(&self.stream, front.limits.front_line, front.limits.read);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(e) => return debug!(front.log, "front read"; "error" => %e),
            };
            let sent = match message::read(line, &front.site) {
                Incoming::Alive(id) => {
                    lock(&self.session).touch(Instant::now());
                    let (ready, hint) = (front.board.ready(), front.board.hint());
                    mailbox.send(Out::Line(message::health(id, ready, hint))).is_ok()
                }
                Incoming::Notification => true,
                Incoming::Malformed(mut answer) => {
                    debug!(front.log, "malformed request");
                    answer.push('\n');
                    mailbox.send(Out::Line(answer)).is_ok()
                }
                Incoming::Request(id, class, params) => {
                    let entered = lock(&self.session).request(id, Instant::now());
                    match entered {
                        Ok(()) => {
                            front.open.fetch_add(1, SeqCst);
                            let reply = self.reply(id, mailbox.clone());
                            let arrival = params.arrival(class, &front.site, reply);
                            front.module.send(Msg::Arrived(Box::new(arrival))).is_ok()
                        }
                        Err(breach) => {
                            let what = match breach {
                                Breach::TooMany => "too many requests open on this connection",
                                Breach::IdInUse => "a request with this id is open",
                            };
                            mailbox.send(Out::Line(message::breach(id, what))).is_ok()
                        }
                    }
                }
            };
            if !sent {
                return;
            }
        }
    }

    /// The right to answer a request on this connection. The module never waits here: a mailbox without room
    /// means a peer that takes nothing, and the connection is closed.
    fn reply(self: &Arc<Connection>, id: u64, mailbox: Sender<Out>) -> Reply {
        let connection = self.clone();
        Reply::new(move |answer| {
            if mailbox.try_send(Out::Answer(id, answer)).is_err() {
                lock(&connection.session).answered(id, Instant::now());
                connection.front.open.fetch_sub(1, SeqCst);
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        })
    }

    /// The connection's actor. It stays until all is answered, also after the peer is gone.
    fn write(&self, inbox: &Receiver<Out>) {
        let front = &self.front;
        let mut broken = false;
        let mut put = |line: &str| {
            if !broken {
                if let Err(e) = (&self.stream).write_all(line.as_bytes()) {
                    debug!(front.log, "front write"; "error" => %e);
                    broken = true;
                    // The reader must not wait for more from a peer that can't be answered.
                    let _ = self.stream.shutdown(Shutdown::Both);
                }
            }
        };
        loop {
            let timer = self.idle_left().map_or_else(never, after);
            select! {
                recv(inbox) -> msg => match msg {
                    Ok(Out::Answer(id, answer)) => {
                        put(&message::answer(id, &answer));
                        lock(&self.session).answered(id, Instant::now());
                        front.open.fetch_sub(1, SeqCst);
                    }
                    Ok(Out::Line(line)) => put(&line),
                    Ok(Out::Farewell) => {
                        if lock(&self.session).farewell() {
                            put(message::FAREWELL);
                        }
                    }
                    Ok(Out::Ended) => lock(&self.session).end(),
                    Err(_) => return,
                },
                recv(timer) -> _ => {
                    let (due, said) = (self.idle_left().is_some_and(|left| left.is_zero()), lock(&self.session).leaving());
                    if due && said {
                        return;
                    }
                    if due && lock(&self.session).farewell() {
                        put(message::FAREWELL);
                        lock(&self.session).touch(Instant::now());
                    }
                }
            }
            if lock(&self.session).over() {
                return;
            }
        }
    }

    /// Until a farewell the module says how long it may carry nothing; after it, the front end has a moment to
    /// close it.
    fn idle_left(&self) -> Option<std::time::Duration> {
        let session = lock(&self.session);
        let idle = if session.leaving() { Some(self.front.limits.farewell) } else { self.front.board.idle() };
        idle.and_then(|idle| session.idle_left(idle, Instant::now()))
    }
}
