//! Inventories in CSV: the header row names the variables, each further row is a record.

use std::collections::HashSet;

use ::csv::{Error, Position, ReaderBuilder, StringRecord, Trim};

use super::error::{ContentError, InventoryProblem};
use super::record::{Record, Variable, Variables};

/// The line number of the header row, for errors.
const HEADER_LINE: usize = 1;

/// The optional column with the host's name.
const HOST_NAME_COLUMN: &str = "inventory_hostname";

/// Reads the records of an inventory in CSV. Lines that begin with `#` are comments.
pub(super) fn read_records(text: &str) -> Result<Vec<Record>, ContentError> {
    let mut reader = ReaderBuilder::new()
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let header = reader.headers().map_err(malformed)?.clone();
    check_columns(&header)?;
    let mut records = Vec::new();
    for row in reader.records() {
        let row = row.map_err(malformed)?;
        records.push(read_row(&header, &row));
    }
    Ok(records)
}

fn check_columns(header: &StringRecord) -> Result<(), ContentError> {
    let mut columns = HashSet::new();
    match header.iter().find(|column| !columns.insert(*column)) {
        Some(column) => Err(ContentError::new(
            HEADER_LINE,
            column,
            InventoryProblem::Duplicate,
        )),
        None => Ok(()),
    }
}

/// Converts a row to a record. An empty cell is a variable that is not set.
fn read_row(header: &StringRecord, row: &StringRecord) -> Record {
    let line = line_number(row.position());
    let mut variables = Variables::new();
    for (column, cell) in header.iter().zip(row) {
        if cell.is_empty() {
            continue;
        }
        let text = Some(cell.to_string());
        variables.insert(column.to_string(), Variable { line, text });
    }
    let host_name = variables
        .get(HOST_NAME_COLUMN)
        .and_then(|variable| variable.text.clone());
    Record {
        line,
        host_name: host_name.unwrap_or_default(),
        variables,
    }
}

fn malformed(error: Error) -> ContentError {
    let line = line_number(error.position());
    ContentError::new(line, "", InventoryProblem::MalformedCsv(error))
}

/// Returns the line of a position, counted from 1, or 0 if the position is not known.
fn line_number(position: Option<&Position>) -> usize {
    position.map_or(0, |position| position.line() as usize)
}
