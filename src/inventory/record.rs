//! A record of an inventory: the variables that describe one queue, not yet validated.

use std::collections::BTreeMap;

use super::error::{ContentError, InventoryProblem};

/// Maximum length of an AMQP short string in bytes.
const MAX_SHORT_STRING_BYTES: usize = 255;

/// The variables of a record by their names.
pub(super) type Variables = BTreeMap<String, Variable>;

/// Reads the records from the text of a file.
pub(super) type RecordReader = fn(&str) -> Result<Vec<Record>, ContentError>;

/// A variable's value and its line.
#[derive(Clone)]
pub(super) struct Variable {
    /// The line in the file, counted from 1.
    pub(super) line: usize,
    /// The value; `None` if it is neither a string nor an accepted number.
    pub(super) text: Option<String>,
}

/// A host of a YAML inventory or a row of a CSV inventory.
pub(super) struct Record {
    /// The line at which the record begins, counted from 1.
    pub(super) line: usize,
    /// The name of the host; empty if the file gives none.
    pub(super) host_name: String,
    /// The variables of the host or row.
    pub(super) variables: Variables,
}

impl Record {
    /// Creates an error at the line of this variable, or at the record's line if the variable is
    /// not set.
    pub(super) fn error(&self, variable: &str, problem: InventoryProblem) -> ContentError {
        let line = self.variables.get(variable).map_or(self.line, |v| v.line);
        ContentError::new(line, variable, problem)
    }

    /// Returns the value of an optional variable, which must fit into an AMQP short string. An
    /// empty value counts as `None`.
    pub(super) fn text(&self, variable: &str) -> Result<Option<String>, ContentError> {
        let Some(value) = self.variables.get(variable) else {
            return Ok(None);
        };
        let Some(text) = &value.text else {
            return Err(self.error(variable, InventoryProblem::NotString));
        };
        if text.len() > MAX_SHORT_STRING_BYTES {
            let max_bytes = MAX_SHORT_STRING_BYTES;
            return Err(self.error(variable, InventoryProblem::TooLong { max_bytes }));
        }
        Ok(Some(text.clone()).filter(|text| !text.is_empty()))
    }

    /// Returns the value of a required variable, which must fit into an AMQP short string.
    pub(super) fn required_text(&self, variable: &str) -> Result<String, ContentError> {
        self.text(variable)?
            .ok_or_else(|| self.error(variable, InventoryProblem::Missing))
    }

    /// Returns the value of an optional variable that holds a number from 1 to 65535.
    pub(super) fn number(&self, variable: &str) -> Result<Option<u16>, ContentError> {
        let Some(text) = self.text(variable)? else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) if number > 0 => Ok(Some(number)),
            _ => Err(self.error(variable, InventoryProblem::NotANumber)),
        }
    }

    /// Returns the value of a required variable that holds a number from 1 to 65535.
    pub(super) fn required_number(&self, variable: &str) -> Result<u16, ContentError> {
        self.number(variable)?
            .ok_or_else(|| self.error(variable, InventoryProblem::Missing))
    }
}
