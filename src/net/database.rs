//! The database's actor: a bounded pool of lanes that share one mailbox. A lane carries one call at a time, each on
//! a connection of its own; a reader beside it reads the reply, so that the lane waits with a timer.
//!
//! Connections are not used again. Behind a reply may come a second copy of it or noise, at any time, and HTTP/1.1
//! has nothing to tell that from the next call's reply; and one that the database has forgotten is reset at the next
//! call, which looks as if that call might have run. On a fresh connection there is neither doubt.

use std::fmt;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::{at, bounded, select, Receiver, Sender};
use slog::{debug, Logger};

use super::{spawn, Address};
use crate::node::{Body, Call, CallResult, Limits, Msg};

/// Starts the lanes.
pub fn start(
    to: &Arc<Address>,
    limits: &Limits,
    inbox: &Receiver<Call>,
    module: &Sender<Msg>,
    log: &Logger,
) -> io::Result<()> {
    for _ in 0..limits.database_lanes {
        let (reader, streams) = bounded(0);
        let (tell, told) = bounded(2);
        let reading = limits.clone();
        spawn("database-read", limits.stack, move || read_replies(&streams, &reading, &tell))?;
        let lane = Lane { to: to.clone(), limits: limits.clone(), reader, told, log: log.clone() };
        let (inbox, module) = (inbox.clone(), module.clone());
        spawn("database", limits.stack, move || lane.run(&inbox, &module))?;
    }
    Ok(())
}

/// What a lane hears from its reader: for each connection `Begun` at most once, then one `Ended`.
enum FromReader {
    /// The first byte of a reply is there.
    Begun,
    Ended(Result<HttpReply, ReplyError>),
}

struct Lane {
    to: Arc<Address>,
    limits: Limits,
    reader: Sender<Arc<TcpStream>>,
    told: Receiver<FromReader>,
    log: Logger,
}

impl Lane {
    fn run(self, inbox: &Receiver<Call>, module: &Sender<Msg>) {
        for call in inbox {
            let begun = Instant::now();
            let result = self.call(&call, begun);
            if module.send(Msg::CallDone(call.id, result, begun.elapsed())).is_err() {
                return;
            }
        }
    }

    fn call(&self, call: &Call, begun: Instant) -> CallResult {
        let to = self.to.get();
        let stream = match self.connect(to) {
            Ok(stream) => stream,
            Err(e) => {
                // Nothing was sent.
                debug!(self.log, "database connect"; "error" => %e);
                return CallResult::NeverRan;
            }
        };
        let body = call.body.to_bytes().unwrap_or_default();
        let mut request = format!(
            "POST /v1/exec HTTP/1.1\r\nHost: {to}\r\nRequest-Ref: {}\r\nStatement-Timeout-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            call.rid,
            call.limit.as_millis().max(1),
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(&body);
        // From the first byte on, a break proves nothing: the call may have had its effect.
        let sent = (&*stream).write_all(&request).is_ok();
        let result = if sent { self.reply(&stream, begun + call.limit) } else { CallResult::Unknown };
        // Closing gives up a call that is still out, and what else may come on the connection.
        let _ = stream.shutdown(Shutdown::Both);
        result
    }

    fn reply(&self, stream: &Arc<TcpStream>, mut late: Instant) -> CallResult {
        if self.reader.send(stream.clone()).is_err() {
            return CallResult::Unknown;
        }
        loop {
            select! {
                recv(self.told) -> msg => match msg {
                    // A reply that has begun is here in a moment, or it is one that will never be whole.
                    Ok(FromReader::Begun) => late = late.min(Instant::now() + self.limits.database_rest),
                    Ok(FromReader::Ended(Ok(reply))) => return reply.result(),
                    Ok(FromReader::Ended(Err(e))) => {
                        debug!(self.log, "database reply"; "error" => %e);
                        return CallResult::Unknown;
                    }
                    Err(_) => return CallResult::Unknown,
                },
                recv(at(late)) -> _ => {
                    // Ends the reader, whose last word on this connection must not be taken for the next one's.
                    let _ = stream.shutdown(Shutdown::Both);
                    while matches!(self.told.recv(), Ok(FromReader::Begun)) {}
                    return CallResult::Unknown;
                }
            }
        }
    }

    fn connect(&self, to: SocketAddr) -> io::Result<Arc<TcpStream>> {
        let stream = TcpStream::connect_timeout(&to, self.limits.connect)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.limits.write))?;
        Ok(Arc::new(stream))
    }
}

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
            200 => CallResult::Reply(Body::from_bytes(&self.body)),
            503 | 409 if self.never_started => CallResult::NeverRan,
            _ => CallResult::Unknown,
        }
    }
}

/// Why what came is no reply.
#[derive(Debug)]
enum ReplyError {
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
            ReplyError::Broken(None) => f.write_str("ended before it was whole"),
            ReplyError::Broken(Some(e)) => write!(f, "broke: {e}"),
            ReplyError::Head => f.write_str("not an HTTP reply"),
            ReplyError::Length => f.write_str("no length that can be believed"),
            ReplyError::TooLong => f.write_str("too long"),
        }
    }
}

/// A lane's reader: reads one reply from each connection it is given.
fn read_replies(streams: &Receiver<Arc<TcpStream>>, limits: &Limits, tell: &Sender<FromReader>) {
    let mut chunk = vec![0; limits.read];
    for stream in streams {
        let ended = read_reply(&stream, limits, &mut chunk, tell);
        if tell.send(FromReader::Ended(ended)).is_err() {
            return;
        }
    }
}

fn read_reply(
    mut from: &TcpStream,
    limits: &Limits,
    chunk: &mut [u8],
    tell: &Sender<FromReader>,
) -> Result<HttpReply, ReplyError> {
    let mut held = Vec::new();
    loop {
        match from.read(chunk) {
            Ok(0) => return Err(ReplyError::Broken(None)),
            Ok(n) => {
                if held.is_empty() && tell.send(FromReader::Begun).is_err() {
                    return Err(ReplyError::Broken(None));
                }
                held.extend_from_slice(&chunk[..n]);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(ReplyError::Broken(Some(e))),
        }
        if let Some(reply) = parse(&held, limits)? {
            return Ok(reply);
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
            httparse::Status::Partial if held.len() > limits.database_head => return Err(ReplyError::Head),
            httparse::Status::Partial => return Ok(None),
        };
        at += length;
        let status = head.code.unwrap_or(0);
        // 101 would turn the connection over to something else.
        if (100..200).contains(&status) && status != 101 && at <= limits.database_head {
            continue;
        }
        let values =
            |name| head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        if values("Transfer-Encoding").next().is_some() {
            return Err(ReplyError::Length);
        }
        let mut lengths = values("Content-Length").map(length_of);
        let length = match lengths.next() {
            Some(first) if lengths.all(|other| other == first) => first.ok_or(ReplyError::Length)?,
            // Without a body the status says it all.
            None if status != 200 => 0,
            _ => return Err(ReplyError::Length),
        };
        if length > limits.database_reply {
            return Err(ReplyError::TooLong);
        }
        let never_started = values("Never-Started").next() == Some(b"1");
        let body = held.get(at..at + length).map(<[u8]>::to_vec);
        return Ok(body.map(|body| HttpReply { status, never_started, body }));
    }
}

/// A length as HTTP writes it: digits and nothing else.
fn length_of(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}
