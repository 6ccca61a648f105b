//! Requests in flight by tenant, counted in a sketch that fits a datagram: rows of cells, each row hashed its own way. What is
//! counted for a key is the least of its cells, so it may be too high and is never too low.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use serde::{Deserialize, Serialize};

/// Rows: that all of them count a key too high by much happens to less than one key in 50.
pub const ROWS: usize = 4;
/// Cells of a row: each counts too high by a 23rd of all in flight (e / 64) at the most, but for one key in e.
pub const COLUMNS: usize = 64;
/// Cells in all.
pub const CELLS: usize = ROWS * COLUMNS;
/// What one cell counts at the most, so that all of them fit a datagram: three bytes each.
pub(crate) const MOST: u32 = (1 << 21) - 1;

/// A cell and what it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change(pub u8, pub u32);

/// The cells of a key, one in each row; the same on every machine.
pub fn cells_of(key: u64) -> [usize; ROWS] {
    std::array::from_fn(|row| {
        let mut h = key ^ (row as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        h = (h ^ (h >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        h = (h ^ (h >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        row * COLUMNS + (h ^ (h >> 31)) as usize % COLUMNS
    })
}

/// Counts as of a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cells(Box<[u32]>);

impl Default for Cells {
    fn default() -> Cells {
        Cells(vec![0; CELLS].into())
    }
}

impl Cells {
    /// What a cell counts.
    pub fn get(&self, cell: usize) -> u32 {
        self.0.get(cell).copied().unwrap_or(0)
    }
    /// Sets cells to what they count now.
    pub fn set(&mut self, changes: &[Change]) {
        for Change(cell, count) in changes {
            self.0[usize::from(*cell)] = (*count).min(MOST);
        }
    }
    /// Counts what another does as well.
    pub fn add(&mut self, other: &Cells) {
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(a, b)| *a = a.saturating_add(*b));
    }
    /// Counts it no more.
    pub fn take(&mut self, other: &Cells) {
        self.0
            .iter_mut()
            .zip(&other.0)
            .for_each(|(a, b)| *a = a.saturating_sub(*b));
    }
    /// Cells in which it differs from any of these, with what it counts there.
    pub fn differs<'a>(&self, from: impl Iterator<Item = &'a Cells> + Clone) -> Vec<Change> {
        let differs = |cell: &usize| {
            from.clone()
                .any(|other| other.get(*cell) != self.get(*cell))
        };
        (0..CELLS)
            .filter(differs)
            .map(|cell| Change(cell as u8, self.get(cell).min(MOST)))
            .collect()
    }
    /// No key is counted higher.
    pub fn most(&self) -> u32 {
        self.0
            .chunks(COLUMNS)
            .map(|row| row.iter().copied().max().unwrap_or(0))
            .min()
            .unwrap_or(0)
    }
    /// What is counted for a key.
    pub fn estimate(&self, key: u64) -> u32 {
        cells_of(key)
            .into_iter()
            .map(|cell| self.get(cell))
            .min()
            .unwrap_or(0)
    }
}

/// Counts that go on, by whoever takes requests in and answers them; read by another thread without waiting.
#[derive(Debug)]
pub struct Live(Box<[AtomicU32]>);

impl Default for Live {
    fn default() -> Live {
        Live((0..CELLS).map(|_| AtomicU32::new(0)).collect())
    }
}

impl Live {
    /// One more is in flight.
    pub fn enters(&self, key: u64) {
        for cell in cells_of(key) {
            self.0[cell].fetch_add(1, Relaxed);
        }
    }
    /// One that entered is answered.
    pub fn leaves(&self, key: u64) {
        for cell in cells_of(key) {
            self.0[cell].fetch_sub(1, Relaxed);
        }
    }
    /// What is counted now.
    pub fn now(&self) -> Cells {
        Cells(self.0.iter().map(|cell| cell.load(Relaxed)).collect())
    }
}
