//! The database's actor: one thread that carries all calls in hand, each on a connection of its own, by readiness. Every
//! call has its own times: to connect, to be answered, and from the reply's first byte to its last.
//!
//! Two threads a lane, as the house style has it, made 48 of a node's 55 threads; `docs/architecture.md` has the figures.
//!
//! Connections are not used again. Behind a reply may come a second copy of it or noise, at any time, and HTTP/1.1
//! has nothing to tell that from the next call's reply; and one that the database has forgotten is reset at the next
//! call, which looks as if that call might have run. On a fresh connection there is neither doubt.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use fleet_runtime::{QuotaHandle, SharedCounters};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use slog::{debug, warn, Logger};

use super::{spawn, Address};
use crate::node::{CallResult, DatabaseCall, Limits, Payload, PolicyMessage, RateLimitedLog};

const MAILBOX: Token = Token(0);

/// The actor's mailbox.
pub struct Calls {
    sender: Sender<DatabaseCall>,
    waker: Arc<Waker>,
    /// The thread has been woken and has not looked since.
    woken: Arc<AtomicBool>,
}

impl Calls {
    /// Hands a call over, and never waits; false where there is no room, and the call was never made.
    pub fn make(&self, call: DatabaseCall) -> bool {
        let taken = self.sender.try_send(call).is_ok();
        if taken && !self.woken.swap(true, SeqCst) {
            let _ = self.waker.wake();
        }
        taken
    }
}

/// What the fleet has to say of calls, where a file has it say something.
#[derive(Default)]
pub struct Budget {
    /// There is a budget of calls at once. Until this node is a member it may make none.
    budgeted: bool,
    /// What is made of the ledger together.
    shares: Option<SharedCounters>,
    allowance: OnceLock<QuotaHandle>,
    /// Requests that wait for leave to call, as the module last told.
    waiting: AtomicUsize,
    waker: OnceLock<Arc<Waker>>,
}
/// Shared by the actor, the module and who joins the fleet.
pub type Guard = Arc<Budget>;

impl Budget {
    /// Whether there is a budget, and what is told of calls.
    pub fn new(budgeted: bool, shares: Option<SharedCounters>) -> Budget {
        Budget {
            budgeted,
            shares,
            ..Budget::default()
        }
    }
    /// Calls in hand that the fleet's budget allows; no bound where there is none.
    fn places(&self) -> Option<usize> {
        self.budgeted
            .then(|| self.allowance.get().map_or(0, QuotaHandle::limit) as usize)
    }
    /// Whether the ledger is judged to be down, or out of this node's reach: then one call at a time shows when it serves
    /// again.
    fn holds_back(&self) -> bool {
        self.shares
            .as_ref()
            .is_some_and(|s| s.ledger_health().should_limit_calls())
    }
    /// The node is a member from now on. It becomes one once.
    pub fn joined(&self, allowance: QuotaHandle) {
        let _ = self.allowance.set(allowance);
    }
    /// So many requests wait for leave to call.
    pub fn waits(&self, requests: usize) {
        if self.waiting.swap(requests, SeqCst) != requests {
            self.look();
        }
    }
    /// What may be spent has changed, or what is wanted: the actor is to look, though it has no call to make.
    pub fn look(&self) {
        if let Some(waker) = self.waker.get() {
            let _ = waker.wake();
        }
    }
}

/// Starts the actor.
pub fn start(
    to: &Arc<Address>,
    guard: Option<Guard>,
    limits: &Limits,
    policy: &Sender<PolicyMessage>,
    log: &Logger,
) -> io::Result<Calls> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), MAILBOX)?);
    if let Some(budget) = &guard {
        let _ = budget.waker.set(waker.clone());
    }
    let woken = Arc::new(AtomicBool::new(false));
    let (sender, inbox) = bounded(limits.database.connections * 4);
    let lanes = Lanes {
        to: to.clone(),
        guard,
        waiting: VecDeque::new(),
        lingering: Vec::new(),
        kept_out: RateLimitedLog::new(limits.repeated_log_interval),
        told_places: usize::MAX,
        limits: limits.clone(),
        poll,
        inbox,
        woken: woken.clone(),
        policy: policy.clone(),
        log: log.clone(),
        exchanges: HashMap::new(),
        next: MAILBOX.0 + 1,
        chunk: vec![0; limits.read_bytes],
    };
    spawn("database", limits.stack_bytes, move || lanes.run())?;
    Ok(Calls {
        sender,
        waker,
        woken,
    })
}

/// One call on its connection.
struct Exchange {
    call: DatabaseCall,
    stream: TcpStream,
    begun: Instant,
    connected: bool,
    /// What is to be written; up to `written` it has been.
    request: Vec<u8>,
    written: usize,
    /// What was read.
    held: Vec<u8>,
    /// When it is given up.
    late: Instant,
}

impl Exchange {
    /// Goes on as far as it can: the end of the call, or nothing while the peer is to do something.
    fn go_on(
        &mut self,
        chunk: &mut [u8],
        limits: &Limits,
    ) -> Option<Result<HttpReply, ReplyError>> {
        if !self.connected {
            match self
                .stream
                .take_error()
                .and_then(|error| error.map_or(Ok(()), Err))
            {
                Ok(()) => {}
                Err(e) => return Some(Err(ReplyError::NotSent(e))),
            }
            match self.stream.peer_addr() {
                Ok(_) => self.connected = true,
                Err(e) if e.kind() == ErrorKind::NotConnected => return None,
                Err(e) => return Some(Err(ReplyError::NotSent(e))),
            }
            let _ = self.stream.set_nodelay(true);
            self.late = self.begun + self.call.timeout;
        }
        while self.written < self.request.len() {
            match self.stream.write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // From the first byte on, a break proves nothing: the call may have had its effect.
                Err(e) => return Some(Err(ReplyError::Broken(Some(e)))),
            }
        }
        loop {
            match self.stream.read(chunk) {
                Ok(0) => return Some(Err(ReplyError::Broken(None))),
                Ok(n) => {
                    if self.held.is_empty() {
                        // A reply that has begun is here in a moment, or it is one that will never be whole.
                        self.late = self
                            .late
                            .min(Instant::now() + limits.database.reply_timeout);
                    }
                    self.held.extend_from_slice(&chunk[..n]);
                    if let Some(whole) = parse(&self.held, limits).transpose() {
                        return Some(whole);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Some(Err(ReplyError::Broken(Some(e)))),
            }
        }
    }
}

struct Lanes {
    to: Arc<Address>,
    guard: Option<Guard>,
    /// Calls that wait for a place, and since when.
    waiting: VecDeque<(Instant, DatabaseCall)>,
    /// Calls that were given up without a whole reply: until when the database may have them in hand.
    lingering: Vec<Instant>,
    kept_out: RateLimitedLog,
    /// Places that the module was last told of.
    told_places: usize,
    limits: Limits,
    poll: Poll,
    inbox: Receiver<DatabaseCall>,
    woken: Arc<AtomicBool>,
    policy: Sender<PolicyMessage>,
    log: Logger,
    exchanges: HashMap<usize, Exchange>,
    next: usize,
    chunk: Vec<u8>,
}

impl Lanes {
    /// Runs until the module is gone.
    fn run(mut self) {
        let mut events = Events::with_capacity(self.limits.database.connections * 2);
        loop {
            let first = self.exchanges.values().map(|e| e.late).min();
            let now = Instant::now();
            let mut wait = first.map(|at| at.saturating_duration_since(now));
            if self.guard.is_some() && !self.waiting.is_empty() {
                // A place comes by time alone, as a lease or by the end of what lingers.
                wait = Some(wait.map_or(self.limits.database.poll_interval, |w| {
                    w.min(self.limits.database.poll_interval)
                }));
            }
            match self.poll.poll(&mut events, wait) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    // Nothing that the peer does leads here.
                    warn!(self.log, "database: poll"; "error" => %e);
                    std::thread::sleep(self.limits.reconnect_backoff);
                }
                _ => {}
            }
            self.woken.store(false, SeqCst);
            let ready: Vec<usize> = events
                .iter()
                .map(|e| e.token().0)
                .filter(|n| *n != MAILBOX.0)
                .collect();
            let going_on = ready.into_iter().all(|number| self.go_on(number).is_ok());
            if !going_on || self.give_up_late().is_err() || self.take_up().is_err() {
                return;
            }
        }
    }

    /// Takes up calls while there are lanes for them, and places by the fleet's budget where there is one.
    fn take_up(&mut self) -> Result<(), Gone> {
        let now = Instant::now();
        self.lingering.retain(|until| *until > now);
        loop {
            let in_hand = self.exchanges.len() + self.lingering.len();
            // No more than one round of lanes waits here; the rest stays in the mailbox, which is bounded.
            while self.waiting.len() < self.limits.database.connections {
                match self.inbox.try_recv() {
                    Ok(call) => self.waiting.push_back((now, call)),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) if in_hand + self.waiting.len() == 0 => {
                        return Err(Gone)
                    }
                    Err(TryRecvError::Disconnected) => break,
                }
            }
            let budgeted = self.guard.as_ref().and_then(|b| b.places());
            let mut places = budgeted.unwrap_or(self.limits.database.connections);
            if let Some(budget) = &self.guard {
                if let Some(allowance) = budget.allowance.get() {
                    // One more than can be used now: what comes next is not to wait for an answer of the granter's.
                    let wanted = in_hand + self.waiting.len() + budget.waiting.load(SeqCst) + 1;
                    allowance.report_usage(in_hand as u64, wanted as u64);
                }
            }
            if budgeted.is_some() && self.told_places != places {
                self.told_places = places;
                self.policy
                    .send(PolicyMessage::CallLimitChanged(places))
                    .map_err(|_| Gone)?;
            }
            let judged = self.guard.as_ref().is_some_and(|b| b.holds_back());
            places = if judged { places.min(1) } else { places };
            let Some((since, call)) = self.waiting.pop_front() else {
                return Ok(());
            };
            if self.guard.is_some() && now.saturating_duration_since(since) >= call.timeout {
                // Its time went by in the queue.
                self.kept_out.log(|more| {
                    let why = if judged {
                        "judgement of the ledger"
                    } else {
                        "budget"
                    };
                    warn!(self.log, "call not made: the fleet's {} gave no place in its time", why;
                        "places" => places, "in_hand" => in_hand, "more" => more);
                });
                self.policy
                    .send(PolicyMessage::CallEnded {
                        id: call.id,
                        result: CallResult::NeverRan,
                        elapsed: Duration::ZERO,
                    })
                    .map_err(|_| Gone)?;
            } else if self.exchanges.len() < self.limits.database.connections && in_hand < places {
                self.begin(call)?;
            } else {
                self.waiting.push_front((since, call));
                return Ok(());
            }
        }
    }

    /// How long a call may take: as long as the module says, and where the fleet counts calls, no longer than it does.
    fn limit(&self, call: &DatabaseCall) -> Duration {
        let longest = self
            .guard
            .as_ref()
            .and_then(|b| b.allowance.get())
            .map(QuotaHandle::max_use_duration);
        longest.map_or(call.timeout, |longest| call.timeout.min(longest))
    }

    fn begin(&mut self, mut call: DatabaseCall) -> Result<(), Gone> {
        call.timeout = self.limit(&call);
        let begun = Instant::now();
        // Nothing is below: no call can be made, and none was.
        let Some(to) = self.to.get() else {
            return self.end(
                &call,
                begun,
                Err(ReplyError::NotSent(ErrorKind::AddrNotAvailable.into())),
            );
        };
        let number = self.next;
        self.next += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        let connecting = TcpStream::connect(to).and_then(|mut stream| {
            self.poll
                .registry()
                .register(&mut stream, Token(number), both)?;
            Ok(stream)
        });
        let stream = match connecting {
            Ok(stream) => stream,
            Err(e) => return self.end(&call, begun, Err(ReplyError::NotSent(e))),
        };
        let body = call.payload.to_bytes().unwrap_or_default();
        let mut request = format!(
            "POST /v1/exec HTTP/1.1\r\nHost: {to}\r\nRequest-Ref: {}\r\nStatement-Timeout-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            call.uid,
            call.timeout.as_millis().max(1),
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(&body);
        let late = begun + self.limits.connect_timeout.min(call.timeout);
        let exchange = Exchange {
            call,
            stream,
            begun,
            connected: false,
            request,
            written: 0,
            held: Vec::new(),
            late,
        };
        self.exchanges.insert(number, exchange);
        self.go_on(number)
    }

    fn go_on(&mut self, number: usize) -> Result<(), Gone> {
        let Some(exchange) = self.exchanges.get_mut(&number) else {
            return Ok(());
        };
        match exchange.go_on(&mut self.chunk, &self.limits) {
            Some(how) => self.close(number, how),
            None => Ok(()),
        }
    }

    fn give_up_late(&mut self) -> Result<(), Gone> {
        let now = Instant::now();
        let late: Vec<usize> = self
            .exchanges
            .iter()
            .filter(|(_, e)| e.late <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            let connected = self.exchanges.get(&number).is_some_and(|e| e.connected);
            let why = if connected {
                ReplyError::Late
            } else {
                ReplyError::NotSent(ErrorKind::TimedOut.into())
            };
            self.close(number, Err(why))?;
        }
        Ok(())
    }

    /// Closing gives up a call that is still out, and what else may come on the connection.
    fn close(&mut self, number: usize, how: Result<HttpReply, ReplyError>) -> Result<(), Gone> {
        let Some(Exchange { call, begun, .. }) = self.exchanges.remove(&number) else {
            return Ok(());
        };
        if self.guard.is_some() && !matches!(how, Ok(_) | Err(ReplyError::NotSent(_))) {
            // The database was told by when it has to end this, and may have it in hand until then.
            self.lingering.push(begun + call.timeout);
        }
        self.end(&call, begun, how)
    }

    fn end(
        &self,
        call: &DatabaseCall,
        begun: Instant,
        how: Result<HttpReply, ReplyError>,
    ) -> Result<(), Gone> {
        if let Some(shares) = self.guard.as_ref().and_then(|b| b.shares.as_ref()) {
            let served = how.as_ref().is_ok_and(|reply| reply.status < 500);
            shares.record_ledger_call(served.then(|| begun.elapsed()));
        }
        let result = match how {
            Ok(reply) => reply.result(),
            Err(e) => {
                debug!(self.log, "database call"; "rid" => %call.uid, "error" => %e);
                // On a connection that never came about nothing was sent.
                if matches!(e, ReplyError::NotSent(_)) {
                    CallResult::NeverRan
                } else {
                    CallResult::Unknown
                }
            }
        };
        self.policy
            .send(PolicyMessage::CallEnded {
                id: call.id,
                result,
                elapsed: begun.elapsed(),
            })
            .map_err(|_| Gone)
    }
}

/// Nobody waits for calls any more.
struct Gone;

/// A whole HTTP reply.
#[derive(Debug, PartialEq)]
struct HttpReply {
    status: u16,
    never_started: bool,
    body: Vec<u8>,
}

impl HttpReply {
    fn result(self) -> CallResult {
        match self.status {
            200 => CallResult::Reply(Payload::from_bytes(&self.body)),
            503 | 409 if self.never_started => CallResult::NeverRan,
            _ => CallResult::Unknown,
        }
    }
}

/// Why what came is no reply.
#[derive(Debug)]
enum ReplyError {
    /// The connection never came about.
    NotSent(io::Error),
    /// It did not come in time.
    Late,
    /// The connection broke or ended before it was whole.
    Broken(Option<io::Error>),
    /// Not an HTTP head, or one that does not end.
    Head,
    /// No length, or none that can be believed.
    Length,
    /// Longer than any reply.
    TooLong,
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplyError::NotSent(e) => write!(f, "no connection: {e}"),
            ReplyError::Late => f.write_str("not in time"),
            ReplyError::Broken(None) => f.write_str("ended before it was whole"),
            ReplyError::Broken(Some(e)) => write!(f, "broke: {e}"),
            ReplyError::Head => f.write_str("not an HTTP reply"),
            ReplyError::Length => f.write_str("no length that can be believed"),
            ReplyError::TooLong => f.write_str("too long"),
        }
    }
}

/// The reply in what was read, or nothing while it is not whole. Answers of the 1xx kind before it are passed over;
/// what comes after it is not looked at.
fn parse(held: &[u8], limits: &Limits) -> Result<Option<HttpReply>, ReplyError> {
    let mut at = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(&held[at..]).map_err(|_| ReplyError::Head)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if held.len() > limits.database.head_bytes => {
                return Err(ReplyError::Head)
            }
            httparse::Status::Partial => return Ok(None),
        };
        at += length;
        let status = head.code.unwrap_or(0);
        // 101 would turn the connection over to something else.
        if (100..200).contains(&status) && status != 101 && at <= limits.database.head_bytes {
            continue;
        }
        let values = |name| {
            head.headers
                .iter()
                .filter(move |h| h.name.eq_ignore_ascii_case(name))
                .map(|h| h.value)
        };
        if values("Transfer-Encoding").next().is_some() {
            return Err(ReplyError::Length);
        }
        let mut lengths = values("Content-Length").map(length_of);
        let length = match lengths.next() {
            Some(first) if lengths.all(|other| other == first) => {
                first.ok_or(ReplyError::Length)?
            }
            // Without a body the status says it all.
            None if status != 200 => 0,
            _ => return Err(ReplyError::Length),
        };
        if length > limits.database.reply_bytes {
            return Err(ReplyError::TooLong);
        }
        let never_started = values("Never-Started").next() == Some(b"1");
        let body = held.get(at..at + length).map(<[u8]>::to_vec);
        return Ok(body.map(|body| HttpReply {
            status,
            never_started,
            body,
        }));
    }
}

/// A length as HTTP writes it: digits and nothing else.
fn length_of(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())?
}
