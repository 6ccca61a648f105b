//! The router's configuration: its own JSON5 file, and the cells file and fleet file that it names.

mod error;
mod file;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cells::Layout;
use fleet_runtime as fleet;
use json5_errors::read_text;

pub use error::ConfigError;
use file::ConfigFile;

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// True if requests of the class may run more than once without a further effect.
    pub is_idempotent: bool,
    /// Duration after its arrival at the machine within which a request must be answered.
    pub deadline: Duration,
}

/// The configuration of a router.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address on which the router accepts clients.
    pub listen_address: SocketAddr,
    /// Request classes by their JSON-RPC methods.
    pub classes: BTreeMap<String, RequestClass>,
    /// Maximum number of concurrent client connections.
    pub max_clients: usize,
    /// Maximum number of concurrent connections to one node for requests.
    pub max_connections_per_node: usize,
    /// Layout of the cells.
    pub layout: Layout,
    /// Path of the cells file, which is read again on a reload.
    pub layout_path: PathBuf,
    /// Fleet whose membership determines which nodes are available; without it, the router sends
    /// health checks to each node.
    pub fleet: Option<fleet::Config>,
    /// Path of the fleet file, which is read again on a reload.
    pub fleet_path: Option<PathBuf>,
}

impl Config {
    /// Reads a router's file and the files that it names, whose paths are relative to its folder.
    ///
    /// # Errors
    /// The first error in any of the files.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let file = ConfigFile::read(path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let layout_path = folder.join(&file.cells);
        let fleet_path = file.fleet.as_ref().map(|fleet| folder.join(fleet));
        let fleet = fleet_path.as_deref().map(Config::read_fleet).transpose()?;
        let layout = Config::read_layout(&layout_path)?;
        Ok(Config {
            listen_address: file.listen,
            max_clients: file.clients,
            max_connections_per_node: file.per_node,
            classes: file.into_classes(),
            layout,
            layout_path,
            fleet,
            fleet_path,
        })
    }

    /// Reads a fleet file, which must have a name for the router.
    ///
    /// # Errors
    /// The file can't be used, or has no name for the router.
    pub fn read_fleet(path: &Path) -> Result<fleet::Config, ConfigError> {
        let fleet = fleet::Config::read(path)?;
        if fleet.name.is_none() {
            let path = path.to_path_buf();
            return Err(ConfigError::MissingName { path });
        }
        Ok(fleet)
    }

    /// Reads a cells file, in which every node must have an address.
    ///
    /// # Errors
    /// The file can't be used, or a node has no address.
    pub fn read_layout(path: &Path) -> Result<Layout, ConfigError> {
        let text = read_text(path)?;
        let layout = Layout::parse(&path.display().to_string(), &text)?;
        let without_address = layout.nodes.iter().find(|(_, node)| node.address.is_none());
        if let Some((node, _)) = without_address {
            return Err(ConfigError::MissingAddress {
                path: path.to_path_buf(),
                node: node.to_string(),
            });
        }
        Ok(layout)
    }
}
