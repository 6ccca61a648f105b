//! What the simulation requires of a membership protocol.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

/// The index of a node in the simulated fleet.
pub type NodeId = usize;

/// What a process knows when it starts.
#[derive(Clone, Copy, Debug)]
pub struct PeerStart<'a> {
    /// Its node.
    pub id: NodeId,
    /// How often the node has been started, this time included.
    pub start_count: u64,
    /// How many nodes the fleet has.
    pub fleet_size: usize,
    /// The nodes to contact first.
    pub seeds: &'a [NodeId],
    /// The simulated time.
    pub now: Duration,
}

impl PeerStart<'_> {
    /// The seeds without the node itself.
    pub(crate) fn other_seeds(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.seeds.iter().copied().filter(|seed| *seed != self.id)
    }
}

/// A datagram to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing<P> {
    /// Its destination.
    pub to: NodeId,
    /// The datagram.
    pub packet: P,
}

/// A node's process in a simulated fleet, by one membership protocol.
pub trait Peer: Sized {
    /// The protocol's datagrams.
    type Packet: Clone;
    /// The protocol's name in tables.
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

    /// Does what is due.
    fn handle_timers(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Self::Packet>>,
    );

    /// When something is due next.
    fn next_deadline(&self) -> Duration;

    /// The length of a datagram in bytes, without the headers of the network.
    fn packet_len(packet: &Self::Packet) -> usize;

    /// Whether it considers a member present.
    fn considers_present(&self, id: NodeId) -> bool;

    /// How many members it considers present, itself included.
    fn present_count(&self) -> usize;

    /// Equal where two processes agree on all members.
    fn digest(&self) -> u64;

    /// Takes the members that it has declared dead since the last call.
    fn take_declared_dead(&mut self) -> Vec<NodeId>;
}
