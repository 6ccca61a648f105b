//! A database call on its own connection: connect, write the request, read the reply.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpStream;

use super::reply::{parse_reply, HttpReply, ReplyError};
use crate::node::limits::DatabaseLimits;
use crate::node::DatabaseCall;

/// A call with its connection.
pub(super) struct HttpExchange {
    pub(super) call: DatabaseCall,
    pub(super) stream: TcpStream,
    pub(super) started_at: Instant,
    pub(super) is_connected: bool,
    request: Vec<u8>,
    /// Number of bytes of the request that have been written.
    written: usize,
    received: Vec<u8>,
    /// Time at which the exchange times out.
    pub(super) deadline: Instant,
}

impl HttpExchange {
    /// Creates an exchange on a stream that is being connected. Connecting times out at
    /// `connect_deadline`.
    pub(super) fn new(
        call: DatabaseCall,
        stream: TcpStream,
        request: Vec<u8>,
        started_at: Instant,
        connect_deadline: Instant,
    ) -> HttpExchange {
        HttpExchange {
            call,
            stream,
            started_at,
            is_connected: false,
            request,
            written: 0,
            received: Vec::new(),
            deadline: connect_deadline,
        }
    }

    /// Advances as far as is possible without blocking. Returns the reply once it is complete, and
    /// `None` while the exchange waits for the database.
    pub(super) fn advance(
        &mut self,
        read_buffer: &mut [u8],
        limits: &DatabaseLimits,
    ) -> Result<Option<HttpReply>, ReplyError> {
        if !self.is_connected && !self.finish_connecting()? {
            return Ok(None);
        }
        if !self.write_request()? {
            return Ok(None);
        }
        self.read_reply(read_buffer, limits)
    }

    /// Returns true once the connection is established.
    fn finish_connecting(&mut self) -> Result<bool, ReplyError> {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(error)) | Err(error) => return Err(ReplyError::NotSent(error)),
        }
        match self.stream.peer_addr() {
            Ok(_) => self.is_connected = true,
            Err(e) if e.kind() == ErrorKind::NotConnected => return Ok(false),
            Err(e) => return Err(ReplyError::NotSent(e)),
        }
        let _ = self.stream.set_nodelay(true);
        self.deadline = self.started_at + self.call.timeout;
        Ok(true)
    }

    /// Returns true once the whole request is written. After its first byte, a broken connection no
    /// longer proves that the call did not run: it may have taken effect.
    fn write_request(&mut self) -> Result<bool, ReplyError> {
        while self.written < self.request.len() {
            match self.stream.write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(ReplyError::Broken(e)),
            }
        }
        Ok(true)
    }

    fn read_reply(
        &mut self,
        read_buffer: &mut [u8],
        limits: &DatabaseLimits,
    ) -> Result<Option<HttpReply>, ReplyError> {
        loop {
            match self.stream.read(read_buffer) {
                Ok(0) => return Err(ReplyError::Truncated),
                Ok(n) => {
                    if self.received.is_empty() {
                        // The rest of a reply follows its first byte promptly, or never.
                        let reply_deadline = Instant::now() + limits.reply_timeout;
                        self.deadline = self.deadline.min(reply_deadline);
                    }
                    self.received.extend_from_slice(&read_buffer[..n]);
                    if let Some(reply) = parse_reply(&self.received, limits)? {
                        return Ok(Some(reply));
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(ReplyError::Broken(e)),
            }
        }
    }
}

/// Encodes the HTTP request of a call.
pub(super) fn encode_request(call: &DatabaseCall, address: SocketAddr) -> Vec<u8> {
    let body = call.payload.to_bytes().unwrap_or_default();
    let mut request = format!(
        "POST /v1/exec HTTP/1.1\r\n\
         Host: {address}\r\n\
         Request-Ref: {}\r\n\
         Statement-Timeout-Ms: {}\r\n\
         Content-Length: {}\r\n\
         Connection: close\r\n\
         \r\n",
        call.uid,
        call.timeout.as_millis().max(1),
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(&body);
    request
}
