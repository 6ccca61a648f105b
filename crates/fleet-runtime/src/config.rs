//! The fleet's file, in JSON5.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cells::FileError;
use membership::packet::MAX_NAME_LEN;
use membership::{Name, Settings};
use serde::Deserialize;
use shared_state::QuotaConfig;

/// What a member is told of its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The fleet's name; members of others are passed over.
    pub fleet: Name,
    /// The member's name, where its own configuration has none.
    pub name: Option<Name>,
    /// Where it stands, as operators name places.
    pub site: Name,
    /// Where it hears the others.
    pub listen: SocketAddr,
    /// Where the others are to send, if that is elsewhere.
    pub advertise: Option<SocketAddr>,
    /// Where clients are to connect, if not where the node listens.
    pub serves: Option<SocketAddr>,
    /// Members that are asked at the start, and again while they are not seen.
    pub seeds: Vec<SocketAddr>,
    /// Times and sizes.
    pub settings: Settings,
    /// Members of which one grants the budgets.
    pub keepers: Vec<Name>,
    /// The budgets.
    pub budgets: Vec<QuotaConfig>,
    /// Nodes tell each other what they have in flight by tenant.
    pub counts: bool,
    /// Nodes tell each other what they find of the ledger.
    pub judgements: bool,
}

/// Why a fleet's file can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It says something that can't be used.
    File(FileError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            ConfigError::File(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    fleet: String,
    name: Option<String>,
    site: String,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    serves: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    period_ms: Option<u64>,
    answer_ms: Option<u64>,
    forget_s: Option<u64>,
    members: Option<usize>,
    #[serde(default)]
    keepers: Vec<String>,
    #[serde(default)]
    budgets: BTreeMap<String, FileBudget>,
    #[serde(default)]
    counts: bool,
    #[serde(default)]
    judgements: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileBudget {
    total: u64,
    #[serde(default)]
    floors: BTreeMap<String, u64>,
}

/// The budget of ledger calls at once.
pub const LEDGER: &str = "ledger";
/// The budget of routers' further tries, so many a second.
pub const TRIES: &str = "tries";
/// Keepers at most: each change of granter asks all of them.
const KEEPERS: usize = 7;
/// Units of a budget at most.
const TOTAL: u64 = 1_000_000;

impl Config {
    /// Reads a fleet's file.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Unreadable(path.to_path_buf(), e))?;
        Config::parse(&path.display().to_string(), &text).map_err(ConfigError::File)
    }

    /// The same for a text, named so in errors.
    pub fn parse(name: &str, text: &str) -> Result<Config, FileError> {
        // The line of a field that is there once, as json5 tells lines of what it can't read only.
        let line = |field: &str| {
            let own = |l: &str| l.trim_start().trim_start_matches('"').starts_with(field);
            text.lines().position(own).map(|at| at + 1)
        };
        let bad = |field: &str, what: String| FileError {
            file: name.into(),
            line: line(field),
            field: field.into(),
            message: what,
        };
        let file: File = json5::from_str(text).map_err(|e| FileError {
            file: name.into(),
            line: e.position().map(|at| at.line + 1),
            field: String::new(),
            message: e.to_string(),
        })?;
        if file.version != 1 {
            return Err(bad(
                "version",
                format!("{} is not known here: 1 is", file.version),
            ));
        }
        let named = [
            ("fleet", Some(&file.fleet)),
            ("site", Some(&file.site)),
            ("name", file.name.as_ref()),
        ];
        for (field, value) in named {
            if value.is_some_and(|v| v.is_empty() || v.len() > MAX_NAME_LEN) {
                return Err(bad(field, format!("is not of 1 to {MAX_NAME_LEN} bytes")));
            }
        }
        let within = |field: &str, value: Option<u64>, from: u64, to: u64| match value {
            Some(v) if !(from..=to).contains(&v) => {
                Err(bad(field, format!("{v} is not from {from} to {to}")))
            }
            _ => Ok(()),
        };
        within("period_ms", file.period_ms, 50, 60_000)?;
        within("answer_ms", file.answer_ms, 5, 20_000)?;
        within("forget_s", file.forget_s, 60, 7 * 24 * 3600)?;
        within("members", file.members.map(|m| m as u64), 2, 100_000)?;
        let given = |field: &str, at: Option<SocketAddr>| match at {
            Some(at) if at.port() == 0 || at.ip().is_unspecified() => {
                Err(bad(field, format!("{at} is nowhere to send to")))
            }
            _ => Ok(()),
        };
        given("advertise", file.advertise)?;
        given("serves", file.serves)?;
        file.seeds
            .iter()
            .try_for_each(|at| given("seeds", Some(*at)))?;
        if file.listen.ip().is_unspecified() && file.advertise.is_none() {
            return Err(bad(
                "listen",
                "names no address, so advertise has to".into(),
            ));
        }
        let keepers: BTreeSet<&String> = file.keepers.iter().collect();
        if keepers.len() != file.keepers.len()
            || keepers
                .iter()
                .any(|k| k.is_empty() || k.len() > MAX_NAME_LEN)
        {
            return Err(bad("keepers", "names a member twice, or none".into()));
        }
        if file.keepers.len() > KEEPERS
            || !file.keepers.is_empty() && file.keepers.len().is_multiple_of(2)
        {
            return Err(bad("keepers", format!("are not 1, 3, 5 or {KEEPERS}")));
        }
        if !file.budgets.is_empty() && file.keepers.is_empty() {
            return Err(bad(
                "budgets",
                "need keepers, of whom one grants them".into(),
            ));
        }
        for (name, budget) in &file.budgets {
            let field = format!("budgets.{name}");
            if ![LEDGER, TRIES].contains(&name.as_str()) {
                return Err(bad(
                    &field,
                    format!("is not known here: {LEDGER} and {TRIES} are"),
                ));
            }
            let floors = budget
                .floors
                .values()
                .try_fold(0u64, |sum, f| sum.checked_add(*f));
            if budget.total > TOTAL || floors.is_none_or(|floors| floors > budget.total) {
                return Err(bad(
                    &field,
                    format!("has floors above its total, or more than {TOTAL}"),
                ));
            }
        }
        let mut settings = Settings::default();
        if let Some(ms) = file.period_ms {
            settings.probe_interval = Duration::from_millis(ms);
            settings.gossip_interval = settings.probe_interval / 5;
            settings.probe_timeout = settings.probe_interval * 6 / 25;
        }
        if let Some(ms) = file.answer_ms {
            settings.probe_timeout = Duration::from_millis(ms);
        }
        // Two direct tries and one through others have to fit.
        if settings.probe_timeout * 4 > settings.probe_interval {
            return Err(bad(
                "answer_ms",
                "is more than a quarter of the period".into(),
            ));
        }
        if let Some(s) = file.forget_s {
            settings.tombstone_retention = Duration::from_secs(s);
        }
        if let Some(members) = file.members {
            settings.max_members = members;
        }
        Ok(Config {
            fleet: file.fleet.into(),
            name: file.name.map(Into::into),
            site: file.site.into(),
            listen: file.listen,
            advertise: file.advertise,
            serves: file.serves,
            seeds: file.seeds,
            settings,
            keepers: file.keepers.into_iter().map(Into::into).collect(),
            budgets: file
                .budgets
                .into_iter()
                .map(|(name, b)| QuotaConfig {
                    name: name.into(),
                    total: b.total,
                    guaranteed: b
                        .floors
                        .into_iter()
                        .map(|(n, units)| (n.into(), units))
                        .collect(),
                })
                .collect(),
            counts: file.counts,
            judgements: file.judgements,
        })
    }
}
