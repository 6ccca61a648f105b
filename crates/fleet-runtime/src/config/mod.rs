//! The fleet file, in JSON5: the fleet that a process is a member of, its addresses, and the state
//! that the fleet shares.

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

/// The name of the budget that limits concurrent ledger calls.
pub const LEDGER_BUDGET: &str = "ledger";
/// The name of the budget that limits the routers' retries per second.
pub const RETRY_BUDGET: &str = "tries";

/// The settings of one member of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name. Datagrams of other fleets are dropped.
    pub fleet: Name,
    /// The member's name, for a process whose own configuration does not set one.
    pub name: Option<Name>,
    /// The name of the member's site.
    pub site: Name,
    /// The UDP address that the member listens on.
    pub listen: SocketAddr,
    /// The UDP address to which other members send, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The address to which clients connect, if it differs from the address that the node listens
    /// on.
    pub client_address: Option<SocketAddr>,
    /// Addresses that are contacted at the start, and again while their members are not known.
    pub seeds: Vec<SocketAddr>,
    /// The timing and limits of the membership protocol.
    pub settings: Settings,
    /// The members that elect the leader, which grants the budgets.
    pub voters: Vec<Name>,
    /// The budgets that the fleet divides among its members.
    pub budgets: Vec<QuotaConfig>,
    /// True if nodes share the number of their requests in flight by tenant.
    pub shares_counts: bool,
    /// True if nodes share their observations of the ledger's health.
    pub shares_ledger_health: bool,
}

/// The reason why a fleet file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The file's content is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigFileError),
}

impl Config {
    /// Reads a fleet file.
    ///
    /// # Errors
    /// The file can't be read, or is invalid.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = read_text(path)?;
        Ok(Config::parse(&path.display().to_string(), &text)?)
    }

    /// Parses the text of a fleet file. `file_name` is the file's name in errors.
    ///
    /// # Errors
    /// The first invalid field, with its line if that is known.
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

    /// Returns the UDP address to which other members send.
    pub(crate) fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns true if `other` has the same fleet, site, addresses and sharing, which change only
    /// with a restart.
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

/// Returns the settings of the membership protocol: the defaults, overridden by the fields of the
/// file.
fn membership_settings(file: &FleetFile) -> Settings {
    let mut settings = Settings::default();
    if let Some(ms) = file.period_ms {
        settings.probe_interval = Duration::from_millis(ms);
        // The same ratios to the probe interval as in the defaults.
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
