//! Running statistics with exponential decay. They describe observations and make no decisions.

mod calls;
mod cores;
mod durations;
mod recurring;
mod regression;
mod runs;
mod sketch;
mod traffic;

pub use calls::CallStatistics;
pub use cores::{CoreTime, CoreUsage};
pub use durations::RecentDurations;
pub use recurring::RecurringValues;
pub use regression::RunningRegression;
pub use runs::{RunStatistics, INITIAL_WORK_FRACTION};
pub(crate) use sketch::tenant_key;
pub use sketch::Sketch;
pub use traffic::TrafficStatistics;

/// Weight of the newest sample in most running means.
pub const LEARNING_RATE: f64 = 1.0 / 64.0;
/// Weight of the newest sample in running means that have to adapt faster.
pub const FAST_LEARNING_RATE: f64 = LEARNING_RATE * 4.0;

/// Returns the fraction of an old value that remains after `elapsed_ms`, with the time constant
/// `span_ms`.
pub fn decay_factor(elapsed_ms: f64, span_ms: f64) -> f64 {
    (-elapsed_ms / span_ms.max(1.0)).exp()
}

/// Returns what a contribution of 1 for each of `elapsed_ms` still amounts to at their end, in a
/// sum that decays with the time constant `span_ms`. Subtracting `elapsed_ms` itself would remove
/// more than is left.
pub fn decayed_duration(elapsed_ms: f64, span_ms: f64) -> f64 {
    span_ms * (1.0 - decay_factor(elapsed_ms, span_ms))
}

/// Moves a running mean towards a new value, which has this weight relative to all earlier values
/// together.
pub fn update_mean(mean: &mut f64, value: f64, weight: f64) {
    *mean += (value - *mean) * weight;
}

/// Returns the number of equal parts that are as uneven a division as these parts: the count itself
/// if all are equal, and less if a few parts make up most of the sum. `None` if there are no parts,
/// or all are 0.
pub fn effective_count(parts: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sum = 0.0;
    let mut squares = 0.0;
    for part in parts {
        sum += part;
        squares += part * part;
    }
    (squares > 0.0).then(|| sum * sum / squares)
}
