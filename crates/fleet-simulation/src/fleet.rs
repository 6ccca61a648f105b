//! The drawn network and clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Id, Peer};

/// What the network does to datagrams.
#[derive(Clone, Debug)]
pub struct Network {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub double: f64,
    /// Time on the way, drawn evenly between these.
    pub delay: (Duration, Duration),
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            double: 0.0,
            delay: (Duration::from_micros(200), Duration::from_millis(2)),
        }
    }
}

/// What one node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes, with 28 for the headers of UDP and IP.
    pub bytes: u64,
}

/// What happens to a node of the drawn fleet, by kill, stop, and the parts of a partition.
#[derive(Clone, Debug)]
struct Node<P> {
    peer: Option<P>,
    life: u64,
    /// Stopped until then: what comes waits.
    stopped: Option<Duration>,
    /// How slow it is: it does everything this much late.
    slow: Duration,
    part: u8,
    deaf: bool,
    mute: bool,
    traffic: Traffic,
    /// The tick that counts; earlier ones in the heap are overtaken.
    ticket: u64,
    due: Duration,
}

enum Event<K> {
    Deliver(K),
    Tick(u64),
}

struct Entry<K> {
    at: Duration,
    order: u64,
    node: Id,
    event: Event<K>,
}
impl<K> PartialEq for Entry<K> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<K> Eq for Entry<K> {}
impl<K> PartialOrd for Entry<K> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<K> Ord for Entry<K> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A drawn fleet of one kind of peer.
pub struct Fleet<P: Peer> {
    nodes: Vec<Node<P>>,
    heap: BinaryHeap<Reverse<Entry<P::Packet>>>,
    seeds: Vec<Id>,
    now: Duration,
    order: u64,
    rng: ChaCha8Rng,
    /// The network; it may be changed at any time.
    pub network: Network,
    /// Members given up while they lived and could be reached, by the node that gave up.
    pub wrongly: Vec<(Duration, Id, Id)>,
    /// Members given up rightly: when, by whom, whom.
    pub rightly: Vec<(Duration, Id, Id)>,
}

impl<P: Peer> Fleet<P> {
    /// A fleet of `size` nodes of which none has started.
    pub fn new(size: usize, seeds: Vec<Id>, network: Network, seed: u64) -> Fleet<P> {
        let node = || Node {
            peer: None,
            life: 0,
            stopped: None,
            slow: Duration::ZERO,
            part: 0,
            deaf: false,
            mute: false,
            traffic: Traffic::default(),
            ticket: 0,
            due: Duration::ZERO,
        };
        Fleet {
            nodes: (0..size).map(|_| node()).collect(),
            heap: BinaryHeap::new(),
            seeds,
            now: Duration::from_secs(1),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
            wrongly: Vec::new(),
            rightly: Vec::new(),
        }
    }
    /// The drawn time.
    pub fn now(&self) -> Duration {
        self.now
    }
    /// A draw for the play itself.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }
    /// Starts a node, or a new life of it, at the present time.
    pub fn start(&mut self, id: Id) {
        self.nodes[id].life += 1;
        let (life, size) = (self.nodes[id].life, self.nodes.len());
        let peer = P::start(id, life, size, &self.seeds, self.now, &mut self.rng);
        let node = &mut self.nodes[id];
        (node.peer, node.stopped) = (Some(peer), None);
        self.schedule(id);
    }
    /// Ends a node without a word.
    pub fn kill(&mut self, id: Id) {
        self.nodes[id].peer = None;
    }
    /// Stops a node for so long; what comes meanwhile it hears after.
    pub fn stop(&mut self, id: Id, long: Duration) {
        self.nodes[id].stopped = Some(self.now + long);
    }
    /// Has a node do everything late by up to so long.
    pub fn slow(&mut self, id: Id, by: Duration) {
        self.nodes[id].slow = by;
    }
    /// Puts a node into a part: datagrams between parts are lost.
    pub fn part(&mut self, id: Id, part: u8) {
        self.nodes[id].part = part;
    }
    /// A node hears nothing, or nobody hears it.
    pub fn one_way(&mut self, id: Id, deaf: bool, mute: bool) {
        (self.nodes[id].deaf, self.nodes[id].mute) = (deaf, mute);
    }
    /// The network is whole.
    pub fn heal(&mut self) {
        for node in &mut self.nodes {
            (node.part, node.deaf, node.mute) = (0, false, false);
        }
    }
    /// Nodes that live.
    pub fn living(&self) -> Vec<Id> {
        (0..self.nodes.len())
            .filter(|id| self.nodes[*id].peer.is_some())
            .collect()
    }
    /// A living node.
    pub fn peer(&self, id: Id) -> Option<&P> {
        self.nodes[id].peer.as_ref()
    }
    /// A living node, to be told something.
    pub fn peer_mut(&mut self, id: Id) -> Option<&mut P> {
        self.nodes[id].peer.as_mut()
    }
    /// What a node has sent so far.
    pub fn traffic(&self, id: Id) -> Traffic {
        self.nodes[id].traffic
    }
    /// Whether all living nodes of each part hold exactly each other.
    pub fn settled(&self) -> bool {
        let living = self.living();
        let mut parts: std::collections::BTreeMap<u8, (u64, usize, Id)> =
            std::collections::BTreeMap::new();
        for id in &living {
            let Some(peer) = self.peer(*id) else { continue };
            let digest = peer.digest();
            let seen = parts
                .entry(self.nodes[*id].part)
                .or_insert((digest, 0, *id));
            if seen.0 != digest {
                return false;
            }
            seen.1 += 1;
        }
        // Equal digests: one of a part speaks for all of it.
        parts.iter().all(|(part, (_, count, speaker))| {
            let Some(peer) = self.peer(*speaker) else {
                return false;
            };
            let of_part = |id: &&Id| self.nodes[**id].part == *part;
            peer.present() == *count && living.iter().filter(of_part).all(|id| peer.holds(*id))
        })
    }
    /// Whether no living node that can hear holds that one to be there.
    pub fn given_up_by_all(&self, id: Id) -> bool {
        self.living()
            .iter()
            .all(|other| *other == id || self.peer(*other).is_none_or(|p| !p.holds(id)))
    }

    fn reachable(&self, from: Id, to: Id) -> bool {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        a.part == b.part && !a.mute && !b.deaf
    }
    fn push(&mut self, at: Duration, node: Id, event: Event<P::Packet>) {
        self.order += 1;
        self.heap.push(Reverse(Entry {
            at,
            order: self.order,
            node,
            event,
        }));
    }
    fn schedule(&mut self, id: Id) {
        let Some(next) = self.nodes[id].peer.as_ref().map(P::next) else {
            return;
        };
        if next == Duration::MAX {
            return;
        }
        let slow = self.nodes[id].slow;
        let late = if slow.is_zero() {
            slow
        } else {
            slow.mul_f64(self.rng.random::<f64>())
        };
        let at = next.max(self.now) + late;
        self.nodes[id].ticket += 1;
        let ticket = self.nodes[id].ticket;
        self.nodes[id].due = at;
        self.push(at, id, Event::Tick(ticket));
    }
    fn send(&mut self, from: Id, sent: Vec<(Id, P::Packet)>) {
        for (to, packet) in sent {
            let traffic = &mut self.nodes[from].traffic;
            traffic.datagrams += 1;
            traffic.bytes += P::size(&packet) as u64 + 28;
            if to >= self.nodes.len() {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.double);
            for _ in 0..copies {
                let lost = self.rng.random::<f64>() < self.network.loss;
                let (least, most) = self.network.delay;
                let way = least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>());
                if !lost && self.reachable(from, to) {
                    let late = self.nodes[to].slow.mul_f64(self.rng.random::<f64>());
                    self.push(self.now + way + late, to, Event::Deliver(packet.clone()));
                }
            }
        }
    }
    /// Lets one thing happen; false once nothing is left before `until`.
    fn step(&mut self, until: Duration) -> bool {
        match self.heap.peek() {
            Some(Reverse(entry)) if entry.at <= until => {}
            _ => {
                self.now = until;
                return false;
            }
        }
        let Some(Reverse(entry)) = self.heap.pop() else {
            return false;
        };
        self.now = entry.at;
        let id = entry.node;
        if let Some(end) = self.nodes[id].stopped {
            if self.now < end {
                self.order += 1;
                self.heap.push(Reverse(Entry {
                    at: end,
                    order: self.order,
                    ..entry
                }));
                return true;
            }
            self.nodes[id].stopped = None;
        }
        let mut sent = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[id];
        let Some(peer) = node.peer.as_mut() else {
            return true;
        };
        let ticked = match entry.event {
            Event::Deliver(packet) => {
                peer.hear(packet, now, &mut self.rng, &mut sent);
                false
            }
            Event::Tick(ticket) if ticket != node.ticket => return true,
            Event::Tick(_) => {
                peer.tick(now, &mut self.rng, &mut sent);
                true
            }
        };
        let given_up = peer.given_up();
        let next = peer.next();
        for other in given_up {
            let there = self
                .nodes
                .get(other)
                .is_some_and(|n| n.peer.is_some() && n.stopped.is_none());
            let right = !there || !self.reachable(id, other) || !self.reachable(other, id);
            let list = if right {
                &mut self.rightly
            } else {
                &mut self.wrongly
            };
            list.push((now, id, other));
        }
        self.send(id, sent);
        let node = &self.nodes[id];
        if ticked || next < node.due {
            self.schedule(id);
        }
        true
    }
    /// Runs for so long.
    pub fn run(&mut self, long: Duration) {
        let until = self.now + long;
        while self.step(until) {}
    }
    /// Runs until something holds, looked at each `every`; how long that took, or none if it did not in time.
    pub fn until(
        &mut self,
        most: Duration,
        every: Duration,
        holds: impl Fn(&Fleet<P>) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        while self.now < began + most {
            if holds(self) {
                return Some(self.now - began);
            }
            self.run(every);
        }
        holds(self).then(|| self.now - began)
    }
}
