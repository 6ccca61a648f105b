//! `protocol-gateway fleet`: what any one member of a fleet sees, what all see and where they differ, and whether a fleet's file
//! can be used.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use fleet_runtime::{ask, look, AskError, Config, ConfigError, Told};
use membership::{AdvertisedStatus, Liveness, MemberRecord};
use serde::Serialize;
use shared_state::{HolderSnapshot, SharedStateSnapshot};

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Tell whether a fleet's file can be used: nothing, or one line and a non-zero exit.
    Check(File),
    /// Show what a member sees.
    Status {
        /// Who is asked.
        #[command(flatten)]
        whom: Whom,
        /// Ask every member that the first one sees, and show where they differ.
        #[arg(long)]
        all: bool,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show what a member shares: its parts of budgets, what it knows of the others' counts, what it makes of the ledger.
    State {
        /// Who is asked.
        #[command(flatten)]
        whom: Whom,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show each change of what a member sees, until ended.
    Watch {
        /// Who is asked.
        #[command(flatten)]
        whom: Whom,
        /// Between two questions.
        #[arg(long, value_name = "MS", default_value_t = 200)]
        every_ms: u64,
    },
}

/// A fleet's file.
#[derive(Args, Debug)]
pub struct File {
    /// The fleet's file, in JSON5.
    #[arg(value_name = "FILE", default_value = "deploy/fleet.json5")]
    path: PathBuf,
}

/// Who is asked.
#[derive(Args, Debug)]
pub struct Whom {
    /// The fleet's file, in JSON5: its name is taken from there, and its member asked.
    #[command(flatten)]
    file: File,
    /// Another member's address instead.
    #[arg(long, value_name = "ADDRESS")]
    at: Option<SocketAddr>,
    /// How long an answer may take.
    #[arg(long, value_name = "MS", default_value_t = 1000)]
    wait_ms: u64,
}

/// Why a command has no answer.
#[derive(Debug)]
pub enum FleetError {
    /// The file can't be used.
    Config(ConfigError),
    /// The member tells nothing.
    Ask(AskError),
}
impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::Config(e) => write!(f, "{e}"),
            FleetError::Ask(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for FleetError {}

/// A member as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shown {
    /// What it is: what it says of itself where it is there, else `suspected` or `gone`.
    pub state: &'static str,
    /// Where it stands.
    pub site: String,
    /// Higher with each start.
    pub life: u64,
    /// Raised with each word of its own.
    pub incarnation: u32,
    /// Where its datagrams go.
    pub at: SocketAddr,
    /// Where clients connect.
    pub serves: Option<SocketAddr>,
}

/// What one member sees, as it is shown.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Who sees it.
    pub seen_by: String,
    /// `whole`, `part` or `alone`.
    pub conclusion: String,
    /// Milliseconds for which that has held.
    pub for_ms: u64,
    /// Equal where two see the same.
    pub digest: String,
    /// Members that are there.
    pub present: u32,
    /// Members gone without a word.
    pub lost: u32,
    /// Points of bad health of its own, from 0.
    pub health: u32,
    /// Datagrams dropped since its start.
    pub dropped: u64,
    /// The members.
    pub members: BTreeMap<String, Shown>,
}

/// What all see.
#[derive(Debug, Serialize)]
pub struct All {
    /// By member, what it sees; none for one that does not answer.
    pub views: BTreeMap<String, Option<Status>>,
    /// Whether all that answered hold the same.
    pub same: bool,
    /// Of members that are held differently: by state, who holds it so.
    pub differ: BTreeMap<String, BTreeMap<String, Vec<String>>>,
}

/// The word for how a member stands.
pub fn state(record: &MemberRecord) -> &'static str {
    match (record.state.liveness, record.state.status) {
        (_, AdvertisedStatus::Left) => "left",
        (Liveness::Dead, _) => "gone",
        (Liveness::Suspect, _) => "suspected",
        (Liveness::Alive, AdvertisedStatus::Joining) => "joining",
        (Liveness::Alive, AdvertisedStatus::Up) => "up",
        (Liveness::Alive, AdvertisedStatus::Quiesced) => "quiesced",
        (Liveness::Alive, AdvertisedStatus::Leaving) => "leaving",
    }
}

/// What a member told, as it is shown.
pub fn shown(told: &Told) -> Status {
    let member = |r: &MemberRecord| Shown {
        state: state(r),
        site: r.site.to_string(),
        life: r.state.incarnation,
        incarnation: r.state.version,
        at: r.address,
        serves: r.client_address,
    };
    Status {
        seen_by: told.me.name.to_string(),
        conclusion: told.summary.partition_status.to_string(),
        for_ms: told.summary.status_age_ms,
        digest: format!("{:016x}", told.summary.digest),
        present: told.summary.present,
        lost: told.summary.lost,
        health: told.summary.local_health,
        dropped: told.summary.dropped,
        members: told
            .members
            .iter()
            .map(|r| (r.name.to_string(), member(r)))
            .collect(),
    }
}

/// Asks every member that the one at this address sees.
pub fn ask_all(first: SocketAddr, fleet: &str, wait: Duration) -> Result<All, AskError> {
    let told = ask(first, fleet, wait)?;
    let here: Vec<MemberRecord> = told
        .members
        .iter()
        .filter(|r| r.state.is_present())
        .cloned()
        .collect();
    let mut views: BTreeMap<String, Option<Status>> = std::thread::scope(|scope| {
        let asked: Vec<_> = here
            .iter()
            .map(|r| {
                (
                    r.name.to_string(),
                    scope.spawn(move || ask(r.address, fleet, wait).ok().map(|t| shown(&t))),
                )
            })
            .collect();
        asked
            .into_iter()
            .map(|(name, answer)| (name, answer.join().unwrap_or(None)))
            .collect()
    });
    views
        .entry(told.me.name.to_string())
        .or_insert_with(|| Some(shown(&told)));
    Ok(compare(views))
}

fn compare(views: BTreeMap<String, Option<Status>>) -> All {
    let mut held: BTreeMap<String, BTreeMap<String, Vec<String>>> = BTreeMap::new();
    let answered = || views.values().flatten();
    let names: BTreeSet<&String> = answered().flat_map(|s| s.members.keys()).collect();
    for name in names {
        for status in answered() {
            // One that was forgotten here and not yet there is gone in both.
            let state = status
                .members
                .get(name)
                .map_or("gone".into(), |m| match m.state {
                    "left" => "gone".to_string(),
                    "gone" => "gone".to_string(),
                    other => format!("{other}, life {}, incarnation {}", m.life, m.incarnation),
                });
            held.entry(name.clone())
                .or_default()
                .entry(state)
                .or_default()
                .push(status.seen_by.clone());
        }
    }
    held.retain(|_, states| states.len() > 1);
    let same = answered().map(|s| &s.digest).collect::<BTreeSet<_>>().len() <= 1;
    All {
        same,
        differ: held,
        views,
    }
}

fn table(status: &Status) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{} sees {} present, {} lost; it concludes: {} for {:.1} s; digest {}, health {}, dropped {}",
        status.seen_by,
        status.present,
        status.lost,
        status.conclusion,
        status.for_ms as f64 / 1e3,
        status.digest,
        status.health,
        status.dropped
    );
    let _ = writeln!(
        text,
        "{:<16} {:<10} {:<18} {:<22} serves",
        "member", "state", "site", "at"
    );
    for (name, m) in &status.members {
        let serves = m.serves.map_or("nothing".into(), |at| at.to_string());
        let _ = writeln!(
            text,
            "{name:<16} {:<10} {:<18} {:<22} {serves}",
            m.state,
            m.site,
            m.at.to_string()
        );
    }
    text
}

fn table_of_all(all: &All) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<16} {:<8} {:>7} {:>5}  digest",
        "seen by", "says", "present", "lost"
    );
    for (name, status) in &all.views {
        let _ = match status {
            Some(s) => {
                writeln!(
                    text,
                    "{name:<16} {:<8} {:>7} {:>5}  {}",
                    s.conclusion, s.present, s.lost, s.digest
                )
            }
            None => writeln!(text, "{name:<16} no answer"),
        };
    }
    if all.same {
        let _ = writeln!(text, "all that answered see the same");
    }
    for (name, states) in &all.differ {
        for (state, by) in states {
            let _ = writeln!(text, "{name} is {state}: {}", by.join(" "));
        }
    }
    text
}

fn table_of_state(me: &MemberRecord, look: &SharedStateSnapshot) -> String {
    let mut text = String::new();
    if !look.budgets.is_empty() {
        let granter = look.leader.as_deref().unwrap_or("nobody");
        let _ = writeln!(text, "{} knows as granter: {granter}", me.name);
    }
    for b in &look.budgets {
        let own = if b.guaranteed.is_available {
            "may be spent"
        } else {
            "not yet, calls of an earlier process may be in hand"
        };
        let _ = writeln!(text, "{}: total {} by this member's file", b.name, b.total);
        let _ = writeln!(
            text,
            "  its own {} ({own}); leased {} for {} ms more",
            b.guaranteed.units, b.leased.units, b.leased.remaining_ms
        );
        let _ = writeln!(text, "  uses {}, wants {}", b.usage.in_use, b.usage.demand);
        if !b.holders.is_empty() {
            let _ = writeln!(text, "  it grants; counted for all: {}", b.reserved);
        }
        for HolderSnapshot {
            name,
            reserved,
            demand,
        } in &b.holders
        {
            let _ = writeln!(
                text,
                "    {name:<16} counted {reserved:>6}, wants {demand:>6}"
            );
        }
    }
    if let Some(g) = &look.aggregate {
        let _ = match &g.aggregator {
            Some(by) => writeln!(
                text,
                "{} knows what {} of {} nodes count, by {by}, none older than {} ms; no tenant has more than {} in flight at the others",
                me.name, g.coverage.covered, g.coverage.present, g.age_ms, g.max_in_flight
            ),
            None => writeln!(text, "{} goes by its own counts: nothing fresh is known of the others", me.name),
        };
        let names: Vec<&str> = g.aggregators.iter().map(|n| &**n).collect();
        let _ = writeln!(text, "  reports to: {}", names.join(" "));
        let (all, here, sites) = (g.others.elsewhere, g.others.here, g.others.sites);
        let _ = writeln!(
            text,
            "ledger: {} for {:.1} s; {} own calls of late, {} failed",
            g.ledger.health.name(),
            g.ledger.for_ms as f64 / 1e3,
            g.calls.total,
            g.calls.failed
        );
        let _ = writeln!(
            text,
            "  others find: at this site {} sound, {} slow, {} failing; elsewhere {}, {}, {}; other sites {}, {}, {}",
            here.sound, here.slow, here.failing, all.sound, all.slow, all.failing, sites.sound, sites.slow, sites.failing
        );
    }
    text
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value)
        .map(|text| text + "\n")
        .unwrap_or_default()
}

/// Runs a command; what it tells.
pub fn run(command: &Fleet) -> Result<String, FleetError> {
    let read = |file: &File| Config::read(&file.path).map_err(FleetError::Config);
    let place = |whom: &Whom| -> Result<(SocketAddr, Config), FleetError> {
        let config = read(&whom.file)?;
        Ok((whom.at.unwrap_or(config.listen), config))
    };
    match command {
        Fleet::Check(file) => read(file).map(|_| String::new()),
        Fleet::Status {
            whom,
            all,
            json: as_json,
        } => {
            let (at, config) = place(whom)?;
            let wait = Duration::from_millis(whom.wait_ms);
            if *all {
                let all = ask_all(at, &config.fleet, wait).map_err(FleetError::Ask)?;
                return Ok(if *as_json {
                    json(&all)
                } else {
                    table_of_all(&all)
                });
            }
            let status = shown(&ask(at, &config.fleet, wait).map_err(FleetError::Ask)?);
            Ok(if *as_json {
                json(&status)
            } else {
                table(&status)
            })
        }
        Fleet::State {
            whom,
            json: as_json,
        } => {
            let (at, config) = place(whom)?;
            let told = look(at, &config.fleet, Duration::from_millis(whom.wait_ms))
                .map_err(FleetError::Ask)?;
            let (me, look) = told;
            Ok(if *as_json {
                json(&look)
            } else {
                table_of_state(&me, &look)
            })
        }
        Fleet::Watch { whom, every_ms } => {
            let (at, config) = place(whom)?;
            let mut before: BTreeMap<String, Shown> = BTreeMap::new();
            let mut concluded = String::new();
            let mut out = std::io::stdout();
            loop {
                // A member that does not answer now may answer later: that is what is watched.
                let Ok(told) = ask(at, &config.fleet, Duration::from_millis(whom.wait_ms)) else {
                    continue;
                };
                let status = shown(&told);
                let mut lines = Vec::new();
                if status.conclusion != concluded {
                    lines.push(format!(
                        "{} concludes: {}, {} present",
                        status.seen_by, status.conclusion, status.present
                    ));
                    concluded = status.conclusion;
                }
                for (name, m) in &status.members {
                    if before
                        .get(name)
                        .is_none_or(|b| (b.state, b.life) != (m.state, m.life))
                    {
                        lines.push(format!("{name} is {}", m.state));
                    }
                }
                before = status.members;
                for line in lines {
                    if writeln!(out, "{line}").is_err() {
                        return Ok(String::new());
                    }
                }
                std::thread::sleep(Duration::from_millis(*every_ms));
            }
        }
    }
}
