//! Model checks of the migration protocol: its properties hold in every reachable state, and the
//! check detects each injected bug.

use cells::MigrationPhase;
use cells_model::{check_every_migration_can_finish, InjectedBug, MigrationModel};
use stateright::{Checker, HasDiscoveries, Model};

/// Returns a model of one settlement with two attempts, a crash at any point, and messages that may
/// be lost, duplicated or delayed.
fn model() -> MigrationModel {
    MigrationModel {
        max_attempts: 2,
        clients: 1,
        max_crashes: 1,
        injected_bug: None,
    }
}

/// Returns a model without clients, for the check that migrations finish.
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
        "{} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn every_migration_can_finish() {
    let progress = check_every_migration_can_finish(&model_without_clients(2, None));
    println!("{} states", progress.states);
    assert!(progress.states > 1000, "{} states", progress.states);
    assert!(progress.stuck.is_none(), "stuck: {:#?}", progress.stuck);
}

/// Shows that the check can fail: a restarted target that does not receive the keys again never
/// serves.
#[test]
fn migration_that_can_not_finish_is_found() {
    let model_with_bug = model_without_clients(1, Some(InjectedBug::SkipRepeatedHandOver));
    let progress = check_every_migration_can_finish(&model_with_bug);
    assert!(progress
        .stuck
        .is_some_and(|state| state.migration.phase == MigrationPhase::Commit));
}

/// Shows that the check can fail: each bug makes a settlement run twice, or makes both sides serve.
#[test]
fn each_injected_bug_is_found() {
    for bug in [
        InjectedBug::SkipHandOver,
        InjectedBug::SkipFreeze,
        InjectedBug::ForgetLostKeys,
        InjectedBug::IgnoreIncarnation,
        InjectedBug::FenceTooSoon,
    ] {
        let model_with_bug = MigrationModel {
            injected_bug: Some(bug),
            ..model()
        };
        let checker = model_with_bug
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
