//! A simulated fleet whose nodes run one membership protocol: its nodes, network and clock.

mod settlement;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::event_queue::EventQueue;
use crate::network::{Network, Traffic, UDP_HEADER_BYTES};
use crate::peer::{NodeId, Outgoing, Peer, PeerStart};

/// Simulated time at which a simulation begins.
const START_TIME: Duration = Duration::from_secs(1);

/// A node and the faults that are injected into it.
#[derive(Clone, Debug)]
struct Node<P> {
    peer: Option<P>,
    start_count: u64,
    /// Time until which the process is paused. Datagrams that arrive during the pause are processed
    /// after it.
    paused_until: Option<Duration>,
    /// Maximum of the random durations by which all processing of the node is delayed.
    max_lateness: Duration,
    /// Partition that the node belongs to. Datagrams between different partitions are lost.
    partition: u8,
    drops_inbound: bool,
    drops_outbound: bool,
    traffic: Traffic,
    /// Number of the current timer. Timers with lower numbers in the queue are outdated.
    timer_number: u64,
    timer_due: Duration,
}

impl<P> Node<P> {
    fn new() -> Node<P> {
        Node {
            peer: None,
            start_count: 0,
            paused_until: None,
            max_lateness: Duration::ZERO,
            partition: 0,
            drops_inbound: false,
            drops_outbound: false,
            traffic: Traffic::default(),
            timer_number: 0,
            timer_due: Duration::ZERO,
        }
    }
}

struct Event<P> {
    node: NodeId,
    kind: EventKind<P>,
}

enum EventKind<P> {
    Deliver(P),
    Timer { number: u64 },
}

/// A member that another one declared dead.
#[derive(Clone, Copy, Debug)]
pub struct DeathReport {
    /// Simulated time of the declaration.
    pub at: Duration,
    /// The node that declared the other one dead.
    pub by: NodeId,
    /// The node that was declared dead.
    pub subject: NodeId,
}

/// A simulated fleet whose nodes run one membership protocol.
pub struct FleetSimulation<P: Peer> {
    nodes: Vec<Node<P>>,
    events: EventQueue<Event<P::Packet>>,
    seeds: Vec<NodeId>,
    now: Duration,
    rng: ChaCha8Rng,
    /// The network. It may be changed at any time.
    pub network: Network,
    /// Reports on members that were running, not paused, and reachable in both directions.
    pub false_deaths: Vec<DeathReport>,
    /// Reports on all other members that were declared dead.
    pub true_deaths: Vec<DeathReport>,
}

impl<P: Peer> FleetSimulation<P> {
    /// Creates a fleet of `size` nodes, none of which is started.
    pub fn new(size: usize, seeds: Vec<NodeId>, network: Network, seed: u64) -> Self {
        FleetSimulation {
            nodes: (0..size).map(|_| Node::new()).collect(),
            events: EventQueue::new(),
            seeds,
            now: START_TIME,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
            false_deaths: Vec::new(),
            true_deaths: Vec::new(),
        }
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns a random index below `bound`, for random choices in a scenario.
    pub fn random_index(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound.max(1))
    }

    /// Starts a node's process, for the first time or again.
    pub fn start(&mut self, id: NodeId) {
        self.nodes[id].start_count += 1;
        let start = PeerStart {
            id,
            start_count: self.nodes[id].start_count,
            fleet_size: self.nodes.len(),
            seeds: &self.seeds,
            now: self.now,
        };
        let peer = P::start(&start, &mut self.rng);
        let node = &mut self.nodes[id];
        node.peer = Some(peer);
        node.paused_until = None;
        self.schedule_timer(id);
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) {
        for id in 0..self.nodes.len() {
            self.start(id);
        }
    }

    /// Kills a node's process without announcing that the node leaves.
    pub fn kill(&mut self, id: NodeId) {
        self.nodes[id].peer = None;
    }

    /// Pauses a node's process. Datagrams that arrive during the pause are processed after it.
    pub fn pause(&mut self, id: NodeId, duration: Duration) {
        self.nodes[id].paused_until = Some(self.now + duration);
    }

    /// Delays all processing of a node by random durations of up to `max_lateness`.
    pub fn slow_down(&mut self, id: NodeId, max_lateness: Duration) {
        self.nodes[id].max_lateness = max_lateness;
    }

    /// Partitions the network. Datagrams between nodes of different partitions are lost.
    pub fn partition(&mut self, partition_of: impl Fn(NodeId) -> u8) {
        for (id, node) in self.nodes.iter_mut().enumerate() {
            node.partition = partition_of(id);
        }
    }

    /// Drops all datagrams to a node.
    pub fn drop_inbound(&mut self, id: NodeId) {
        self.nodes[id].drops_inbound = true;
    }

    /// Drops all datagrams from a node.
    pub fn drop_outbound(&mut self, id: NodeId) {
        self.nodes[id].drops_outbound = true;
    }

    /// Ends all partitions, and no longer drops the datagrams to or from single nodes.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            node.partition = 0;
            node.drops_inbound = false;
            node.drops_outbound = false;
        }
    }

    /// Returns the nodes whose processes are running.
    fn running(&self) -> Vec<NodeId> {
        (0..self.nodes.len())
            .filter(|id| self.nodes[*id].peer.is_some())
            .collect()
    }

    fn peer(&self, id: NodeId) -> Option<&P> {
        self.nodes[id].peer.as_ref()
    }

    /// Returns the traffic that a node has sent so far.
    pub fn traffic(&self, id: NodeId) -> Traffic {
        self.nodes[id].traffic
    }

    /// Returns the traffic that all nodes together have sent so far.
    pub fn total_traffic(&self) -> Traffic {
        let mut total = Traffic::default();
        for node in &self.nodes {
            total.datagrams += node.traffic.datagrams;
            total.bytes += node.traffic.bytes;
        }
        total
    }

    fn is_reachable(&self, from: NodeId, to: NodeId) -> bool {
        let sender = &self.nodes[from];
        let receiver = &self.nodes[to];
        sender.partition == receiver.partition && !sender.drops_outbound && !receiver.drops_inbound
    }

    fn schedule_timer(&mut self, id: NodeId) {
        let Some(deadline) = self.peer(id).map(P::next_deadline) else {
            return;
        };
        if deadline == Duration::MAX {
            return;
        }
        let max_lateness = self.nodes[id].max_lateness;
        let lateness = if max_lateness.is_zero() {
            Duration::ZERO
        } else {
            max_lateness.mul_f64(self.rng.random::<f64>())
        };
        let due = deadline.max(self.now) + lateness;
        let node = &mut self.nodes[id];
        node.timer_number += 1;
        node.timer_due = due;
        let kind = EventKind::Timer {
            number: node.timer_number,
        };
        self.events.push(due, Event { node: id, kind });
    }

    fn send(&mut self, from: NodeId, sent: Vec<Outgoing<P::Packet>>) {
        for Outgoing { to, packet } in sent {
            let traffic = &mut self.nodes[from].traffic;
            traffic.datagrams += 1;
            traffic.bytes += P::packet_len(&packet) as u64 + UDP_HEADER_BYTES;
            if to >= self.nodes.len() {
                continue;
            }
            let is_duplicated = self.rng.random::<f64>() < self.network.duplication;
            for _ in 0..=usize::from(is_duplicated) {
                self.transmit(from, to, packet.clone());
            }
        }
    }

    /// Transmits one copy of a datagram, unless it is lost.
    fn transmit(&mut self, from: NodeId, to: NodeId, packet: P::Packet) {
        let is_lost = self.rng.random::<f64>() < self.network.loss;
        let Network {
            min_delay,
            max_delay,
            ..
        } = self.network;
        let variable_delay = max_delay.saturating_sub(min_delay);
        let delay = min_delay + variable_delay.mul_f64(self.rng.random::<f64>());
        if is_lost || !self.is_reachable(from, to) {
            return;
        }
        let lateness = self.nodes[to].max_lateness;
        let lateness = lateness.mul_f64(self.rng.random::<f64>());
        let event = Event {
            node: to,
            kind: EventKind::Deliver(packet),
        };
        self.events.push(self.now + delay + lateness, event);
    }

    /// Processes the next event. Returns false if there is none up to `end`.
    fn step(&mut self, end: Duration) -> bool {
        let Some(scheduled) = self.events.pop_until(end) else {
            self.now = end;
            return false;
        };
        self.now = scheduled.at;
        let id = scheduled.event.node;
        if let Some(resumes_at) = self.nodes[id].paused_until {
            if self.now < resumes_at {
                self.events.push(resumes_at, scheduled.event);
                return true;
            }
            self.nodes[id].paused_until = None;
        }
        self.run_event(scheduled.event);
        true
    }

    fn run_event(&mut self, event: Event<P::Packet>) {
        let id = event.node;
        let node = &mut self.nodes[id];
        let Some(peer) = node.peer.as_mut() else {
            return;
        };
        let mut sent = Vec::new();
        let is_timer = match event.kind {
            EventKind::Deliver(packet) => {
                peer.handle_packet(packet, self.now, &mut self.rng, &mut sent);
                false
            }
            EventKind::Timer { number } if number != node.timer_number => return,
            EventKind::Timer { .. } => {
                peer.handle_timers(self.now, &mut self.rng, &mut sent);
                true
            }
        };
        let declared_dead = peer.take_declared_dead();
        let next_deadline = peer.next_deadline();
        for subject in declared_dead {
            self.record_death(id, subject);
        }
        self.send(id, sent);
        if is_timer || next_deadline < self.nodes[id].timer_due {
            self.schedule_timer(id);
        }
    }

    fn record_death(&mut self, by: NodeId, subject: NodeId) {
        let is_working = self
            .nodes
            .get(subject)
            .is_some_and(|node| node.peer.is_some() && node.paused_until.is_none());
        let is_false =
            is_working && self.is_reachable(by, subject) && self.is_reachable(subject, by);
        let reports = if is_false {
            &mut self.false_deaths
        } else {
            &mut self.true_deaths
        };
        reports.push(DeathReport {
            at: self.now,
            by,
            subject,
        });
    }

    /// Runs the fleet for a simulated duration.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
    }

    /// Runs the fleet until a condition holds, which is tested once per `interval`. Returns the
    /// duration until then, or `None` if the condition does not hold within `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        interval: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while self.now < started_at + timeout {
            if condition(self) {
                return Some(self.now - started_at);
            }
            self.run(interval);
        }
        condition(self).then(|| self.now - started_at)
    }
}
