//! What the platform tells a node at its start.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::limits::MEMORY_MB;
use crate::wire::Site;
use crate::{Dependency, SettingsError, Span};

/// Why the program can't start.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable is missing.
    Missing(&'static str),
    /// A file can't be read.
    Unreadable(String, std::io::Error),
    /// The configuration is not what the platform promises.
    Malformed(String),
    /// The settings can't be used.
    Settings(SettingsError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Unreadable(file, e) => write!(f, "{file}: {e}"),
            ConfigError::Malformed(what) => write!(f, "configuration: {what}"),
            ConfigError::Settings(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    executor: SocketAddr,
    members: SocketAddr,
    db: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    seed: String,
    stop_ms: f64,
    #[serde(default)]
    limits: FileLimits,
    settings: Value,
}
#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: usize,
    memory_mb: f64,
}
impl Default for FileLimits {
    fn default() -> FileLimits {
        FileLimits {
            sockets: 1024,
            memory_mb: MEMORY_MB,
        }
    }
}

/// A node's configuration.
pub struct Config {
    /// Its name on the list.
    pub name: String,
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// The executor's address.
    pub executor: SocketAddr,
    /// The membership service's address.
    pub members: SocketAddr,
    /// The database's address, where the settings have something below.
    pub database: Option<SocketAddr>,
    /// Where the operators' door listens, if there is one.
    pub door: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Time from the notice to leave to the kill.
    pub stop: Duration,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory that it may take, in megabytes.
    pub memory_mb: f64,
    /// What the module is told.
    pub site: Site,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names.
    pub fn from_env() -> Result<Config, ConfigError> {
        const VARIABLE: &str = "PROXY_CONFIG";
        const DOOR: &str = "PROXY_ADMIN";
        let path = std::env::var(VARIABLE).map_err(|_| ConfigError::Missing(VARIABLE))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path, e))?;
        let mut config = Config::parse(&text)?;
        // The variable is this process's own, while a file may be shared with the one that it replaces.
        if let Ok(text) = std::env::var(DOOR) {
            let door = text
                .parse()
                .map_err(|_| ConfigError::Malformed(format!("{DOOR} is no address")))?;
            config.door = Some(door);
        }
        Ok(config)
    }

    /// Reads the text of that file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: File =
            serde_json::from_str(text).map_err(|e| ConfigError::Malformed(e.to_string()))?;
        let malformed = |what: &str| ConfigError::Malformed(what.into());
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| malformed("seed is not a hex number"))?;
        let stop = Duration::try_from_secs_f64(file.stop_ms / 1e3)
            .map_err(|_| malformed("stop_ms is not a length of time"))?;
        if !(file.limits.memory_mb.is_finite() && file.limits.memory_mb > 0.0) {
            return Err(malformed("limits.memory_mb is not a size"));
        }
        let mut site = Site::from_json(&file.settings).map_err(ConfigError::Malformed)?;
        site.settings.check().map_err(ConfigError::Settings)?;
        // What has nothing below it is told of no database.
        if site.settings.dependency != Dependency::None && file.db.is_none() {
            return Err(malformed(
                "missing field `db`, though the settings have calls below",
            ));
        }
        // On these wires an answer must be one that a run of its own request made, unless it is run by key: a read is not
        // served from another's run, whatever the settings allow the module.
        site.settings.result_sharing_window = Span(0);
        Ok(Config {
            name: file.name,
            listen: file.listen,
            executor: file.executor,
            members: file.members,
            database: file.db,
            door: file.admin,
            seed,
            stop,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            site,
        })
    }
}
