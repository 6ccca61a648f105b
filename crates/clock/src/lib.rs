//! The machine's clocks. Decisions and waits are timed with the steady clock, which continues
//! unchanged when the wall clock is stepped. Only this crate reads the wall clock, for data that
//! carries another machine's wall-clock time or outlives a process.

mod reading;

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub use reading::ClockReading;

/// A time on the wall clock, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(pub i64);

/// A time on the steady clock, in microseconds. The clock starts at the wall clock's time and is
/// never stepped; the times of two processes are not comparable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SteadyTime(pub i64);

impl UnixTime {
    /// Converts milliseconds since the Unix epoch.
    pub fn from_ms(ms: f64) -> UnixTime {
        UnixTime((ms * 1e3) as i64)
    }

    /// Returns the whole milliseconds since the Unix epoch; 0 for an earlier time.
    pub fn whole_ms(self) -> u64 {
        (self.0 / 1000).max(0) as u64
    }

    /// Returns the current time of the wall clock; the epoch if the clock is set to an earlier
    /// time.
    #[allow(
        clippy::disallowed_methods,
        reason = "the only place that reads the wall clock"
    )]
    pub fn now() -> UnixTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixTime(i64::try_from(since_epoch.as_micros()).unwrap_or(i64::MAX))
    }
}

impl SteadyTime {
    /// Returns the current time of the steady clock.
    pub fn now() -> SteadyTime {
        static START: OnceLock<(Instant, UnixTime)> = OnceLock::new();
        let (instant, unix_time) = START.get_or_init(|| (Instant::now(), UnixTime::now()));
        let elapsed = i64::try_from(instant.elapsed().as_micros()).unwrap_or(i64::MAX);
        SteadyTime(unix_time.0.saturating_add(elapsed))
    }
}
