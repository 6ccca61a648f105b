//! The router's own configuration file: its fields, their ranges and defaults.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use json5_errors::{read_text, ConfigFileError};
use serde::Deserialize;

use super::{ConfigError, RequestClass};

/// Version of the file format.
const FORMAT_VERSION: u32 = 1;
const MAX_CLIENTS_RANGE: RangeInclusive<usize> = 8..=100_000;
const DEFAULT_MAX_CLIENTS: usize = 400;
const CONNECTIONS_PER_NODE_RANGE: RangeInclusive<usize> = 1..=64;
const DEFAULT_CONNECTIONS_PER_NODE: usize = 8;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// The fields of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigFile {
    version: u32,
    pub(super) listen: SocketAddr,
    pub(super) cells: PathBuf,
    pub(super) fleet: Option<PathBuf>,
    classes: BTreeMap<String, ClassFields>,
    /// Maximum number of client connections.
    #[serde(default = "default_max_clients")]
    pub(super) clients: usize,
    /// Maximum number of connections to one node for requests.
    #[serde(default = "default_connections_per_node")]
    pub(super) per_node: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFields {
    /// True if a request of the class must not run twice.
    once: bool,
    deadline_ms: u64,
}

fn default_max_clients() -> usize {
    DEFAULT_MAX_CLIENTS
}

fn default_connections_per_node() -> usize {
    DEFAULT_CONNECTIONS_PER_NODE
}

impl ConfigFile {
    /// Reads the file and checks the ranges of its fields.
    pub(super) fn read(path: &Path) -> Result<ConfigFile, ConfigError> {
        let text = read_text(path)?;
        let name = path.display().to_string();
        let file: ConfigFile =
            json5::from_str(&text).map_err(|error| ConfigFileError::from_json5(&name, &error))?;
        file.check().map_err(|invalid| invalid.in_file(name))?;
        Ok(file)
    }

    fn check(&self) -> Result<(), InvalidField> {
        if self.version != FORMAT_VERSION {
            let message = format!(
                "{} is not supported, expected {FORMAT_VERSION}",
                self.version
            );
            return Err(InvalidField::new("version", message));
        }
        check_range("clients", &self.clients, &MAX_CLIENTS_RANGE)?;
        check_range("per_node", &self.per_node, &CONNECTIONS_PER_NODE_RANGE)?;
        for (class, fields) in &self.classes {
            let field = format!("classes.{class}.deadline_ms");
            check_range(&field, &fields.deadline_ms, &DEADLINE_MS_RANGE)?;
        }
        Ok(())
    }

    /// Returns the classes by their methods.
    pub(super) fn into_classes(self) -> BTreeMap<String, RequestClass> {
        self.classes
            .into_iter()
            .map(|(name, fields)| (name, fields.to_class()))
            .collect()
    }
}

impl ClassFields {
    fn to_class(&self) -> RequestClass {
        RequestClass {
            is_idempotent: !self.once,
            deadline: Duration::from_millis(self.deadline_ms),
        }
    }
}

/// A field whose value can't be used.
struct InvalidField {
    field: String,
    message: String,
}

impl InvalidField {
    fn new(field: &str, message: String) -> InvalidField {
        let field = field.to_string();
        InvalidField { field, message }
    }

    fn in_file(self, file: String) -> ConfigFileError {
        ConfigFileError {
            file,
            line: None,
            field: self.field,
            message: self.message,
        }
    }
}

fn check_range<T: PartialOrd + Display>(
    field: &str,
    value: &T,
    range: &RangeInclusive<T>,
) -> Result<(), InvalidField> {
    if range.contains(value) {
        return Ok(());
    }
    let message = format!("is not from {} to {}", range.start(), range.end());
    Err(InvalidField::new(field, message))
}
