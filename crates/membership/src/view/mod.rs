//! One node's view of its fleet: the state that it keeps, and what other parts of the process can read of it. Each of the
//! submodules holds one part of the protocol.

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

/// What the caller of a view is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// The datagram.
        packet: Packet,
    },
    /// A member is new, or its record changed. For logs: the members themselves are read from
    /// [`MembershipView::members`].
    MemberChanged(MemberRecord),
}

/// One node's view of its fleet.
///
/// Times are durations since a start that the caller chooses; they never go back.
#[derive(Clone, Debug)]
pub struct MembershipView {
    settings: Settings,
    fleet: Name,
    /// This member's own record: equal to the one in the table, unless another process uses the name.
    own: MemberRecord,
    /// When the process that uses the name now last sent anything, if there is one.
    successor_last_contact: Option<Duration>,
    is_muted: bool,
    seeds: Vec<SocketAddr>,
    members: MemberTable,
    suspects: BTreeSet<Name>,
    /// Members that are still to be probed in this round; the last is probed next.
    probe_queue: Vec<Name>,
    probe: Option<Probe>,
    indirect_probes: VecDeque<IndirectProbe>,
    last_seq: u32,
    local_health: u32,
    /// Acknowledgements in a row that carried another digest.
    digest_mismatches: u32,
    next_probe_at: Duration,
    next_gossip_at: Duration,
    next_comparison_at: Duration,
    next_reconnect_at: Duration,
    comparison_replies: ReplyBudget,
    partition_status: PartitionStatus,
    partition_status_since: Duration,
    /// Whether any other member has ever been known.
    has_met_others: bool,
    /// When any other member last sent anything.
    last_contact_at: Duration,
    /// Whether a record has changed since this node last began a comparison.
    has_learned_since_comparison: bool,
}

impl MembershipView {
    /// A member that knows only itself. Of `own.state` the incarnation is used; the other fields are reset.
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
            successor_last_contact: None,
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
            has_met_others: false,
            last_contact_at: now,
            has_learned_since_comparison: false,
        };
        view.set_seeds(seeds);
        view.members.insert(view.own.clone(), now, true);
        view.update_partition_status(now);
        view
    }

    /// All known members in the order of their names, those that died or left included.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|entry| &entry.record)
    }

    /// The member of this name, where it is known.
    pub fn member(&self, name: &str) -> Option<&MemberRecord> {
        self.members.get(name).map(|entry| &entry.record)
    }

    /// Names of the members that are present, in no particular order.
    pub fn present_names(&self) -> &[Name] {
        self.members.present_names()
    }

    /// How many members are present, this one included.
    pub fn present_count(&self) -> usize {
        self.members.present_names().len()
    }

    /// How many members died without having left.
    pub fn lost_count(&self) -> usize {
        self.members.lost_count()
    }

    /// The sites of the members that are present.
    pub fn sites(&self) -> BTreeSet<Name> {
        self.members
            .present_records()
            .map(|record| record.site.clone())
            .collect()
    }

    /// A hash of the states of all present members: equal where two views agree.
    pub fn digest(&self) -> u64 {
        self.members.digest()
    }

    /// This member's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether another process uses this member's name, so that this one is silent.
    pub fn is_superseded(&self) -> bool {
        self.successor_last_contact.is_some()
    }

    /// How much of the fleet this node can see.
    pub fn partition_status(&self) -> PartitionStatus {
        self.partition_status
    }

    /// The local health score: 0 for a healthy node, higher the more its probes seem to fail by its own fault.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// About how many bytes a member takes in a view, without its name; for sizing.
    pub fn bytes_per_member() -> usize {
        // Its entry, and its name as a key, among the present members and in the probe queue.
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

    /// The address of a present member.
    fn present_address(&self, name: &str) -> Option<SocketAddr> {
        self.member(name)
            .filter(|record| record.state.is_present())
            .map(|record| record.address)
    }
}
