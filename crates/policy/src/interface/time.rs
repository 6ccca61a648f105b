//! Instants and durations in whole microseconds, so that equal inputs give equal decisions on every
//! machine.

use std::ops::{Add, Sub};

/// An instant on the caller's clock, in microseconds; the zero point has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Span {
    /// Converts milliseconds, rounded to the microsecond.
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1e3).round() as i64)
    }

    /// Returns the duration in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}
