//! The known state of one member, and which of two states takes precedence. Only these functions
//! decide how a received state changes a view. The view adds timing and addressing; the model
//! checker runs these functions under loss and delay.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a member, a site or a fleet.
pub type Name = Arc<str>;

/// The status that a member advertises about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AdvertisedStatus {
    /// The member is running but does not serve requests yet.
    Joining,
    /// The member serves requests.
    Up,
    /// The member serves the requests that arrive and asks for no new ones.
    Quiesced,
    /// The member is shutting down and completes the requests that it has.
    Leaving,
    /// The member has left the fleet. This is final for the incarnation.
    Left,
}

/// The conclusion of the other members on whether a member is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// The member answers probes, or no other member has found that it does not.
    Alive,
    /// A probe of the member failed. The member can still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
}

/// The state of a member, as it is compared between views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberState {
    /// Identifies one process of the member. Increases with each start.
    pub incarnation: u64,
    /// SWIM's incarnation number. Only the member itself increments it, with each change of its
    /// record and each refutation. Starts at 0 in each incarnation.
    pub version: u32,
    /// The status that the member advertises in this version.
    pub status: AdvertisedStatus,
    /// The liveness that the other members have concluded.
    pub liveness: Liveness,
}

impl MemberState {
    /// Returns the key by which states of one member are ordered. A later incarnation overrides an
    /// earlier one; within an incarnation, a later version overrides an earlier one; within a
    /// version, the worse liveness overrides the better one.
    pub fn precedence(&self) -> (u64, u32, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Returns true if the member left the fleet of its own accord in this incarnation.
    pub fn has_left(&self) -> bool {
        self.status == AdvertisedStatus::Left
    }

    /// Returns true if the member is in the fleet: it has neither left nor been declared dead.
    pub fn is_present(&self) -> bool {
        !self.has_left() && self.liveness != Liveness::Dead
    }

    /// Returns this state with another liveness.
    pub(crate) fn with_liveness(self, liveness: Liveness) -> MemberState {
        MemberState { liveness, ..self }
    }
}

/// Number of low bits of an incarnation that are random per process. Two processes that start under
/// a clock that went back may both choose an incarnation above the same one; without these bits
/// both would choose the same.
pub const INCARNATION_RANDOM_BITS: u32 = 20;

/// Returns the incarnation of a process that starts now.
///
/// `unix_ms` is the Unix time in milliseconds. Of `random`, the low 20 bits are used.
pub fn new_incarnation(unix_ms: u64, random: u64) -> u64 {
    unix_ms << INCARNATION_RANDOM_BITS | random & ((1 << INCARNATION_RANDOM_BITS) - 1)
}

/// Returns an incarnation above `received` that keeps the random bits of `own`.
fn incarnation_above(received: u64, own: u64) -> u64 {
    new_incarnation((received >> INCARNATION_RANDOM_BITS) + 1, own)
}

/// The effect of a received state of another member on the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The received state changes nothing: it is already known, or outdated.
    Ignore,
    /// The received state replaces the known one.
    Accept,
    /// The received state replaces the known one with liveness `Suspect`: this view determines
    /// itself whether the member is dead.
    Suspect,
}

/// Decides how a received state of another member changes the known one.
///
/// A report that a member is dead is not accepted while the member is known to be alive. Instead,
/// the member is suspected, which gives it time to refute. Otherwise the sides of a healed
/// partition would declare each other's live members dead.
pub fn merge(known: Option<&MemberState>, received: &MemberState) -> MergeOutcome {
    let Some(known) = known else {
        return MergeOutcome::Accept;
    };
    if received.precedence() <= known.precedence() {
        return MergeOutcome::Ignore;
    }
    let is_same_version =
        (received.incarnation, received.version) == (known.incarnation, known.version);
    match received.liveness {
        Liveness::Dead if is_same_version && known.liveness == Liveness::Suspect => {
            MergeOutcome::Ignore
        }
        Liveness::Dead if !received.has_left() && known.is_present() => MergeOutcome::Suspect,
        _ => MergeOutcome::Accept,
    }
}

/// The reaction of a member to a state of itself that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelfClaim {
    /// There is nothing to refute.
    Ignore,
    /// The claim is false. The member adopts this state, which overrides the claim.
    Refute(MemberState),
    /// Another process uses the name in a later incarnation.
    Superseded,
}

/// Decides how a member reacts to a state of itself that it receives.
///
/// A later incarnation under the member's own name belongs to a successor, with two exceptions. If
/// that incarnation has left or is dead, the name is free again. If this process is still joining,
/// it is the newer one, whatever its clock showed at its start. In both cases this process takes a
/// higher incarnation.
pub fn evaluate_self_claim(own: &MemberState, received: &MemberState) -> SelfClaim {
    if received.incarnation > own.incarnation {
        if received.is_present() && own.status != AdvertisedStatus::Joining {
            return SelfClaim::Superseded;
        }
        return SelfClaim::Refute(MemberState {
            incarnation: incarnation_above(received.incarnation, own.incarnation),
            version: 0,
            liveness: Liveness::Alive,
            ..*own
        });
    }
    let is_false_claim = received.version > own.version
        || received.version == own.version && received.liveness > Liveness::Alive;
    if received.incarnation < own.incarnation || !is_false_claim {
        return SelfClaim::Ignore;
    }
    SelfClaim::Refute(MemberState {
        version: received.version + 1,
        liveness: Liveness::Alive,
        ..*own
    })
}

/// Returns the state of a member after a failed probe, or `None` if the member is not alive or has
/// left.
pub fn suspect(known: &MemberState) -> Option<MemberState> {
    let can_be_suspected = known.liveness == Liveness::Alive && !known.has_left();
    can_be_suspected.then_some(known.with_liveness(Liveness::Suspect))
}

/// Returns the state of a suspect that did not refute the suspicion in time, or `None` if the
/// member is not suspected.
pub fn declare_dead(known: &MemberState) -> Option<MemberState> {
    let is_suspect = known.liveness == Liveness::Suspect;
    is_suspect.then_some(known.with_liveness(Liveness::Dead))
}

/// The record of a member: its identity, its addresses and its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's name.
    pub name: Name,
    /// The site where the member runs, as operators name sites.
    pub site: Name,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The address to which the member's clients connect. `None` for a member that has no clients.
    pub client_address: Option<SocketAddr>,
    /// The member's state.
    pub state: MemberState,
    /// Hash of the name of the member that suspects this one, or 0 if none does.
    pub suspected_by: u32,
}

/// Maximum encoded size of an IPv4 address and its port, in bytes: a tag, 4 bytes of address, and a
/// port of at most 3 bytes.
const MAX_IPV4_ADDRESS_LEN: usize = 8;
/// Maximum encoded size of an IPv6 address and its port, in bytes: a tag, 16 bytes of address, and
/// a port of at most 3 bytes.
const MAX_IPV6_ADDRESS_LEN: usize = 20;
/// Maximum encoded size of the other fields of a record, in bytes: two lengths, the incarnation at
/// most 10, the version and the suspecting member at most 5 each, three tags.
const MAX_FIXED_FIELDS_LEN: usize = 2 + 10 + 5 + 5 + 3;

impl MemberRecord {
    /// Returns an upper bound of the record's size in a datagram, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let address_len = |address: &SocketAddr| match address {
            SocketAddr::V4(_) => MAX_IPV4_ADDRESS_LEN,
            SocketAddr::V6(_) => MAX_IPV6_ADDRESS_LEN,
        };
        self.name.len()
            + self.site.len()
            + address_len(&self.address)
            + self.client_address.as_ref().map_or(0, address_len)
            + MAX_FIXED_FIELDS_LEN
    }

    /// Returns true if new requests may be sent to the member.
    pub fn accepts_requests(&self) -> bool {
        self.client_address.is_some()
            && self.state.is_present()
            && self.state.status == AdvertisedStatus::Up
    }
}

/// Returns a hash of a name that is the same on every machine.
pub fn hash_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
