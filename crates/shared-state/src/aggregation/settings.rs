//! Intervals and bounds of reporting.

use std::time::Duration;

/// Intervals and bounds of reporting, which are the same on all nodes of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportingSettings {
    /// Minimum interval between two reports of a node.
    pub min_interval: Duration,
    /// Interval per member, which bounds the number of reports that an aggregator receives per
    /// second.
    pub interval_per_member: Duration,
    /// Age in a small fleet past which reports and sums are not used.
    pub base_max_age: Duration,
    /// Maximum number of nodes whose reports one aggregator accepts.
    pub max_reporters: usize,
    /// Maximum difference between the rates of two clocks, in parts per million.
    pub max_drift_ppm: u32,
}

/// Number of parts per million in 1.
const PPM: u32 = 1_000_000;
/// Number of report intervals after which a report is too old: one more than the number of
/// consecutive reports that may be lost.
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
    /// Returns the interval between two reports in a fleet of this size.
    pub fn interval(&self, member_count: usize) -> Duration {
        self.min_interval
            .max(self.interval_per_member * member_count as u32)
    }

    /// Returns the age past which reports and sums are not used in a fleet of this size. Four
    /// consecutive reports may be lost.
    pub fn max_age(&self, member_count: usize) -> Duration {
        self.base_max_age
            .max(self.interval(member_count) * MAX_AGE_INTERVALS)
    }

    /// Returns the longest duration that one clock can measure while another measures `time`.
    pub(super) fn upper_bound(&self, time: Duration) -> Duration {
        time + time * self.max_drift_ppm / PPM
    }

    /// Returns the shortest duration that one clock can measure while another measures `time`.
    pub(super) fn lower_bound(&self, time: Duration) -> Duration {
        time - time * self.max_drift_ppm / PPM
    }
}
