//! A linear regression that is updated sample by sample.

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
    /// Creates a regression without samples: `y` is assumed to be `slope` times `x`.
    pub fn proportional(slope: f64) -> RunningRegression {
        RunningRegression { mean_x: 1.0, mean_y: slope, covariance: slope, variance: 1.0 }
    }

    /// Adds a sample, which has this weight relative to all earlier samples together.
    pub fn add(&mut self, x: f64, y: f64, weight: f64) {
        let y_offset = y - self.mean_y;
        let x_offset = x - self.mean_x;
        self.mean_y += y_offset * weight;
        self.mean_x += x_offset * weight;
        self.covariance = (1.0 - weight) * (self.covariance + weight * y_offset * x_offset);
        self.variance = (1.0 - weight) * (self.variance + weight * x_offset * x_offset);
    }

    /// Returns the expected `y` for this `x`, on a line that never falls.
    pub fn predict(&self, x: f64) -> f64 {
        let slope = (self.covariance / self.variance.max(1e-9)).max(0.0);
        self.mean_y + slope * (x - self.mean_x)
    }
}
