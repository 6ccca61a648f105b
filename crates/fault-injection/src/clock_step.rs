//! The arithmetic of a stepped clock.

use libc::timespec;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Adds a step in microseconds, which may be negative, to a time.
pub(crate) fn add_step(time: &mut timespec, step_micros: i64) {
    let nanos = time.tv_nsec + step_micros.rem_euclid(MICROS_PER_SECOND) * 1000;
    time.tv_sec += step_micros.div_euclid(MICROS_PER_SECOND) + nanos / NANOS_PER_SECOND;
    time.tv_nsec = nanos % NANOS_PER_SECOND;
}
