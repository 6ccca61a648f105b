//! Durations and clock assumptions of the lease protocol, the same on every node of a fleet.

use std::time::Duration;

/// Number of parts per million in 1.
const PPM: u32 = 1_000_000;

/// Timings of quota leases and of leadership, which must be equal on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// Duration for which granted quota may be spent, counted from its request. It is longer than
    /// the election of another leader takes; otherwise every change of leader would cost all nodes
    /// their leased quota.
    pub lease_duration: Duration,
    /// Interval between two requests of a holder whose demand does not change.
    pub request_interval: Duration,
    /// Minimum interval between two requests of a holder.
    pub min_request_interval: Duration,
    /// Maximum duration of a call: a unit that was spent may still be in flight at the dependency
    /// for this long after the call started.
    pub max_call_duration: Duration,
    /// Duration of a leadership, counted from the candidate's proposal.
    pub leadership_duration: Duration,
    /// Maximum difference between the rates of two clocks, in parts per million.
    pub max_drift_ppm: u32,
}

impl Default for LeaseTimings {
    fn default() -> LeaseTimings {
        LeaseTimings {
            lease_duration: Duration::from_secs(5),
            request_interval: Duration::from_millis(400),
            min_request_interval: Duration::from_millis(50),
            max_call_duration: Duration::from_millis(1500),
            leadership_duration: Duration::from_secs(2),
            max_drift_ppm: 10_000,
        }
    }
}

impl LeaseTimings {
    /// Returns the longest duration that this node's clock can measure while another node's clock
    /// measures `time`.
    pub(crate) fn upper_bound(&self, time: Duration) -> Duration {
        let slowest_rate = PPM.saturating_sub(self.max_drift_ppm).max(1);
        let fastest_rate = PPM + self.max_drift_ppm;
        time * fastest_rate / slowest_rate
    }

    /// Returns the duration after a request past which none of its granted units can be spent or
    /// still be in flight.
    pub(crate) fn release_delay(&self) -> Duration {
        self.upper_bound(self.lease_duration + self.max_call_duration)
    }
}
