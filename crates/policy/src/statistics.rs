//! Running statistics with exponential forgetting. They describe what was observed and decide nothing.

/// Fraction of an old value that is left after `elapsed_ms`, where values are remembered for `span_ms`.
pub fn decay_factor(elapsed_ms: f64, span_ms: f64) -> f64 {
    (-elapsed_ms / span_ms.max(1.0)).exp()
}

/// What a contribution of 1 for each of `elapsed_ms` still amounts to at their end, in a sum that decays over
/// `span_ms` meanwhile. Subtracting `elapsed_ms` itself would remove more than had been added.
pub fn decayed_duration(elapsed_ms: f64, span_ms: f64) -> f64 {
    span_ms * (1.0 - decay_factor(elapsed_ms, span_ms))
}

/// A linear regression of `y` on `x` that weights recent samples more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunningRegression {
    /// Mean of the samples' `x`.
    pub mean_x: f64,
    /// Mean of the samples' `y`.
    pub mean_y: f64,
    /// Covariance of the two.
    pub covariance: f64,
    /// Variance of `x`.
    pub variance: f64,
}

impl RunningRegression {
    /// Without any sample, `y` is taken to be proportional to `x`, as this multiple of it.
    pub fn proportional(slope: f64) -> RunningRegression {
        RunningRegression { mean_x: 1.0, mean_y: slope, covariance: slope, variance: 1.0 }
    }

    /// Adds a sample, which counts with `weight` against all earlier ones together.
    pub fn add(&mut self, x: f64, y: f64, weight: f64) {
        let y_offset = y - self.mean_y;
        let x_offset = x - self.mean_x;
        self.mean_y += y_offset * weight;
        self.mean_x += x_offset * weight;
        self.covariance = (1.0 - weight) * (self.covariance + weight * y_offset * x_offset);
        self.variance = (1.0 - weight) * (self.variance + weight * x_offset * x_offset);
    }

    /// The expected `y` for this `x`, on a line that never falls.
    pub fn predict(&self, x: f64) -> f64 {
        let slope = (self.covariance / self.variance.max(1e-9)).max(0.0);
        self.mean_y + slope * (x - self.mean_x)
    }
}

/// A value and its decaying number of occurrences.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ValueCount {
    value: f64,
    count: f64,
}

/// The few values that recur most often among those recorded, where nearly equal values count as the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecurringValues {
    slots: [ValueCount; 4],
    /// Largest difference of two values that count as the same, as a fraction of the newer one.
    tolerance: f64,
}

impl RecurringValues {
    /// An empty record; `tolerance` is the largest difference of equal values, as a fraction of the newer one.
    pub fn new(tolerance: f64) -> RecurringValues {
        RecurringValues { tolerance, ..RecurringValues::default() }
    }

    /// Records a value; all earlier counts decay by the fraction `decay`. A new value replaces the rarest.
    pub fn record(&mut self, value: f64, decay: f64) {
        let mut rarest = 0;
        let mut matching = None;
        for slot in &mut self.slots {
            slot.count *= 1.0 - decay;
        }
        for (index, slot) in self.slots.iter().enumerate() {
            if slot.count < self.slots[rarest].count {
                rarest = index;
            }
            if matching.is_none() && self.is_same(slot.value, value) {
                matching = Some(index);
            }
        }
        let count = matching.map_or(0.0, |index| self.slots[index].count) + 1.0;
        self.slots[matching.unwrap_or(rarest)] = ValueCount { value, count };
    }

    /// Sum of all counts.
    pub fn total_count(&self) -> f64 {
        self.slots.iter().map(|slot| slot.count).sum()
    }

    /// The values that were recorded at least this often; never those without any occurrence.
    pub fn values_with_count(&self, least_count: f64) -> impl Iterator<Item = f64> + '_ {
        let is_frequent = move |slot: &&ValueCount| slot.count >= least_count && slot.count > 0.0;
        self.slots.iter().filter(is_frequent).map(|slot| slot.value)
    }

    /// Whether a recorded value counts as the same as this one.
    pub fn is_same(&self, recorded: f64, value: f64) -> bool {
        (recorded - value).abs() <= self.tolerance * value
    }
}
