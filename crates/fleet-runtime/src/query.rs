//! Queries to a running member over UDP, for command-line tools and tests.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use membership::packet::{ViewSummary, MAX_DATAGRAM_LEN};
use membership::{Body, MemberRecord, Name, Packet};
use shared_state::{Message, SharedStateSnapshot};

/// Time without an answer after which a query is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A member's view of the fleet.
#[derive(Clone, Debug)]
pub struct QueryReply {
    /// The member that answered.
    pub responder: MemberRecord,
    /// The summary of its view.
    pub summary: ViewSummary,
    /// All members that it knows, in the order of their names.
    pub members: Vec<MemberRecord>,
}

/// The fleet's shared state as a member knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedStateReply {
    /// The member that answered.
    pub responder: MemberRecord,
    /// Its budgets, counts and health observations.
    pub state: SharedStateSnapshot,
}

/// The reason why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// No answer was received in time.
    #[error("{address}: no answer; check that this is the UDP address of a member of this fleet")]
    NoAnswer {
        /// The address that was queried.
        address: SocketAddr,
    },
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Queries the member at `address` for its view of the fleet, page by page. Takes at most about
/// `timeout`.
///
/// # Errors
/// No answer was received in time, or the socket failed.
pub fn query_members(
    address: SocketAddr,
    fleet: &str,
    timeout: Duration,
) -> Result<QueryReply, QueryError> {
    let mut client = QueryClient::open(address, fleet, timeout)?;
    let mut members: Vec<MemberRecord> = Vec::new();
    let mut after: Name = "".into();
    let mut seq = 0;
    loop {
        seq += 1;
        client.send(Body::Query {
            seq,
            after: after.clone(),
        })?;
        // Without an answer in time, the same page is requested again.
        let Some(page) = client.receive_page(seq)? else {
            continue;
        };
        members.extend(page.members);
        match members.last() {
            Some(last) if page.has_more => after = last.name.clone(),
            _ => {
                return Ok(QueryReply {
                    responder: page.responder,
                    summary: page.summary,
                    members,
                })
            }
        }
    }
}

/// Queries the member at `address` for its shared state. Takes at most about `timeout`.
///
/// # Errors
/// No answer was received in time, or the socket failed.
pub fn query_shared_state(
    address: SocketAddr,
    fleet: &str,
    timeout: Duration,
) -> Result<SharedStateReply, QueryError> {
    let mut client = QueryClient::open(address, fleet, timeout)?;
    client.socket.set_read_timeout(Some(RETRY_INTERVAL))?;
    for seq in 1.. {
        client.send(Body::ApplicationMessage(
            Message::SnapshotRequest(seq).encode(),
        ))?;
        if client.has_expired() {
            break;
        }
        if let Some(reply) = client.receive().and_then(shared_state_reply) {
            return Ok(reply);
        }
    }
    Err(QueryError::NoAnswer { address })
}

fn shared_state_reply(packet: Packet) -> Option<SharedStateReply> {
    let responder = packet.sender?;
    let Body::ApplicationMessage(bytes) = packet.body else {
        return None;
    };
    match Message::decode(&bytes)? {
        Message::SnapshotReply(_, state) => Some(SharedStateReply { responder, state }),
        _ => None,
    }
}

/// A page of a member's view.
struct MemberPage {
    responder: MemberRecord,
    summary: ViewSummary,
    members: Vec<MemberRecord>,
    has_more: bool,
}

/// The client side of one query.
struct QueryClient<'a> {
    socket: UdpSocket,
    address: SocketAddr,
    fleet: &'a str,
    expires_at: Instant,
    buffer: [u8; MAX_DATAGRAM_LEN + 1],
}

impl<'a> QueryClient<'a> {
    fn open(address: SocketAddr, fleet: &'a str, timeout: Duration) -> io::Result<QueryClient<'a>> {
        let socket = UdpSocket::bind(local_address_for(address))?;
        Ok(QueryClient {
            socket,
            address,
            fleet,
            expires_at: Instant::now() + timeout,
            buffer: [0; MAX_DATAGRAM_LEN + 1],
        })
    }

    fn has_expired(&self) -> bool {
        Instant::now() >= self.expires_at
    }

    fn send(&self, body: Body) -> io::Result<()> {
        let query = Packet {
            fleet: self.fleet.into(),
            sender: None,
            body,
            updates: Vec::new(),
        };
        self.socket.send_to(&query.encode(), self.address)?;
        Ok(())
    }

    /// Receives the next datagram. Returns `None` if there is none within the socket's timeout, or
    /// it can't be decoded.
    fn receive(&mut self) -> Option<Packet> {
        let length = self.socket.recv(&mut self.buffer).ok()?;
        Packet::decode(&self.buffer[..length], self.fleet).ok()
    }

    /// Waits for the reply with this sequence number. Returns `None` if it is not received within
    /// the retry interval.
    fn receive_page(&mut self, seq: u32) -> Result<Option<MemberPage>, QueryError> {
        let sent_at = Instant::now();
        loop {
            if self.has_expired() {
                let address = self.address;
                return Err(QueryError::NoAnswer { address });
            }
            let remaining = RETRY_INTERVAL.saturating_sub(sent_at.elapsed());
            if remaining.is_zero() {
                return Ok(None);
            }
            self.socket.set_read_timeout(Some(remaining))?;
            if let Some(page) = self.receive().and_then(|packet| member_page(packet, seq)) {
                return Ok(Some(page));
            }
        }
    }
}

fn member_page(packet: Packet, expected_seq: u32) -> Option<MemberPage> {
    let responder = packet.sender?;
    match packet.body {
        Body::QueryReply {
            seq,
            has_more,
            summary,
        } if seq == expected_seq => Some(MemberPage {
            responder,
            summary,
            members: packet.updates,
            has_more,
        }),
        _ => None,
    }
}

/// Returns the local address to bind in order to reach a member at `address`.
fn local_address_for(address: SocketAddr) -> SocketAddr {
    match address {
        SocketAddr::V4(v4) if v4.ip().is_loopback() => (Ipv4Addr::LOCALHOST, 0).into(),
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}
