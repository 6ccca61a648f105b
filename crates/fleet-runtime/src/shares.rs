//! What a node counts and finds, told by whoever serves, and what the fleet makes of it, read without waiting.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use shared_state::{
    Aggregate, AtomicSketchCounters, AttemptWindow, DependencyHealth, ObservedHealth,
};

/// What is known of the fleet's counts and of the ledger.
#[derive(Clone, Debug)]
pub struct Known {
    /// Counts of the others.
    pub gathered: Aggregate,
    /// Until when they count.
    pub until: Instant,
    /// What this node makes of the ledger.
    pub ledger: DependencyHealth,
}

/// Counts and evidence of this node, and what the fleet makes of them. Clones share one.
#[derive(Clone, Debug)]
pub struct Shares {
    began: Instant,
    live: Arc<AtomicSketchCounters>,
    window: Arc<Mutex<AttemptWindow>>,
    known: Arc<ArcSwap<Known>>,
}

impl Default for Shares {
    fn default() -> Shares {
        let began = Instant::now();
        let nothing = Known {
            gathered: Aggregate::default(),
            until: began,
            ledger: DependencyHealth::Unknown,
        };
        Shares {
            began,
            live: Arc::default(),
            window: Arc::default(),
            known: Arc::new(ArcSwap::from_pointee(nothing)),
        }
    }
}

impl Shares {
    /// Counts of requests in flight.
    pub fn live(&self) -> Arc<AtomicSketchCounters> {
        self.live.clone()
    }
    /// A call at the ledger ended: well, in so long, or not.
    pub fn tried(&self, took: Option<Duration>) {
        let now = self.began.elapsed();
        self.window
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(now, took);
    }
    /// What the calls of late say, and how many there were and failed.
    pub(crate) fn found(&self) -> (Option<ObservedHealth>, (usize, usize)) {
        let now = self.began.elapsed();
        let window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = window.counts(now);
        (window.observed_health(now), (counts.total, counts.failed))
    }
    pub(crate) fn publish(&self, known: Known) {
        self.known.store(Arc::new(known));
    }
    /// How many nodes are counted, and what the others among them have in flight of each key; none while that is not known.
    pub fn others(&self, keys: &[u64]) -> Option<(u32, Vec<u32>)> {
        let known = self.known.load();
        let fresh = known.gathered.aggregator.is_some() && Instant::now() < known.until;
        let estimate = |key: &u64| known.gathered.others.estimate(*key);
        fresh.then(|| {
            (
                known.gathered.covered_nodes,
                keys.iter().map(estimate).collect(),
            )
        })
    }
    /// What this node makes of the ledger.
    pub fn ledger(&self) -> DependencyHealth {
        self.known.load().ledger
    }
}
