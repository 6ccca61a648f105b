//! Readings of both clocks, and the age of messages that carry a wall-clock time.

use std::time::Duration;

use crate::{SteadyTime, UnixTime};

/// Maximum difference of the clocks in microseconds, unless the wall clock was stepped.
const MAX_UNSTEPPED_DIFFERENCE_US: u64 = 20_000;

/// Reading of both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time of the wall clock.
    pub wall: UnixTime,
    /// Time of the steady clock.
    pub steady: SteadyTime,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now() -> ClockReading {
        // The first use of the steady clock sets it to the wall clock's time.
        let steady = SteadyTime::now();
        ClockReading {
            wall: UnixTime::now(),
            steady,
        }
    }

    /// Returns the age of a message that carries the sender's wall-clock time; zero if that time is
    /// in the future.
    ///
    /// After a step of the wall clock, the sender's clock may or may not have been stepped with it.
    /// The smaller of the two possible ages is used: no message is treated as older than it is, and
    /// a message that is older than the step may be treated as younger by the size of the step.
    pub fn age_of(self, sent_at: UnixTime) -> Duration {
        let by_wall = self.wall.0.saturating_sub(sent_at.0);
        if !self.is_stepped() {
            return to_age(by_wall);
        }
        let by_steady = self.steady.0.saturating_sub(sent_at.0);
        let possible = [by_wall, by_steady].into_iter().filter(|age| *age >= 0);
        to_age(possible.min().unwrap_or(0))
    }

    /// Converts the sender's wall-clock time to a time on the steady clock. A time in the future
    /// stays in the future unless a step makes it doubtful: windows count from the times that
    /// senders give.
    pub fn steady_time_of(self, sent_at: UnixTime) -> SteadyTime {
        if !self.is_stepped() {
            let by_wall = self.wall.0.saturating_sub(sent_at.0);
            return SteadyTime(self.steady.0.saturating_sub(by_wall));
        }
        let age = i64::try_from(self.age_of(sent_at).as_micros()).unwrap_or(i64::MAX);
        SteadyTime(self.steady.0.saturating_sub(age))
    }

    fn is_stepped(self) -> bool {
        self.wall.0.abs_diff(self.steady.0) > MAX_UNSTEPPED_DIFFERENCE_US
    }
}

fn to_age(micros: i64) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
