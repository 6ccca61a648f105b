//! The simulated nodes with their requests, calls and faults.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use membership::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{
    AggregationNode, AtomicSketchCounters, AttemptWindow, HealthEvaluator, ReportingSettings,
    SumVersion,
};

use super::delivery::InTransitMessage;
use super::{AggregationReport, AggregationScenario, LedgerOutage, ReactionTimes};
use crate::event_queue::EventQueue;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Number of steps between two checks of a node.
const STEPS_PER_CHECK: usize = 5;
/// The simulated time at which a simulation begins.
pub(super) const START_TIME: Duration = Duration::from_secs(10);
/// Number of tenants. Tenants are identified by their index.
pub(super) const TENANT_COUNT: u64 = 40;
/// Delay until a change shows in the membership views.
const VIEW_LAG: Duration = Duration::from_secs(4);
/// Number of sites of the fleet.
pub(super) const SITE_COUNT: usize = 3;
/// Duration for which earlier counts are kept for checks.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
/// Maximum deviation of a clock's rate from the simulated time, as a fraction.
const MAX_DRIFT: f64 = 0.005;
/// Duration of a successful call.
const CALL_DURATION: Duration = Duration::from_millis(8);
/// Index of the node or site that is affected by an outage of one node or one site.
const FAILING_INDEX: usize = 1;
/// Difference between the incarnations of two successive processes of a node.
const INCARNATIONS_PER_START: u64 = 1_000_000;

/// An earlier number of requests in flight, and when another one replaced it.
pub(super) struct PastCount {
    pub replaced_at: Duration,
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
    /// Number of requests in flight by tenant.
    pub in_flight: Vec<u32>,
    /// Earlier numbers of requests in flight by tenant.
    pub history: Vec<VecDeque<PastCount>>,
    pub window: AttemptWindow,
    pub evaluator: HealthEvaluator,
    pub clock_rate: f64,
    clock_offset: Duration,
    pub partition: u8,
    pub pending_views: VecDeque<PendingView>,
    pub sent_bytes: u64,
    /// Time at which the node first limited its calls.
    pub limited_at: Option<Duration>,
    /// Time at which the node last lifted the limit.
    pub resumed_at: Option<Duration>,
}

/// A fleet that aggregates counts and health.
pub struct AggregationSimulation {
    pub(super) scenario: AggregationScenario,
    pub(super) nodes: Vec<Node>,
    pub(super) in_transit: EventQueue<InTransitMessage>,
    pub(super) now: Duration,
    pub(super) rng: ChaCha8Rng,
    /// The nodes whose counts are included in each sum.
    pub(super) sum_contributors: BTreeMap<SumVersion, Vec<usize>>,
    pub(super) report: AggregationReport,
}

pub(super) fn node_name(id: usize) -> Name {
    format!("n{id}").as_str().into()
}

pub(super) fn node_id(name: &str) -> Option<usize> {
    name[1..].parse().ok()
}

pub(super) fn site_name(id: usize) -> Name {
    format!("site-{}", id % SITE_COUNT).as_str().into()
}

impl AggregationSimulation {
    /// Creates a fleet and starts all its nodes.
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

    /// Returns the time of a node's clock.
    pub(super) fn clock(&self, id: usize) -> Duration {
        let node = &self.nodes[id];
        node.clock_offset + self.now.mul_f64(node.clock_rate)
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.now - START_TIME
    }

    /// Returns the duration from the start of the simulation until an outage of the ledger begins.
    pub(super) fn outage_start(&self) -> Duration {
        self.scenario.duration / 3
    }

    /// Starts a node's process. Each process has a random clock offset of its own.
    fn start(&mut self, id: usize) {
        self.nodes[id].clock_offset = Duration::from_secs(self.rng.random_range(0..100_000));
        let clock = self.clock(id);
        let node = &mut self.nodes[id];
        node.start_count += 1;
        let incarnation = node.start_count * INCARNATIONS_PER_START + id as u64 + 1;
        node.aggregation = Some(AggregationNode::new(
            ReportingSettings::default(),
            node_name(id),
            site_name(id),
            incarnation,
            clock,
        ));
        node.counters = AtomicSketchCounters::default();
        node.window = AttemptWindow::default();
        node.evaluator = HealthEvaluator::default();
    }

    /// Returns true if the node `other` is running and can be reached from the node `from`.
    pub(super) fn is_visible(&self, from: usize, other: usize) -> bool {
        let node = &self.nodes[other];
        node.aggregation.is_some() && node.partition == self.nodes[from].partition
    }

    /// Updates the membership views of all nodes to the current state, after the delay `lag`.
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

    /// Returns true if a node can reach the ledger.
    pub(super) fn can_reach_ledger(&self, id: usize) -> bool {
        let outage_start = self.outage_start();
        let has_outage = self.elapsed() >= outage_start && self.elapsed() < outage_start * 2;
        let is_affected = match self.scenario.outage {
            LedgerOutage::None => false,
            LedgerOutage::OneNode => id == FAILING_INDEX,
            LedgerOutage::OneSite => id % SITE_COUNT == FAILING_INDEX,
            LedgerOutage::Everywhere => true,
        };
        !(has_outage && is_affected)
    }

    /// Runs the simulation until its end.
    pub fn run(mut self) -> AggregationReport {
        let end = self.now + self.scenario.duration;
        while self.now < end {
            self.now += STEP;
            self.inject_faults();
            self.run_workload();
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

    /// Reports how quickly the nodes reacted to the outage and to its end.
    fn report_reactions(&mut self) {
        let outage_start = START_TIME + self.outage_start();
        let outage_end = START_TIME + self.outage_start() * 2;
        let affected = || self.nodes.iter().filter(|node| node.limited_at.is_some());
        let first = affected().filter_map(|node| node.limited_at).min();
        let last = affected().filter_map(|node| node.limited_at).max();
        let Some((first, last)) = first.zip(last) else {
            return;
        };
        let have_all_resumed = affected().all(|node| node.resumed_at.is_some());
        let last_resumed_at = affected().filter_map(|node| node.resumed_at).max();
        self.report.limited_after = Some(ReactionTimes {
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

    /// Injects random faults: kills or restarts a node, or partitions or heals the network.
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
            replaced_at: now,
            count: before,
        });
        while history
            .front()
            .is_some_and(|past| past.replaced_at + HISTORY_RETENTION < now)
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

    /// Simulates requests that arrive and are answered, and calls to the ledger, on all running
    /// nodes.
    fn run_workload(&mut self) {
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

    /// Simulates that a request of a random tenant arrives or is answered. A few tenants have most
    /// of the requests.
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
