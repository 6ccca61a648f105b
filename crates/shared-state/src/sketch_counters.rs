//! Requests in flight by tenant, counted in a count-min sketch that fits one datagram. The estimate
//! of a key is the smallest of its counters, so it may be too high but is never too low.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use serde::{Deserialize, Serialize};

/// Number of rows. Fewer than one key in 50 is overestimated in all rows by more than the bound
/// given at [`SKETCH_COLUMNS`].
pub const SKETCH_ROWS: usize = 4;
/// Number of counters per row. For all but one key in e, a row overestimates by at most e/64 (1/23)
/// of all requests in flight.
pub const SKETCH_COLUMNS: usize = 64;
/// Number of counters of the whole sketch.
pub const SKETCH_COUNTERS: usize = SKETCH_ROWS * SKETCH_COLUMNS;
/// Largest value of a counter on the wire. It takes three bytes, so that all counters fit one
/// datagram.
pub(crate) const MAX_WIRE_COUNT: u32 = (1 << 21) - 1;

/// The new value of one counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterChange {
    /// Index of the counter.
    pub index: u8,
    /// The new value.
    pub count: u32,
}

/// Returns the indices of a key's counters, one in each row, which are the same on every machine.
/// Each row hashes the key with `splitmix64` and a seed of its own.
pub fn counter_indices(key: u64) -> [usize; SKETCH_ROWS] {
    std::array::from_fn(|row| {
        let mut hash = key ^ (row as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        row * SKETCH_COLUMNS + (hash ^ (hash >> 31)) as usize % SKETCH_COLUMNS
    })
}

/// The counters of a sketch at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SketchCounters(Box<[u32]>);

impl Default for SketchCounters {
    fn default() -> SketchCounters {
        SketchCounters(vec![0; SKETCH_COUNTERS].into())
    }
}

impl SketchCounters {
    /// Returns the value of a counter.
    pub fn get(&self, index: usize) -> u32 {
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Sets counters to new values.
    pub fn apply_changes(&mut self, changes: &[CounterChange]) {
        for change in changes {
            self.0[usize::from(change.index)] = change.count.min(MAX_WIRE_COUNT);
        }
    }

    /// Adds the counters of another sketch.
    pub fn add(&mut self, other: &SketchCounters) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own = own.saturating_add(*other);
        }
    }

    /// Subtracts the counters of another sketch.
    pub fn subtract(&mut self, other: &SketchCounters) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own = own.saturating_sub(*other);
        }
    }

    /// Returns the counters whose values differ from those of any of the other sketches.
    pub fn changes_from<'a>(
        &self,
        others: &(impl Iterator<Item = &'a SketchCounters> + Clone),
    ) -> Vec<CounterChange> {
        let differs = |index: &usize| {
            others
                .clone()
                .any(|other| other.get(*index) != self.get(*index))
        };
        (0..SKETCH_COUNTERS)
            .filter(differs)
            .map(|index| CounterChange {
                index: index as u8,
                count: self.get(index).min(MAX_WIRE_COUNT),
            })
            .collect()
    }

    /// Returns the counters that are not zero.
    pub fn nonzero_changes(&self) -> Vec<CounterChange> {
        self.changes_from(&std::iter::once(&SketchCounters::default()))
    }

    /// Returns an upper bound of the estimates of all keys.
    pub fn max_estimate(&self) -> u32 {
        self.0
            .chunks(SKETCH_COLUMNS)
            .map(|row| row.iter().copied().max().unwrap_or(0))
            .min()
            .unwrap_or(0)
    }

    /// Returns the estimated count of a key.
    pub fn estimate(&self, key: u64) -> u32 {
        counter_indices(key)
            .into_iter()
            .map(|index| self.get(index))
            .min()
            .unwrap_or(0)
    }
}

/// Counters that are updated by the thread that admits and answers requests, and read by another
/// thread without locking.
#[derive(Debug)]
pub struct AtomicSketchCounters(Box<[AtomicU32]>);

impl Default for AtomicSketchCounters {
    fn default() -> AtomicSketchCounters {
        AtomicSketchCounters((0..SKETCH_COUNTERS).map(|_| AtomicU32::new(0)).collect())
    }
}

impl AtomicSketchCounters {
    /// Counts one more request in flight for a key.
    pub fn increment(&self, key: u64) {
        for index in counter_indices(key) {
            self.0[index].fetch_add(1, Relaxed);
        }
    }

    /// Counts one request in flight less for a key.
    pub fn decrement(&self, key: u64) {
        for index in counter_indices(key) {
            self.0[index].fetch_sub(1, Relaxed);
        }
    }

    /// Returns a copy of the present counters.
    pub fn load(&self) -> SketchCounters {
        SketchCounters(self.0.iter().map(|counter| counter.load(Relaxed)).collect())
    }
}
