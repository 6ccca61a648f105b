//! The simulated nodes, their requests, their calls and their faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use membership::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{
    AggregationNode, AtomicSketchCounters, AttemptWindow, HealthEvaluator, ReportingSettings,
    SumVersion,
};

use super::delivery::Transit;
use super::{AggregationReport, AggregationScenario, FirstAndLast, LedgerOutage};
use crate::event_queue::EventQueue;

/// One step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Each node is checked once in so many steps.
const STEPS_PER_CHECK: usize = 5;
/// The simulated time at which a simulation begins.
pub(super) const START_TIME: Duration = Duration::from_secs(10);
/// How many tenants there are; they are numbered.
pub(super) const TENANT_COUNT: u64 = 40;
/// How long membership views lag behind.
const VIEW_LAG: Duration = Duration::from_secs(4);
/// How many sites the fleet has.
pub(super) const SITE_COUNT: usize = 3;
/// How long earlier counts are kept for checks.
const HISTORY: Duration = Duration::from_secs(20);
/// By which fraction the rates of clocks differ from the simulated time, at most.
const MAX_DRIFT: f64 = 0.005;
/// How long a successful call takes.
const CALL_DURATION: Duration = Duration::from_millis(8);
/// The node and the site that an outage of one concerns.
const FAILING_INDEX: usize = 1;
/// Incarnations of one node's processes differ by this.
const INCARNATIONS_PER_START: u64 = 1_000_000;

/// An earlier number of requests in flight.
pub(super) struct PastCount {
    pub held_until: Duration,
    pub count: u32,
}

/// A membership view that takes effect later.
pub(super) struct PendingView {
    pub effective_at: Duration,
    pub members: Vec<usize>,
}

pub(super) struct Node {
    pub aggregation: Option<AggregationNode>,
    start_count: u64,
    pub counters: AtomicSketchCounters,
    /// Requests in flight by tenant.
    pub in_flight: Vec<u32>,
    /// Earlier numbers by tenant.
    pub history: Vec<VecDeque<PastCount>>,
    pub window: AttemptWindow,
    pub evaluator: HealthEvaluator,
    pub clock_rate: f64,
    clock_offset: Duration,
    pub partition: u8,
    pub pending_views: VecDeque<PendingView>,
    pub sent_bytes: u64,
    /// When it first limited its calls.
    pub limited_at: Option<Duration>,
    /// When it last lifted the limit.
    pub resumed_at: Option<Duration>,
}

/// A fleet that aggregates counts and health.
pub struct AggregationSimulation {
    pub(super) scenario: AggregationScenario,
    pub(super) nodes: Vec<Node>,
    pub(super) in_transit: EventQueue<Transit>,
    pub(super) now: Duration,
    pub(super) rng: ChaCha8Rng,
    /// The nodes whose counts are in each sum.
    pub(super) sum_contributors: BTreeMap<SumVersion, Vec<usize>>,
    pub(super) report: AggregationReport,
}

pub(super) fn name(id: usize) -> Name {
    format!("n{id}").as_str().into()
}

pub(super) fn node_named(name: &str) -> Option<usize> {
    name[1..].parse().ok()
}

pub(super) fn site(id: usize) -> Name {
    format!("site-{}", id % SITE_COUNT).as_str().into()
}

impl AggregationSimulation {
    /// A fleet at its start.
    pub fn new(scenario: AggregationScenario, seed: u64) -> AggregationSimulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..scenario.node_count)
            .map(|_| Node {
                aggregation: None,
                start_count: 0,
                counters: AtomicSketchCounters::default(),
                in_flight: vec![0; TENANT_COUNT as usize],
                history: (0..TENANT_COUNT).map(|_| VecDeque::new()).collect(),
                window: AttemptWindow::default(),
                evaluator: HealthEvaluator::default(),
                clock_rate: 1.0 + MAX_DRIFT * (2.0 * rng.random::<f64>() - 1.0),
                clock_offset: Duration::ZERO,
                partition: 0,
                pending_views: VecDeque::new(),
                sent_bytes: 0,
                limited_at: None,
                resumed_at: None,
            })
            .collect();
        let mut simulation = AggregationSimulation {
            scenario,
            nodes,
            in_transit: EventQueue::new(),
            now: START_TIME,
            rng,
            sum_contributors: BTreeMap::new(),
            report: AggregationReport::default(),
        };
        for id in 0..simulation.nodes.len() {
            simulation.start(id);
        }
        simulation.update_views(Duration::ZERO);
        simulation
    }

    /// What a node's clock shows.
    pub(super) fn clock(&self, id: usize) -> Duration {
        let node = &self.nodes[id];
        node.clock_offset + self.now.mul_f64(node.clock_rate)
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.now - START_TIME
    }

    /// When an outage of the ledger begins, since the start.
    pub(super) fn outage_start(&self) -> Duration {
        self.scenario.duration / 3
    }

    /// Starts a node's process. Its clock begins with it.
    fn start(&mut self, id: usize) {
        self.nodes[id].clock_offset = Duration::from_secs(self.rng.random_range(0..100_000));
        let clock = self.clock(id);
        let node = &mut self.nodes[id];
        node.start_count += 1;
        let incarnation = node.start_count * INCARNATIONS_PER_START + id as u64 + 1;
        node.aggregation = Some(AggregationNode::new(
            ReportingSettings::default(),
            name(id),
            site(id),
            incarnation,
            clock,
        ));
        node.counters = AtomicSketchCounters::default();
        node.window = AttemptWindow::default();
        node.evaluator = HealthEvaluator::default();
    }

    /// Whether a node runs and can be reached from another one.
    pub(super) fn is_visible(&self, from: usize, other: usize) -> bool {
        let node = &self.nodes[other];
        node.aggregation.is_some() && node.partition == self.nodes[from].partition
    }

    /// Updates the membership views of all nodes to the present state, after a lag.
    fn update_views(&mut self, lag: Duration) {
        let effective_at = self.now + lag;
        for id in 0..self.nodes.len() {
            let members = (0..self.nodes.len())
                .filter(|other| self.is_visible(id, *other))
                .collect();
            self.nodes[id].pending_views.push_back(PendingView {
                effective_at,
                members,
            });
        }
    }

    /// Whether a node can reach the ledger.
    pub(super) fn can_reach_ledger(&self, id: usize) -> bool {
        let outage_start = self.outage_start();
        let has_outage = self.elapsed() >= outage_start && self.elapsed() < outage_start * 2;
        let is_concerned = match self.scenario.outage {
            LedgerOutage::None => false,
            LedgerOutage::OneNode => id == FAILING_INDEX,
            LedgerOutage::OneSite => id % SITE_COUNT == FAILING_INDEX,
            LedgerOutage::Everywhere => true,
        };
        !(has_outage && is_concerned)
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> AggregationReport {
        let end = self.now + self.scenario.duration;
        while self.now < end {
            self.now += STEP;
            self.inject_faults();
            self.work();
            self.deliver_due();
            for id in 0..self.nodes.len() {
                self.handle_timers(id);
            }
            let step = (self.now.as_millis() / STEP.as_millis()) as usize;
            for id in (step % STEPS_PER_CHECK..self.nodes.len()).step_by(STEPS_PER_CHECK) {
                self.check(id);
            }
        }
        self.report_reactions();
        self.report_resources();
        self.report
    }

    /// Reports how fast the nodes reacted to the outage and to its end.
    fn report_reactions(&mut self) {
        let outage_start = START_TIME + self.outage_start();
        let outage_end = START_TIME + self.outage_start() * 2;
        let concerned = || self.nodes.iter().filter(|node| node.limited_at.is_some());
        let first = concerned().filter_map(|node| node.limited_at).min();
        let last = concerned().filter_map(|node| node.limited_at).max();
        let Some((first, last)) = first.zip(last) else {
            return;
        };
        let have_all_resumed = concerned().all(|node| node.resumed_at.is_some());
        let last_resumed_at = concerned().filter_map(|node| node.resumed_at).max();
        self.report.limited_after = Some(FirstAndLast {
            first: first.saturating_sub(outage_start),
            last: last.saturating_sub(outage_start),
        });
        if have_all_resumed {
            self.report.resumed_after = last_resumed_at.map(|at| at.saturating_sub(outage_end));
        }
    }

    fn report_resources(&mut self) {
        let sent_bytes = self.nodes.iter().map(|node| node.sent_bytes);
        self.report.max_sent_bytes = sent_bytes.clone().max().unwrap_or(0);
        self.report.total_sent_bytes = sent_bytes.sum();
        self.report.max_memory_bytes = self
            .nodes
            .iter()
            .filter_map(|node| node.aggregation.as_ref())
            .map(AggregationNode::memory_bytes)
            .max()
            .unwrap_or(0);
    }

    /// Injects random faults: a node is killed or restarted, the network is divided or heals.
    fn inject_faults(&mut self) {
        if !self.scenario.has_faults {
            return;
        }
        let per_mille = self.rng.random::<f64>() * 1000.0;
        let id = self.rng.random_range(0..self.nodes.len());
        if per_mille < 3.0 {
            if self.nodes[id].aggregation.is_some() {
                self.kill(id);
            } else {
                self.start(id);
            }
            self.update_views(VIEW_LAG);
        } else if per_mille < 4.0 {
            self.toggle_partition();
            self.update_views(VIEW_LAG);
        }
    }

    fn kill(&mut self, id: usize) {
        self.nodes[id].aggregation = None;
        for tenant in 0..TENANT_COUNT as usize {
            self.set_in_flight(id, tenant, 0);
        }
    }

    fn toggle_partition(&mut self) {
        let is_divided = self.nodes.iter().any(|node| node.partition != 0);
        for node in &mut self.nodes {
            node.partition = if is_divided {
                0
            } else {
                u8::from(self.rng.random::<f64>() < 0.4)
            };
        }
    }

    fn set_in_flight(&mut self, id: usize, tenant: usize, count: u32) {
        let now = self.now;
        let node = &mut self.nodes[id];
        let before = std::mem::replace(&mut node.in_flight[tenant], count);
        let history = &mut node.history[tenant];
        history.push_back(PastCount {
            held_until: now,
            count: before,
        });
        while history
            .front()
            .is_some_and(|past| past.held_until + HISTORY < now)
        {
            history.pop_front();
        }
        for _ in before..count {
            node.counters.increment(tenant as u64);
        }
        for _ in count..before {
            node.counters.decrement(tenant as u64);
        }
    }

    /// On all running nodes requests arrive and are answered, and calls are made to the ledger.
    fn work(&mut self) {
        for id in 0..self.nodes.len() {
            if self.nodes[id].aggregation.is_none() {
                continue;
            }
            if self.rng.random::<f64>() < 0.4 {
                self.change_in_flight(id);
            }
            if self.rng.random::<f64>() < 0.15 {
                let clock = self.clock(id);
                let duration = self.can_reach_ledger(id).then_some(CALL_DURATION);
                self.nodes[id].window.record(clock, duration);
            }
        }
    }

    /// A request of a random tenant arrives or is answered; a few tenants have most of the requests.
    fn change_in_flight(&mut self, id: usize) {
        let tenant = (TENANT_COUNT as f64 * self.rng.random::<f64>().powi(3)) as usize;
        let count = self.nodes[id].in_flight[tenant];
        let arrival_probability = if count < 3 { 0.6 } else { 0.3 };
        let count = if self.rng.random::<f64>() < arrival_probability {
            count + 1
        } else {
            count.saturating_sub(1)
        };
        self.set_in_flight(id, tenant, count);
    }
}
