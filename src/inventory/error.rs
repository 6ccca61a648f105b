//! The errors of an inventory, with their location in the file.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use saphyr::ScanError;
use thiserror::Error;

/// Why an inventory can't be used.
#[derive(Debug, Error)]
#[error("{file}{location}: {problem}")]
pub struct InventoryError {
    /// The inventory's file.
    pub file: PathBuf,
    /// The location in the file.
    pub location: Location,
    /// The problem at this location.
    #[source]
    pub problem: InventoryProblem,
}

/// A problem of an inventory.
#[derive(Debug, Error)]
pub enum InventoryProblem {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(io::Error),
    /// The file's extension names no known format.
    #[error("not named .csv, .yaml or .yml")]
    UnknownExtension,
    /// The last line has no line break, so that a tool may still be writing the file.
    #[error("no line break at the end of the file, which may be half-written")]
    Incomplete,
    /// The file is not valid CSV.
    #[error("malformed: {0}")]
    MalformedCsv(#[source] ::csv::Error),
    /// The file is not valid YAML.
    #[error("malformed: {}", .0.info())]
    MalformedYaml(#[source] ScanError),
    /// A YAML node that should be a mapping is something else.
    #[error("not a mapping")]
    NotAMapping,
    /// A key of a YAML mapping is not a string.
    #[error("a name that is not a string; quote it")]
    KeyNotString,
    /// A required variable is missing.
    #[error("missing")]
    Missing,
    /// A variable's value is not a string.
    #[error("not a string; quote it")]
    NotString,
    /// A variable's value does not fit into an AMQP short string.
    #[error("longer than {max_bytes} bytes")]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// A variable's value is not a positive 16-bit number.
    #[error("not a number from 1 to 65535")]
    NotANumber,
    /// The prefetch is larger than the node's limit.
    #[error("more than {max}")]
    PrefetchTooLarge {
        /// The node's limit.
        max: u16,
    },
    /// The site has no class of this name.
    #[error("no class named {0}")]
    UnknownClass(String),
    /// The site has no tenant of this name.
    #[error("no tenant named {0}")]
    UnknownTenant(String),
    /// The environment variable of this name, which should hold the password, is not set.
    #[error("{0} is not set")]
    PasswordNotSet(String),
    /// A column, a host or a queue occurs twice.
    #[error("occurs twice")]
    Duplicate,
    /// The file describes no queue.
    #[error("names no queue")]
    Empty,
}

/// A location in an inventory's file, displayed as a suffix of the file's name: `:LINE: FIELD`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The line, counted from 1; `None` for the file as a whole.
    pub line: Option<usize>,
    /// The variable, column, group or host; `None` for the line as a whole.
    pub field: Option<String>,
}

impl Location {
    /// Creates the location of a field. Line 0 and an empty field stand for `None`.
    pub(super) fn new(line: usize, field: &str) -> Location {
        Location {
            line: Some(line).filter(|line| *line > 0),
            field: Some(field.to_string()).filter(|field| !field.is_empty()),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(field) = &self.field {
            write!(f, ": {field}")?;
        }
        Ok(())
    }
}

/// An error in the content of an inventory, without the file's name.
#[derive(Debug)]
pub(super) struct ContentError {
    location: Location,
    problem: InventoryProblem,
}

impl ContentError {
    /// Creates an error at this line and field, with the line counted from 1.
    pub(super) fn new(line: usize, field: &str, problem: InventoryProblem) -> ContentError {
        ContentError {
            location: Location::new(line, field),
            problem,
        }
    }

    /// Creates an error that concerns the file as a whole.
    pub(super) fn in_whole_file(problem: InventoryProblem) -> ContentError {
        ContentError {
            location: Location::default(),
            problem,
        }
    }

    /// Adds the file's name.
    pub(super) fn in_file(self, file: &Path) -> InventoryError {
        InventoryError {
            file: file.to_path_buf(),
            location: self.location,
            problem: self.problem,
        }
    }
}
