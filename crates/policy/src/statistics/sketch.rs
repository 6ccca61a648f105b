//! A count-min sketch: approximate counts for any number of keys in fixed memory.

use std::sync::atomic::{AtomicI32, Ordering::Relaxed};

use crate::interface::TenantId;

/// Rows and columns of the sketch: two keys share a cell in every row once in 2^50 pairs.
const ROWS: usize = 5;
const COLUMNS: usize = 1024;

/// Counts of requests in flight by tenant: never too low, hardly ever too high, updated without a
/// lock.
pub struct Sketch {
    cells: Box<[AtomicI32]>,
    seed: u64,
}

impl Sketch {
    /// Creates an empty sketch. Sketches with equal seeds place their keys in the same cells.
    pub fn new(seed: u64) -> Sketch {
        Sketch { cells: (0..ROWS * COLUMNS).map(|_| AtomicI32::new(0)).collect(), seed }
    }

    /// Adds `change` to the count of `key` and returns the new estimate.
    pub fn add(&self, key: u64, change: i32) -> i32 {
        let counts = (0..ROWS).map(|row| self.cell(row, key).fetch_add(change, Relaxed).wrapping_add(change));
        counts.min().unwrap_or(0)
    }

    fn cell(&self, row: usize, key: u64) -> &AtomicI32 {
        let mut hash = key ^ self.seed.wrapping_add((row as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        &self.cells[row * COLUMNS + (hash ^ (hash >> 31)) as usize % COLUMNS]
    }
}

/// Returns the key of a tenant; requests without a tenant share one.
pub(crate) fn tenant_key(tenant: Option<TenantId>) -> u64 {
    tenant.map_or(0, |tenant| tenant.0.wrapping_add(1))
}
