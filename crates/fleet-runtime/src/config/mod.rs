//! The fleet file, in JSON5: which fleet a process is a member of, its addresses, and what the fleet shares.

mod checks;
mod file;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use json5_errors::{read_text, ConfigFileError, UnreadableFile};
use membership::{Name, Settings};
use shared_state::QuotaConfig;

use checks::Checker;
use file::{BudgetSection, FleetFile};

/// The name of the budget of concurrent ledger calls.
pub const LEDGER_BUDGET: &str = "ledger";
/// The name of the budget of the routers' retries per second.
pub const RETRY_BUDGET: &str = "tries";

/// The settings of one member of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name; datagrams of other fleets are dropped.
    pub fleet: Name,
    /// The member's name, for a process whose own configuration has none.
    pub name: Option<Name>,
    /// The site, as operators name their locations.
    pub site: Name,
    /// The UDP address that the member listens on.
    pub listen: SocketAddr,
    /// The UDP address that others send to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The address that clients connect to, if it differs from where the node listens.
    pub client_address: Option<SocketAddr>,
    /// Members that are contacted at the start, and again while they are not known.
    pub seeds: Vec<SocketAddr>,
    /// Timing and sizes of the membership protocol.
    pub settings: Settings,
    /// The members that elect the leader which grants the budgets.
    pub voters: Vec<Name>,
    /// The budgets that the fleet divides among its members.
    pub budgets: Vec<QuotaConfig>,
    /// Whether nodes share their requests in flight by tenant.
    pub shares_counts: bool,
    /// Whether nodes share what they observe of the ledger's health.
    pub shares_ledger_health: bool,
}

/// Why a fleet file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The file has an error.
    #[error(transparent)]
    Invalid(#[from] ConfigFileError),
}

impl Config {
    /// Reads a fleet file.
    ///
    /// # Errors
    /// The file can't be read, or has an error.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = read_text(path)?;
        Ok(Config::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of a fleet file; errors call the file `file_name`.
    ///
    /// # Errors
    /// The first field that can't be used, with its line where that is known.
    pub fn parse(file_name: &str, text: &str) -> Result<Config, ConfigFileError> {
        let file: FleetFile = json5::from_str(text)
            .map_err(|error| ConfigFileError::from_json5(file_name, &error))?;
        let checker = Checker::new(file_name, text);
        checker.check(&file)?;
        let settings = membership_settings(&file);
        checker.check_timing(&settings)?;
        Ok(Config::from_file(file, settings))
    }

    fn from_file(file: FleetFile, settings: Settings) -> Config {
        Config {
            fleet: file.fleet.into(),
            name: file.name.map(Into::into),
            site: file.site.into(),
            listen: file.listen,
            advertise: file.advertise,
            client_address: file.serves,
            seeds: file.seeds,
            settings,
            voters: file.voters.into_iter().map(Into::into).collect(),
            budgets: file
                .budgets
                .into_iter()
                .map(|(name, section)| quota_config(name, section))
                .collect(),
            shares_counts: file.counts,
            shares_ledger_health: file.judgements,
        }
    }

    /// The UDP address that other members send to.
    pub(crate) fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Whether `other` differs only in settings that take effect without a restart.
    pub(crate) fn has_same_fixed_settings(&self, other: &Config) -> bool {
        self.fleet == other.fleet
            && self.site == other.site
            && self.listen == other.listen
            && self.advertise == other.advertise
            && self.client_address == other.client_address
            && self.shares_counts == other.shares_counts
            && self.shares_ledger_health == other.shares_ledger_health
    }
}

fn quota_config(name: String, section: BudgetSection) -> QuotaConfig {
    QuotaConfig {
        name: name.into(),
        total: section.total,
        guaranteed: section
            .floors
            .into_iter()
            .map(|(member, units)| (member.into(), units))
            .collect(),
    }
}

/// The settings of the membership protocol: the defaults, and what the file sets.
fn membership_settings(file: &FleetFile) -> Settings {
    let mut settings = Settings::default();
    if let Some(ms) = file.period_ms {
        settings.probe_interval = Duration::from_millis(ms);
        // The proportions of the defaults.
        settings.gossip_interval = settings.probe_interval / 5;
        settings.probe_timeout = settings.probe_interval * 6 / 25;
    }
    if let Some(ms) = file.answer_ms {
        settings.probe_timeout = Duration::from_millis(ms);
    }
    if let Some(seconds) = file.forget_s {
        settings.tombstone_retention = Duration::from_secs(seconds);
    }
    if let Some(members) = file.members {
        settings.max_members = members;
    }
    settings
}
