//! The leader's side of the lease protocol: the units granted of one budget, and how many of them
//! may still be spent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use membership::Name;

use crate::budgets::{HolderSnapshot, Units};
use crate::lease_holder::{LeaseGrant, LeaseRequest};
use crate::LeaseTimings;

/// Identifies one process of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct HolderKey {
    name: Name,
    incarnation: u64,
}

/// A grant that may still be in force at its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    seq: u64,
    units: Units,
    expires_at: Duration,
}

/// The leader's record of one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderLease {
    last_seq: u64,
    demand: Units,
    /// Units that the last request reported as in use.
    reported_in_use: Units,
    /// Time by which those units have been released.
    in_use_until: Duration,
    grants: Vec<OutstandingGrant>,
}

impl HolderLease {
    /// Returns the maximum number of units that the holder may be spending or have in flight at the
    /// dependency.
    fn reserved(&self, now: Duration) -> Units {
        let in_use = if now < self.in_use_until {
            self.reported_in_use
        } else {
            0
        };
        self.grants
            .iter()
            .filter(|grant| now < grant.expires_at)
            .map(|grant| grant.units)
            .fold(in_use, Units::max)
    }

    /// Records a request. The units that it reports as in use are released by `release_at`.
    fn record_request(&mut self, request: LeaseRequest, release_at: Duration, now: Duration) {
        // Grants earlier than the one in force at the holder will never take effect.
        self.grants
            .retain(|grant| grant.seq >= request.applied_seq && now < grant.expires_at);
        self.last_seq = request.seq;
        self.demand = request.demand;
        self.reported_in_use = request.in_use;
        self.in_use_until = release_at;
    }

    fn is_active(&self, now: Duration) -> bool {
        now < self.in_use_until || self.grants.iter().any(|grant| now < grant.expires_at)
    }
}

/// A leader's record of the leases on one budget during one leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    timings: LeaseTimings,
    pool: Units,
    /// Time until which grants of the previous leader may still be spent. Before it, only units
    /// that holders report as in use are granted again.
    previous_grants_until: Duration,
    holders: BTreeMap<HolderKey, HolderLease>,
    /// Maximum number of units for each holder such that the demands of all holders fit the pool.
    fair_share: Units,
    /// Time from which the fair share has to be computed again.
    fair_share_expires_at: Duration,
    /// Holders that may have one unit more than the fair share: the remainder of the division.
    remainder_holders: BTreeSet<HolderKey>,
}

impl LeaseTable {
    /// Creates the table of a leadership that begins now. `pool` is the number of units that are
    /// not guaranteed to any node.
    pub fn new(timings: &LeaseTimings, pool: Units, now: Duration) -> LeaseTable {
        LeaseTable {
            timings: timings.clone(),
            pool,
            previous_grants_until: now + timings.release_delay(),
            holders: BTreeMap::new(),
            fair_share: 0,
            fair_share_expires_at: now,
            remainder_holders: BTreeSet::new(),
        }
    }

    /// Changes the pool. A smaller pool takes effect once the grants that exceed it have been
    /// released.
    pub fn set_pool(&mut self, pool: Units) {
        self.pool = pool;
        self.fair_share_expires_at = Duration::ZERO;
    }

    /// Returns the maximum number of units of this leadership's grants that all holders together
    /// may be spending.
    pub fn reserved(&self, now: Duration) -> Units {
        self.holders.values().map(|h| h.reserved(now)).sum()
    }

    /// Returns all holders on record, each with its reserved units and its demand.
    pub fn holders(&self, now: Duration) -> impl Iterator<Item = HolderSnapshot> + '_ {
        self.holders
            .iter()
            .map(move |(key, holder)| HolderSnapshot {
                name: key.name.clone(),
                reserved: holder.reserved(now),
                demand: holder.demand,
            })
    }

    /// Grants a holder its demand as far as units are free and the fair share allows. Returns
    /// `None` for a request that is outdated or a duplicate.
    pub fn grant_request(
        &mut self,
        name: &Name,
        incarnation: u64,
        request: LeaseRequest,
        now: Duration,
    ) -> Option<LeaseGrant> {
        let key = HolderKey {
            name: name.clone(),
            incarnation,
        };
        let release_at = now + self.timings.release_delay();
        let holder = self.holders.entry(key.clone()).or_default();
        if request.seq <= holder.last_seq {
            return None;
        }
        let reserved = holder.reserved(now);
        // A request may be delayed: the units that it reports as in use may have been released
        // since and granted to another holder. The report is used only while this leader may not
        // have granted anything to the holder yet.
        let current = if now < self.previous_grants_until {
            reserved.max(request.in_use)
        } else {
            reserved
        };
        holder.record_request(request, release_at, now);
        if now >= self.fair_share_expires_at {
            self.recompute_fair_share(now);
        }
        let units = self.grantable_units(&key, request.demand, current, now);
        self.holders
            .entry(key)
            .or_default()
            .grants
            .push(OutstandingGrant {
                seq: request.seq,
                units,
                expires_at: release_at,
            });
        Some(LeaseGrant {
            seq: request.seq,
            units,
        })
    }

    /// Returns the units to grant to a holder that already has `current` units.
    fn grantable_units(
        &self,
        key: &HolderKey,
        demand: Units,
        current: Units,
        now: Duration,
    ) -> Units {
        // While grants of the previous leader may still be in force, a holder gets at most what it
        // has.
        let free = if now < self.previous_grants_until {
            0
        } else {
            self.pool.saturating_sub(self.reserved(now))
        };
        let remainder = u64::from(self.remainder_holders.contains(key));
        let wanted = demand.min(self.fair_share.saturating_add(remainder));
        if wanted <= current {
            wanted
        } else {
            current + free.min(wanted - current)
        }
    }

    /// Computes the max-min fair share of the pool: holders that demand less than an equal share
    /// get their demand, and the others get equal shares of the rest.
    fn recompute_fair_share(&mut self, now: Duration) {
        self.fair_share_expires_at = now + self.timings.min_request_interval;
        self.holders.retain(|_, holder| holder.is_active(now));
        let mut demands: Vec<Units> = self.holders.values().map(|h| h.demand).collect();
        demands.sort_unstable();
        let mut remaining_units = self.pool;
        let mut remaining_holders = demands.len() as u64;
        self.fair_share = Units::MAX;
        self.remainder_holders.clear();
        for demand in demands {
            let equal_share = remaining_units / remaining_holders.max(1);
            if demand > equal_share {
                self.fair_share = equal_share;
                break;
            }
            remaining_units -= demand;
            remaining_holders -= 1;
        }
        if self.fair_share < Units::MAX {
            let remainder = (remaining_units - self.fair_share * remaining_holders) as usize;
            self.remainder_holders = self
                .holders
                .iter()
                .filter(|(_, holder)| holder.demand > self.fair_share)
                .map(|(key, _)| key.clone())
                .take(remainder)
                .collect();
        }
    }
}
