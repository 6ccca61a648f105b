//! State machine of a connection to a node, without its socket: the open requests, the bytes to be
//! written, and which requests may have reached the node.

use std::collections::{BTreeMap, VecDeque};

use routing::Ticket;

/// Purpose of a request on an upstream connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamRequest {
    /// An attempt of the routed request with this ticket.
    Attempt(Ticket),
    /// A health check by the router.
    HealthCheck,
}

/// A request that was open when its connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedRequest {
    /// Purpose of the request.
    pub request: UpstreamRequest,
    /// True if any byte of the request was written, so that the node may have received it.
    pub may_have_arrived: bool,
}

/// A node sent a line that is longer than any answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node sent a line that exceeds the maximum length")]
pub struct LineTooLong;

/// The state of a connection to a node.
#[derive(Default)]
pub struct UpstreamState {
    last_id: u64,
    open_requests: BTreeMap<u64, OpenUpstreamRequest>,
    output: VecDeque<u8>,
    /// Number of bytes enqueued since the connection was opened.
    enqueued_bytes: u64,
    /// Number of bytes written since the connection was opened.
    written_bytes: u64,
    input: Vec<u8>,
    /// True if the node has sent a close notice: it gets no new requests on this connection.
    pub has_close_notice: bool,
    /// True if the connection is established.
    pub is_connected: bool,
}

struct OpenUpstreamRequest {
    request: UpstreamRequest,
    /// Position of the first byte of the request among all enqueued bytes.
    first_byte: u64,
}

impl UpstreamState {
    /// Returns an id for the next request.
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

    /// Closes the request with this id, which was answered. Returns `None` if no such request is
    /// open.
    pub fn close_request(&mut self, id: u64) -> Option<UpstreamRequest> {
        self.open_requests.remove(&id).map(|open| open.request)
    }

    /// Returns the number of open requests on the connection.
    pub fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Returns bytes to be written next. There may be more after these are written.
    pub fn unsent(&self) -> &[u8] {
        self.output.as_slices().0
    }

    /// Records that this number of bytes was written.
    pub fn record_write(&mut self, bytes: usize) {
        self.output.drain(..bytes);
        self.written_bytes += bytes as u64;
    }

    /// Removes and returns the open requests of a connection that was closed.
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
    /// [`LineTooLong`] if an incomplete line has more than `max_line_bytes`.
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
