//! Parses the HTTP replies of the database.

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
    /// True if the database reports that the call was never started.
    never_started: bool,
    body: Vec<u8>,
}

impl HttpReply {
    /// Converts the reply to the result of the call.
    pub(super) fn into_call_result(self) -> CallResult {
        match self.status {
            OK => CallResult::Reply(Payload::from_bytes(&self.body)),
            SERVICE_UNAVAILABLE | CONFLICT if self.never_started => CallResult::NeverRan,
            _ => CallResult::Unknown,
        }
    }
}

/// Reason why a call has no usable reply.
#[derive(Debug, Error)]
pub(super) enum ReplyError {
    /// The connection was never established, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] io::Error),
    /// The reply did not arrive within its timeout.
    #[error("no reply within the timeout")]
    TimedOut,
    /// The connection ended before the reply was complete.
    #[error("connection ended before the reply was complete")]
    Truncated,
    /// The connection broke before the reply was complete.
    #[error("connection broke: {0}")]
    Broken(#[source] io::Error),
    /// The head is not valid HTTP or exceeds the size limit.
    #[error("invalid or oversized HTTP head in the reply")]
    InvalidHead,
    /// The length of the body is missing or invalid, or the reply has a transfer encoding.
    #[error("missing or invalid body length in the reply")]
    InvalidLength,
    /// The body exceeds the size limit.
    #[error("reply body exceeds the size limit")]
    TooLong,
}

/// Parses the reply in `received`; returns `None` while it is incomplete. Skips informational (1xx)
/// replies before it and ignores bytes after it.
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
        let never_started = header_values(head.headers, "Never-Started").next() == Some(b"1");
        let body = received.get(offset..offset + length);
        return Ok(body.map(|body| HttpReply {
            status,
            never_started,
            body: body.to_vec(),
        }));
    }
}

/// Returns true for a 1xx reply that another reply follows. After 101 the connection would no
/// longer carry HTTP.
fn is_informational(status: u16) -> bool {
    (100..200).contains(&status) && status != SWITCHING_PROTOCOLS
}

/// Returns the length of the body that follows the head.
fn body_length(
    status: u16,
    headers: &[httparse::Header<'_>],
    limits: &DatabaseLimits,
) -> Result<usize, ReplyError> {
    if header_values(headers, "Transfer-Encoding").next().is_some() {
        return Err(ReplyError::InvalidLength);
    }
    let mut lengths = header_values(headers, "Content-Length").map(parse_length);
    let length = match lengths.next() {
        Some(first) if lengths.all(|other| other == first) => {
            first.ok_or(ReplyError::InvalidLength)?
        }
        // A reply with another status may have no body, and is then complete with its head.
        None if status != OK => 0,
        _ => return Err(ReplyError::InvalidLength),
    };
    if length > limits.reply_bytes {
        return Err(ReplyError::TooLong);
    }
    Ok(length)
}

/// Returns the values of all headers with this name.
fn header_values<'a>(
    headers: &'a [httparse::Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Parses a `Content-Length` value, which consists of digits alone.
fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}
