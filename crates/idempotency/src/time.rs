//! Time values for arrivals and windows.

/// An instant or a duration in microseconds, on the clock that the caller uses for arrival times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl Micros {
    /// A time before every arrival.
    pub const MIN: Micros = Micros(i64::MIN);

    /// The end of the window of a key that never expires.
    pub const NEVER: Micros = Micros(i64::MAX);

    /// Returns the sum, at most [`Micros::NEVER`].
    pub(crate) fn saturating_add(self, duration: Micros) -> Micros {
        Micros(self.0.saturating_add(duration.0))
    }
}
