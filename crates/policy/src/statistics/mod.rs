//! Running statistics with exponential forgetting. They describe what was observed and decide nothing.

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
pub use runs::{RunStatistics, INITIAL_WORK};
pub(crate) use sketch::tenant_key;
pub use sketch::Sketch;
pub use traffic::TrafficStatistics;

/// Weight of the newest sample in most running means ...
pub const LEARNING_RATE: f64 = 1.0 / 64.0;
/// ... and in those that have to follow faster.
pub const FAST_LEARNING_RATE: f64 = LEARNING_RATE * 4.0;

/// Fraction of an old value that is left after `elapsed_ms`, where values are remembered for `span_ms`.
pub fn decay_factor(elapsed_ms: f64, span_ms: f64) -> f64 {
    (-elapsed_ms / span_ms.max(1.0)).exp()
}

/// What a contribution of 1 for each of `elapsed_ms` still amounts to at their end, in a sum that decays over
/// `span_ms` meanwhile. Subtracting `elapsed_ms` itself would remove more than had been added.
pub fn decayed_duration(elapsed_ms: f64, span_ms: f64) -> f64 {
    span_ms * (1.0 - decay_factor(elapsed_ms, span_ms))
}

/// Moves a running mean towards a new value, which gets this weight against all earlier ones together.
pub fn update_mean(mean: &mut f64, value: f64, weight: f64) {
    *mean += (value - *mean) * weight;
}

/// The number of equal parts that are as uneven a division as these parts: the count itself where all are
/// equal, and less where few parts make up most of the sum. `None` without any part.
pub fn effective_count(parts: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sum = 0.0;
    let mut squares = 0.0;
    for part in parts {
        sum += part;
        squares += part * part;
    }
    (squares > 0.0).then(|| sum * sum / squares)
}
