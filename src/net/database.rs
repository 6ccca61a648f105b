//! The database's actor: a bounded pool of lanes that share one mailbox. A lane owns at most one connection and
//! carries one call at a time on it; each connection has a reader of its own, so that a lane waits with a timer.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::{after, at, bounded, never, select, Receiver, Sender, TryRecvError};
use slog::{debug, Logger};

use super::spawn;
use crate::node::{Body, Call, CallResult, Limits, Msg};

/// Starts the lanes.
pub fn start(
    to: SocketAddr,
    limits: &Limits,
    inbox: &Receiver<Call>,
    module: &Sender<Msg>,
    log: &Logger,
) -> io::Result<()> {
    for _ in 0..limits.database_lanes {
        let lane = Lane { to, limits: limits.clone(), connection: None, log: log.clone() };
        let (inbox, module) = (inbox.clone(), module.clone());
        spawn("database", limits.stack, move || lane.run(&inbox, &module))?;
    }
    Ok(())
}

struct Connection {
    stream: Arc<TcpStream>,
    replies: Receiver<io::Result<HttpReply>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing gives the call up, and ends the reader.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

struct Lane {
    to: SocketAddr,
    limits: Limits,
    connection: Option<Connection>,
    log: Logger,
}

impl Lane {
    fn run(mut self, inbox: &Receiver<Call>, module: &Sender<Msg>) {
        loop {
            let idle = if self.connection.is_some() { after(self.limits.database_idle) } else { never() };
            select! {
                recv(inbox) -> msg => {
                    let Ok(call) = msg else { return };
                    let begun = Instant::now();
                    let result = self.call(&call, begun);
                    if module.send(Msg::CallDone(call.id, result, begun.elapsed())).is_err() {
                        return;
                    }
                }
                recv(idle) -> _ => self.connection = None,
            }
        }
    }

    fn call(&mut self, call: &Call, begun: Instant) -> CallResult {
        // A pooled connection that the database has closed meanwhile is replaced before anything is sent on it.
        let taken =
            self.connection.take().filter(|c| c.replies.try_recv().err() == Some(TryRecvError::Empty));
        let connection = match taken.map_or_else(|| self.connect(), Ok) {
            Ok(connection) => connection,
            Err(e) => {
                debug!(self.log, "database connect"; "error" => %e);
                return CallResult::NeverRan;
            }
        };
        let body = call.body.to_bytes().unwrap_or_default();
        let mut request = format!(
            "POST /v1/exec HTTP/1.1\r\nHost: {}\r\nRequest-Ref: {}\r\nStatement-Timeout-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            self.to,
            call.rid,
            call.limit.as_millis().max(1),
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(&body);
        // From the first byte on, a break proves nothing: the call may have had its effect.
        if (&*connection.stream).write_all(&request).is_err() {
            return CallResult::Unknown;
        }
        select! {
            recv(connection.replies) -> reply => match reply {
                Ok(Ok(reply)) => {
                    if reply.keep {
                        self.connection = Some(connection);
                    }
                    reply.result()
                }
                Ok(Err(e)) => {
                    debug!(self.log, "database reply"; "error" => %e);
                    CallResult::Unknown
                }
                Err(_) => CallResult::Unknown,
            },
            recv(at(begun + call.limit)) -> _ => CallResult::Unknown,
        }
    }

    fn connect(&self) -> io::Result<Connection> {
        let stream = Arc::new(TcpStream::connect_timeout(&self.to, self.limits.connect)?);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.write))?;
        let (tell, replies) = bounded(1);
        let (from, most, at_once) = (stream.clone(), self.limits.database_reply, self.limits.read);
        spawn("database-read", self.limits.stack, move || read_replies(&from, (most, at_once), &tell))?;
        Ok(Connection { stream, replies })
    }
}

/// A whole HTTP reply.
#[derive(Debug, PartialEq)]
struct HttpReply {
    status: u16,
    never_started: bool,
    keep: bool,
    body: Vec<u8>,
}

impl HttpReply {
    fn result(self) -> CallResult {
        match self.status {
            200 => CallResult::Reply(Body::from_bytes(&self.body)),
            503 | 409 if self.never_started => CallResult::NeverRan,
            _ => CallResult::Unknown,
        }
    }
}

fn read_replies(mut from: &TcpStream, (most, at_once): (usize, usize), tell: &Sender<io::Result<HttpReply>>) {
    let mut held = Vec::new();
    let mut chunk = vec![0; at_once];
    loop {
        match parse(&held, most) {
            Ok(Some((reply, used))) => {
                held.drain(..used);
                let keep = reply.keep;
                if tell.send(Ok(reply)).is_err() || !keep {
                    return;
                }
            }
            Ok(None) => match from.read(&mut chunk) {
                Ok(0) => return,
                Ok(n) => held.extend_from_slice(&chunk[..n]),
                Err(e) => return drop(tell.send(Err(e))),
            },
            Err(what) => return drop(tell.send(Err(io::Error::new(io::ErrorKind::InvalidData, what)))),
        }
    }
}

/// The first reply in what was read and its length, or nothing while it is not whole.
fn parse(held: &[u8], most: usize) -> Result<Option<(HttpReply, usize)>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(held).map_err(|_| "not an HTTP reply")? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if held.len() > most => return Err("reply too long"),
        httparse::Status::Partial => return Ok(None),
    };
    let find = |name: &str| {
        let header = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(str::trim)
    };
    if find("Transfer-Encoding").is_some() {
        return Err("reply without a length");
    }
    let length: usize = match find("Content-Length") {
        Some(text) => text.parse().map_err(|_| "length is not a number")?,
        None => 0,
    };
    if length > most {
        return Err("reply too long");
    }
    let Some(body) = held.get(start..start + length) else { return Ok(None) };
    let reply = HttpReply {
        status: head.code.unwrap_or(0),
        never_started: find("Never-Started") == Some("1"),
        keep: !find("Connection").is_some_and(|c| c.eq_ignore_ascii_case("close")),
        body: body.to_vec(),
    };
    Ok(Some((reply, start + length)))
}
