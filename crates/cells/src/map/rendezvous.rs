//! Weighted rendezvous hashing: each key has an order of the candidates, in which each candidate is first for its share
//! of the keys by weight, whichever other candidates there are.

use std::cmp::Ordering;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// Spreads the small numbers of the purposes over all bits of a seed: 2^64 divided by the golden ratio. Changing it would
/// reassign tenants.
const SEED_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// What a hash is used for; each use has hashes of its own for the same name.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(super) enum HashPurpose {
    /// Cells for a tenant.
    Cell = 1,
    /// Nodes for a tenant.
    Node = 2,
    /// Cells for a subject of a tenant that is split.
    Subject = 3,
}

/// A name's hash for one purpose, and the order of candidates that it leads to.
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

    /// How far a candidate of this weight is from being chosen; the least is first. It is an exponential variate of rate
    /// `weight`.
    pub(super) fn distance(self, candidate: &str, weight: f64) -> f64 {
        let seed = self.hash ^ (self.purpose as u64).wrapping_mul(SEED_SPREAD);
        let hash = xxh3_64_with_seed(candidate.as_bytes(), seed);
        // The upper 53 bits plus one: a number above 0 and at most 1.
        let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        -unit.ln() / weight.max(f64::MIN_POSITIVE)
    }

    /// Compares two candidates, each a name and a weight; ties go by name.
    pub(super) fn compare(self, a: (&Name, f64), b: (&Name, f64)) -> Ordering {
        let distance_a = self.distance(a.0, a.1);
        let distance_b = self.distance(b.0, b.1);
        distance_a.total_cmp(&distance_b).then_with(|| a.0.cmp(b.0))
    }
}
