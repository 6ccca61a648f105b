//! Counts of requests in flight and observations of the ledger: what this node contributes, and the sums over
//! the fleet. Threads that serve requests write and read here without waiting for the fleet actor.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use shared_state::health::AttemptCounts;
use shared_state::{
    Aggregate, AtomicSketchCounters, AttemptWindow, DependencyHealth, ObservedHealth,
};

/// What the fleet actor last published.
#[derive(Clone, Debug)]
pub(crate) struct FleetCounters {
    /// The sum of the other nodes' counts.
    pub(crate) aggregate: Aggregate,
    /// When the aggregate is too old to be used.
    pub(crate) expires_at: Instant,
    /// The health of the ledger, as this node concludes from its own and the others' observations.
    pub(crate) ledger_health: DependencyHealth,
}

/// Requests that the other nodes have in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightElsewhere {
    /// Nodes whose counts are included, this one among them.
    pub node_count: u32,
    /// Requests in flight at the other nodes, one figure for each key that was asked for.
    pub requests: Vec<u32>,
}

/// This node's recent calls to the ledger.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerObservation {
    /// The ledger's health as these calls show it; `None` where there were too few.
    pub(crate) health: Option<ObservedHealth>,
    /// How many calls there were, and how many of them failed.
    pub(crate) calls: AttemptCounts,
}

/// Counts and observations of this node and of the fleet. Clones share the same state.
#[derive(Clone, Debug)]
pub struct SharedCounters {
    started_at: Instant,
    in_flight: Arc<AtomicSketchCounters>,
    ledger_calls: Arc<Mutex<AttemptWindow>>,
    fleet: Arc<ArcSwap<FleetCounters>>,
}

impl Default for SharedCounters {
    fn default() -> SharedCounters {
        let started_at = Instant::now();
        let nothing_known = FleetCounters {
            aggregate: Aggregate::default(),
            expires_at: started_at,
            ledger_health: DependencyHealth::Unknown,
        };
        SharedCounters {
            started_at,
            in_flight: Arc::default(),
            ledger_calls: Arc::default(),
            fleet: Arc::new(ArcSwap::from_pointee(nothing_known)),
        }
    }
}

impl SharedCounters {
    /// This node's counters of requests in flight.
    pub fn in_flight(&self) -> Arc<AtomicSketchCounters> {
        self.in_flight.clone()
    }

    /// Records a call to the ledger that has ended: its duration, or `None` if it failed.
    pub fn record_ledger_call(&self, duration: Option<Duration>) {
        let now = self.started_at.elapsed();
        self.ledger_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(now, duration);
    }

    /// What the other nodes have in flight for each key; `None` while there is no fresh aggregate.
    pub fn in_flight_elsewhere(&self, keys: &[u64]) -> Option<InFlightElsewhere> {
        let fleet = self.fleet.load();
        let is_fresh = fleet.aggregate.aggregator.is_some() && Instant::now() < fleet.expires_at;
        is_fresh.then(|| InFlightElsewhere {
            node_count: fleet.aggregate.covered_nodes,
            requests: keys
                .iter()
                .map(|key| fleet.aggregate.others.estimate(*key))
                .collect(),
        })
    }

    /// The health of the ledger, as this node concludes.
    pub fn ledger_health(&self) -> DependencyHealth {
        self.fleet.load().ledger_health
    }

    /// The ledger's health as this node's recent calls show it.
    pub(crate) fn observe_ledger(&self) -> LedgerObservation {
        let now = self.started_at.elapsed();
        let window = self
            .ledger_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        LedgerObservation {
            health: window.observed_health(now),
            calls: window.counts(now),
        }
    }

    /// Replaces what is known of the fleet.
    pub(crate) fn publish(&self, counters: FleetCounters) {
        self.fleet.store(Arc::new(counters));
    }
}
