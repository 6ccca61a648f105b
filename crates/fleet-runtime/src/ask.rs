//! Questions that tools ask a member.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use membership::packet::{ViewSummary, MAX_DATAGRAM_LEN};
use membership::{Body, MemberRecord, Name, Packet};
use shared_state::{Message, SharedStateSnapshot};

/// What a member told of its view.
#[derive(Clone, Debug)]
pub struct Told {
    /// The member.
    pub me: MemberRecord,
    /// What it concludes.
    pub summary: ViewSummary,
    /// All it holds, by name.
    pub members: Vec<MemberRecord>,
}

/// Why a member told nothing.
#[derive(Debug)]
pub enum AskError {
    /// No answer came in time.
    Silent(SocketAddr),
    /// The socket failed.
    System(io::Error),
}
impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AskError::Silent(at) => {
                write!(
                    f,
                    "{at}: no answer; is it the fleet's address of a member of this fleet?"
                )
            }
            AskError::System(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for AskError {}
impl From<io::Error> for AskError {
    fn from(e: io::Error) -> AskError {
        AskError::System(e)
    }
}

/// How long one page may take before it is asked for again.
const TRY: Duration = Duration::from_millis(150);

/// A socket for questions to this address.
fn socket(at: SocketAddr) -> io::Result<UdpSocket> {
    let own: SocketAddr = match at {
        SocketAddr::V4(at) if at.ip().is_loopback() => (Ipv4Addr::LOCALHOST, 0).into(),
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    UdpSocket::bind(own)
}

/// Asks the member at this address what it holds of budgets, for so long at most.
pub fn look(
    at: SocketAddr,
    fleet: &str,
    most: Duration,
) -> Result<(MemberRecord, SharedStateSnapshot), AskError> {
    let socket = socket(at)?;
    let end = Instant::now() + most;
    let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
    socket.set_read_timeout(Some(TRY))?;
    for seq in 1.. {
        let body = Body::ApplicationMessage(Message::SnapshotRequest(seq).encode());
        let question = Packet {
            fleet: fleet.into(),
            sender: None,
            body,
            updates: Vec::new(),
        };
        socket.send_to(&question.encode(), at)?;
        if Instant::now() >= end {
            break;
        }
        let Ok(n) = socket.recv(&mut bytes) else {
            continue;
        };
        let Ok(packet) = Packet::decode(&bytes[..n], fleet) else {
            continue;
        };
        let Packet {
            sender: Some(me),
            body: Body::ApplicationMessage(told),
            ..
        } = packet
        else {
            continue;
        };
        if let Some(Message::SnapshotReply(_, look)) = Message::decode(&told) {
            return Ok((me, look));
        }
    }
    Err(AskError::Silent(at))
}

/// Asks the member at this address what it sees, for so long at most.
pub fn ask(at: SocketAddr, fleet: &str, most: Duration) -> Result<Told, AskError> {
    let socket = socket(at)?;
    let end = Instant::now() + most;
    let mut members: Vec<MemberRecord> = Vec::new();
    let (mut seq, mut after): (u32, Name) = (0, "".into());
    let mut bytes = [0; MAX_DATAGRAM_LEN + 1];
    loop {
        seq += 1;
        let body = Body::Query {
            seq,
            after: after.clone(),
        };
        let question = Packet {
            fleet: fleet.into(),
            sender: None,
            body,
            updates: Vec::new(),
        };
        socket.send_to(&question.encode(), at)?;
        let asked = Instant::now();
        loop {
            if Instant::now() >= end {
                return Err(AskError::Silent(at));
            }
            let left = TRY.saturating_sub(asked.elapsed());
            if left.is_zero() {
                break;
            }
            socket.set_read_timeout(Some(left))?;
            // No answer yet, or what came is none: the page is asked for again in time.
            let Ok(n) = socket.recv(&mut bytes) else {
                continue;
            };
            let Ok(packet) = Packet::decode(&bytes[..n], fleet) else {
                continue;
            };
            let Packet {
                sender: Some(me),
                body:
                    Body::QueryReply {
                        seq: to,
                        has_more: more,
                        summary,
                    },
                updates: news,
                ..
            } = packet
            else {
                continue;
            };
            if to != seq {
                continue;
            }
            members.extend(news);
            match members.last() {
                Some(last) if more => after = last.name.clone(),
                _ => {
                    return Ok(Told {
                        me,
                        summary,
                        members,
                    })
                }
            }
            break;
        }
    }
}
