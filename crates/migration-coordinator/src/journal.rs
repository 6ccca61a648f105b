//! The coordinator's journal: a `redb` database that only one coordinator can have open, and that
//! keeps what was written after any crash. Each write is one durable transaction. Table names and
//! the JSON of the entries are a stable format.

use std::path::Path;

use cells::migration::Epoch;
use cells::{AssignedCells, Name};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, Table, TableDefinition,
    WriteTransaction,
};

use crate::effect::{AssignmentRecord, JournalRecord};
use crate::entry::MigrationEntry;

// The names of tables and keys are part of the format and keep the wording of its first version.
const MIGRATIONS_TABLE: &str = "works";
const ASSIGNMENTS_TABLE: &str = "homes";
/// Migrations in progress, by tenant.
const MIGRATIONS: TableDefinition<&str, &[u8]> = TableDefinition::new(MIGRATIONS_TABLE);
/// Assignments of migrated tenants, by tenant: the cells, the epoch at which they began to serve
/// the tenant, and whether the migration was manual.
const ASSIGNMENTS: TableDefinition<&str, &[u8]> = TableDefinition::new(ASSIGNMENTS_TABLE);
/// Single numbers: the format version and the last epoch.
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("figures");
/// Key of the format version in [`NUMBERS`].
const FORMAT_KEY: &str = "form";
/// Key of the last epoch in [`NUMBERS`].
const LAST_EPOCH_KEY: &str = "epoch";
/// Format version that this program reads and writes.
const FORMAT_VERSION: u64 = 1;

/// The reason why a journal can't be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Another coordinator has the journal open.
    #[error("another coordinator has the journal open")]
    InUse,
    /// The journal has a format version that this program does not support.
    #[error("journal format version {0} is not supported, expected {FORMAT_VERSION}")]
    UnknownFormat(u64),
    /// An entry can't be decoded or encoded.
    #[error("journal entry {key} in table {table} can't be decoded or encoded")]
    InvalidEntry {
        /// Name of the table.
        table: &'static str,
        /// Key of the entry, which is a tenant.
        key: String,
        /// Cause of the failure.
        source: serde_json::Error,
    },
    /// The database reports an error, for example of the file or the disk.
    #[error("journal storage error: {0}")]
    Storage(#[source] Box<redb::Error>),
}

impl<E: Into<redb::Error>> From<E> for JournalError {
    fn from(error: E) -> JournalError {
        JournalError::Storage(Box::new(error.into()))
    }
}

/// The content of a journal when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Migrations in progress.
    pub migrations: Vec<MigrationEntry>,
    /// Assignments of migrated tenants.
    pub assignments: Vec<AssignmentRecord>,
    /// Last epoch that was reserved for any migration.
    pub last_epoch: Epoch,
}

/// An open journal.
pub struct Journal {
    db: Database,
}

impl Journal {
    /// Opens a journal, or creates one, and returns its content.
    ///
    /// # Errors
    /// Returns an error if another coordinator has the journal open, the format version or an entry
    /// is invalid, or the file or the disk fails.
    pub fn open(path: &Path) -> Result<(Journal, RecoveredState), JournalError> {
        let db = Database::create(path).map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => JournalError::InUse,
            other => other.into(),
        })?;
        let transaction = db.begin_write()?;
        let last_epoch = check_format(&transaction)?;
        let recovered = RecoveredState {
            migrations: read_migrations(&transaction)?,
            assignments: read_assignments(&transaction)?,
            last_epoch,
        };
        transaction.commit()?;
        Ok((Journal { db }, recovered))
    }

    /// Writes records in one transaction; they are on disk when this function returns.
    ///
    /// # Errors
    /// Returns an error if a record can't be serialized, or the file or the disk fails; no record
    /// is written then.
    pub fn write(&self, records: &[JournalRecord]) -> Result<(), JournalError> {
        let transaction = self.db.begin_write()?;
        {
            let mut tables = Tables::open(&transaction)?;
            for record in records {
                tables.write(record)?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// Returns the number of tenants whose assignment is stored.
    ///
    /// # Errors
    /// Returns an error if the file or the disk fails.
    pub fn assignment_count(&self) -> Result<usize, JournalError> {
        let transaction = self.db.begin_read()?;
        let assignments = transaction.open_table(ASSIGNMENTS)?;
        Ok(assignments.iter()?.count())
    }
}

/// Checks the format version, or sets it in a new journal, and returns the last epoch.
fn check_format(transaction: &WriteTransaction) -> Result<Epoch, JournalError> {
    let mut numbers = transaction.open_table(NUMBERS)?;
    let format = numbers
        .get(FORMAT_KEY)?
        .map_or(FORMAT_VERSION, |format| format.value());
    if format != FORMAT_VERSION {
        return Err(JournalError::UnknownFormat(format));
    }
    numbers.insert(FORMAT_KEY, FORMAT_VERSION)?;
    let last_epoch = numbers
        .get(LAST_EPOCH_KEY)?
        .map_or(0, |epoch| epoch.value());
    Ok(last_epoch)
}

fn read_migrations(transaction: &WriteTransaction) -> Result<Vec<MigrationEntry>, JournalError> {
    let table = transaction.open_table(MIGRATIONS)?;
    let mut migrations = Vec::new();
    for row in table.iter()? {
        let (key, value) = row?;
        let entry = serde_json::from_slice(value.value())
            .map_err(|error| invalid_entry(MIGRATIONS_TABLE, key.value(), error))?;
        migrations.push(entry);
    }
    Ok(migrations)
}

fn read_assignments(transaction: &WriteTransaction) -> Result<Vec<AssignmentRecord>, JournalError> {
    let table = transaction.open_table(ASSIGNMENTS)?;
    let mut assignments = Vec::new();
    for row in table.iter()? {
        let (key, value) = row?;
        let (cells, since, is_manual): (AssignedCells, Epoch, bool) =
            serde_json::from_slice(value.value())
                .map_err(|error| invalid_entry(ASSIGNMENTS_TABLE, key.value(), error))?;
        assignments.push(AssignmentRecord {
            tenant: Name::from(key.value()),
            cells,
            since,
            is_manual,
        });
    }
    Ok(assignments)
}

fn invalid_entry(table: &'static str, key: &str, source: serde_json::Error) -> JournalError {
    JournalError::InvalidEntry {
        table,
        key: key.to_string(),
        source,
    }
}

/// The tables of a write transaction.
struct Tables<'a> {
    migrations: Table<'a, &'static str, &'static [u8]>,
    assignments: Table<'a, &'static str, &'static [u8]>,
    numbers: Table<'a, &'static str, u64>,
}

impl Tables<'_> {
    fn open(transaction: &WriteTransaction) -> Result<Tables<'_>, JournalError> {
        Ok(Tables {
            migrations: transaction.open_table(MIGRATIONS)?,
            assignments: transaction.open_table(ASSIGNMENTS)?,
            numbers: transaction.open_table(NUMBERS)?,
        })
    }

    fn write(&mut self, record: &JournalRecord) -> Result<(), JournalError> {
        match record {
            JournalRecord::Migration { entry, last_epoch } => {
                let bytes = serde_json::to_vec(entry)
                    .map_err(|error| invalid_entry(MIGRATIONS_TABLE, &entry.tenant, error))?;
                self.migrations.insert(&*entry.tenant, &bytes[..])?;
                self.numbers.insert(LAST_EPOCH_KEY, *last_epoch)?;
            }
            JournalRecord::Assignment(record) => {
                let value = (&record.cells, record.since, record.is_manual);
                let bytes = serde_json::to_vec(&value)
                    .map_err(|error| invalid_entry(ASSIGNMENTS_TABLE, &record.tenant, error))?;
                self.assignments.insert(&*record.tenant, &bytes[..])?;
            }
            JournalRecord::Finished(tenant) => {
                self.migrations.remove(&**tenant)?;
            }
        }
        Ok(())
    }
}
