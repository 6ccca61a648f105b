//! Model checking: the total is never exceeded, whatever the model can do, and each injected bug is
//! found.

use shared_state_model::{InjectedBug, QuotaModel};
use stateright::{Checker, HasDiscoveries, Model};

fn with_leader_change() -> QuotaModel {
    QuotaModel {
        max_steps: 5,
        max_requests: 3,
        max_crashes: 0,
        max_leader_changes: 1,
        bug: None,
    }
}

fn assert_holds(model: QuotaModel) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} unique",
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
        max_steps: 4,
        max_requests: 2,
        max_crashes: 1,
        max_leader_changes: 0,
        bug: None,
    });
}

/// Each injected bug must make the check fail; otherwise the check would show nothing.
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
            "units in flight never exceed the total",
            "units that may be spent never exceed the total",
        ];
        assert!(
            properties.iter().any(|p| checker.discovery(p).is_some()),
            "{bug:?} was not found"
        );
    }
}
