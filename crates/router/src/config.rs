//! The router's file, in JSON5: where it listens, the classes, and the file of cells.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cells::{FileError, Layout};
use fleet_runtime as fleet;
use serde::Deserialize;

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// It has an effect that must not come twice.
    pub once: bool,
    /// How long after it came to the machine an answer is of use.
    pub deadline: Duration,
}

/// What a router is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The classes, by their methods.
    pub classes: BTreeMap<String, Class>,
    /// Connections of clients at once.
    pub clients: usize,
    /// Connections to one node at once.
    pub per_node: usize,
    /// The cells.
    pub layout: Layout,
    /// The file of cells, for when it is read again.
    pub cells: PathBuf,
    /// The fleet whose view tells which nodes are there; without it they are asked one by one.
    pub fleet: Option<fleet::Config>,
    /// The fleet's file, for when it is read again.
    pub fleet_file: Option<PathBuf>,
}

/// Why a router's file can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It, or the file of cells, says something that can't be used.
    File(FileError),
    /// The fleet's file says something that can't be used.
    Fleet(fleet::ConfigError),
    /// The fleet's file names no member, and the router has no name elsewhere.
    NoName(PathBuf),
    /// A node of the file of cells has no address.
    NoAddress(PathBuf, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            ConfigError::File(e) => write!(f, "{e}"),
            ConfigError::Fleet(e) => write!(f, "{e}"),
            ConfigError::NoName(path) => {
                write!(
                    f,
                    "{}: name: is missing, and a router has no other",
                    path.display()
                )
            }
            ConfigError::NoAddress(path, node) => {
                write!(f, "{}: nodes.{node}: has no address", path.display())
            }
        }
    }
}
impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    listen: SocketAddr,
    cells: PathBuf,
    fleet: Option<PathBuf>,
    classes: BTreeMap<String, FileClass>,
    #[serde(default = "clients")]
    clients: usize,
    #[serde(default = "per_node")]
    per_node: usize,
}
fn clients() -> usize {
    400
}
fn per_node() -> usize {
    8
}
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileClass {
    once: bool,
    deadline_ms: u64,
}

impl Config {
    /// Reads a router's file, and the file of cells that it names beside itself.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|e| ConfigError::Unreadable(path.to_path_buf(), e))
        };
        let name = path.display().to_string();
        let bad = |line, field: &str, what: String| {
            ConfigError::File(FileError {
                file: name.clone(),
                line,
                field: field.into(),
                message: what,
            })
        };
        let own = text(path)?;
        let file: File = json5::from_str(&own)
            .map_err(|e| bad(e.position().map(|at| at.line + 1), "", e.to_string()))?;
        if file.version != 1 {
            return Err(bad(
                None,
                "version",
                format!("{} is not known here: 1 is", file.version),
            ));
        }
        if !(8..=100_000).contains(&file.clients) {
            return Err(bad(None, "clients", "is not from 8 to 100000".into()));
        }
        if !(1..=64).contains(&file.per_node) {
            return Err(bad(None, "per_node", "is not from 1 to 64".into()));
        }
        let mut classes = BTreeMap::new();
        for (class, spec) in file.classes {
            if !(1..=3_600_000).contains(&spec.deadline_ms) {
                return Err(bad(
                    None,
                    &format!("classes.{class}.deadline_ms"),
                    "is not from 1 to 3600000".into(),
                ));
            }
            classes.insert(
                class,
                Class {
                    once: spec.once,
                    deadline: Duration::from_millis(spec.deadline_ms),
                },
            );
        }
        let beside = |file: &PathBuf| path.parent().unwrap_or(Path::new("")).join(file);
        let cells = beside(&file.cells);
        let fleet_file = file.fleet.as_ref().map(beside);
        let fleet = fleet_file.as_deref().map(Config::fleet).transpose()?;
        let layout = Config::layout(&cells)?;
        Ok(Config {
            listen: file.listen,
            classes,
            clients: file.clients,
            per_node: file.per_node,
            layout,
            cells,
            fleet,
            fleet_file,
        })
    }

    /// Reads a fleet's file that names the router.
    pub fn fleet(file: &Path) -> Result<fleet::Config, ConfigError> {
        let fleet = fleet::Config::read(file).map_err(ConfigError::Fleet)?;
        if fleet.name.is_none() {
            return Err(ConfigError::NoName(file.to_path_buf()));
        }
        Ok(fleet)
    }

    /// Reads a file of cells whose nodes can all be reached.
    pub fn layout(cells: &Path) -> Result<Layout, ConfigError> {
        let text = std::fs::read_to_string(cells)
            .map_err(|e| ConfigError::Unreadable(cells.to_path_buf(), e))?;
        let layout =
            Layout::parse(&cells.display().to_string(), &text).map_err(ConfigError::File)?;
        match layout.nodes.iter().find(|(_, node)| node.address.is_none()) {
            Some((node, _)) => Err(ConfigError::NoAddress(
                cells.to_path_buf(),
                node.to_string(),
            )),
            None => Ok(layout),
        }
    }
}
