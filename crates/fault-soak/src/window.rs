//! The mean of a count over a moving window.

use std::collections::VecDeque;
use std::time::Duration;

/// Time-weighted mean of a count over the last `span`. Until a whole span has passed, the missing
/// part counts as 0.
#[derive(Clone, Debug)]
pub struct MeanWindow {
    span: Duration,
    /// Intervals as pairs of length and count, oldest first.
    intervals: VecDeque<(Duration, f64)>,
    covered: Duration,
    /// Sum of count times seconds over all intervals.
    sum: f64,
}

impl MeanWindow {
    /// Creates an empty window over this span.
    pub fn new(span: Duration) -> MeanWindow {
        MeanWindow {
            span,
            intervals: VecDeque::new(),
            covered: Duration::ZERO,
            sum: 0.0,
        }
    }

    /// Adds an interval with this count, and removes the intervals that have left the window.
    pub fn add(&mut self, length: Duration, count: f64) {
        self.intervals.push_back((length, count));
        self.covered += length;
        self.sum += length.as_secs_f64() * count;
        while let Some((oldest, count)) = self.intervals.front().copied() {
            if self.covered.saturating_sub(oldest) < self.span {
                break;
            }
            self.intervals.pop_front();
            self.covered -= oldest;
            self.sum -= oldest.as_secs_f64() * count;
        }
    }

    /// Returns the mean over the span.
    pub fn mean(&self) -> f64 {
        self.sum.max(0.0) / self.span.max(self.covered).as_secs_f64()
    }

    /// Removes all intervals.
    pub fn clear(&mut self) {
        *self = MeanWindow::new(self.span);
    }
}
