//! A journal that an earlier program wrote. `golden/journal.redb` is the file as it was written then, `golden/rows.txt` its
//! rows: table, key and value. Neither ever changes; `serde` names keep the JSON as it is where Rust names change.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use cells::map::Place;
use cells::moves::{Known, Move, Step};
use migration_coordinator::{Journal, Kept, Record, Work};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};

/// A file of this test's own that goes with the value.
struct Scratch(PathBuf);
impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        Scratch(path)
    }
}
impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A move in hand at each step, with distinct values in all fields.
fn works() -> Vec<Work> {
    let steps = [
        ("t-1-prepare", Step::Prepare),
        ("t-2-freeze", Step::Freeze),
        ("t-3-hand-over", Step::HandOver),
        ("t-4-commit", Step::Commit),
        ("t-5-release", Step::Release),
        ("t-6-done", Step::Done),
        ("t-7-abort", Step::Abort),
        ("t-8-aborted", Step::Aborted),
    ];
    let work = |(at, (tenant, step)): (u64, (&str, Step))| Work {
        tenant: tenant.into(),
        to: match at % 2 {
            0 => Place::One("c1".into()),
            _ => Place::Split(["c2".into(), "c3".into()].into()),
        },
        by_hand: at % 2 == 0,
        adopts: at % 4 >= 2,
        state: Move {
            id: 100 + at,
            step,
            epoch: 200 + at,
            from: BTreeSet::from([1, 2]),
            to: BTreeSet::from([3, 4, 5]),
            lives: BTreeMap::from([(1, 11), (2, 12), (3, 13)]),
            answered: BTreeSet::from([2, 4]),
            fenced: BTreeSet::from([1]),
            anew: BTreeSet::from([5]),
            keys: BTreeMap::from([(u64::MAX, Known::MayHaveRun), (7, Known::Ran)]),
            doubtful: at % 3 == 0,
        },
        nodes: BTreeMap::from([
            (1, "n-one".into()),
            (2, "n-two".into()),
            (3, "n-three".into()),
        ]),
    };
    (0..).zip(steps).map(work).collect()
}

fn expected() -> Kept {
    let homes = vec![
        ("h-by-hand".into(), Place::One("c4".into()), 31, true),
        ("h-by-map".into(), Place::One("c5".into()), 32, false),
        (
            "h-split".into(),
            Place::Split(["c6".into(), "c7".into()].into()),
            33,
            false,
        ),
    ];
    Kept {
        works: works(),
        homes,
        epoch: 999,
    }
}

/// Writes every kind of record; a move that is over leaves nothing.
fn write(path: &Path) {
    let (journal, kept) = Journal::open(path).expect("a new journal");
    assert_eq!(kept, Kept::default());
    let mut records: Vec<Record> = works()
        .into_iter()
        .map(|w| Record::Work(Box::new(w), 998))
        .collect();
    for (tenant, place, since, by_hand) in expected().homes {
        records.push(Record::Home(tenant, place, since, by_hand));
    }
    let over = Work {
        tenant: "t-over".into(),
        ..works().remove(0)
    };
    records.push(Record::Work(Box::new(over), 999));
    journal.write(&records).expect("written");
    journal
        .write(&[Record::Over("t-over".into())])
        .expect("written");
}

/// All rows of a journal's file as text, read without the journal's own code.
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
            let figures = read
                .open_table(TableDefinition::<&str, u64>::new(table))
                .expect("a table");
            for row in figures.iter().expect("rows") {
                let (key, value) = row.expect("a row");
                rows += &format!("{table} {} {}\n", key.value(), value.value());
            }
        } else {
            let texts = read
                .open_table(TableDefinition::<&str, &[u8]>::new(table))
                .expect("a table");
            for row in texts.iter().expect("rows") {
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
    let scratch = Scratch::new("opens");
    std::fs::write(&scratch.0, include_bytes!("golden/journal.redb")).expect("copied");
    let (journal, kept) = Journal::open(&scratch.0).expect("it opens");
    assert_eq!(kept, expected());
    assert_eq!(journal.homes().expect("homes"), 3);
}

#[test]
fn journal_of_an_earlier_program_has_the_golden_rows() {
    let scratch = Scratch::new("has");
    std::fs::write(&scratch.0, include_bytes!("golden/journal.redb")).expect("copied");
    assert_eq!(rows(&scratch.0), include_str!("golden/rows.txt"));
}

#[test]
fn journal_rows_are_stable() {
    let scratch = Scratch::new("rows");
    write(&scratch.0);
    assert_eq!(rows(&scratch.0), include_str!("golden/rows.txt"));
}
