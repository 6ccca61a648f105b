//! The coordinator's journal: one file that only one coordinator has open, and in which what was written once is there
//! after any crash. It is a `redb` database: each record is one durable transaction.

use std::fmt;
use std::path::Path;

use cells::map::{Name, Place};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};

use crate::decide::{Kept, Record, Work};

/// Moves in hand, by tenant.
const WORKS: TableDefinition<&str, &[u8]> = TableDefinition::new("works");
/// Moved tenants: where they live, since when, and whether by hand.
const HOMES: TableDefinition<&str, &[u8]> = TableDefinition::new("homes");
/// Single figures: the form of the file, and the last epoch.
const FIGURES: TableDefinition<&str, u64> = TableDefinition::new("figures");
const FORM: u64 = 1;

/// Why a journal can't be used.
#[derive(Debug)]
pub enum JournalError {
    /// Another coordinator has it open.
    InUse,
    /// It was written in a form that this program does not know.
    Form(u64),
    /// An entry can't be read: of which table, and for which tenant.
    Entry(&'static str, String),
    /// The file or the disk fails.
    Store(Box<redb::Error>),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::InUse => f.write_str("another coordinator has the journal open"),
            JournalError::Form(form) => write!(f, "the journal is of form {form}, known is {FORM}"),
            JournalError::Entry(table, key) => {
                write!(f, "the journal's entry {key} in {table} can't be read")
            }
            JournalError::Store(e) => write!(f, "the journal: {e}"),
        }
    }
}
impl std::error::Error for JournalError {}

fn store<E: Into<redb::Error>>(e: E) -> JournalError {
    JournalError::Store(Box::new(e.into()))
}

/// See the module's head.
pub struct Journal {
    db: Database,
}

impl Journal {
    /// Opens a journal, or begins one, and tells what it had.
    pub fn open(path: &Path) -> Result<(Journal, Kept), JournalError> {
        let db = Database::create(path).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => JournalError::InUse,
            other => store(other),
        })?;
        let begin = db.begin_write().map_err(store)?;
        let mut kept = Kept::default();
        {
            let mut figures = begin.open_table(FIGURES).map_err(store)?;
            let form = figures
                .get("form")
                .map_err(store)?
                .map_or(FORM, |form| form.value());
            if form != FORM {
                return Err(JournalError::Form(form));
            }
            figures.insert("form", FORM).map_err(store)?;
            kept.epoch = figures
                .get("epoch")
                .map_err(store)?
                .map_or(0, |epoch| epoch.value());
            let works = begin.open_table(WORKS).map_err(store)?;
            for entry in works.iter().map_err(store)? {
                let (key, value) = entry.map_err(store)?;
                let bad = |_| JournalError::Entry("works", key.value().to_string());
                kept.works
                    .push(serde_json::from_slice::<Work>(value.value()).map_err(bad)?);
            }
            let homes = begin.open_table(HOMES).map_err(store)?;
            for entry in homes.iter().map_err(store)? {
                let (key, value) = entry.map_err(store)?;
                let bad = |_| JournalError::Entry("homes", key.value().to_string());
                let (place, since, by_hand) =
                    serde_json::from_slice::<(Place, u64, bool)>(value.value()).map_err(bad)?;
                kept.homes
                    .push((Name::from(key.value()), place, since, by_hand));
            }
        }
        begin.commit().map_err(store)?;
        Ok((Journal { db }, kept))
    }

    /// Writes records down, all or none; they are on disk when this returns.
    pub fn write(&self, records: &[Record]) -> Result<(), JournalError> {
        let write = self.db.begin_write().map_err(store)?;
        {
            let mut works = write.open_table(WORKS).map_err(store)?;
            let mut homes = write.open_table(HOMES).map_err(store)?;
            let mut figures = write.open_table(FIGURES).map_err(store)?;
            for record in records {
                match record {
                    Record::Work(work, epoch) => {
                        let entry = |_| JournalError::Entry("works", work.tenant.to_string());
                        let bytes = serde_json::to_vec(work).map_err(entry)?;
                        works.insert(&*work.tenant, &bytes[..]).map_err(store)?;
                        figures.insert("epoch", *epoch).map_err(store)?;
                    }
                    Record::Home(tenant, place, since, by_hand) => {
                        let entry = |_| JournalError::Entry("homes", tenant.to_string());
                        let bytes = serde_json::to_vec(&(place, since, by_hand)).map_err(entry)?;
                        homes.insert(&**tenant, &bytes[..]).map_err(store)?;
                    }
                    Record::Over(tenant) => drop(works.remove(&**tenant).map_err(store)?),
                }
            }
        }
        write.commit().map_err(store)
    }

    /// How many tenants it keeps a home of.
    pub fn homes(&self) -> Result<usize, JournalError> {
        let read = self.db.begin_read().map_err(store)?;
        let homes = read.open_table(HOMES).map_err(store)?;
        Ok(homes.iter().map_err(store)?.count())
    }
}
