//! The configuration that the platform passes to a node when it starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{Dependency, SettingsError, Span};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use super::limits::MAX_MEMORY_MB;
use crate::wire::Site;

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// The environment variable that holds the address of the admin listener. It applies to this
/// process alone, whereas the file may be shared with the process that this one replaces.
const ADMIN_VARIABLE: &str = "PROXY_ADMIN";
/// Maximum number of file descriptors if the configuration sets no limit.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable is not set.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// Why it can't be read.
        source: std::io::Error,
    },
    /// The configuration does not have the format that the platform guarantees.
    #[error("configuration: {0}")]
    Malformed(String),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The configuration file.
#[derive(Deserialize)]
struct ConfigFile {
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
            sockets: DEFAULT_DESCRIPTORS,
            memory_mb: MAX_MEMORY_MB,
        }
    }
}

/// A node's configuration.
pub struct Config {
    /// Name of the node in the endpoint list.
    pub name: String,
    /// Address of the client listener.
    pub listen: SocketAddr,
    /// Address of the executor.
    pub executor: SocketAddr,
    /// Address of the endpoint list.
    pub endpoint_list: SocketAddr,
    /// Address of the database; present if the settings have a dependency.
    pub database: Option<SocketAddr>,
    /// Address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time from the shutdown notice until the process is killed.
    pub shutdown_timeout: Duration,
    /// Maximum number of file descriptors that the process may open.
    pub descriptors: usize,
    /// Maximum memory of the process, in megabytes.
    pub memory_mb: f64,
    /// Classes, tenants and settings of the site.
    pub site: Arc<Site>,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names. `PROXY_ADMIN`, if set, overrides the address of
    /// the admin listener.
    ///
    /// # Errors
    /// `PROXY_CONFIG` is not set, the file can't be read, or the configuration is invalid.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path =
            std::env::var(CONFIG_VARIABLE).map_err(|_| ConfigError::Missing(CONFIG_VARIABLE))?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path, source })?;
        let mut config = Config::parse(&text)?;
        if let Ok(address) = std::env::var(ADMIN_VARIABLE) {
            let address = address
                .parse()
                .map_err(|_| malformed(&format!("{ADMIN_VARIABLE} is not a socket address")))?;
            config.admin = Some(address);
        }
        Ok(config)
    }

    /// Parses the text of a configuration file.
    ///
    /// # Errors
    /// A field is missing or out of range, or the settings are invalid.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile =
            serde_json::from_str(text).map_err(|e| ConfigError::Malformed(e.to_string()))?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| malformed("seed is not a hex number"))?;
        let shutdown_timeout = Duration::try_from_secs_f64(file.stop_ms / 1e3)
            .map_err(|_| malformed("stop_ms is not a valid duration"))?;
        if !(file.limits.memory_mb.is_finite() && file.limits.memory_mb > 0.0) {
            return Err(malformed("limits.memory_mb is not a positive number"));
        }
        let site = parse_site(&file)?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            executor: file.executor,
            endpoint_list: file.members,
            database: file.db,
            admin: file.admin,
            seed,
            shutdown_timeout,
            descriptors: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            site: Arc::new(site),
        })
    }
}

fn parse_site(file: &ConfigFile) -> Result<Site, ConfigError> {
    let mut site = Site::from_json(&file.settings).map_err(ConfigError::Malformed)?;
    site.settings.check()?;
    // The platform gives a database address only to a node whose site has a dependency.
    if site.settings.dependency != Dependency::None && file.db.is_none() {
        return Err(malformed(
            "missing field `db`, though the settings have a dependency",
        ));
    }
    // Over the protocols of this program an answer must come from a run of its own request, unless
    // the request has an idempotency key. A read is not served from the run of another request,
    // whatever the settings allow the policy.
    site.settings.result_sharing_window = Span(0);
    Ok(site)
}

fn malformed(reason: &str) -> ConfigError {
    ConfigError::Malformed(reason.into())
}
