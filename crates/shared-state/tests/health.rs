//! Tests of the observed and the concluded health of a dependency.

use std::time::Duration;

use shared_state::health::HealthCounts;
use shared_state::ObservedHealth::{Failing, Slow, Sound};
use shared_state::{
    evaluate_health, AttemptWindow, DependencyHealth, HealthEvaluator, ObservationCounts,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Counts observations at this node's site and at each other site, each in the order sound, slow,
/// failing.
fn observation_counts(here: [u32; 3], other_sites: &[[u32; 3]]) -> ObservationCounts {
    let counts = |[sound, slow, failing]: [u32; 3]| HealthCounts {
        sound,
        slow,
        failing,
    };
    ObservationCounts::new(counts(here), other_sites.iter().map(|site| counts(*site)))
}

/// Neither one node nor one site can declare the database down for all, and a database that works
/// for a node is not down for that node.
#[test]
fn neither_one_node_nor_one_site_declares_a_dependency_down() {
    let all_sound = observation_counts([3, 0, 0], &[[4, 0, 0], [4, 0, 0]]);
    assert_eq!(
        evaluate_health(Some(Failing), &all_sound, 3),
        DependencyHealth::OnlyHere
    );
    let own_site_failing = observation_counts([0, 0, 3], &[[4, 0, 0], [4, 0, 0]]);
    assert_eq!(
        evaluate_health(Some(Failing), &own_site_failing, 3),
        DependencyHealth::OnlyHere,
        "the fault is on the path of its site"
    );
    assert_eq!(
        evaluate_health(None, &own_site_failing, 3),
        DependencyHealth::Sound,
        "a node that has not tried does not limit its calls"
    );
    assert_eq!(
        evaluate_health(Some(Failing), &observation_counts([0, 0, 9], &[]), 3),
        DependencyHealth::Unsure,
        "no other site has tried"
    );
    assert_eq!(
        evaluate_health(Some(Failing), &observation_counts([0, 0, 0], &[]), 1),
        DependencyHealth::Unsure,
        "a single node of a single site"
    );
    assert_eq!(
        evaluate_health(Some(Failing), &observation_counts([0, 0, 1], &[]), 1),
        DependencyHealth::Down,
        "two nodes of a single site"
    );
    let down = observation_counts([0, 0, 2], &[[0, 0, 4], [1, 0, 3]]);
    assert_eq!(
        evaluate_health(Some(Failing), &down, 3),
        DependencyHealth::Down
    );
    assert_eq!(evaluate_health(None, &down, 3), DependencyHealth::Down);
    assert_eq!(
        evaluate_health(Some(Sound), &down, 3),
        DependencyHealth::Sound
    );
    // Nine nodes of one site fail and four of two other sites do not: a majority, but of one site.
    assert_eq!(
        evaluate_health(
            None,
            &observation_counts([2, 0, 0], &[[0, 0, 9], [2, 0, 0]]),
            3
        ),
        DependencyHealth::Sound
    );
    assert_eq!(
        evaluate_health(Some(Slow), &observation_counts([0, 1, 0], &[[0, 2, 0]]), 3),
        DependencyHealth::Slow
    );
    assert_eq!(
        evaluate_health(None, &ObservationCounts::default(), 3),
        DependencyHealth::Unknown
    );
}

/// A conclusion that holds only for a moment is not reported. Each degradation within a minute
/// doubles the delay of the recovery. A fault of this node alone is not reported from observations
/// that are older than this node's first failure.
#[test]
fn changes_of_health_are_damped() {
    let mut evaluator = HealthEvaluator::default();
    evaluator.update(ms(0), DependencyHealth::Sound, ms(0));
    assert_eq!(
        evaluator.update(ms(100), DependencyHealth::Down, ms(100)),
        DependencyHealth::Sound
    );
    assert_eq!(
        evaluator.update(ms(350), DependencyHealth::Sound, ms(350)),
        DependencyHealth::Sound
    );
    let mut now = 1000;
    let mut delays = Vec::new();
    for _ in 0..6 {
        evaluator.update(ms(now), DependencyHealth::Down, ms(now));
        assert_eq!(
            evaluator.update(ms(now + 300), DependencyHealth::Down, ms(now)),
            DependencyHealth::Down
        );
        now += 400;
        let recovered_at = now;
        while evaluator.update(ms(now), DependencyHealth::Sound, ms(now)) == DependencyHealth::Down
        {
            now += 100;
        }
        delays.push(now - recovered_at);
    }
    assert_eq!(delays, [1000, 2000, 4000, 8000, 16_000, 16_000]);
    now += 61_000;
    evaluator.update(ms(now), DependencyHealth::OnlyHere, ms(now - 1000));
    assert_eq!(
        evaluator.update(ms(now + 900), DependencyHealth::OnlyHere, ms(now + 400)),
        DependencyHealth::Sound
    );
    assert_eq!(
        evaluator.update(ms(now + 950), DependencyHealth::OnlyHere, ms(now + 500)),
        DependencyHealth::OnlyHere
    );
}

/// Too few attempts show no health, failures of half of the attempts show a failing dependency, and
/// attempts count for two seconds.
#[test]
fn attempts_show_health_for_two_seconds() {
    let mut window = AttemptWindow::default();
    window.record(ms(0), Some(ms(10)));
    window.record(ms(10), None);
    assert_eq!(window.observed_health(ms(20)), None);
    window.record(ms(20), Some(ms(10)));
    assert_eq!(window.observed_health(ms(30)), Some(Sound));
    window.record(ms(40), None);
    assert_eq!(window.observed_health(ms(50)), Some(Failing));
    for n in 0..8 {
        window.record(ms(1000 + n), Some(ms(90)));
    }
    assert_eq!(window.observed_health(ms(1100)), Some(Slow));
    assert_eq!(window.observed_health(ms(4000)), None);
}
