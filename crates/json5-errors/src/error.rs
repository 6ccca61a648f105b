//! The error type that all readers of JSON5 files share.

use std::fmt;

use crate::positions::FieldPositions;

/// The reason why a configuration file can't be used.
///
/// Displayed as one line: `FILE:LINE: FIELD: MESSAGE`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ConfigFileError {
    /// The file, as the caller named it.
    pub file: String,
    /// The line, counted from 1. `None` if the position is not known.
    pub line: Option<usize>,
    /// The path of the field, with its names joined by dots. Empty if the error concerns no field.
    pub field: String,
    /// The description of the error.
    pub message: String,
}

impl ConfigFileError {
    /// Creates the error for text that `json5` can't parse. The message of `json5` includes the
    /// position.
    pub fn from_json5(file: &str, error: &json5::Error) -> ConfigFileError {
        ConfigFileError {
            file: file.to_string(),
            line: line_of(error),
            field: String::new(),
            message: error.to_string(),
        }
    }

    /// Creates the error for text that `json5` can't parse. The field is the last one that
    /// `positions` has on or before the line of the error. The position at the end of the message
    /// is removed.
    pub fn from_json5_with_field(
        file: &str,
        error: &json5::Error,
        positions: &FieldPositions,
    ) -> ConfigFileError {
        let line = line_of(error);
        ConfigFileError {
            file: file.to_string(),
            line,
            field: line.map_or_else(String::new, |line| positions.field_before(line)),
            message: message_without_position(error),
        }
    }
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

fn line_of(error: &json5::Error) -> Option<usize> {
    error.position().map(|position| position.line + 1)
}

/// Returns the message of a parse error without ` at line L column C` at its end.
fn message_without_position(error: &json5::Error) -> String {
    let message = error.to_string();
    let end = message.find(" at line ").unwrap_or(message.len());
    message[..end].to_string()
}
