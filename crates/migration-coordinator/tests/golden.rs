//! Golden tests of the journal's format. `golden/journal.redb` was written by an earlier version of
//! the program; `golden/rows.txt` lists its rows as table, key and value. Neither file ever
//! changes: `serde` names keep the JSON unchanged when Rust names change.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use cells::migration::{KeyStatus, Migration, MigrationPhase};
use cells::AssignedCells;
use migration_coordinator::{
    AssignmentRecord, Journal, JournalRecord, MigrationEntry, RecoveredState,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

/// A temporary file that is removed on drop.
struct ScratchFile(PathBuf);
impl ScratchFile {
    fn new(name: &str) -> ScratchFile {
        let path = std::env::temp_dir().join(format!("golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        ScratchFile(path)
    }
}
impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns a migration at each phase, with distinct values in all fields.
fn migrations() -> Vec<MigrationEntry> {
    let phases = [
        ("t-1-prepare", MigrationPhase::Prepare),
        ("t-2-freeze", MigrationPhase::Freeze),
        ("t-3-hand-over", MigrationPhase::HandOver),
        ("t-4-commit", MigrationPhase::Commit),
        ("t-5-release", MigrationPhase::Release),
        ("t-6-done", MigrationPhase::Done),
        ("t-7-abort", MigrationPhase::Abort),
        ("t-8-aborted", MigrationPhase::Aborted),
    ];
    let entry = |(index, (tenant, phase)): (u64, (&str, MigrationPhase))| MigrationEntry {
        tenant: tenant.into(),
        to: match index % 2 {
            0 => AssignedCells::One("c1".into()),
            _ => AssignedCells::Split(["c2".into(), "c3".into()].into()),
        },
        is_manual: index % 2 == 0,
        is_adoption: index % 4 >= 2,
        migration: Migration {
            id: 100 + index,
            phase,
            epoch: 200 + index,
            sources: BTreeSet::from([1, 2]),
            targets: BTreeSet::from([3, 4, 5]),
            incarnations: BTreeMap::from([(1, 11), (2, 12), (3, 13)]),
            acknowledged: BTreeSet::from([2, 4]),
            fenced: BTreeSet::from([1]),
            restarted_targets: BTreeSet::from([5]),
            keys: BTreeMap::from([(u64::MAX, KeyStatus::MayHaveRun), (7, KeyStatus::Ran)]),
            may_lack_keys: index % 3 == 0,
        },
        nodes: BTreeMap::from([
            (1, "n-one".into()),
            (2, "n-two".into()),
            (3, "n-three".into()),
        ]),
    };
    (0..).zip(phases).map(entry).collect()
}

fn assignment(tenant: &str, cells: AssignedCells, since: u64, is_manual: bool) -> AssignmentRecord {
    AssignmentRecord {
        tenant: tenant.into(),
        cells,
        since,
        is_manual,
    }
}

fn expected() -> RecoveredState {
    let assignments = vec![
        assignment("h-by-hand", AssignedCells::One("c4".into()), 31, true),
        assignment("h-by-map", AssignedCells::One("c5".into()), 32, false),
        assignment(
            "h-split",
            AssignedCells::Split(["c6".into(), "c7".into()].into()),
            33,
            false,
        ),
    ];
    RecoveredState {
        migrations: migrations(),
        assignments,
        last_epoch: 999,
    }
}

/// Writes every kind of record; a finished migration leaves no row.
fn write(path: &Path) {
    let (journal, recovered) = Journal::open(path).expect("a new journal");
    assert_eq!(recovered, RecoveredState::default());
    let mut records: Vec<JournalRecord> = migrations()
        .into_iter()
        .map(|entry| JournalRecord::Migration {
            entry: Box::new(entry),
            last_epoch: 998,
        })
        .collect();
    for record in expected().assignments {
        records.push(JournalRecord::Assignment(record));
    }
    let finished = MigrationEntry {
        tenant: "t-over".into(),
        ..migrations().remove(0)
    };
    records.push(JournalRecord::Migration {
        entry: Box::new(finished),
        last_epoch: 999,
    });
    journal.write(&records).expect("written");
    journal
        .write(&[JournalRecord::Finished("t-over".into())])
        .expect("written");
}

/// Returns all rows of a journal's file as text, read without the code under test.
fn rows(path: &Path) -> String {
    let db = Database::open(path).expect("a database");
    let read = db.begin_read().expect("a transaction");
    let mut tables: Vec<String> = read
        .list_tables()
        .expect("tables")
        .map(|t| t.name().to_string())
        .collect();
    tables.sort();
    let mut rows = String::new();
    for table in &tables {
        if table == "figures" {
            let numbers = read
                .open_table(TableDefinition::<&str, u64>::new(table))
                .expect("a table");
            for row in numbers.iter().expect("rows") {
                let (key, value) = row.expect("a row");
                rows += &format!("{table} {} {}\n", key.value(), value.value());
            }
        } else {
            let json_entries = read
                .open_table(TableDefinition::<&str, &[u8]>::new(table))
                .expect("a table");
            for row in json_entries.iter().expect("rows") {
                let (key, value) = row.expect("a row");
                let text = std::str::from_utf8(value.value()).expect("JSON");
                rows += &format!("{table} {} {text}\n", key.value());
            }
        }
    }
    rows
}

#[test]
fn journal_of_an_earlier_program_opens_with_its_content() {
    let scratch = ScratchFile::new("opens");
    std::fs::write(&scratch.0, include_bytes!("golden/journal.redb")).expect("copied");
    let (journal, recovered) = Journal::open(&scratch.0).expect("it opens");
    assert_eq!(recovered, expected());
    assert_eq!(journal.assignment_count().expect("assignments"), 3);
}

#[test]
fn journal_of_an_earlier_program_has_the_golden_rows() {
    let scratch = ScratchFile::new("has");
    std::fs::write(&scratch.0, include_bytes!("golden/journal.redb")).expect("copied");
    assert_eq!(rows(&scratch.0), include_str!("golden/rows.txt"));
}

#[test]
fn journal_rows_are_stable() {
    let scratch = ScratchFile::new("rows");
    write(&scratch.0);
    assert_eq!(rows(&scratch.0), include_str!("golden/rows.txt"));
}
