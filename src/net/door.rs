//! The operators' door: a line in, a line out, on an address of its own. One thread serves all callers by readiness and
//! asks nobody anything, so that it answers whatever the fronts, the module and the peers are busy with. Its table is
//! bounded, and its descriptors are set aside: see [`AdminLimits::max_clients`](crate::node::limits::AdminLimits::max_clients).

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use lifecycle::{AdminCommand, AdminRequestError, AdminResponse, LineBuffer};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slog::{info, warn, Logger};

use super::spawn;
use crate::node::{Limits, NodeStatus, RateLimitedLog};

const LISTENER: Token = Token(0);

/// One caller. Those that came first have the lowest numbers.
struct Caller {
    stream: TcpStream,
    line: LineBuffer,
    /// It has its answer, and is only waited for to read it: closed on bytes that nobody read, the machine would reset
    /// the connection and the answer with it.
    answered: bool,
    /// When it goes.
    until: Instant,
}

/// The door's thread.
struct Door {
    poll: Poll,
    listener: TcpListener,
    callers: BTreeMap<usize, Caller>,
    next: usize,
    node_status: Arc<NodeStatus>,
    /// Told after each change of state.
    changed: Sender<()>,
    limits: Limits,
    crowded: RateLimitedLog,
    log: Logger,
}

/// Opens the door; `changed` hears of each change of state that a call brings. Returns where it listens.
pub fn start(
    listener: std::net::TcpListener,
    node_status: &Arc<NodeStatus>,
    changed: Sender<()>,
    limits: &Limits,
    log: &Logger,
) -> io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let mut listener = TcpListener::from_std(listener);
    let address = listener.local_addr()?;
    let poll = Poll::new()?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    let door = Door {
        poll,
        listener,
        callers: BTreeMap::new(),
        next: LISTENER.0 + 1,
        node_status: node_status.clone(),
        changed,
        limits: limits.clone(),
        crowded: RateLimitedLog::new(limits.repeated_log_interval),
        log: log.clone(),
    };
    spawn("door", limits.stack_bytes, move || door.run())?;
    Ok(address)
}

impl Door {
    fn run(mut self) {
        let mut events = Events::with_capacity(self.limits.admin.max_clients * 2);
        let mut acceptable = false;
        loop {
            let now = Instant::now();
            let first = self.callers.values().map(|c| c.until).min();
            let wait = if acceptable {
                Some(Duration::ZERO)
            } else {
                first.map(|at| at.saturating_duration_since(now))
            };
            match self.poll.poll(&mut events, wait) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    // Nothing that a caller does leads here.
                    warn!(self.log, "door: poll"; "error" => %e);
                    std::thread::sleep(self.limits.reconnect_backoff);
                }
                _ => {}
            }
            acceptable |= events.iter().any(|e| e.token() == LISTENER);
            // Who has something to say is heard before a newcomer may take its place.
            for Token(number) in events
                .iter()
                .map(mio::event::Event::token)
                .filter(|t| *t != LISTENER)
            {
                self.hear(number);
            }
            if acceptable {
                acceptable = self.accept();
            }
            self.part_with_the_late();
        }
    }

    /// Takes one caller in; false once none waits.
    fn accept(&mut self) -> bool {
        match self.listener.accept() {
            Ok((stream, _)) => {
                self.make_room();
                self.take_in(stream);
                true
            }
            Err(e) => matches!(
                e.kind(),
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted
            ),
        }
    }

    fn make_room(&mut self) {
        if self.callers.len() < self.limits.admin.max_clients {
            return;
        }
        // One that has its answer first, then the one that has held its place the longest.
        let done = self
            .callers
            .iter()
            .find(|(_, c)| c.answered)
            .or_else(|| self.callers.iter().next());
        let Some(number) = done.map(|(number, _)| *number) else {
            return;
        };
        self.hear(number);
        if self.callers.get(&number).is_some_and(|c| !c.answered) {
            self.crowded
                .log(|more| warn!(self.log, "door: too many callers"; "more" => more));
            self.answer(
                number,
                AdminResponse::InvalidRequest(AdminRequestError::TooManyClients),
            );
        }
        self.callers.remove(&number);
    }

    fn take_in(&mut self, mut stream: TcpStream) {
        let number = self.next;
        self.next += 1;
        if self
            .poll
            .registry()
            .register(&mut stream, Token(number), Interest::READABLE)
            .is_err()
        {
            return;
        }
        let line = LineBuffer::new(self.limits.admin.line_bytes);
        let until = Instant::now() + self.limits.admin.request_timeout;
        self.callers.insert(
            number,
            Caller {
                stream,
                line,
                answered: false,
                until,
            },
        );
        // Most have sent their line with the connection.
        self.hear(number);
    }

    /// Reads what a caller has said, and answers once that is a line.
    fn hear(&mut self, number: usize) {
        let mut chunk = [0; 256];
        // What a caller goes on sending after its answer is read and dropped, in bounded turns.
        for _ in 0..16 {
            let Some(caller) = self.callers.get_mut(&number) else {
                return;
            };
            let heard = match caller.stream.read(&mut chunk) {
                Ok(0) if caller.answered => {
                    self.callers.remove(&number);
                    return;
                }
                Ok(0) => Some(Err(AdminRequestError::Truncated)),
                Ok(_) if caller.answered => None,
                Ok(n) => caller.line.push(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => None,
                Err(_) => {
                    self.callers.remove(&number);
                    return;
                }
            };
            match heard {
                Some(Ok(call)) => {
                    let answer = self.carry_out(call);
                    self.answer(number, answer);
                }
                Some(Err(why)) => self.answer(number, AdminResponse::InvalidRequest(why)),
                None => {}
            }
        }
    }

    fn carry_out(&self, call: AdminCommand) -> AdminResponse {
        let (before, answer, after) = self.node_status.update_state(|state| {
            let before = *state;
            let answer = call.execute(state);
            (before, answer, *state)
        });
        if before != after {
            info!(self.log, "state"; "from" => %before, "to" => %after, "call" => ?call);
            // It is a state, not a count: one word that waits stands for any that follow.
            let _ = self.changed.try_send(());
        }
        answer
    }

    fn answer(&mut self, number: usize, answer: AdminResponse) {
        let Some(caller) = self.callers.get_mut(&number) else {
            return;
        };
        // A line fits any socket's buffer that nothing was written to.
        let _ = caller.stream.write_all(format!("{answer}\n").as_bytes());
        let _ = caller.stream.shutdown(Shutdown::Write);
        caller.answered = true;
        caller.until = Instant::now() + self.limits.admin.response_timeout;
    }

    fn part_with_the_late(&mut self) {
        let now = Instant::now();
        let late: Vec<usize> = self
            .callers
            .iter()
            .filter(|(_, c)| c.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            if self.callers.get(&number).is_some_and(|c| c.answered) {
                self.callers.remove(&number);
            } else {
                self.answer(
                    number,
                    AdminResponse::InvalidRequest(AdminRequestError::TimedOut),
                );
            }
        }
    }
}
