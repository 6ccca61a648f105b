//! Datagrams as values, and their bytes: a mark, the version, `postcard`, and a checksum, as what goes wrong on the way
//! must not become a word on anybody.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::table::BUCKETS;
use crate::word::{Name, Record};

/// First bytes of each datagram.
const MARK: [u8; 3] = *b"mwf";
/// The version of what follows; others are dropped.
pub const VERSION: u8 = 1;
/// Bytes of the checksum at the end.
const CHECK: usize = 4;
/// Bytes of a name, a site or a fleet's name at most.
pub const NAME: usize = 64;
/// The longest datagram that is looked at.
pub const LONGEST: usize = 1400;
/// Lives and incarnations from here on are no true ones: there must be room above to object in.
const HIGHEST_LIFE: u64 = 1 << 62;
const HIGHEST_INCARNATION: u32 = 1 << 31;

/// A datagram between members, or between a member and who asks it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The fleet's name: members of others are passed over.
    pub fleet: Name,
    /// Who sends it, with its own word. None for one that only asks.
    pub from: Option<Record>,
    /// What it wants or says.
    pub body: Body,
    /// News carried along.
    pub news: Vec<Record>,
}

/// What a datagram wants or says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? An acknowledgement under this number is wanted.
    Ping {
        /// The asker's number.
        seq: u32,
        /// Who is meant.
        name: Name,
    },
    /// Yes.
    Ack {
        /// The asker's number.
        seq: u32,
        /// The digest of the answerer's view.
        digest: u64,
    },
    /// Ask that member for me.
    Errand {
        /// The asker's number.
        seq: u32,
        /// Who is meant.
        name: Name,
        /// Where it is.
        at: SocketAddr,
    },
    /// I asked for you, and have no answer so far.
    Nack {
        /// The asker's number.
        seq: u32,
    },
    /// News only.
    Gossip,
    /// The sums of the sender's view: what differs is wanted, and offered.
    Compare {
        /// One for each bucket of names.
        sums: Vec<u64>,
        /// It answers one: no other is wanted.
        answer: bool,
    },
    /// Records of the sender's table, as a comparison asked for.
    Page,
    /// A message of what stands on the view, in its own encoding.
    Carried(Vec<u8>),
    /// What do you see? Asked by tools.
    Query {
        /// The asker's number.
        seq: u32,
        /// Names after this one.
        after: Name,
    },
    /// Members by their names, in `news`.
    Answer {
        /// The asker's number.
        seq: u32,
        /// Others follow.
        more: bool,
        /// What the answerer concludes of itself, for people.
        summary: Summary,
    },
}

/// What a member tells of its view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Its conclusion: `whole`, `part` or `alone`.
    pub conclusion: Name,
    /// Milliseconds for which that has held.
    pub for_ms: u64,
    /// The digest of its view.
    pub digest: u64,
    /// Members that are there, itself included.
    pub present: u32,
    /// Members that are gone without having said so.
    pub lost: u32,
    /// Points of bad health of its own.
    pub health: u32,
    /// Datagrams dropped since its start.
    pub dropped: u64,
}

/// Why bytes are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Not marked as a datagram between members.
    Foreign,
    /// Of another version.
    Version,
    /// Of another fleet.
    Fleet,
    /// Cut, garbled, or longer than any.
    Garbled,
    /// Whole, and out of bounds in what it says.
    Bounds,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Malformed::Foreign => "no datagram of a fleet",
            Malformed::Version => "another version",
            Malformed::Fleet => "another fleet",
            Malformed::Garbled => "cut or garbled",
            Malformed::Bounds => "out of bounds",
        })
    }
}
impl std::error::Error for Malformed {}

fn record_in_bounds(r: &Record) -> bool {
    !r.name.is_empty()
        && r.name.len() <= NAME
        && r.site.len() <= NAME
        && r.word.life < HIGHEST_LIFE
        && r.word.incarnation < HIGHEST_INCARNATION
        && r.at.port() != 0
}

impl Packet {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MARK.to_vec();
        bytes.push(VERSION);
        // Serialization of these types into a growing buffer has no way to fail; an empty body would be dropped there.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        bytes.extend_from_slice(&body);
        let check = xxh3_64(&bytes) as u32;
        bytes.extend_from_slice(&check.to_le_bytes());
        bytes
    }

    /// The datagram that these bytes are, for a member of this fleet.
    pub fn decode(bytes: &[u8], fleet: &str) -> Result<Packet, Malformed> {
        if bytes.len() > LONGEST {
            return Err(Malformed::Garbled);
        }
        if bytes.len() < MARK.len() + 1 + CHECK || bytes[..MARK.len()] != MARK {
            return Err(Malformed::Foreign);
        }
        if bytes[MARK.len()] != VERSION {
            return Err(Malformed::Version);
        }
        let (whole, check) = bytes.split_at(bytes.len() - CHECK);
        if (xxh3_64(whole) as u32).to_le_bytes() != check {
            return Err(Malformed::Garbled);
        }
        let packet: Packet = match postcard::take_from_bytes(&whole[MARK.len() + 1..]) {
            Ok((packet, [])) => packet,
            _ => return Err(Malformed::Garbled),
        };
        if &*packet.fleet != fleet {
            return Err(Malformed::Fleet);
        }
        let named = match &packet.body {
            Body::Ping { name, .. } | Body::Errand { name, .. } => {
                !name.is_empty() && name.len() <= NAME
            }
            Body::Compare { sums, .. } => sums.len() == BUCKETS,
            _ => true,
        };
        let records = packet.from.iter().chain(&packet.news).all(record_in_bounds);
        if named && records {
            Ok(packet)
        } else {
            Err(Malformed::Bounds)
        }
    }
}
