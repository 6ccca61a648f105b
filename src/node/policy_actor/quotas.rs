//! This process's share of the node's resources, and the requests in flight on the other nodes of
//! the fleet.

use lifecycle::TOTAL_SHARES;
use policy::Event;

use super::PolicyActor;
use crate::node::status::UsedShares;

/// Factor from an amount in use to the share that it needs, as the policy keeps a tenth of memory
/// and concurrency free.
const RESERVE_FACTOR: f64 = 1.1;
/// Factor from an amount to the share with which the policy uses all of that amount.
const FULL_USE_FACTOR: f64 = 1.0 / 0.9;
/// Free memory for fewer runs than this counts as small.
const SMALL_MEMORY_RUNS: f64 = 2.0;
/// Fraction of a share by which rounding errors may exceed a whole number of shares.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Lower bound of the fraction of the call quota that belongs to a process, and of the quota in
/// divisions; a quota of 0 would mean no limit.
const MIN_CALL_QUOTA: f64 = 0.01;

impl PolicyActor {
    /// Notifies the policy of this process's share of memory, concurrency and calls.
    pub(super) fn set_resource_shares(&mut self, shares: u32) {
        // Before the policy has started the event is lost; the policy is notified when it starts.
        self.resource_shares = shares;
        let settings = &self.site.settings;
        let fraction = f64::from(shares) / f64::from(TOTAL_SHARES);
        // Where the fleet shares a quota of calls, it includes both processes of this node.
        let has_fleet_quota = self.peers.report_waiting.is_some();
        let call_quota =
            (!has_fleet_quota).then(|| settings.call_quota * fraction.max(MIN_CALL_QUOTA));
        let event = Event::ResourceShareChanged {
            memory_kb: self.usable_memory_kb(settings.memory_kb * fraction),
            concurrency_share: fraction,
            call_quota,
        };
        self.queue_event(event);
    }

    /// Records the memory that a run of an arrived request would use, on which the use of small
    /// free memory depends.
    pub(super) fn record_run_size(&mut self, run_kb: f64) {
        if run_kb > self.largest_run_kb {
            self.largest_run_kb = run_kb;
            if !self.inherited.memory.is_empty() {
                self.set_resource_shares(self.resource_shares);
            }
        }
    }

    /// Returns the memory that the policy may use out of this process's share, which excludes the
    /// memory of inherited runs. The policy keeps a tenth of its memory free. Where the rest is too
    /// small for a run, that tenth is made available for one, as otherwise nothing would show that
    /// the inherited runs have ended.
    fn usable_memory_kb(&self, share_kb: f64) -> f64 {
        if self.inherited.memory.is_empty() {
            return share_kb;
        }
        let free_kb = (share_kb - self.inherited_memory_kb()).max(0.0);
        if free_kb < SMALL_MEMORY_RUNS * self.largest_run_kb {
            free_kb * FULL_USE_FACTOR
        } else {
            free_kb
        }
    }

    /// Publishes the number of resource shares that this process cannot release.
    pub(super) fn publish_used_shares(&self) {
        self.status.set_used_shares(UsedShares {
            serving: self.shares_in_use(self.unconfirmed_calls),
            shutting_down: self.shares_in_use(self.held_calls()),
        });
    }

    /// Returns the number of resource shares that the queued and running requests and this many
    /// calls use, including the policy's own reserve. Runs that an earlier process left running are
    /// included: no other process counts them, so another process must not be given their slots.
    fn shares_in_use(&self, calls: usize) -> u32 {
        let settings = &self.site.settings;
        let max_concurrency = settings.concurrency_per_core * f64::from(settings.cores);
        let counts = self.requests.counts();
        let open_runs = (counts.running + counts.abandoned) as f64;
        let inherited_kb = self.inherited_memory_kb();
        let memory_kb = settings.memory_kb.max(1.0);
        let memory = self.requests.booked_kb(settings.run_memory_factor) / memory_kb;
        let concurrency = open_runs / max_concurrency.max(1.0);
        let calls = self.fraction_of_call_quota(calls);
        // Needs no further reserve, as the earlier process had kept the reserve of its shares free.
        let inherited = f64::from(self.inherited.on_cores) / max_concurrency.max(1.0);
        let own = memory.max(concurrency).max(calls) * RESERVE_FACTOR;
        let fraction = own
            .max(concurrency * RESERVE_FACTOR + inherited)
            .max(memory * RESERVE_FACTOR + inherited_kb / memory_kb);
        (fraction * f64::from(TOTAL_SHARES) - ROUNDING_TOLERANCE)
            .ceil()
            .clamp(0.0, f64::from(TOTAL_SHARES)) as u32
    }

    /// Returns this many calls as a fraction of the node's own quota; 0 if the node has none.
    fn fraction_of_call_quota(&self, calls: usize) -> f64 {
        let has_quota = self.site.settings.call_quota > 0.0 && self.peers.report_waiting.is_none();
        if !has_quota {
            return 0.0;
        }
        calls as f64 / self.site.settings.call_quota.max(MIN_CALL_QUOTA)
    }

    /// Notifies the policy of the requests in flight on the other nodes, or that they are no longer
    /// known.
    pub(super) fn refresh_other_counts(&mut self) {
        let Some(fleet) = &self.peers.fleet else {
            return;
        };
        let counts = (fleet.read_others)(&self.tenant_keys);
        if counts.is_none() && !self.uses_other_counts {
            return;
        }
        self.uses_other_counts = counts.is_some();
        // An event with no servers means that the counts are no longer known.
        let event = counts.map_or(
            Event::FleetLoad {
                servers: 0.0,
                in_flight_elsewhere: Vec::new(),
            },
            |counts| Event::FleetLoad {
                servers: f64::from(counts.node_count),
                in_flight_elsewhere: counts.requests.into_iter().map(f64::from).collect(),
            },
        );
        self.queue_event(event);
    }
}
