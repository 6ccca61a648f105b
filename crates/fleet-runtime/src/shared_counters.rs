//! Counts of requests in flight and observations of the ledger: those of this node, and their
//! aggregate over the fleet. Threads that serve requests write and read them without waiting for
//! the fleet actor.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use shared_state::health::AttemptCounts;
use shared_state::{
    Aggregate, AtomicSketchCounters, AttemptWindow, DependencyHealth, ObservedHealth,
};

/// The aggregate that the fleet actor last published.
#[derive(Clone, Debug)]
pub(crate) struct FleetCounters {
    /// The other nodes' counts and observations.
    pub(crate) aggregate: Aggregate,
    /// Time from which the aggregate is too old to be used.
    pub(crate) expires_at: Instant,
    /// The health of the ledger, evaluated from this node's and the others' observations.
    pub(crate) ledger_health: DependencyHealth,
}

/// The numbers of requests that the other nodes have in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightElsewhere {
    /// Number of nodes in the sum, including this one.
    pub node_count: u32,
    /// Number of requests in flight at the other nodes, for each requested key.
    pub requests: Vec<u32>,
}

/// This node's recent calls to the ledger.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerObservation {
    /// The ledger's health according to these calls. `None` if there were too few.
    pub(crate) health: Option<ObservedHealth>,
    /// Number of calls, and of those that failed.
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
        let no_aggregate = FleetCounters {
            aggregate: Aggregate::default(),
            expires_at: started_at,
            ledger_health: DependencyHealth::Unknown,
        };
        SharedCounters {
            started_at,
            in_flight: Arc::default(),
            ledger_calls: Arc::default(),
            fleet: Arc::new(ArcSwap::from_pointee(no_aggregate)),
        }
    }
}

impl SharedCounters {
    /// Returns this node's counters of requests in flight.
    pub fn in_flight(&self) -> Arc<AtomicSketchCounters> {
        self.in_flight.clone()
    }

    /// Records a completed call to the ledger with its duration, or `None` if it failed.
    pub fn record_ledger_call(&self, duration: Option<Duration>) {
        let now = self.started_at.elapsed();
        self.ledger_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(now, duration);
    }

    /// Returns the number of requests that the other nodes have in flight for each key. `None`
    /// while there is no recent aggregate.
    pub fn in_flight_elsewhere(&self, keys: &[u64]) -> Option<InFlightElsewhere> {
        let fleet = self.fleet.load();
        let is_recent = fleet.aggregate.aggregator.is_some() && Instant::now() < fleet.expires_at;
        is_recent.then(|| InFlightElsewhere {
            node_count: fleet.aggregate.covered_nodes,
            requests: keys
                .iter()
                .map(|key| fleet.aggregate.others.estimate(*key))
                .collect(),
        })
    }

    /// Returns the health of the ledger, as the fleet actor last evaluated it.
    pub fn ledger_health(&self) -> DependencyHealth {
        self.fleet.load().ledger_health
    }

    /// Returns this node's recent calls to the ledger and the health that they show.
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

    /// Replaces the published aggregate.
    pub(crate) fn publish(&self, counters: FleetCounters) {
        self.fleet.store(Arc::new(counters));
    }
}
