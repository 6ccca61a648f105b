//! Counts and judgements in a drawn fleet: the shipped machines, clocks that drift, messages that are lost, doubled and late,
//! a view that is late, and a ledger that some can't reach. What is said is checked against what is true.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use membership::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{
    evaluate_health, AggregationMessage, AggregationNode, AtomicSketchCounters, AttemptWindow,
    DependencyHealth, HealthEvaluator, Message, Outgoing, ReportingSettings, ServiceObservation,
    SketchCounters, SumVersion, Tally, LEDGER,
};

/// One step of the drawn time.
const STEP: Duration = Duration::from_millis(10);
/// Tenants by their keys.
const TENANTS: u64 = 40;
/// How late a node's view of the others is.
const VIEW_LATE: Duration = Duration::from_secs(4);
/// Sites.
const SITES: usize = 3;

/// Who can't reach the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Everybody can.
    Nothing,
    /// One node can't.
    Path,
    /// All of one site can't.
    Site,
    /// Nobody can.
    Ledger,
}

/// What a play is like.
#[derive(Clone, Debug)]
pub struct Play {
    /// Nodes.
    pub nodes: usize,
    /// How long it runs.
    pub long: Duration,
    /// Part of the messages lost; a tenth is doubled, some come up to a second late.
    pub loss: f64,
    /// Drawn kills with restarts, and cuts in two.
    pub faults: bool,
    /// Estimates are checked as if they were of the moment they are read, for a look at whether the check finds anything.
    pub ageless: bool,
    /// What of the ledger breaks a third of the way in, until two thirds.
    pub broken: Broken,
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Estimates looked at while they were fresh, and looks at which there was none.
    pub looks: u64,
    /// See `looks`.
    pub stale: u64,
    /// Of the looks, those lower than what the nodes in them had at the least since the stated time.
    pub too_low: u64,
    /// Sum of how much too high estimates were, over what was counted, at looks that covered all.
    pub too_high: (u64, u64),
    /// Ages of the estimates, in milliseconds.
    pub ages: Vec<u64>,
    /// Looks at judgements that were wrong: down while some could reach it, only here while this node could, or while nobody
    /// could for two seconds and more.
    pub wrong: u64,
    /// Looks at judgements.
    pub judged: u64,
    /// From the break until the first and the last that it concerns held back.
    pub held_back: Option<(Duration, Duration)>,
    /// From the mending until the last of them went on.
    pub went_on: Option<Duration>,
    /// Bytes sent by the node that sent the most, and by all, with 28 for the headers of UDP and IP.
    pub bytes: (u64, u64),
    /// Bytes of memory of the node that took the most.
    pub memory: usize,
}

struct Node {
    gathering: Option<AggregationNode>,
    life: u64,
    live: AtomicSketchCounters,
    /// In flight by tenant, and earlier values with the times until which they held.
    counts: Vec<u32>,
    past: Vec<VecDeque<(Duration, u32)>>,
    window: AttemptWindow,
    judge: HealthEvaluator,
    rate: f64,
    offset: Duration,
    part: u8,
    /// What its view will show, and from when on.
    view: VecDeque<(Duration, Vec<usize>)>,
    bytes: u64,
    turned: Option<Duration>,
    back: Option<Duration>,
}

type Late = Reverse<(Duration, u64, usize, usize, Vec<u8>)>;

/// A drawn fleet that counts and judges.
pub struct World {
    play: Play,
    nodes: Vec<Node>,
    late: BinaryHeap<Late>,
    order: u64,
    now: Duration,
    rng: ChaCha8Rng,
    /// Whose counts are in each sum.
    sums: BTreeMap<SumVersion, Vec<usize>>,
    report: Report,
}

fn name(id: usize) -> Name {
    format!("n{id}").as_str().into()
}
fn site(id: usize) -> Name {
    format!("site-{}", id % SITES).as_str().into()
}

impl World {
    /// A fleet at its start.
    pub fn new(play: Play, seed: u64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..play.nodes)
            .map(|_| Node {
                gathering: None,
                life: 0,
                live: AtomicSketchCounters::default(),
                counts: vec![0; TENANTS as usize],
                past: vec![VecDeque::new(); TENANTS as usize],
                window: AttemptWindow::default(),
                judge: HealthEvaluator::default(),
                rate: 1.0 + 0.005 * (2.0 * rng.random::<f64>() - 1.0),
                offset: Duration::ZERO,
                part: 0,
                view: VecDeque::new(),
                bytes: 0,
                turned: None,
                back: None,
            })
            .collect();
        let (late, order, now) = (BinaryHeap::new(), 0, Duration::from_secs(10));
        let mut world = World {
            play,
            nodes,
            late,
            order,
            now,
            rng,
            sums: BTreeMap::new(),
            report: Report::default(),
        };
        (0..world.nodes.len()).for_each(|id| world.start(id));
        world.tell_views(Duration::ZERO);
        world
    }
    fn clock(&self, id: usize) -> Duration {
        let node = &self.nodes[id];
        node.offset + self.now.mul_f64(node.rate)
    }
    fn start(&mut self, id: usize) {
        // A process's clock begins with it.
        self.nodes[id].offset = Duration::from_secs(self.rng.random_range(0..100_000));
        let now = self.clock(id);
        let node = &mut self.nodes[id];
        node.life += 1;
        // Lives are different over the fleet, as drawn ones are.
        let life = node.life * 1_000_000 + id as u64 + 1;
        node.gathering = Some(AggregationNode::new(
            ReportingSettings::default(),
            name(id),
            site(id),
            life,
            now,
        ));
        (node.live, node.window, node.judge) = Default::default();
    }
    /// What each node's view shows after so long.
    fn tell_views(&mut self, after: Duration) {
        for id in 0..self.nodes.len() {
            let there = |other: &usize| {
                self.nodes[*other].gathering.is_some()
                    && self.nodes[*other].part == self.nodes[id].part
            };
            let seen = (0..self.nodes.len()).filter(there).collect();
            let at = self.now + after;
            self.nodes[id].view.push_back((at, seen));
        }
    }
    fn reaches(&self, id: usize) -> bool {
        let third = self.play.long / 3;
        let breaks = self.since_start() >= third && self.since_start() < third * 2;
        let mine = match self.play.broken {
            Broken::Nothing => false,
            Broken::Path => id == 1,
            Broken::Site => id % SITES == 1,
            Broken::Ledger => true,
        };
        !(breaks && mine)
    }
    fn since_start(&self) -> Duration {
        self.now - Duration::from_secs(10)
    }

    /// Plays it to its end.
    pub fn run(mut self) -> Report {
        let end = self.now + self.play.long;
        while self.now < end {
            self.now += STEP;
            self.fate();
            self.work();
            self.deliver();
            for id in 0..self.nodes.len() {
                self.tick(id);
            }
            // Each node looks twenty times a second, in turn.
            let turn = (self.now.as_millis() / STEP.as_millis()) as usize % 5;
            for id in (turn..self.nodes.len()).step_by(5) {
                self.look(id);
            }
        }
        let third = self.play.long / 3;
        let start = Duration::from_secs(10);
        let concerned: Vec<&Node> = self.nodes.iter().filter(|n| n.turned.is_some()).collect();
        let turned: Vec<Duration> = concerned.iter().filter_map(|n| n.turned).collect();
        let most = |times: &[Duration]| times.iter().max().copied();
        if let (Some(first), Some(last)) = (turned.iter().min(), most(&turned)) {
            self.report.held_back = Some((
                first.saturating_sub(start + third),
                last.saturating_sub(start + third),
            ));
            let back: Vec<Duration> = concerned.iter().filter_map(|n| n.back).collect();
            if back.len() == concerned.len() {
                self.report.went_on = most(&back).map(|at| at.saturating_sub(start + third * 2));
            }
        }
        let bytes = self.nodes.iter().map(|n| n.bytes);
        self.report.bytes = (bytes.clone().max().unwrap_or(0), bytes.sum());
        self.report.memory = self
            .nodes
            .iter()
            .filter_map(|n| n.gathering.as_ref())
            .map(AggregationNode::memory_bytes)
            .max()
            .unwrap_or(0);
        self.report
    }

    /// Drawn kills with restarts, and cuts.
    fn fate(&mut self) {
        if !self.play.faults {
            return;
        }
        let draw = self.rng.random::<f64>() * 1000.0;
        let id = self.rng.random_range(0..self.nodes.len());
        if draw < 3.0 {
            if self.nodes[id].gathering.is_some() {
                self.nodes[id].gathering = None;
                for tenant in 0..TENANTS as usize {
                    self.set(id, tenant, 0);
                }
            } else {
                self.start(id);
            }
            self.tell_views(VIEW_LATE);
        } else if draw < 4.0 {
            let whole = self.nodes.iter().all(|n| n.part == 0);
            for at in 0..self.nodes.len() {
                self.nodes[at].part = if whole {
                    u8::from(self.rng.random::<f64>() < 0.4)
                } else {
                    0
                };
            }
            self.tell_views(VIEW_LATE);
        }
    }
    fn set(&mut self, id: usize, tenant: usize, count: u32) {
        let now = self.now;
        let node = &mut self.nodes[id];
        let before = std::mem::replace(&mut node.counts[tenant], count);
        node.past[tenant].push_back((now, before));
        while node.past[tenant]
            .front()
            .is_some_and(|(until, _)| *until + Duration::from_secs(20) < now)
        {
            node.past[tenant].pop_front();
        }
        for _ in before..count {
            node.live.increment(tenant as u64);
        }
        for _ in count..before {
            node.live.decrement(tenant as u64);
        }
    }
    /// Requests come and are answered; calls are tried.
    fn work(&mut self) {
        for id in 0..self.nodes.len() {
            if self.nodes[id].gathering.is_none() {
                continue;
            }
            if self.rng.random::<f64>() < 0.4 {
                // A few tenants have most of it.
                let tenant = (TENANTS as f64 * self.rng.random::<f64>().powi(3)) as usize;
                let count = self.nodes[id].counts[tenant];
                let more = self.rng.random::<f64>() < if count < 3 { 0.6 } else { 0.3 };
                self.set(
                    id,
                    tenant,
                    if more {
                        count + 1
                    } else {
                        count.saturating_sub(1)
                    },
                );
            }
            if self.rng.random::<f64>() < 0.15 {
                let (now, took) = (
                    self.clock(id),
                    self.reaches(id).then_some(Duration::from_millis(8)),
                );
                self.nodes[id].window.record(now, took);
            }
        }
    }
    fn send(&mut self, from: usize, out: Vec<Outgoing<AggregationMessage>>) {
        for Outgoing { to, message: said } in out {
            let Some(to) = to[1..].parse::<usize>().ok() else {
                continue;
            };
            let bytes = Message::Aggregation(said).encode();
            self.nodes[from].bytes += bytes.len() as u64 + 28;
            let lost = self.rng.random::<f64>() < self.play.loss;
            let twice = self.rng.random::<f64>() < if self.play.loss > 0.0 { 0.1 } else { 0.0 };
            for _ in 0..u8::from(!lost) + u8::from(!lost && twice) {
                let late = if self.play.loss > 0.0 && self.rng.random::<f64>() < 0.05 {
                    1000
                } else {
                    5
                };
                let after = Duration::from_millis(self.rng.random_range(0..late));
                self.order += 1;
                self.late.push(Reverse((
                    self.now + after,
                    self.order,
                    from,
                    to,
                    bytes.clone(),
                )));
            }
        }
    }
    fn deliver(&mut self) {
        while self.late.peek().is_some_and(|Reverse(l)| l.0 <= self.now) {
            let Some(Reverse((_, _, from, to, bytes))) = self.late.pop() else {
                return;
            };
            if self.nodes[from].part != self.nodes[to].part {
                continue;
            }
            let now = self.clock(to);
            let Some(gathering) = self.nodes[to].gathering.as_mut() else {
                continue;
            };
            let Some(Message::Aggregation(said)) = Message::decode(&bytes) else {
                continue;
            };
            let mut out = Vec::new();
            gathering.handle_message(&name(from), said, now, &mut out);
            self.note_sum(to);
            self.send(to, out);
        }
    }
    /// Keeps whose counts are in the sum of this node as it is now.
    fn note_sum(&mut self, id: usize) {
        let Some(gathering) = &self.nodes[id].gathering else {
            return;
        };
        let (number, names) = gathering.own_sum();
        let ids = names.filter_map(|n| n[1..].parse().ok()).collect();
        if self.nodes.len() <= 64 {
            self.sums.insert(number, ids);
        }
    }
    fn tick(&mut self, id: usize) {
        let now = self.clock(id);
        if self.nodes[id].gathering.is_none() {
            return;
        }
        while self.nodes[id]
            .view
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            let Some((_, seen)) = self.nodes[id].view.pop_front() else {
                break;
            };
            let all: Vec<(Name, Name)> = seen.iter().map(|i| (name(*i), site(*i))).collect();
            if let Some(gathering) = &mut self.nodes[id].gathering {
                gathering.set_members(all.iter().map(|(n, s)| (n, s)));
            }
        }
        let draw = self.rng.random::<f64>();
        let node = &mut self.nodes[id];
        let Some(gathering) = &mut node.gathering else {
            return;
        };
        if gathering.next_timeout() > now {
            return;
        }
        let counts: SketchCounters = node.live.load();
        let found: Vec<_> = node
            .window
            .observed_health(now)
            .map(|health| ServiceObservation {
                service: LEDGER,
                health,
            })
            .into_iter()
            .collect();
        let mut out = Vec::new();
        gathering.handle_timeout(now, &counts, &found, draw, &mut out);
        self.note_sum(id);
        self.send(id, out);
    }

    fn look(&mut self, id: usize) {
        let now = self.clock(id);
        let Some(gathering) = &self.nodes[id].gathering else {
            return;
        };
        let gathered = gathering.aggregate().clone();
        let there: BTreeSet<usize> = (0..self.nodes.len())
            .filter(|o| {
                self.nodes[*o].gathering.is_some() && self.nodes[*o].part == self.nodes[id].part
            })
            .collect();
        let tenant = self.rng.random_range(0..TENANTS);
        match gathered.estimate(tenant, now) {
            None => self.report.stale += 1,
            Some(told) if self.nodes.len() <= 64 => {
                // On the world's clock; a little later than stated, by what this node's clock may have drifted.
                let age = (now - gathered.as_of).mul_f64(1.0 / self.nodes[id].rate);
                let as_of = self.now.saturating_sub(if self.play.ageless {
                    Duration::ZERO
                } else {
                    age
                });
                let ids = self.sums.get(&gathered.sum).cloned().unwrap_or_default();
                let least = |node: &Node| {
                    let past = node.past[tenant as usize]
                        .iter()
                        .filter(|(until, _)| *until >= as_of);
                    past.map(|(_, count)| *count)
                        .chain([node.counts[tenant as usize]])
                        .min()
                        .unwrap_or(0)
                };
                let true_least: u32 = ids
                    .iter()
                    .filter(|i| **i != id)
                    .map(|i| least(&self.nodes[*i]))
                    .sum();
                self.report.looks += 1;
                self.report.too_low += u64::from(told < true_least);
                if ids.len() == there.len() {
                    let others = there.iter().filter(|i| **i != id);
                    let now: u32 = others.map(|i| self.nodes[*i].counts[tenant as usize]).sum();
                    let (over, all) = &mut self.report.too_high;
                    (*over, *all) = (
                        *over + u64::from(told.saturating_sub(now)),
                        *all + u64::from(now),
                    );
                }
                self.report.ages.push(age.as_millis() as u64);
            }
            Some(_) => {
                self.report.looks += 1;
                self.report
                    .ages
                    .push((now - gathered.as_of).as_millis() as u64);
            }
        }
        self.judge(id, now, &gathered.tally(LEDGER, now), gathered.as_of);
    }
    fn judge(&mut self, id: usize, now: Duration, tally: &Tally, as_of: Duration) {
        let since_break = self.since_start().saturating_sub(self.play.long / 3);
        let reaches = self.reaches(id);
        let any = (0..self.nodes.len()).any(|o| self.reaches(o));
        let ended = self.since_start() >= self.play.long * 2 / 3;
        let before = self.play.broken != Broken::Nothing && !since_break.is_zero();
        let node = &mut self.nodes[id];
        let found = evaluate_health(node.window.observed_health(now), tally, SITES);
        let said = node.judge.update(now, found, as_of);
        self.report.judged += 1;
        // What was right when it was said stays for a while after the mending; that is measured, not counted as wrong.
        let wrong = match said {
            DependencyHealth::Down => any && !ended,
            DependencyHealth::OnlyHere => {
                !ended && (reaches || !any && since_break > Duration::from_secs(2)) || !before
            }
            _ => false,
        };
        self.report.wrong += u64::from(wrong);
        if said.should_limit_calls() && node.turned.is_none() {
            node.turned = Some(self.now);
        }
        if said.should_limit_calls() {
            node.back = None;
        } else if node.turned.is_some() && node.back.is_none() {
            node.back = Some(self.now);
        }
    }
}
