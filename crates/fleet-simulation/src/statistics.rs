//! Medians, percentiles and means, and the format of printed times.

use std::time::Duration;

/// Median, maximum and number of a set of times.
pub(crate) struct TimeSummary {
    pub median: Option<Duration>,
    pub max: Option<Duration>,
    pub count: usize,
}

impl TimeSummary {
    pub(crate) fn new(times: impl IntoIterator<Item = Duration>) -> TimeSummary {
        let mut times: Vec<Duration> = times.into_iter().collect();
        times.sort();
        TimeSummary {
            median: times.get(times.len() / 2).copied(),
            max: times.last().copied(),
            count: times.len(),
        }
    }
}

/// Formats a time in seconds, or `never` for `None`.
pub(crate) fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("never".into(), |time| format!("{:.2}", time.as_secs_f64()))
}

/// Returns the value below which the given fraction of the sorted values lies, or 0 if there are
/// no values.
fn percentile(sorted: &[u64], fraction: f64) -> u64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    let last = sorted.len().max(1) - 1;
    sorted.get(index.min(last)).copied().unwrap_or(0)
}

/// Formats the median and the 99th percentile as `median / 99th`.
pub(crate) fn format_median_and_99th(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    format!(
        "{} / {}",
        percentile(&values, 0.5),
        percentile(&values, 0.99)
    )
}

/// Returns the mean, or 0 if there are no values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
