//! The age of a request after steps of the clocks. All times are in microseconds.

use std::time::Duration;

use clock::{ClockReading, SteadyTime, UnixTime};

const START: i64 = 1_700_000_000_000_000;
const MS: i64 = 1000;
const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;
const STEPS: [i64; 6] = [SECOND, -SECOND, 30 * SECOND, -30 * SECOND, HOUR, -HOUR];

/// Returns the clocks of a machine whose wall clock was stepped by `step`.
fn stepped_by(step: i64) -> ClockReading {
    ClockReading {
        wall: UnixTime(START + step),
        steady: SteadyTime(START),
    }
}

fn age(reading: ClockReading, sent_at: i64) -> Duration {
    reading.age_of(UnixTime(sent_at))
}

#[test]
fn without_a_step_the_wall_clock_gives_the_age() {
    let slightly_off = stepped_by(15 * MS);
    assert_eq!(age(slightly_off, START), Duration::from_millis(15));
    assert_eq!(age(stepped_by(0), START - SECOND), Duration::from_secs(1));
    assert_eq!(age(stepped_by(0), START + SECOND), Duration::ZERO);
}

#[test]
fn age_is_correct_whether_or_not_the_sender_was_stepped_too() {
    let true_age = 300 * MS;
    for step in STEPS {
        let here_alone = age(stepped_by(step), START - true_age);
        assert_eq!(here_alone, Duration::from_millis(300), "{step}");
        let both = age(stepped_by(step), START + step - true_age);
        assert_eq!(both, Duration::from_millis(300), "{step}");
    }
}

#[test]
fn age_is_never_too_high_and_too_low_by_the_step_at_most() {
    for step in STEPS {
        for true_age in [0, MS, 900 * MS, 2 * SECOND, 40 * SECOND] {
            for sender_step in [0, step] {
                let age_us = age(stepped_by(step), START + sender_step - true_age);
                let age_us = age_us.as_micros() as i64;
                assert!(age_us <= true_age, "{step} {true_age}");
                assert!(age_us >= true_age - step.abs(), "{step} {true_age}");
            }
        }
    }
}

#[test]
fn steady_time_of_a_request_is_its_age_before_now() {
    let reading = stepped_by(HOUR);
    let sent_at = UnixTime(START - 300 * MS);
    assert_eq!(
        reading.steady_time_of(sent_at),
        SteadyTime(START - 300 * MS)
    );
    let ahead = UnixTime(START + SECOND);
    assert_eq!(stepped_by(0).steady_time_of(ahead), SteadyTime(ahead.0));
    assert_eq!(stepped_by(-HOUR).steady_time_of(ahead), SteadyTime(START));
    let (first, second) = (SteadyTime::now(), SteadyTime::now());
    assert!(first <= second);
}
