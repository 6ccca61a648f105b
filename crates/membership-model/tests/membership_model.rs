//! The model check: the properties hold in all reachable states of the model, and each injected bug
//! is found.

use membership_model::{InjectedBug, MembershipModel};
use stateright::{Checker, Model};

fn three_members() -> MembershipModel {
    MembershipModel {
        member_count: 3,
        max_crashes: 1,
        max_suspicions: 2,
        max_sent: 2,
        injected_bug: None,
    }
}

/// Two crashes in a fleet of two: both members restart, with or without clocks that went back.
fn two_members() -> MembershipModel {
    MembershipModel {
        member_count: 2,
        max_crashes: 2,
        max_suspicions: 2,
        max_sent: 3,
        injected_bug: None,
    }
}

/// Checks every reachable state and returns the number of unique states.
fn assert_properties_hold(model: MembershipModel) -> usize {
    let checker = model.checker().threads(4).spawn_bfs().join();
    let unique_states = checker.unique_state_count();
    println!("{} states, {unique_states} unique", checker.state_count());
    checker.assert_properties();
    unique_states
}

#[test]
fn views_agree_after_healing_and_older_states_never_override() {
    let unique_states = assert_properties_hold(three_members());
    assert!(unique_states > 10_000, "{unique_states} states");
}

#[test]
fn the_properties_hold_with_more_crashes_in_a_smaller_fleet() {
    assert_properties_hold(two_members());
}

/// Guards against a check that cannot fail.
#[test]
fn each_injected_bug_is_found() {
    let bugs = [
        InjectedBug::NoRefutation,
        InjectedBug::RefutationKeepsVersion,
        InjectedBug::IgnoreIncarnation,
        InjectedBug::NeverDeclareDead,
        InjectedBug::KeepEarlyIncarnation,
    ];
    for bug in bugs {
        let model = MembershipModel {
            injected_bug: Some(bug),
            ..two_members()
        };
        let checker = model.checker().threads(4).spawn_bfs().join();
        assert!(
            !checker.discoveries().is_empty(),
            "the check does not find {bug:?}"
        );
    }
}
