//! Probes in progress: the probe of the current probe interval, and those sent on behalf of other
//! members.

use std::net::SocketAddr;
use std::time::Duration;

use crate::member_state::Name;

/// The escalation stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// The first ping was sent.
    FirstPing,
    /// A second ping was sent.
    SecondPing,
    /// Other members were asked to ping the target.
    Indirect,
}

/// The probe of the current probe interval.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub target: Name,
    pub seq: u32,
    pub started_at: Duration,
    pub stage: ProbeStage,
    /// Time at which the probe escalates to its next stage if no answer arrives before.
    pub escalates_at: Duration,
    /// Number of members that were asked to ping the target.
    pub relay_count: usize,
    /// Number of these members that reported that they have no answer either.
    pub nack_count: usize,
    pub is_answered: bool,
}

/// A probe sent on behalf of another member.
#[derive(Clone, Debug)]
pub(crate) struct IndirectProbe {
    /// The sequence number under which the target answers this node.
    pub seq: u32,
    /// The member that asked for the probe.
    pub requester: SocketAddr,
    /// The requester's own sequence number.
    pub requester_seq: u32,
    /// Time at which the requester is notified that there is no answer yet.
    pub nack_at: Duration,
    pub is_nacked: bool,
    /// Time at which the probe is discarded.
    pub expires_at: Duration,
}
