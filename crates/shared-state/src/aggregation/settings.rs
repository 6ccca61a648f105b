//! Intervals and bounds of reporting.

use std::time::Duration;

/// Intervals and bounds of reporting, the same on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportingSettings {
    /// Shortest interval between two reports of a node.
    pub min_interval: Duration,
    /// Interval per member: it bounds the reports that an aggregator receives per second.
    pub interval_per_member: Duration,
    /// Age past which reports and sums are not used, in a small fleet.
    pub base_max_age: Duration,
    /// Most nodes that one aggregator takes reports from.
    pub max_reporters: usize,
    /// Largest difference between the rates of two clocks, in parts per million.
    pub max_drift_ppm: u32,
}

/// Parts per million in a whole.
const PPM: u32 = 1_000_000;
/// Report intervals after which a report is too old: one more than the reports in a row that may be lost.
const MAX_AGE_INTERVALS: u32 = 5;

impl Default for ReportingSettings {
    fn default() -> ReportingSettings {
        ReportingSettings {
            min_interval: Duration::from_millis(250),
            interval_per_member: Duration::from_millis(1),
            base_max_age: Duration::from_secs(3),
            max_reporters: 8192,
            max_drift_ppm: 10_000,
        }
    }
}

impl ReportingSettings {
    /// Interval between two reports in a fleet of this size.
    pub fn interval(&self, members: usize) -> Duration {
        self.min_interval
            .max(self.interval_per_member * members as u32)
    }

    /// Age past which reports and sums are not used in a fleet of this size: four reports in a row may be lost.
    pub fn max_age(&self, members: usize) -> Duration {
        self.base_max_age
            .max(self.interval(members) * MAX_AGE_INTERVALS)
    }

    /// The longest that one clock shows while another shows `time`.
    pub(super) fn upper_bound(&self, time: Duration) -> Duration {
        time + time * self.max_drift_ppm / PPM
    }

    /// The shortest that one clock shows while another shows `time`.
    pub(super) fn lower_bound(&self, time: Duration) -> Duration {
        time - time * self.max_drift_ppm / PPM
    }
}
