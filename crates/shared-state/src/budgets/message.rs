//! Messages between nodes about shared state. `postcard` encodes them by position: the order of
//! variants and fields is the wire format.

use membership::Name;
use serde::{Deserialize, Serialize};

use super::{QuotaUsage, SharedStateSnapshot, Units};
use crate::aggregation::AggregationMessage;
use crate::election::{Term, Vote};

/// A message to a node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing<M = Message> {
    /// Name of the receiving node.
    pub to: Name,
    /// The message.
    pub message: M,
}

/// A holder's requests for quota of all budgets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderRequest {
    /// The leader's term that the holder knows. A request with another term is answered with the
    /// present term and otherwise ignored, because the usage that it reports may be long outdated.
    pub term: Term,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Sequence number; increases with each request.
    pub seq: u64,
    /// Sequence number of the request whose grant is in force at the holder.
    pub applied_seq: u64,
    /// For each budget, the units that may be in use and the units that could be.
    pub usage: Vec<QuotaUsage>,
}

/// A message between nodes about shared state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message between voters in the election of the leader.
    Vote(Vote),
    /// A holder's requests for quota, one for each budget.
    LeaseRequest(HolderRequest),
    /// A leader's answer to a request.
    LeaseGrant {
        /// The leader's term.
        term: Term,
        /// Sequence number of the request.
        seq: u64,
        /// For each budget, the units that may be spent.
        units: Vec<Units>,
    },
    /// Announces a leader and its term.
    Leader(Name, Term),
    /// A tool's request for a snapshot, with a number chosen by the tool.
    SnapshotRequest(u32),
    /// The answer to the [`Message::SnapshotRequest`] with the same number.
    SnapshotReply(u32, SharedStateSnapshot),
    /// Counts and health observations. They are independent of budgets.
    Aggregation(AggregationMessage),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types into a growing buffer can't fail. An empty buffer decodes to no
        // message.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message. Returns `None` if the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
