//! Durations and clock assumptions of the lease protocol, the same on every node of a fleet.

use std::time::Duration;

/// Parts per million in a whole.
const PPM: u32 = 1_000_000;

/// Timings of quota leases and of leadership. They must be equal on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimings {
    /// How long granted quota may be spent, counted from when it was requested. Longer than the election of another leader
    /// takes, because otherwise every change of leader would cost all nodes their quota.
    pub lease_duration: Duration,
    /// Interval between two requests of a holder whose demand does not change.
    pub request_interval: Duration,
    /// Shortest interval between two requests.
    pub min_request_interval: Duration,
    /// Longest call: how long after its start a unit that was spent may still be in flight at the dependency.
    pub max_call_duration: Duration,
    /// How long a voter is the leader, counted from its proposal.
    pub leadership_duration: Duration,
    /// Largest difference between the rates of two clocks, in parts per million.
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
    /// The longest this node's clock can show while another node's clock shows `time`.
    pub(crate) fn upper_bound(&self, time: Duration) -> Duration {
        let slowest_rate = PPM.saturating_sub(self.max_drift_ppm).max(1);
        let fastest_rate = PPM + self.max_drift_ppm;
        time * fastest_rate / slowest_rate
    }

    /// How long after a request its grant can matter: past this, nothing of it can be spent or still be in flight.
    pub(crate) fn release_delay(&self) -> Duration {
        self.upper_bound(self.lease_duration + self.max_call_duration)
    }
}
