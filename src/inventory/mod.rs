//! The inventory: the file that lists the broker queues which the node consumes from.
//!
//! The file has the form that configuration tools use: YAML with groups, hosts and variables, or
//! CSV with a header row. Each host or row describes one queue. Variables that the node does not
//! know are ignored, so that one inventory can serve several tools; a variable that is missing,
//! invalid or duplicated is an [`InventoryError`] with its file, line and field. A file whose last
//! line has no line break may be half-written, and is an error as well.

mod csv;
mod error;
mod queue;
mod record;
mod validation;
mod yaml;

use std::collections::HashSet;
use std::fs;
use std::path::Path;

pub use error::{InventoryError, InventoryProblem, Location};
pub use queue::BrokerQueue;

use self::error::ContentError;
use self::record::{Record, RecordReader};
use self::validation::RecordValidator;
use crate::node::Limits;
use crate::wire::Site;

/// Reads the inventory at `path` and checks it against the classes and tenants of `site` and
/// against `limits`.
///
/// `env` looks up the environment variables that hold the brokers' passwords.
///
/// # Errors
///
/// The first error in the file, in the order of its records.
pub fn read(
    path: &Path,
    site: &Site,
    limits: &Limits,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Vec<BrokerQueue>, InventoryError> {
    let validator = RecordValidator { site, limits, env };
    read_queues(path, &validator).map_err(|error| error.in_file(path))
}

fn read_queues<Env>(
    path: &Path,
    validator: &RecordValidator<'_, Env>,
) -> Result<Vec<BrokerQueue>, ContentError>
where
    Env: Fn(&str) -> Option<String>,
{
    let text = fs::read_to_string(path)
        .map_err(|error| ContentError::in_whole_file(InventoryProblem::Unreadable(error)))?;
    let records = read_records(path, &text)?;
    let queues = validate_records(&records, validator)?;
    check_is_complete(&text)?;
    Ok(queues)
}

/// Checks that the last line ends with a line break. A name that is cut off is a valid name of
/// another queue, so nothing else shows that a file is half-written.
fn check_is_complete(text: &str) -> Result<(), ContentError> {
    if text.ends_with('\n') {
        return Ok(());
    }
    let last_line = text.lines().count();
    let problem = InventoryProblem::Incomplete;
    Err(ContentError::new(last_line, "", problem))
}

/// Reads the records from the text of a file, whose extension determines its format.
fn read_records(path: &Path, text: &str) -> Result<Vec<Record>, ContentError> {
    let reader = reader_for(path)
        .ok_or_else(|| ContentError::in_whole_file(InventoryProblem::UnknownExtension))?;
    let records = reader(text)?;
    if records.is_empty() {
        return Err(ContentError::in_whole_file(InventoryProblem::Empty));
    }
    Ok(records)
}

/// Returns the reader for the format that the file's extension names.
fn reader_for(path: &Path) -> Option<RecordReader> {
    let extension = path.extension()?.to_str()?.to_ascii_lowercase();
    match extension.as_str() {
        "csv" => Some(csv::read_records),
        "yaml" | "yml" => Some(yaml::read_records),
        _ => None,
    }
}

/// Converts each record to a queue. No two records may describe the same queue of the same broker.
fn validate_records<Env>(
    records: &[Record],
    validator: &RecordValidator<'_, Env>,
) -> Result<Vec<BrokerQueue>, ContentError>
where
    Env: Fn(&str) -> Option<String>,
{
    let mut identities = HashSet::new();
    let mut queues = Vec::with_capacity(records.len());
    for record in records {
        let queue = validator.validate(record)?;
        if !identities.insert(queue.identity()) {
            return Err(record.error("queue", InventoryProblem::Duplicate));
        }
        queues.push(queue);
    }
    Ok(queues)
}
