//! One connection to a node as a state machine without its socket: its open requests, the bytes to be written, and which
//! requests may have reached the node.

use std::collections::{BTreeMap, VecDeque};

use routing::Ticket;

/// What a request on an upstream connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRequest {
    /// An attempt of the routed request with this ticket.
    Attempt(Ticket),
    /// A health check of the router's.
    HealthCheck,
}

/// A request that was open when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// What it was for.
    pub request: UpstreamRequest,
    /// Whether any byte of it was written, so that the node may have it.
    pub may_have_arrived: bool,
}

/// A node has sent a line that is longer than any answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line is too long")]
pub struct LineTooLong;

/// The state of a connection to a node.
#[derive(Default)]
pub struct UpstreamState {
    last_id: u64,
    open_requests: BTreeMap<u64, OpenUpstreamRequest>,
    output: VecDeque<u8>,
    /// Bytes enqueued since the connection began.
    enqueued_bytes: u64,
    /// Bytes written since the connection began.
    written_bytes: u64,
    input: Vec<u8>,
    /// The node has sent a goodbye: it gets no new requests on this connection.
    pub has_goodbye: bool,
    /// The connection is established.
    pub is_connected: bool,
}

struct OpenUpstreamRequest {
    request: UpstreamRequest,
    /// The position of its first byte among all that was enqueued.
    first_byte: u64,
}

impl UpstreamState {
    /// An id for the request that is enqueued next.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Enqueues the line of a request whose id came from [`UpstreamState::next_id`].
    pub fn enqueue_request(&mut self, id: u64, request: UpstreamRequest, line: &str) {
        let first_byte = self.enqueued_bytes;
        self.open_requests.insert(
            id,
            OpenUpstreamRequest {
                request,
                first_byte,
            },
        );
        self.enqueued_bytes += line.len() as u64;
        self.output.extend(line.as_bytes());
    }

    /// Records that the request with this id is answered; none if no such request is open.
    pub fn close_request(&mut self, id: u64) -> Option<UpstreamRequest> {
        self.open_requests.remove(&id).map(|open| open.request)
    }

    /// Requests that are open on the connection.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Bytes to be written next; more may follow once they are.
    pub fn unsent(&self) -> &[u8] {
        self.output.as_slices().0
    }

    /// Records that so many bytes were written.
    pub fn record_write(&mut self, bytes: usize) {
        self.output.drain(..bytes);
        self.written_bytes += bytes as u64;
    }

    /// The connection has ended: removes and returns its open requests.
    pub fn interrupt_requests(&mut self) -> Vec<InterruptedRequest> {
        let written_bytes = self.written_bytes;
        std::mem::take(&mut self.open_requests)
            .into_values()
            .map(|open| InterruptedRequest {
                request: open.request,
                may_have_arrived: open.first_byte < written_bytes,
            })
            .collect()
    }

    /// Appends received bytes and returns the lines that are complete now.
    ///
    /// # Errors
    /// [`LineTooLong`] once an unfinished line has more than `max_line_bytes`.
    pub fn receive_bytes(
        &mut self,
        bytes: &[u8],
        max_line_bytes: usize,
    ) -> Result<Vec<Vec<u8>>, LineTooLong> {
        self.input.extend_from_slice(bytes);
        let mut lines = Vec::new();
        let mut line_start = 0;
        while let Some(length) = self.input[line_start..].iter().position(|b| *b == b'\n') {
            lines.push(self.input[line_start..line_start + length].to_vec());
            line_start += length + 1;
        }
        self.input.drain(..line_start);
        if self.input.len() > max_line_bytes {
            return Err(LineTooLong);
        }
        Ok(lines)
    }
}
