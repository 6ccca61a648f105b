//! The check itself: the total holds under everything that the model can do, and each injected bug is found.

use shared_state_model::{InjectedBug, QuotaModel};
use stateright::{Checker, HasDiscoveries, Model};

fn with_leader_change() -> QuotaModel {
    QuotaModel {
        steps: 5,
        requests: 3,
        crashes: 0,
        leader_changes: 1,
        bug: None,
    }
}

fn assert_holds(model: QuotaModel) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn total_holds_through_a_change_of_leader() {
    assert_holds(with_leader_change());
}

#[test]
fn total_holds_through_a_crash_with_quota_in_use() {
    assert_holds(QuotaModel {
        steps: 4,
        requests: 2,
        crashes: 1,
        leader_changes: 0,
        bug: None,
    });
}

/// The check must be able to fail.
#[test]
fn each_injected_bug_is_found() {
    for bug in [
        InjectedBug::NoWaitForPreviousGrants,
        InjectedBug::RequestsOfAnyTerm,
        InjectedBug::LeaseFromGrant,
        InjectedBug::CallsOverMaxDuration,
    ] {
        let model = QuotaModel {
            bug: Some(bug),
            ..with_leader_change()
        };
        let checker = model
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let properties = [
            "what is in flight never exceeds the total",
            "what may be spent never exceeds the total",
        ];
        assert!(
            properties.iter().any(|p| checker.discovery(p).is_some()),
            "{bug:?} is not found"
        );
    }
}
