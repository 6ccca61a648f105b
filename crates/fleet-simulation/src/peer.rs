//! The interface that a membership protocol implements for the simulation.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

/// Index of a node in the simulated fleet.
pub type NodeId = usize;

/// Data that a process has when it starts.
#[derive(Clone, Copy, Debug)]
pub struct PeerStart<'a> {
    /// The node of the process.
    pub id: NodeId,
    /// Number of starts of the node, including this one.
    pub start_count: u64,
    /// Number of nodes in the fleet.
    pub fleet_size: usize,
    /// Nodes to contact first.
    pub seeds: &'a [NodeId],
    /// Simulated time of the start.
    pub now: Duration,
}

impl PeerStart<'_> {
    /// Returns the seeds without the node itself.
    pub(crate) fn other_seeds(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.seeds.iter().copied().filter(|seed| *seed != self.id)
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing<P> {
    /// Destination of the datagram.
    pub to: NodeId,
    /// The datagram.
    pub packet: P,
}

/// A node's process in a simulated fleet, which runs one membership protocol.
pub trait Peer: Sized {
    /// Datagram of the protocol.
    type Packet: Clone;
    /// Name of the protocol in tables.
    const NAME: &'static str;

    /// Starts a process.
    fn start(start: &PeerStart, rng: &mut ChaCha8Rng) -> Self;

    /// Processes a datagram.
    fn handle_packet(
        &mut self,
        packet: Self::Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Self::Packet>>,
    );

    /// Handles the timers that are due.
    fn handle_timers(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Self::Packet>>,
    );

    /// Returns the time at which the next timer is due.
    fn next_deadline(&self) -> Duration;

    /// Returns the length of a datagram in bytes, without the headers of UDP and IP.
    fn packet_len(packet: &Self::Packet) -> usize;

    /// Returns true if the process considers a member present.
    fn considers_present(&self, id: NodeId) -> bool;

    /// Returns the number of members that the process considers present, including itself.
    fn present_count(&self) -> usize;

    /// Returns a digest of the view, which is equal for two processes that agree on all members.
    fn digest(&self) -> u64;

    /// Removes and returns the members that the process has declared dead since the previous call.
    fn take_declared_dead(&mut self) -> Vec<NodeId>;
}
