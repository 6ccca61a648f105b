//! Budgets in a drawn fleet: the shipped machines, a ledger that counts what is in hand there, and faults. Each node has a
//! clock of its own, that drifts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use membership::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{Budgets, LeaseTimings, Message, Outgoing, QuotaConfig, QuotaUsage};

/// How nodes share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The shipped one: parts leased by a granter.
    Leases,
    /// Equal parts for good.
    Static,
    /// Each begins a call while the last heard sum of all is below the total.
    Estimates,
}

/// What a play is like.
#[derive(Clone, Debug)]
pub struct Play {
    /// Nodes.
    pub nodes: usize,
    /// The total: calls at once.
    pub total: u64,
    /// Of which each node has so many of its own.
    pub floor: u64,
    /// Part of the messages lost, and part doubled.
    pub loss: f64,
    /// Drawn kills, stops and partitions.
    pub faults: bool,
    /// How long it runs.
    pub long: Duration,
    /// Calls that each node would have at once, by its number and the time.
    pub demand: fn(usize, Duration) -> u64,
    /// The total is cut by half at this time, if at all.
    pub cut: Option<Duration>,
    /// The times that the nodes believe in.
    pub terms: LeaseTimings,
    /// By what part the rates of their clocks truly differ at the most.
    pub drift: f64,
}

impl Default for Play {
    /// Six nodes that each want half of 120, with all faults, for a minute and a half.
    fn default() -> Play {
        Play {
            nodes: 6,
            total: 120,
            floor: 4,
            loss: 0.2,
            faults: true,
            long: Duration::from_secs(90),
            demand: |_, _| 60,
            cut: None,
            terms: LeaseTimings::default(),
            drift: 0.01,
        }
    }
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Looks at the ledger, and how many of them saw more than the total.
    pub looks: u64,
    /// See `looks`.
    pub over: u64,
    /// The most that was in hand over the total.
    pub most_over: u64,
    /// What could be spent added up to more than the total, at so many looks.
    pub limits_over: u64,
    /// Use of the total at each tenth of a second, from 0 to 1.
    pub use_of_total: Vec<f64>,
    /// Messages, by all nodes.
    pub messages: u64,
}

enum Event {
    Deliver(usize, usize, u64, Message),
    Tick(usize, u64),
    /// A call ends at the ledger: of this node and life.
    End(usize, u64),
    Heard(usize, usize, u64),
    Fault,
    Restart(usize),
    Work,
}
struct Entry(Duration, u64, Event);
impl PartialEq for Entry {
    fn eq(&self, o: &Entry) -> bool {
        (self.0, self.1) == (o.0, o.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, o: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Entry {
    fn cmp(&self, o: &Entry) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(o.0, o.1))
    }
}

struct Node {
    budgets: Option<Budgets>,
    life: u64,
    /// Its clock: what it shows at no time, and its rate.
    offset: Duration,
    rate: f64,
    stopped: Duration,
    part: usize,
    /// In hand at the ledger, of this life as far as it knows, and of all lives.
    own: u64,
    all: u64,
    /// For estimates: what was heard of the others.
    heard: BTreeMap<usize, u64>,
    told: Duration,
}

/// A play in motion.
pub struct World {
    play: Play,
    way: Way,
    nodes: Vec<Node>,
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
    now: Duration,
    rng: ChaCha8Rng,
    in_hand: u64,
    total: u64,
    /// Until then what was granted under a larger total may be in hand.
    lowered: Option<Duration>,
    report: Report,
}

const WORK: Duration = Duration::from_millis(10);

fn name(id: usize) -> Name {
    format!("n{id}").into()
}

impl World {
    /// Nodes that start at once; the first three are keepers.
    pub fn new(play: Play, way: Way, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..play.nodes)
            .map(|_| Node {
                budgets: None,
                life: 0,
                offset: Duration::from_millis(rng.random_range(0..100_000)),
                rate: 1.0 + (rng.random::<f64>() - 0.5) * play.drift,
                stopped: Duration::ZERO,
                part: 0,
                own: 0,
                all: 0,
                heard: BTreeMap::new(),
                told: Duration::ZERO,
            })
            .collect();
        let mut world = World {
            total: play.total,
            play,
            way,
            nodes,
            heap: BinaryHeap::new(),
            order: 0,
            now: Duration::ZERO,
            rng,
            in_hand: 0,
            lowered: None,
            report: Report::default(),
        };
        for id in 0..world.nodes.len() {
            world.start(id);
        }
        world.push(WORK, Event::Work);
        if world.play.faults {
            world.push(Duration::from_secs(8), Event::Fault);
        }
        world
    }
    fn clock(&self, id: usize) -> Duration {
        self.nodes[id].offset + self.now.mul_f64(self.nodes[id].rate)
    }
    fn push(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.heap
            .push(Reverse(Entry(self.now + after, self.order, event)));
    }
    fn plan(&self) -> QuotaConfig {
        let floors = (0..self.play.nodes)
            .map(|id| (name(id), self.play.floor))
            .collect();
        QuotaConfig {
            name: "ledger".into(),
            total: self.total,
            guaranteed: floors,
        }
    }
    fn start(&mut self, id: usize) {
        let clock = self.clock(id);
        let keepers = (0..3.min(self.play.nodes)).map(name).collect();
        let (plan, terms) = (self.plan(), self.play.terms.clone());
        let node = &mut self.nodes[id];
        node.life += 1;
        node.own = 0;
        node.budgets = Some(Budgets::new(
            terms,
            name(id),
            node.life,
            keepers,
            vec![plan],
            clock,
        ));
        let life = node.life;
        self.push(Duration::ZERO, Event::Tick(id, life));
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let Ok(to) = to[1..].parse::<usize>() else {
                continue;
            };
            self.report.messages += 1;
            let doubled = self.rng.random::<f64>() < self.play.loss / 2.0;
            for _ in 0..=usize::from(doubled) {
                // Mostly quick, now and then very late.
                let late = if self.rng.random::<f64>() < 0.02 {
                    4000
                } else {
                    5
                };
                let way = Duration::from_micros(self.rng.random_range(200..late * 1000));
                let lost = self.rng.random::<f64>() < self.play.loss;
                if !lost && self.nodes[from].part == self.nodes[to].part {
                    let life = self.nodes[to].life;
                    self.push(way, Event::Deliver(from, to, life, message.clone()));
                }
            }
        }
    }
    fn tick(&mut self, id: usize) {
        let clock = self.clock(id);
        let draw = self.rng.random::<f64>();
        let names: Vec<Name> = (0..self.nodes.len()).map(name).collect();
        let mut out = Vec::new();
        let Some(budgets) = self.nodes[id].budgets.as_mut() else {
            return;
        };
        if budgets.next_timeout() <= clock {
            budgets.handle_timeout(clock, draw, &names, &mut out);
        }
        self.send(id, out);
    }

    /// What a node may have in use, by the way that is played.
    fn limit(&self, id: usize) -> u64 {
        let node = &self.nodes[id];
        let Some(budgets) = &node.budgets else {
            return 0;
        };
        match self.way {
            Way::Leases => budgets.limit(0, self.clock(id)),
            Way::Static => self.total / self.play.nodes as u64,
            Way::Estimates => {
                let others: u64 = node.heard.values().sum();
                self.total.saturating_sub(others)
            }
        }
    }

    /// Nodes begin calls up to their demand and what they may.
    fn work(&mut self) {
        for id in 0..self.nodes.len() {
            if self.nodes[id].budgets.is_none() || self.nodes[id].stopped > self.now {
                continue;
            }
            let want = (self.play.demand)(id, self.now);
            let clock = self.clock(id);
            let own = self.nodes[id].own;
            if let Some(budgets) = self.nodes[id].budgets.as_mut() {
                let usage = QuotaUsage {
                    in_use: own,
                    demand: want.max(own),
                };
                budgets.set_usage(0, usage, clock);
            }
            self.tick(id);
            while self.nodes[id].own < want.min(self.limit(id)) {
                let life = self.nodes[id].life;
                self.nodes[id].own += 1;
                self.nodes[id].all += 1;
                self.in_hand += 1;
                // As long as the longest at the most.
                let lasts = Duration::from_micros(self.rng.random_range(20_000..1_450_000));
                self.push(lasts, Event::End(id, life));
                self.look();
            }
            if self.way == Way::Estimates && self.now >= self.nodes[id].told {
                self.nodes[id].told = self.now + Duration::from_millis(100);
                for to in 0..self.nodes.len() {
                    let passes = self.nodes[id].part == self.nodes[to].part;
                    if to != id && passes && self.rng.random::<f64>() >= self.play.loss {
                        let own = self.nodes[id].own;
                        let way = Duration::from_micros(self.rng.random_range(200..5000));
                        self.push(way, Event::Heard(to, id, own));
                    }
                }
            }
        }
    }
    /// The ledger counts.
    fn look(&mut self) {
        self.report.looks += 1;
        let total = if self.lowered.is_some_and(|at| self.now < at) {
            self.play.total
        } else {
            self.total
        };
        if self.in_hand > total {
            self.report.over += 1;
            self.report.most_over = self.report.most_over.max(self.in_hand - total);
        }
        let limits: u64 = (0..self.nodes.len()).map(|id| self.limit(id)).sum();
        self.report.limits_over += u64::from(limits > total);
    }

    fn fault(&mut self) {
        let id = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..6) {
            0 => {
                self.nodes[id].budgets = None;
                let back = Duration::from_millis(self.rng.random_range(50..9000));
                self.push(back, Event::Restart(id));
            }
            1 => {
                // The one that grants.
                let clocks: Vec<Duration> =
                    (0..self.nodes.len()).map(|id| self.clock(id)).collect();
                let reigns = |id: &usize| {
                    self.nodes[*id]
                        .budgets
                        .as_ref()
                        .is_some_and(|b| b.lease_tables(clocks[*id]).is_some())
                };
                if let Some(id) = (0..self.nodes.len()).find(reigns) {
                    self.nodes[id].budgets = None;
                    self.push(Duration::from_millis(800), Event::Restart(id));
                }
            }
            2 => self.nodes[id].stopped = self.now + Duration::from_secs(10),
            3 => {
                let parts = self.rng.random_range(2..4);
                for id in 0..self.nodes.len() {
                    self.nodes[id].part = self.rng.random_range(0..parts);
                }
            }
            _ => self.nodes.iter_mut().for_each(|n| n.part = 0),
        }
        let next = Duration::from_millis(self.rng.random_range(200..6000));
        self.push(next, Event::Fault);
    }

    /// Plays it to its end.
    pub fn run(mut self) -> Report {
        let mut sampled = Duration::ZERO;
        while let Some(Reverse(Entry(at, order, event))) = self.heap.pop() {
            if at > self.play.long {
                break;
            }
            self.now = at;
            let node = match &event {
                Event::Deliver(_, to, ..) => Some(*to),
                Event::Tick(id, _) | Event::Heard(id, ..) => Some(*id),
                _ => None,
            };
            // A node that is stopped hears and does things when it goes on.
            if let Some(until) = node
                .map(|id| self.nodes[id].stopped)
                .filter(|until| *until > at)
            {
                self.heap.push(Reverse(Entry(until, order, event)));
                continue;
            }
            match event {
                Event::Deliver(from, to, life, message) => {
                    let clock = self.clock(to);
                    let mut out = Vec::new();
                    // A datagram to an earlier process may be read by the one after it.
                    let _ = life;
                    if let Some(budgets) = self.nodes[to].budgets.as_mut() {
                        budgets.handle_message(&name(from), message, clock, &mut out);
                    }
                    self.send(to, out);
                }
                Event::Tick(id, life) => {
                    if self.nodes[id].life == life && self.nodes[id].budgets.is_some() {
                        self.tick(id);
                        self.push(Duration::from_millis(5), Event::Tick(id, life));
                    }
                }
                Event::End(id, life) => {
                    self.in_hand -= 1;
                    self.nodes[id].all -= 1;
                    if self.nodes[id].life == life {
                        self.nodes[id].own = self.nodes[id].own.saturating_sub(1);
                    }
                }
                Event::Heard(to, from, count) => drop(self.nodes[to].heard.insert(from, count)),
                Event::Fault => self.fault(),
                Event::Restart(id) => {
                    if self.nodes[id].budgets.is_none() {
                        self.start(id);
                    }
                }
                Event::Work => {
                    self.work();
                    self.push(WORK, Event::Work);
                }
            }
            if let Some(cut) = self
                .play
                .cut
                .filter(|cut| self.now >= *cut && self.lowered.is_none())
            {
                self.total = self.play.total / 2;
                self.lowered = Some(cut + Duration::from_secs(8));
                let totals = vec![self.total];
                self.nodes
                    .iter_mut()
                    .filter_map(|n| n.budgets.as_mut())
                    .for_each(|b| b.set_totals(&totals));
            }
            if self.now >= sampled {
                sampled = self.now + Duration::from_millis(100);
                self.report
                    .use_of_total
                    .push(self.in_hand as f64 / self.total as f64);
            }
        }
        self.report
    }
}
