//! Datagrams as values, and their encoding: magic bytes, a version, `postcard`, and a checksum, so
//! that a datagram that was corrupted in transit changes no member's state.
//!
//! `postcard` encodes by position: the order of fields and variants is the wire format and must not
//! change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::member_state::{MemberRecord, Name};
use crate::member_table::BUCKET_COUNT;

/// First bytes of each datagram.
const MAGIC: [u8; 3] = *b"mwf";
/// Version of the encoding. Datagrams of other versions are dropped.
pub const PROTOCOL_VERSION: u8 = 1;
/// Length of the checksum at the end, in bytes.
const CHECKSUM_LEN: usize = 4;
/// Maximum length of the name of a member, a site or a fleet, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// Maximum length of a datagram that is decoded, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1400;
/// Incarnations from this value on are rejected, so that a refutation can always use a higher one.
const INCARNATION_LIMIT: u64 = 1 << 62;
/// Versions from this value on are rejected, so that a refutation can always use a higher one.
const VERSION_LIMIT: u32 = 1 << 31;

/// A datagram between members, or between a member and a tool that queries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The fleet's name. Members of other fleets drop the datagram.
    pub fleet: Name,
    /// The sender's own record. `None` for a tool that only queries.
    pub sender: Option<MemberRecord>,
    /// The message.
    pub body: Body,
    /// Records of other members: piggybacked gossip, or the content of a page or reply.
    pub updates: Vec<MemberRecord>,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks the target for an acknowledgement.
    Ping {
        /// The sender's sequence number.
        seq: u32,
        /// The member that must answer.
        target: Name,
    },
    /// Acknowledges a ping.
    Ack {
        /// The sequence number of the ping.
        seq: u32,
        /// The digest of the answering member's view.
        digest: u64,
    },
    /// Asks the receiver to ping the target on the sender's behalf (SWIM's ping-req).
    PingRequest {
        /// The sender's sequence number.
        seq: u32,
        /// The member to ping.
        target: Name,
        /// The target's address.
        address: SocketAddr,
    },
    /// Reports that a ping sent on the receiver's behalf has not been answered yet.
    Nack {
        /// The sequence number of the request.
        seq: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Compares views by the checksums of their buckets. The receiver sends its records of the
    /// buckets that differ.
    CompareChecksums {
        /// The checksum of each bucket of names.
        checksums: Vec<u64>,
        /// True if this answers a comparison, so that no further answer is needed.
        is_reply: bool,
    },
    /// Carries records of the sender's view, in answer to a comparison.
    RecordPage,
    /// A message of a layer above membership, in its own encoding.
    ApplicationMessage(Vec<u8>),
    /// Asks for the receiver's view; sent by tools.
    Query {
        /// The sender's sequence number.
        seq: u32,
        /// The reply covers the members whose names sort after this one.
        after: Name,
    },
    /// Answers a query. `updates` contains members in the order of their names.
    QueryReply {
        /// The sequence number of the query.
        seq: u32,
        /// True if there are further members after these.
        has_more: bool,
        /// A summary of the answering member's view.
        summary: ViewSummary,
    },
}

/// A summary of a member's view, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewSummary {
    /// The partition status: `whole`, `part` or `alone`.
    pub partition_status: Name,
    /// Duration for which the view has had this partition status, in milliseconds.
    pub status_age_ms: u64,
    /// The digest of the view.
    pub digest: u64,
    /// Number of members that are present, including the answering one.
    pub present: u32,
    /// Number of members that were declared dead without having left.
    pub lost: u32,
    /// The local health score; 0 for a healthy node.
    pub local_health: u32,
    /// Number of datagrams dropped since the member's start.
    pub dropped: u64,
}

/// The reason why bytes could not be decoded as a datagram of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The magic bytes are missing.
    #[error("not a fleet datagram")]
    UnknownProtocol,
    /// The encoding has an unsupported version.
    #[error("unsupported protocol version")]
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    #[error("datagram of another fleet")]
    WrongFleet,
    /// The datagram is truncated, corrupted or too long.
    #[error("truncated, corrupted or too long")]
    Corrupt,
    /// The datagram is intact, but contains a value that is out of bounds.
    #[error("value out of bounds")]
    OutOfBounds,
}

fn is_record_in_bounds(record: &MemberRecord) -> bool {
    !record.name.is_empty()
        && record.name.len() <= MAX_NAME_LEN
        && record.site.len() <= MAX_NAME_LEN
        && record.state.incarnation < INCARNATION_LIMIT
        && record.state.version < VERSION_LIMIT
        && record.address.port() != 0
}

fn is_body_in_bounds(body: &Body) -> bool {
    match body {
        Body::Ping { target, .. } | Body::PingRequest { target, .. } => {
            !target.is_empty() && target.len() <= MAX_NAME_LEN
        }
        Body::CompareChecksums { checksums, .. } => checksums.len() == BUCKET_COUNT,
        _ => true,
    }
}

impl Packet {
    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(PROTOCOL_VERSION);
        // These types always serialize into a growable buffer. An empty body would be dropped by
        // the receiver.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(&body);
        let checksum = xxh3_64(&bytes) as u32;
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a datagram received by a member of this fleet.
    ///
    /// # Errors
    /// Returns the first check that failed; see [`DecodeError`].
    pub fn decode(bytes: &[u8], fleet: &str) -> Result<Packet, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_LEN {
            return Err(DecodeError::Corrupt);
        }
        if bytes.len() < MAGIC.len() + 1 + CHECKSUM_LEN || bytes[..MAGIC.len()] != MAGIC {
            return Err(DecodeError::UnknownProtocol);
        }
        if bytes[MAGIC.len()] != PROTOCOL_VERSION {
            return Err(DecodeError::UnsupportedVersion);
        }
        let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_LEN);
        if (xxh3_64(content) as u32).to_le_bytes() != checksum {
            return Err(DecodeError::Corrupt);
        }
        let packet: Packet = match postcard::take_from_bytes(&content[MAGIC.len() + 1..]) {
            Ok((packet, [])) => packet,
            _ => return Err(DecodeError::Corrupt),
        };
        if &*packet.fleet != fleet {
            return Err(DecodeError::WrongFleet);
        }
        let mut records = packet.sender.iter().chain(&packet.updates);
        if is_body_in_bounds(&packet.body) && records.all(is_record_in_bounds) {
            Ok(packet)
        } else {
            Err(DecodeError::OutOfBounds)
        }
    }
}
