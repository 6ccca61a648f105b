//! The simulated nodes with their messages and calls. Each node has a clock of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use membership::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shared_state::{Budgets, Message, Outgoing, QuotaConfig};

use super::{BudgetReport, BudgetScenario, SharingStrategy};
use crate::event_queue::{EventQueue, ScheduledEvent};

/// Interval at which nodes start calls.
const CALL_START_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the timers of a node are handled.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the utilization is recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Simulated time of the first fault.
const FIRST_FAULT_AT: Duration = Duration::from_secs(8);
/// Duration after the total is halved during which calls under earlier grants may be in flight.
const HALVING_GRACE: Duration = Duration::from_secs(8);
/// Number of nodes that elect the leader.
const VOTER_COUNT: usize = 3;
/// Fraction of messages that are delayed by up to 4 s.
const VERY_LATE_FRACTION: f64 = 0.02;

pub(super) enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Timer {
        node: usize,
        start_count: u64,
    },
    /// A call of the node's process with this start count ends at the ledger.
    CallEnds {
        node: usize,
        start_count: u64,
    },
    EstimateArrives {
        from: usize,
        to: usize,
        in_flight: u64,
    },
    Fault,
    Restart(usize),
    StartCalls,
}

impl Event {
    /// Returns the node whose process handles the event, if any. Events for a paused process are
    /// postponed.
    fn handling_node(&self) -> Option<usize> {
        match self {
            Event::Deliver { to, .. } | Event::EstimateArrives { to, .. } => Some(*to),
            Event::Timer { node, .. } => Some(*node),
            Event::CallEnds { .. } | Event::Fault | Event::Restart(_) | Event::StartCalls => None,
        }
    }
}

pub(super) struct Node {
    pub budgets: Option<Budgets>,
    pub start_count: u64,
    /// Time of the node's clock at the simulated time 0.
    clock_offset: Duration,
    clock_rate: f64,
    pub paused_until: Duration,
    pub partition: usize,
    /// Number of calls in flight that the node's current process started.
    pub in_flight: u64,
    /// Numbers of calls in flight that the other nodes last reported, for
    /// [`SharingStrategy::Estimates`].
    pub others_in_flight: BTreeMap<usize, u64>,
    pub next_estimate_at: Duration,
}

/// A simulated fleet whose nodes share a budget.
pub struct BudgetSimulation {
    pub(super) scenario: BudgetScenario,
    pub(super) strategy: SharingStrategy,
    pub(super) nodes: Vec<Node>,
    events: EventQueue<Event>,
    pub(super) now: Duration,
    pub(super) rng: ChaCha8Rng,
    /// Number of calls in flight at the ledger.
    pub(super) in_flight: u64,
    pub(super) total: u64,
    /// Simulated time until which calls under grants from before the halving may be in flight.
    pub(super) halving_grace_ends_at: Option<Duration>,
    pub(super) report: BudgetReport,
}

fn node_name(id: usize) -> Name {
    format!("n{id}").into()
}

fn node_id(name: &str) -> Option<usize> {
    name[1..].parse().ok()
}

impl BudgetSimulation {
    /// Creates the nodes and starts them all at once. The first three elect the leader.
    pub fn new(scenario: BudgetScenario, strategy: SharingStrategy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..scenario.node_count)
            .map(|_| Node {
                budgets: None,
                start_count: 0,
                clock_offset: Duration::from_millis(rng.random_range(0..100_000)),
                clock_rate: 1.0 + (rng.random::<f64>() - 0.5) * scenario.max_drift,
                paused_until: Duration::ZERO,
                partition: 0,
                in_flight: 0,
                others_in_flight: BTreeMap::new(),
                next_estimate_at: Duration::ZERO,
            })
            .collect();
        let mut simulation = BudgetSimulation {
            total: scenario.total,
            scenario,
            strategy,
            nodes,
            events: EventQueue::new(),
            now: Duration::ZERO,
            rng,
            in_flight: 0,
            halving_grace_ends_at: None,
            report: BudgetReport::default(),
        };
        for id in 0..simulation.nodes.len() {
            simulation.start(id);
        }
        simulation.schedule(CALL_START_INTERVAL, Event::StartCalls);
        if simulation.scenario.has_faults {
            simulation.schedule(FIRST_FAULT_AT, Event::Fault);
        }
        simulation
    }

    /// Returns the time of a node's clock.
    pub(super) fn clock(&self, id: usize) -> Duration {
        let node = &self.nodes[id];
        node.clock_offset + self.now.mul_f64(node.clock_rate)
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.push(self.now + delay, event);
    }

    fn quota_config(&self) -> QuotaConfig {
        let guaranteed = (0..self.scenario.node_count)
            .map(|id| (node_name(id), self.scenario.guaranteed))
            .collect();
        QuotaConfig {
            name: "ledger".into(),
            total: self.total,
            guaranteed,
        }
    }

    fn start(&mut self, id: usize) {
        let clock = self.clock(id);
        let voters = (0..VOTER_COUNT.min(self.scenario.node_count))
            .map(node_name)
            .collect();
        let timings = self.scenario.timings.clone();
        let quotas = vec![self.quota_config()];
        let node = &mut self.nodes[id];
        node.start_count += 1;
        node.in_flight = 0;
        let start_count = node.start_count;
        node.budgets = Some(Budgets::new(
            timings,
            node_name(id),
            start_count,
            voters,
            quotas,
            clock,
        ));
        let timer = Event::Timer {
            node: id,
            start_count,
        };
        self.schedule(Duration::ZERO, timer);
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            let Some(to) = node_id(&to) else {
                continue;
            };
            self.report.messages += 1;
            let is_duplicated = self.rng.random::<f64>() < self.scenario.loss / 2.0;
            for _ in 0..=usize::from(is_duplicated) {
                self.transmit(from, to, &message);
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: &Message) {
        let max_delay_ms = if self.rng.random::<f64>() < VERY_LATE_FRACTION {
            4000
        } else {
            5
        };
        let delay = Duration::from_micros(self.rng.random_range(200..max_delay_ms * 1000));
        let is_lost = self.rng.random::<f64>() < self.scenario.loss;
        if !is_lost && self.nodes[from].partition == self.nodes[to].partition {
            let message = message.clone();
            self.schedule(delay, Event::Deliver { from, to, message });
        }
    }

    pub(super) fn handle_timers(&mut self, id: usize) {
        let clock = self.clock(id);
        let random = self.rng.random::<f64>();
        let names: Vec<Name> = (0..self.nodes.len()).map(node_name).collect();
        let Some(budgets) = self.nodes[id].budgets.as_mut() else {
            return;
        };
        let mut outgoing = Vec::new();
        if budgets.next_timeout() <= clock {
            budgets.handle_timeout(clock, random, &names, &mut outgoing);
        }
        self.send(id, outgoing);
    }

    /// Runs the simulation until its end.
    pub fn run(mut self) -> BudgetReport {
        let mut next_sample_at = Duration::ZERO;
        while let Some(scheduled) = self.events.pop_until(self.scenario.duration) {
            self.now = scheduled.at;
            if let Some(resumes_at) = self.end_of_pause(&scheduled) {
                self.events.postpone(scheduled, resumes_at);
                continue;
            }
            self.handle_event(scheduled.event);
            self.halve_total_if_due();
            if self.now >= next_sample_at {
                next_sample_at = self.now + SAMPLE_INTERVAL;
                let utilization = self.in_flight as f64 / self.total as f64;
                self.report.utilization.push(utilization);
            }
        }
        self.report
    }

    /// Returns the time until which the process that handles an event is paused, if it is.
    fn end_of_pause(&self, scheduled: &ScheduledEvent<Event>) -> Option<Duration> {
        let node = scheduled.event.handling_node()?;
        let paused_until = self.nodes[node].paused_until;
        (paused_until > scheduled.at).then_some(paused_until)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Timer { node, start_count } => {
                let state = &self.nodes[node];
                if state.start_count == start_count && state.budgets.is_some() {
                    self.handle_timers(node);
                    self.schedule(TIMER_INTERVAL, Event::Timer { node, start_count });
                }
            }
            Event::CallEnds { node, start_count } => self.end_call(node, start_count),
            Event::EstimateArrives {
                from,
                to,
                in_flight,
            } => {
                self.nodes[to].others_in_flight.insert(from, in_flight);
            }
            Event::Fault => self.inject_fault(),
            Event::Restart(id) => {
                if self.nodes[id].budgets.is_none() {
                    self.start(id);
                }
            }
            Event::StartCalls => {
                self.start_calls();
                self.schedule(CALL_START_INTERVAL, Event::StartCalls);
            }
        }
    }

    /// Delivers a message. A message that was sent to an earlier process of a node may reach a
    /// later one.
    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let clock = self.clock(to);
        let mut outgoing = Vec::new();
        if let Some(budgets) = self.nodes[to].budgets.as_mut() {
            budgets.handle_message(&node_name(from), message, clock, &mut outgoing);
        }
        self.send(to, outgoing);
    }

    fn halve_total_if_due(&mut self) {
        let Some(halved_at) = self.scenario.total_halved_at else {
            return;
        };
        if self.now < halved_at || self.halving_grace_ends_at.is_some() {
            return;
        }
        self.total = self.scenario.total / 2;
        self.halving_grace_ends_at = Some(halved_at + HALVING_GRACE);
        let totals = vec![self.total];
        for budgets in self.nodes.iter_mut().filter_map(|n| n.budgets.as_mut()) {
            budgets.set_totals(&totals);
        }
    }
}
