//! Running statistics on which the policy's decisions are based.

mod common;

use policy::statistics::*;
use policy::*;

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() <= 1e-9 * right.abs().max(1.0)
}

#[test]
fn values_decay_exponentially_over_their_span() {
    assert_eq!(decay_factor(0.0, 100.0), 1.0);
    assert!(is_close(decay_factor(100.0, 100.0), (-1.0_f64).exp()));
    assert!(is_close(decay_factor(30.0, 100.0) * decay_factor(70.0, 100.0), decay_factor(100.0, 100.0)));
    // A span of less than a millisecond counts as one.
    assert_eq!(decay_factor(2.0, 0.0), decay_factor(2.0, 1.0));
}

#[test]
fn a_duration_can_be_removed_from_a_decayed_sum_after_it_was_added_step_by_step() {
    let mut sum = 0.0;
    for _ in 0..100_000 {
        sum = sum * decay_factor(0.01, 500.0) + 0.01;
    }
    assert!((sum - decayed_duration(1000.0, 500.0)).abs() < 0.01, "{sum}");
}

#[test]
fn a_running_mean_moves_towards_the_value_by_its_weight() {
    let mut mean = 8.0;
    update_mean(&mut mean, 16.0, 0.25);
    assert_eq!(mean, 10.0);
}

#[test]
fn unequal_parts_count_less_than_equal_ones() {
    assert_eq!(effective_count([3.0; 4].into_iter()), Some(4.0));
    let uneven = effective_count([9.0, 1.0, 1.0, 1.0].into_iter()).expect("there are parts");
    assert!((1.0..2.0).contains(&uneven), "{uneven}");
    assert_eq!(effective_count(std::iter::empty()), None);
}

#[test]
fn the_regression_starts_proportional_and_learns_a_line() {
    let mut regression = RunningRegression::proportional(40.0);
    assert_eq!(regression.predict(1.0), 40.0);
    assert_eq!(regression.predict(2.5), 100.0);
    for index in 0..4000 {
        let x = f64::from(index % 4);
        regression.add(x, 100.0 + 7.0 * x, 1.0 / 16.0);
    }
    assert!(is_close(regression.predict(10.0), 170.0), "{regression:?}");
}

#[test]
fn the_regression_never_falls() {
    let mut regression = RunningRegression::proportional(40.0);
    for index in 0..4000 {
        let x = f64::from(index % 4);
        regression.add(x, 100.0 - 7.0 * x, 1.0 / 16.0);
    }
    assert_eq!(regression.predict(0.0), regression.predict(100.0));
}

#[test]
fn recurring_values_are_those_recorded_most_often_recently() {
    let mut values = RecurringValues::new(0.01);
    for index in 0..300 {
        // Two of three values recur with small differences; the third is different each time.
        let single = 10_000.0 * 1.05_f64.powi(index);
        let value = [2000.0, 5000.0 + f64::from(index % 5), single][index as usize % 3];
        values.record(value, 1.0 / 64.0);
    }
    let frequent: Vec<f64> = values.values_with_count(0.1 * values.total_count()).collect();
    assert_eq!(frequent.len(), 2, "{values:?}");
    assert!(frequent.iter().any(|value| values.is_same(*value, 2000.0)));
    assert!(frequent.iter().any(|value| values.is_same(*value, 5002.0)));
    assert!(!values.is_same(2000.0, 2050.0));
    assert_eq!(RecurringValues::new(0.01).values_with_count(0.0).count(), 0);
}

#[test]
fn durations_grow_while_an_operation_is_stuck_and_keep_their_best() {
    let mut durations = RecentDurations::default();
    assert_eq!(durations.mean_ms(), 0.0);
    assert_eq!(durations.best_mean_ms(), f64::MAX);
    for _ in 0..50 {
        durations.advance(40.0, 1, decay_factor(40.0, 2000.0), 0.0);
        durations.complete();
        durations.record_success(40.0);
    }
    let healthy_ms = durations.mean_ms();
    assert!((35.0..45.0).contains(&healthy_ms), "{healthy_ms}");
    durations.advance(2000.0, 1, decay_factor(2000.0, 2000.0), 0.5);
    assert!(durations.mean_ms() > 2.0 * healthy_ms, "{durations:?}");
    assert!(durations.best_mean_ms() <= 1.5 * healthy_ms, "{durations:?}");
}

#[test]
fn a_slowdown_is_core_time_without_work_done() {
    let mut cores = CoreUsage::default();
    assert_eq!(cores.slowdown(10.0), 1.0);
    cores.advance(30.0, 2.0, 2.0, 1.0);
    assert_eq!((cores.slowdown(10.0), cores.saturation(), cores.clock_ms()), (7.0, 0.0, 30.0));
    cores.record_completed_work(60.0);
    assert_eq!(cores.slowdown(10.0), 1.0);
    cores.remove_core_time(60.0);
    assert!(is_close(cores.slowdown(10.0), 10.0 / 70.0));
    // With twice as many runs as cores, each has half the core time.
    cores.advance(30.0, 4.0, 2.0, 0.5);
    assert_eq!((cores.clock_ms(), cores.saturation()), (45.0, 0.5));
}

#[test]
fn core_time_counts_only_while_on_a_core() {
    let mut time = CoreTime::default();
    time.start(100.0);
    assert_eq!(time.remaining_ms(50.0, 130.0), 20.0);
    time.stop(130.0);
    assert_eq!((time.used_ms(), time.remaining_ms(50.0, 500.0)), (30.0, 20.0));
}

#[test]
fn abandoned_calls_count_as_in_flight_until_their_linger_has_ended() {
    let mut calls = CallStatistics::default();
    calls.in_progress = 2;
    calls.abandon(Time(5000));
    assert_eq!(calls.in_flight(), 3.0);
    calls.advance(Time(4999), 4.999, 1.0, 1000.0);
    assert_eq!(calls.in_flight(), 3.0);
    calls.advance(Time(5000), 0.001, 1.0, 1000.0);
    assert_eq!(calls.in_flight(), 2.0);
}

#[test]
fn a_failed_call_leaves_no_time_in_the_mean() {
    let mut calls = CallStatistics::default();
    calls.in_progress = 1;
    calls.advance(Time(40_000), 40.0, 1.0, 1000.0);
    calls.record_end(40.0, false, false, 1e12);
    let mean_ms = calls.durations.mean_ms();
    calls.advance(Time(140_000), 100.0, 1.0, 1000.0);
    assert!(calls.durations.mean_ms() > mean_ms);
    calls.record_end(100.0, true, false, 1e12);
    assert!((calls.durations.mean_ms() - mean_ms).abs() < 1e-3, "{calls:?}");
}

#[test]
fn runs_of_known_size_are_expected_to_take_what_such_runs_took() {
    let class = Class { latency_objective: Span::from_ms(1200.0), may_call: true, ..Class::default() };
    let mut runs = RunStatistics::new(&class);
    assert_eq!((runs.work_ms(1.0), runs.calls, runs.work_deviation), (100.0, 1.0, 0.5));
    for index in 0..600 {
        let size = f64::from(1 + index % 3);
        runs.record(size, 30.0 * size, 0.0);
    }
    assert!((runs.work_ms(2.0) - 60.0).abs() < 0.1, "{runs:?}");
    assert!(runs.work_deviation < 0.01 && runs.calls < 0.01, "{runs:?}");
}

#[test]
fn traffic_counts_retries_but_not_in_their_tenants_rate() {
    let class = Class { latency_objective: Span::from_ms(500.0), priority_weight: 2.0, ..Class::default() };
    let request = Request {
        id: RequestId(1),
        class: ClassId(0),
        tenant: None,
        has_key: false,
        remaining_wait: None,
        work_hint: None,
        queued_kb: 1.0,
        is_retry: true,
        is_write: false,
        caller: CallerId(1),
        age: Span::from_ms(8.0),
        duplicate_of: None,
    };
    let settings = Settings { classes: vec![class.clone()], tenants: Vec::new(), ..common::settings() };
    let mut traffic = TrafficStatistics::new(&settings);
    traffic.record_arrival(&request, &class, 25.0, true);
    assert_eq!((traffic.mean_work_ms, traffic.mean_objective_ms, traffic.mean_weight), (25.0, 500.0, 2.0));
    assert_eq!((traffic.read_delay_ms, traffic.retry_fraction), (1.0, 1.0 / 64.0));
    assert_eq!((traffic.tenant_rate(0), traffic.effective_callers()), (0.0, Some(1.0)));
    traffic.record_arrival(&request, &class, 25.0, false);
    // Rates are means over twice the longest objective: one request in a second.
    assert_eq!(traffic.tenant_rate(0), 1.0);
    // Each rejection has a weight of 1/64, and each run lets the fraction decay as fast.
    traffic.record_rejection(160.0);
    assert_eq!((traffic.rejection_fraction, traffic.rejected_attempt_ms), (1.0 / 64.0, 10.0));
    traffic.record_run();
    assert_eq!(traffic.rejection_fraction, 63.0 / 64.0 / 64.0);
    traffic.advance(1e6, 0.5);
    assert_eq!(traffic.effective_callers(), None);
}

/// Guards against memory and time that grow with each new name that a sender gives itself: its
/// callers are counted up to a limit, and those that were there before it keep their count.
#[test]
fn ever_new_callers_are_counted_up_to_a_limit() {
    const NEW_CALLERS: u64 = 20_000;
    const MAX_COUNTED: f64 = 4096.0;
    let settings = common::settings();
    let class = &settings.classes[0];
    let mut traffic = TrafficStatistics::new(&settings);
    let arrive = |traffic: &mut TrafficStatistics, caller: u64| {
        let request = Request { caller: CallerId(caller), ..common::request(caller, 0) };
        traffic.record_arrival(&request, class, 10.0, false);
    };
    for caller in 0..NEW_CALLERS {
        arrive(&mut traffic, caller);
    }
    let counted = traffic.effective_callers().expect("callers are counted");
    assert!(counted <= MAX_COUNTED, "{counted} callers");
    // A caller that is counted already is still counted.
    for _ in 0..NEW_CALLERS {
        arrive(&mut traffic, 0);
    }
    let with_one_heavy = traffic.effective_callers().expect("callers are counted");
    assert!(with_one_heavy < 2.0, "{with_one_heavy} callers");
}
