//! The check itself: it holds under everything the model can do, and each flaw put into it is found.

use membership_model::{Flaw, Views};
use stateright::{Checker, Model};

fn views() -> Views {
    Views {
        members: 3,
        crashes: 1,
        accusations: 2,
        words: 2,
        flaw: None,
    }
}

#[test]
fn views_become_the_same_from_everywhere_and_nothing_older_holds() {
    let checker = views().checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// Two crashes in a fleet of two: both start again, with clocks that went back or not.
#[test]
fn the_same_with_more_crashes_in_a_smaller_fleet() {
    let two = Views {
        members: 2,
        crashes: 2,
        accusations: 2,
        words: 3,
        flaw: None,
    };
    let checker = two.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

/// Guards the check: it must be able to fail.
#[test]
fn each_flaw_is_found() {
    let flaws = [
        Flaw::NoObjection,
        Flaw::SameIncarnation,
        Flaw::IgnoreLife,
        Flaw::NeverGiveUp,
        Flaw::KeepEarlyLife,
    ];
    for flaw in flaws {
        let flawed = Views {
            members: 2,
            crashes: 2,
            accusations: 2,
            words: 3,
            flaw: Some(flaw),
        };
        let checker = flawed.checker().threads(4).spawn_bfs().join();
        assert!(!checker.discoveries().is_empty(), "{flaw:?} is not found");
    }
}
