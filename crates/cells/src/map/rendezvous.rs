//! Weighted rendezvous hashing: each key ranks the candidates. A candidate ranks first for a
//! fraction of the keys proportional to its weight, and the ranking of two candidates does not
//! depend on the others.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// Spreads the small discriminants of [`HashPurpose`] over all bits of a seed: 2^64 divided by the
/// golden ratio. Changing this value would reassign tenants.
const SEED_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// The purpose of a hash. The same name has an independent hash for each purpose.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(super) enum HashPurpose {
    /// Selects the cell of a tenant.
    Cell = 1,
    /// Selects the nodes of a tenant.
    Node = 2,
    /// Selects the cell of a subject of a split tenant.
    Subject = 3,
}

/// The hash of a name for one purpose, which determines a ranking of candidates.
#[derive(Clone, Copy)]
pub(super) struct RendezvousKey {
    hash: u64,
    purpose: HashPurpose,
}

impl RendezvousKey {
    pub(super) fn new(name: &str, purpose: HashPurpose) -> RendezvousKey {
        RendezvousKey {
            hash: xxh3_64_with_seed(name.as_bytes(), purpose as u64),
            purpose,
        }
    }

    /// Returns the rank value of a candidate of this weight: an exponential variate of rate
    /// `weight`. The candidate with the lowest value is preferred.
    pub(super) fn distance(self, candidate: &str, weight: f64) -> f64 {
        let seed = self.hash ^ (self.purpose as u64).wrapping_mul(SEED_SPREAD);
        let hash = xxh3_64_with_seed(candidate.as_bytes(), seed);
        // The upper 53 bits plus one, scaled to a number above 0 and at most 1.
        let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        -unit.ln() / weight.max(f64::MIN_POSITIVE)
    }

    /// Compares the ranks of two candidates, each given as name and weight; ties are broken by
    /// name.
    pub(super) fn compare(self, a: (&Name, f64), b: (&Name, f64)) -> Ordering {
        let distance_a = self.distance(a.0, a.1);
        let distance_b = self.distance(b.0, b.1);
        distance_a.total_cmp(&distance_b).then_with(|| a.0.cmp(b.0))
    }
}
