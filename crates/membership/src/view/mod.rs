//! A node's view of its fleet: its state, and the queries by which other parts of the process
//! read it. Each submodule implements one part of the protocol.

mod anti_entropy;
mod dissemination;
mod packets;
mod partition;
mod probing;
mod queries;
mod reconnect;
mod self_defence;
mod suspicion;
mod timers;

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::member_state::{AdvertisedStatus, Liveness, MemberRecord, MemberState, Name};
use crate::member_table::{MemberEntry, MemberTable};
use crate::packet::Packet;
use crate::probe::{IndirectProbe, Probe};
use crate::Settings;

use anti_entropy::ReplyBudget;
pub use partition::PartitionStatus;

/// An output of a view that its caller acts on.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// A member is new, or its record has changed. Intended for logs: the members themselves are
    /// read from [`MembershipView::members`].
    MemberChanged(MemberRecord),
}

/// A node's view of its fleet.
///
/// Times are durations since an arbitrary start that the caller chooses. They never decrease.
#[derive(Clone, Debug)]
pub struct MembershipView {
    settings: Settings,
    fleet: Name,
    /// This member's own record. Equal to the one in the table, unless another process uses the
    /// name.
    own: MemberRecord,
    /// Time of the last contact with the successor, which is the process that now uses the name.
    /// `None` if there is no successor.
    successor_last_contact_at: Option<Duration>,
    is_muted: bool,
    seeds: Vec<SocketAddr>,
    members: MemberTable,
    suspects: BTreeSet<Name>,
    /// Members that remain to be probed in this round. The last one is probed next.
    probe_queue: Vec<Name>,
    probe: Option<Probe>,
    indirect_probes: VecDeque<IndirectProbe>,
    last_seq: u32,
    local_health: u32,
    /// Number of consecutive acknowledgements that carried a different digest.
    digest_mismatches: u32,
    next_probe_at: Duration,
    next_gossip_at: Duration,
    next_comparison_at: Duration,
    next_reconnect_at: Duration,
    comparison_replies: ReplyBudget,
    partition_status: PartitionStatus,
    partition_status_since: Duration,
    /// True if any other member has ever been known.
    has_known_others: bool,
    /// Time at which the last datagram from any other member was received.
    last_contact_at: Duration,
    /// True if a record has changed since this node last began a comparison.
    has_changed_since_comparison: bool,
}

impl MembershipView {
    /// Creates the view of a member that knows only itself. Only the incarnation of `own.state` is
    /// used; the other fields are reset.
    pub fn new(
        settings: Settings,
        fleet: Name,
        mut own: MemberRecord,
        seeds: Vec<SocketAddr>,
        now: Duration,
    ) -> MembershipView {
        own.state = MemberState {
            incarnation: own.state.incarnation,
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        };
        let mut view = MembershipView {
            settings,
            fleet,
            own,
            successor_last_contact_at: None,
            is_muted: false,
            seeds: Vec::new(),
            members: MemberTable::new(),
            suspects: BTreeSet::new(),
            probe_queue: Vec::new(),
            probe: None,
            indirect_probes: VecDeque::new(),
            last_seq: 0,
            local_health: 0,
            digest_mismatches: 0,
            next_probe_at: now,
            next_gossip_at: now,
            next_comparison_at: now,
            next_reconnect_at: now,
            comparison_replies: ReplyBudget::new(now),
            partition_status: PartitionStatus::Majority,
            partition_status_since: now,
            has_known_others: false,
            last_contact_at: now,
            has_changed_since_comparison: false,
        };
        view.set_seeds(seeds);
        view.members.insert(view.own.clone(), now, true);
        view.update_partition_status(now);
        view
    }

    /// Returns all known members in the order of their names, including those that were declared
    /// dead or left.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|entry| &entry.record)
    }

    /// Returns the member of this name, if it is known.
    pub fn member(&self, name: &str) -> Option<&MemberRecord> {
        self.members.get(name).map(|entry| &entry.record)
    }

    /// Returns the names of the members that are present, in no particular order.
    pub fn present_names(&self) -> &[Name] {
        self.members.present_names()
    }

    /// Returns the number of members that are present, including this one.
    pub fn present_count(&self) -> usize {
        self.members.present_names().len()
    }

    /// Returns the number of members that were declared dead without having left.
    pub fn lost_count(&self) -> usize {
        self.members.lost_count()
    }

    /// Returns the sites of the members that are present.
    pub fn sites(&self) -> BTreeSet<Name> {
        self.members
            .present_records()
            .map(|record| record.site.clone())
            .collect()
    }

    /// Returns a hash of the states of all present members, which is equal where two views agree.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// Returns this member's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns true if another process uses this member's name, so that this one is silent.
    pub fn is_superseded(&self) -> bool {
        self.successor_last_contact_at.is_some()
    }

    /// Returns how much of the fleet this node can see.
    pub fn partition_status(&self) -> PartitionStatus {
        self.partition_status
    }

    /// Returns the local health score: 0 for a healthy node, and higher the more its probes seem to
    /// fail because of the node itself.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Returns the approximate memory use of a member in a view without its name, in bytes, for
    /// sizing.
    pub fn bytes_per_member() -> usize {
        // The entry, and the name as a key, among the present members and in the probe queue.
        std::mem::size_of::<MemberEntry>() + 3 * std::mem::size_of::<Name>()
    }

    /// Replaces the seeds that are contacted while they are not members.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds
            .into_iter()
            .filter(|address| *address != self.own.address)
            .collect();
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// Returns the address of a present member.
    fn present_address(&self, name: &str) -> Option<SocketAddr> {
        self.member(name)
            .filter(|record| record.state.is_present())
            .map(|record| record.address)
    }
}
