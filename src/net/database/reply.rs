//! Parsing the HTTP reply of the database.

use std::io;

use thiserror::Error;

use crate::node::limits::DatabaseLimits;
use crate::node::{CallResult, Payload};

const MAX_HEADERS: usize = 32;
const SWITCHING_PROTOCOLS: u16 = 101;
const OK: u16 = 200;
const CONFLICT: u16 = 409;
const SERVICE_UNAVAILABLE: u16 = 503;

/// A complete HTTP reply.
#[derive(Debug, PartialEq)]
pub(super) struct HttpReply {
    pub(super) status: u16,
    /// Whether the database says that the call was never started.
    never_started: bool,
    body: Vec<u8>,
}

impl HttpReply {
    /// What the reply says of the call.
    pub(super) fn into_call_result(self) -> CallResult {
        match self.status {
            OK => CallResult::Reply(Payload::from_bytes(&self.body)),
            SERVICE_UNAVAILABLE | CONFLICT if self.never_started => CallResult::NeverRan,
            _ => CallResult::Unknown,
        }
    }
}

/// Why a call has no reply.
#[derive(Debug, Error)]
pub(super) enum ReplyError {
    /// The connection was never established, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] io::Error),
    /// The reply did not come within its timeout.
    #[error("timed out")]
    TimedOut,
    /// The connection ended before the reply was complete.
    #[error("connection ended before the reply was complete")]
    Truncated,
    /// The connection broke before the reply was complete.
    #[error("connection broke: {0}")]
    Broken(#[source] io::Error),
    /// The head is not HTTP, or has no end.
    #[error("not an HTTP reply")]
    InvalidHead,
    /// There is no length, or none that is valid.
    #[error("no valid length")]
    InvalidLength,
    /// The body is longer than any reply.
    #[error("too long")]
    TooLong,
}

/// Parses the reply in `received`; `None` while it is not complete. Replies of the 1xx kind before it are skipped, and
/// bytes behind it are ignored.
pub(super) fn parse_reply(
    received: &[u8],
    limits: &DatabaseLimits,
) -> Result<Option<HttpReply>, ReplyError> {
    let mut offset = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head
            .parse(&received[offset..])
            .map_err(|_| ReplyError::InvalidHead)?;
        match parsed {
            httparse::Status::Complete(length) => offset += length,
            httparse::Status::Partial if received.len() > limits.head_bytes => {
                return Err(ReplyError::InvalidHead);
            }
            httparse::Status::Partial => return Ok(None),
        }
        let status = head.code.unwrap_or(0);
        if is_informational(status) && offset <= limits.head_bytes {
            continue;
        }
        let length = body_length(status, head.headers, limits)?;
        let never_started = values(head.headers, "Never-Started").next() == Some(b"1");
        let body = received.get(offset..offset + length);
        return Ok(body.map(|body| HttpReply {
            status,
            never_started,
            body: body.to_vec(),
        }));
    }
}

/// Whether another reply follows this one. After 101 the connection would be something else than HTTP.
fn is_informational(status: u16) -> bool {
    (100..200).contains(&status) && status != SWITCHING_PROTOCOLS
}

/// The length of the body that follows the head.
fn body_length(
    status: u16,
    headers: &[httparse::Header<'_>],
    limits: &DatabaseLimits,
) -> Result<usize, ReplyError> {
    if values(headers, "Transfer-Encoding").next().is_some() {
        return Err(ReplyError::InvalidLength);
    }
    let mut lengths = values(headers, "Content-Length").map(parse_length);
    let length = match lengths.next() {
        Some(first) if lengths.all(|other| other == first) => {
            first.ok_or(ReplyError::InvalidLength)?
        }
        // A reply without a body is complete with its status.
        None if status != OK => 0,
        _ => return Err(ReplyError::InvalidLength),
    };
    if length > limits.reply_bytes {
        return Err(ReplyError::TooLong);
    }
    Ok(length)
}

/// The values of all headers of this name.
fn values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Parses a length as HTTP writes it: digits and nothing else.
fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
