//! What is known of one member, and which of two states takes precedence. These functions alone decide how a received
//! state changes a view; the view adds timing and addressing, and the model checker runs them under loss and delay.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a member, a site or a fleet.
pub type Name = Arc<str>;

/// The status that a member advertises of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AdvertisedStatus {
    /// It runs and does not serve yet.
    Joining,
    /// It serves.
    Up,
    /// It serves the requests that arrive and asks for no new ones.
    Quiesced,
    /// It is shutting down and completes the requests that it has.
    Leaving,
    /// It has left the fleet; final for this incarnation.
    Left,
}

/// Whether the other members consider a member to be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// It answers probes, or nobody has found that it does not.
    Alive,
    /// A probe of it failed; it can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// The state of a member, as it is compared between views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberState {
    /// Identifies one run of the member's process; higher with each start.
    pub incarnation: u64,
    /// SWIM's incarnation number: raised by the member alone, with each change of its record and each refutation. Starts
    /// at 0 in each incarnation.
    pub version: u32,
    /// What the member advertises as of this version.
    pub status: AdvertisedStatus,
    /// What the other members have concluded.
    pub liveness: Liveness,
}

impl MemberState {
    /// The key by which states of one member are ordered: a later incarnation overrides an earlier one, within it a later
    /// version an earlier one, within that the worse liveness the better one.
    pub fn precedence(&self) -> (u64, u32, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Whether the member has left the fleet on its own account in this incarnation.
    pub fn has_left(&self) -> bool {
        self.status == AdvertisedStatus::Left
    }

    /// Whether the member is in the fleet: neither left nor dead.
    pub fn is_present(&self) -> bool {
        !self.has_left() && self.liveness != Liveness::Dead
    }

    /// This state with another liveness.
    pub(crate) fn with_liveness(self, liveness: Liveness) -> MemberState {
        MemberState { liveness, ..self }
    }
}

/// Low bits of an incarnation that are random per process. Two processes that start under a clock that went back may both
/// choose an incarnation above the same one; without these bits both would choose the same.
pub const INCARNATION_RANDOM_BITS: u32 = 20;

/// The incarnation of a process that starts now.
///
/// `unix_ms` is the clock in milliseconds; of `random` the low 20 bits are used.
pub fn new_incarnation(unix_ms: u64, random: u64) -> u64 {
    unix_ms << INCARNATION_RANDOM_BITS | random & ((1 << INCARNATION_RANDOM_BITS) - 1)
}

/// An incarnation above `received` that keeps the random bits of `own`.
fn incarnation_above(received: u64, own: u64) -> u64 {
    new_incarnation((received >> INCARNATION_RANDOM_BITS) + 1, own)
}

/// How a received state of another member changes the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It changes nothing: it is known already, or outdated.
    Ignore,
    /// It replaces the known state.
    Accept,
    /// It replaces the known state, as a suspicion: this view determines itself whether the member is dead.
    Suspect,
}

/// Decides how a received state of another member changes the known one.
///
/// A report that a member is dead is not believed while the member is known as alive: it is suspected and gets time to
/// refute. Otherwise the sides of a healed partition would declare each other's living members dead.
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

/// How a member reacts to a state that it receives of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelfClaim {
    /// There is nothing to refute.
    Ignore,
    /// The claim is false: this is the member's state from now on.
    Refute(MemberState),
    /// Another process uses the name, in a later incarnation.
    Superseded,
}

/// Decides how a member reacts to a state that it receives of itself.
///
/// A later incarnation under the own name belongs to a successor, unless it has ended or this process is still joining:
/// then this process is the younger one, whatever the clock was at its start, and takes a higher incarnation.
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

/// The state of a member whose probe failed; none where it is not alive or has left.
pub fn suspect(known: &MemberState) -> Option<MemberState> {
    let can_be_suspected = known.liveness == Liveness::Alive && !known.has_left();
    can_be_suspected.then_some(known.with_liveness(Liveness::Suspect))
}

/// The state of a suspect that did not refute the suspicion in time; none where it is not suspected.
pub fn declare_dead(known: &MemberState) -> Option<MemberState> {
    let is_suspect = known.liveness == Liveness::Suspect;
    is_suspect.then_some(known.with_liveness(Liveness::Dead))
}

/// What is known of a member: who and where it is, and its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's name.
    pub name: Name,
    /// The site where it runs, as operators name sites.
    pub site: Name,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where its clients connect; none for a member that has no clients.
    pub client_address: Option<SocketAddr>,
    /// Its state.
    pub state: MemberState,
    /// Who suspects it: a hash of that member's name, 0 for nobody.
    pub suspected_by: u32,
}

/// Most bytes of an IPv4 address and its port in a datagram: a tag, 4 bytes, and a port of at most 3.
const MAX_IPV4_ADDRESS_LEN: usize = 8;
/// Most bytes of an IPv6 address and its port in a datagram: a tag, 16 bytes, and a port of at most 3.
const MAX_IPV6_ADDRESS_LEN: usize = 20;
/// Most bytes of the other fields of a record: two lengths, the incarnation at most 10, the version and the suspecting
/// member at most 5 each, three tags.
const MAX_FIXED_FIELDS_LEN: usize = 2 + 10 + 5 + 5 + 3;

impl MemberRecord {
    /// An upper bound of the record's size in a datagram, in bytes.
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

    /// Whether new requests may be sent to the member.
    pub fn accepts_requests(&self) -> bool {
        self.client_address.is_some()
            && self.state.is_present()
            && self.state.status == AdvertisedStatus::Up
    }
}

/// A hash of a name that is the same on every machine.
pub fn hash_name(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
