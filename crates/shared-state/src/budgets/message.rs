//! Messages between nodes about shared state. They are encoded by `postcard`, by position: the order of variants and fields
//! is the wire format.

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
    /// The leader's term, as the holder knows it. A request under another term is answered with the present one and otherwise
    /// ignored: it may describe what was long ago.
    pub term: Term,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Sequence number; rises with each request.
    pub seq: u64,
    /// The request whose grant is in force at the holder.
    pub applied_seq: u64,
    /// For each budget, units that may be in use and units that could be.
    pub usage: Vec<QuotaUsage>,
}

/// A message between nodes about shared state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters of the leader's election.
    Vote(Vote),
    /// A holder's requests for quota, one for each budget.
    LeaseRequest(HolderRequest),
    /// A leader's answer to a request.
    LeaseGrant {
        /// The leader's term.
        term: Term,
        /// Sequence number of the request.
        seq: u64,
        /// For each budget, units that may be spent.
        units: Vec<Units>,
    },
    /// Announces a leader and its term.
    Leader(Name, Term),
    /// A tool asks for a snapshot, under a number of its own.
    SnapshotRequest(u32),
    /// The answer to [`Message::SnapshotRequest`] with that number.
    SnapshotReply(u32, SharedStateSnapshot),
    /// Counts and health observations, which are independent of budgets.
    Aggregation(AggregationMessage),
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // These types can't fail to serialize into a growing buffer; no bytes at all decode to no message.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` for bytes that are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
