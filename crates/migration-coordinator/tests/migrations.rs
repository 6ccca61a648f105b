//! Tests of migrations in a simulated fleet with a journal on disk, and of the journal itself.

mod simulated_fleet;

use std::time::Duration;

use cells::{AssignedCells, MigrationPhase, Name};
use migration_coordinator::{Effect, Journal, JournalError, StartError};
use simulated_fleet::{SimulatedFleet, CELL_COUNT, NODES_PER_CELL, TENANT_COUNT};
use tempfile::NamedTempFile;

/// Starts a random migration; returns false if it is impossible now.
fn start_random_migration(fleet: &mut SimulatedFleet) -> bool {
    let tenant = format!("t{}", fleet.random.below(TENANT_COUNT));
    let to = AssignedCells::One(format!("c{}", fleet.random.below(CELL_COUNT)).into());
    let Some(coordinator) = &mut fleet.coordinator else {
        return false;
    };
    match coordinator.start_migration(&tenant, to, true, fleet.now) {
        Ok(effects) => {
            fleet.run_coordinator(|_, _| effects);
            true
        }
        Err(StartError::AlreadyMigrating | StartError::AlreadyAssigned) => false,
        Err(error) => panic!("{error}"),
    }
}

fn run_random_steps(fleet: &mut SimulatedFleet) {
    for _ in 0..fleet.random.below(300) {
        fleet.step(true);
    }
}

/// Kills a random node and restarts it later; the coordinator may be notified in between.
fn kill_and_restart_random_node(fleet: &mut SimulatedFleet) {
    let cell = fleet.random.below(CELL_COUNT);
    let node: Name = format!("c{cell}n{}", fleet.random.below(NODES_PER_CELL)).into();
    fleet.kill_node(&node);
    run_random_steps(fleet);
    if fleet.random.one_in(2) {
        fleet.run_coordinator(|c, now| c.handle_fenced_node(&node, now));
    }
    run_random_steps(fleet);
    fleet.start_node(&node);
}

/// Runs 200 migrations under load, each with a random kill of a source, a target, or the
/// coordinator at any point between writing and sending. No settlement may run twice, and none may
/// be acknowledged without having run.
#[test]
fn two_hundred_migrations_with_a_kill_each_lose_and_duplicate_nothing() {
    let mut fleet = SimulatedFleet::new(0x6d6f_7468);
    let mut started = 0;
    while started < 200 {
        for _ in 0..400 {
            fleet.step(true);
        }
        if fleet.coordinator.is_none() {
            fleet.start_coordinator();
        }
        if !start_random_migration(&mut fleet) {
            continue;
        }
        started += 1;
        run_random_steps(&mut fleet);
        kill_and_restart_random_node(&mut fleet);
        fleet.check_invariants();
    }
    fleet.run_until_converged();
    fleet.check_invariants();
    let settlements = &fleet.settlements;
    let acknowledged = settlements.iter().filter(|s| s.is_acknowledged).count();
    let in_doubt = settlements
        .iter()
        .filter(|s| s.is_answered && !s.is_acknowledged)
        .count();
    let counts = &fleet.counts;
    println!(
        "{} settlements, {acknowledged} acknowledged, {in_doubt} in doubt; {} migrations committed, {} aborted; {} kills \
         of the coordinator, {} of nodes",
        settlements.len(),
        counts.committed,
        counts.aborted,
        counts.coordinator_kills,
        counts.node_kills
    );
    assert!(
        counts.committed >= 100 && acknowledged > 1000,
        "{} committed, {acknowledged} acknowledged",
        counts.committed
    );
    assert!(
        counts.coordinator_kills >= 10,
        "{} kills",
        counts.coordinator_kills
    );
}

/// Only one coordinator at a time can open a journal, and written records persist after the
/// coordinator ends.
#[test]
fn journal_has_one_coordinator_and_keeps_what_was_written() {
    let fleet = SimulatedFleet::new(1);
    assert!(matches!(
        Journal::open(fleet.journal_file.path()),
        Err(JournalError::InUse)
    ));
    let SimulatedFleet {
        coordinator,
        journal,
        journal_file,
        ..
    } = fleet;
    let mut coordinator = coordinator.expect("running");
    let journal = journal.expect("open");
    let current = &coordinator.map().assignment("t0").expect("assigned").cells;
    let to = if *current == AssignedCells::One("c0".into()) {
        "c1"
    } else {
        "c0"
    };
    let effects = coordinator
        .start_migration("t0", AssignedCells::One(to.into()), true, Duration::ZERO)
        .expect("started");
    let Some(Effect::WriteJournal(records)) = effects.first() else {
        panic!("written first")
    };
    journal.write(records).expect("written");
    assert_eq!(journal.assignment_count().expect("read"), 0);
    drop(journal);
    let (_journal, recovered) = Journal::open(journal_file.path()).expect("a journal");
    assert_eq!(recovered.migrations.len(), 1);
    assert_eq!(
        recovered.migrations[0].migration.phase,
        MigrationPhase::Prepare
    );
    assert_eq!(recovered.assignments.len(), 0);
    assert!(recovered.last_epoch >= 2);
}

/// A file of another format is rejected instead of being treated as an empty journal.
#[test]
fn file_that_is_no_journal_is_rejected() {
    let file = NamedTempFile::new().expect("a file");
    std::fs::write(
        file.path(),
        b"no journal at all, but long enough to look at".repeat(200),
    )
    .expect("a file");
    let error = Journal::open(file.path())
        .err()
        .expect("rejected")
        .to_string();
    assert!(
        error.starts_with("journal storage error: ") && !error.contains('\n'),
        "{error}"
    );
}

/// An impossible migration is rejected at once, so that the operator learns of it.
#[test]
fn impossible_migrations_are_rejected_at_once() {
    let mut fleet = SimulatedFleet::new(2);
    let coordinator = fleet.coordinator.as_mut().expect("running");
    let current = &coordinator.map().assignment("t0").expect("assigned").cells;
    let current = current.to_string();
    let other = if current == "c0" { "c1" } else { "c0" }.to_string();
    let mut start = |tenant: &str, to: &str| {
        coordinator.start_migration(tenant, AssignedCells::One(to.into()), true, Duration::ZERO)
    };
    assert_eq!(start("nobody", "c0"), Err(StartError::UnknownTenant));
    assert!(matches!(start("t0", "c9"), Err(StartError::Layout(_))));
    assert_eq!(start("t0", &current), Err(StartError::AlreadyAssigned));
    assert!(start("t0", &other).is_ok());
    assert_eq!(start("t0", &other), Err(StartError::AlreadyMigrating));
    assert!(matches!(
        coordinator.abort_migration("t0", Duration::ZERO).as_slice(),
        [Effect::WriteJournal(_), ..]
    ));
}
