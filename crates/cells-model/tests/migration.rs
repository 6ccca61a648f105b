//! The protocol holds under everything the model can do to it, and each injected bug is found.

use cells::MigrationPhase;
use cells_model::{check_every_migration_can_finish, InjectedBug, MigrationModel};
use stateright::{Checker, HasDiscoveries, Model};

/// One settlement with two attempts, a crash anywhere, any message lost, duplicated or delayed.
fn model() -> MigrationModel {
    MigrationModel {
        max_attempts: 2,
        clients: 1,
        max_crashes: 1,
        injected_bug: None,
    }
}

/// A model without clients, for the check that migrations finish.
fn model_without_clients(max_crashes: u8, injected_bug: Option<InjectedBug>) -> MigrationModel {
    MigrationModel {
        max_attempts: 0,
        clients: 0,
        max_crashes,
        injected_bug,
    }
}

#[test]
fn no_settlement_runs_twice_and_none_acknowledged_is_lost() {
    let checker = model().checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn every_migration_can_finish() {
    let liveness = check_every_migration_can_finish(&model_without_clients(2, None));
    println!("{} states", liveness.states);
    assert!(liveness.states > 1000, "{} states", liveness.states);
    assert!(liveness.stuck.is_none(), "stuck: {:#?}", liveness.stuck);
}

/// The check itself must be able to fail: a restarted target that does not receive the keys again never serves.
#[test]
fn migration_that_can_not_finish_is_found() {
    let flawed = model_without_clients(1, Some(InjectedBug::SkipRepeatedHandOver));
    let liveness = check_every_migration_can_finish(&flawed);
    assert!(liveness
        .stuck
        .is_some_and(|state| state.migration.phase == MigrationPhase::Commit));
}

/// The check itself must be able to fail: each bug makes a settlement run twice, or both sides serve.
#[test]
fn each_injected_bug_is_found() {
    for bug in [
        InjectedBug::SkipHandOver,
        InjectedBug::SkipFreeze,
        InjectedBug::ForgetLostKeys,
        InjectedBug::IgnoreIncarnation,
        InjectedBug::FenceTooSoon,
    ] {
        let flawed = MigrationModel {
            injected_bug: Some(bug),
            ..model()
        };
        let checker = flawed
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let steps = ["no settlement runs twice", "only one side serves"]
            .into_iter()
            .filter_map(|property| checker.discovery(property))
            .map(|path| path.into_actions().len())
            .min();
        println!("{bug:?}: found after {steps:?} steps");
        assert!(steps.is_some(), "{bug:?} was not found");
    }
}
