//! The holder's side of the lease protocol: the units that one node may spend of one budget.

use std::collections::VecDeque;
use std::time::Duration;

use crate::budgets::{GuaranteedQuota, LeasedQuota, QuotaUsage, SpendableQuota, Units};
use crate::LeaseTimings;

/// A holder's request for quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseRequest {
    /// Sequence number; increases with each request of an incarnation.
    pub seq: u64,
    /// Sequence number of the request whose grant is in force at the holder. No earlier grant will
    /// ever take effect.
    pub applied_seq: u64,
    /// Units that the holder may be spending now, excluding its guaranteed quota.
    pub in_use: Units,
    /// Units that the holder could spend, excluding its guaranteed quota.
    pub demand: Units,
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseGrant {
    /// Sequence number of the request.
    pub seq: u64,
    /// Units that may be spent for [`LeaseTimings::lease_duration`] from the time of the request.
    pub units: Units,
}

/// Maximum number of requests that await a grant. Older ones are dropped: a later grant soon
/// supersedes theirs.
const MAX_PENDING_REQUESTS: usize = 64;

/// A request that has not been granted yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    seq: u64,
    sent_at: Duration,
}

/// A node's lease on a budget, and its guaranteed quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timings: LeaseTimings,
    /// Available once everything that an earlier process of this node spent of it has been
    /// released.
    guaranteed: GuaranteedQuota,
    last_seq: u64,
    pending: VecDeque<PendingRequest>,
    applied_seq: u64,
    leased: LeasedQuota,
    usage: QuotaUsage,
}

impl LeaseHolder {
    /// Creates a holder that starts now, with a guaranteed quota that no other node ever spends.
    pub fn new(timings: &LeaseTimings, guaranteed_units: Units, now: Duration) -> LeaseHolder {
        LeaseHolder {
            guaranteed: GuaranteedQuota {
                units: guaranteed_units,
                available_from: now + timings.upper_bound(timings.max_call_duration),
            },
            timings: timings.clone(),
            last_seq: 0,
            pending: VecDeque::new(),
            applied_seq: 0,
            leased: LeasedQuota::default(),
            usage: QuotaUsage::default(),
        }
    }

    /// Records the units in use and the demand.
    pub fn set_usage(&mut self, usage: QuotaUsage) {
        self.usage = usage;
    }

    /// Returns the usage that was recorded last.
    pub fn usage(&self) -> QuotaUsage {
        self.usage
    }

    /// Withholds the guaranteed quota until `available_from`. By then, any other process with the
    /// same guaranteed quota must have ended, and so must every call that it started.
    pub fn delay_guaranteed_quota(&mut self, available_from: Duration) {
        self.guaranteed.available_from = available_from;
    }

    /// Returns the number of units that may be in use now. At this limit, nothing new is started.
    pub fn limit(&self, now: Duration) -> Units {
        self.spendable_quota().limit(now)
    }

    /// Returns the guaranteed and the leased quota with the times from and until which they may be
    /// spent.
    pub fn spendable_quota(&self) -> SpendableQuota {
        SpendableQuota {
            guaranteed: self.guaranteed,
            leased: self.leased,
        }
    }

    /// Creates the next request.
    pub fn next_request(&mut self, now: Duration) -> LeaseRequest {
        self.last_seq += 1;
        self.pending.push_back(PendingRequest {
            seq: self.last_seq,
            sent_at: now,
        });
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let guaranteed = self.guaranteed.available(now);
        // Units in flight count until they are released, even after the lease has expired.
        let in_use = self
            .leased
            .available(now)
            .max(self.usage.in_use.saturating_sub(guaranteed));
        LeaseRequest {
            seq: self.last_seq,
            applied_seq: self.applied_seq,
            in_use,
            demand: self.usage.demand.saturating_sub(guaranteed),
        }
    }

    /// Applies a grant. Returns false if the grant is a duplicate, is outdated or does not match a
    /// pending request.
    pub fn apply_grant(&mut self, grant: LeaseGrant) -> bool {
        if grant.seq <= self.applied_seq {
            return false;
        }
        let request = self.pending.iter().find(|r| r.seq == grant.seq).copied();
        let Some(request) = request else {
            return false;
        };
        self.pending.retain(|r| r.seq > grant.seq);
        self.applied_seq = grant.seq;
        self.leased = LeasedQuota {
            units: grant.units,
            expires_at: request.sent_at + self.timings.lease_duration,
        };
        true
    }
}
