//! Why a router's configuration can't be used.

use std::path::PathBuf;

use fleet_runtime as fleet;
use json5_errors::{ConfigFileError, UnreadableFile};

/// Why a router's configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The router's file or the cells file has something that can't be used.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The fleet file has something that can't be used.
    #[error(transparent)]
    Fleet(#[from] fleet::ConfigError),
    /// The fleet file has no name for the member, and the router has no other.
    #[error("{}: name: is missing, and a router has no other", path.display())]
    MissingName {
        /// The fleet file.
        path: PathBuf,
    },
    /// A node of the cells file has no address.
    #[error("{}: nodes.{node}: has no address", path.display())]
    MissingAddress {
        /// The cells file.
        path: PathBuf,
        /// The node.
        node: String,
    },
}
