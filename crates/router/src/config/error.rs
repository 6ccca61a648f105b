//! Errors in a router's configuration.

use std::path::PathBuf;

use fleet_runtime as fleet;
use json5_errors::{ConfigFileError, UnreadableFile};

/// The error in a router's configuration that prevents its use.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The router's file or the cells file is invalid.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The fleet file is invalid.
    #[error(transparent)]
    Fleet(#[from] fleet::ConfigError),
    /// The fleet file has no name for the member. A router has no other source for its name.
    #[error("{}: name: is missing; the fleet file of a router must have one", path.display())]
    MissingName {
        /// Path of the fleet file.
        path: PathBuf,
    },
    /// A node of the cells file has no address.
    #[error("{}: nodes.{node}: has no address", path.display())]
    MissingAddress {
        /// Path of the cells file.
        path: PathBuf,
        /// Name of the node.
        node: String,
    },
}
