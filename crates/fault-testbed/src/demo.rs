//! `protocol-gateway demo`: a router, a few nodes with stand-ins, a trickle of requests, and a table that follows what happens.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::{self, IsTerminal, Write as _};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use fleet_cli::state_name;
use fleet_runtime::QueryReply;
use test_doubles::TestClient;

use crate::rig::{Plan, Rig};

/// What the demo shows.
#[derive(Args, Clone, Debug)]
pub struct Demo {
    /// Nodes, called n1, n2, ...
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=24))]
    nodes: u8,
    /// Kill -9 this node after 5 s, and start it again 15 s later.
    #[arg(long, value_name = "NODE")]
    kill: Option<String>,
    /// Cut these nodes off from all others after 5 s, and heal the cut 15 s later.
    #[arg(long, value_name = "NODES", value_delimiter = ',')]
    cut: Vec<String>,
    /// End after so many seconds; 0 for not before it is told to.
    #[arg(long, default_value_t = 0)]
    seconds: u64,
}

/// Why there is no demo.
#[derive(Debug)]
pub enum DemoError {
    /// No node has this name.
    NoSuchNode(String),
    /// The machine refused something.
    System(io::Error),
}
impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemoError::NoSuchNode(name) => {
                write!(f, "there is no node {name}; they are called n1, n2, ...")
            }
            DemoError::System(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for DemoError {}

const ROUTER: &str = "r1";
/// When faults begin, and when they end.
const FAULT: Duration = Duration::from_secs(5);
const MENDED: Duration = Duration::from_secs(20);
/// Between two requests.
const TRICKLE: Duration = Duration::from_millis(20);

/// What came of the requests.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    not: AtomicU64,
    ended: AtomicBool,
}

/// Runs until its time is over or `ended` says so.
pub fn run(demo: &Demo, ended: impl Fn() -> bool) -> Result<(), DemoError> {
    let nodes: Vec<String> = (1..=demo.nodes).map(|n| format!("n{n}")).collect();
    if let Some(name) = demo
        .kill
        .iter()
        .chain(&demo.cut)
        .find(|n| !nodes.contains(n))
    {
        return Err(DemoError::NoSuchNode(name.clone()));
    }
    let mut rig = Rig::new(1).map_err(DemoError::System)?;
    for (at, name) in nodes.iter().enumerate() {
        rig.plan(Plan {
            name: name.clone(),
            ..Plan::node(at)
        })
        .map_err(DemoError::System)?;
    }
    rig.plan(Plan {
        name: ROUTER.into(),
        ..Plan::node(0)
    })
    .map_err(DemoError::System)?;
    rig.seeds(&["n1", "n2"]);
    nodes.iter().for_each(|n| rig.start(n));
    rig.start_router(ROUTER, true);
    let all: Vec<String> = rig.names();
    rig.up(&all.iter().map(String::as_str).collect::<Vec<_>>());
    println!(
        "router at {}; `protocol-gateway fleet status` asks any of these:",
        rig.node(ROUTER).address
    );
    for name in &all {
        if let Some(at) = rig.node(name).logged_address("fleet") {
            println!(
                "  {name}: protocol-gateway fleet status {} --at {at}",
                rig.fleet_file_of(name).display()
            );
        }
    }
    let counts = Arc::new(Counts::default());
    let (shared, at) = (counts.clone(), rig.node(ROUTER).address);
    let trickle = thread::spawn(move || {
        let mut front = TestClient::connect(at);
        while !shared.ended.load(Relaxed) {
            let answer = front.request("statement-read", "serve:demo");
            let count = if answer["result"].is_object() {
                &shared.served
            } else {
                &shared.not
            };
            count.fetch_add(1, Relaxed);
            thread::sleep(TRICKLE);
        }
    });
    let began = Instant::now();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let (mut served, mut not) = (0, 0);
    let (mut broken, mut mended) = (false, false);
    let mut round = 0;
    while !ended() && !trickle.is_finished() {
        round += 1;
        let at = Duration::from_secs(round);
        while began.elapsed() < at && !ended() {
            thread::sleep(TRICKLE);
        }
        if at >= FAULT && !std::mem::replace(&mut broken, true) {
            fault(&mut rig, demo);
        }
        if at >= MENDED && broken && !std::mem::replace(&mut mended, true) {
            rig.heal();
            if let Some(name) = demo.kill.as_deref() {
                rig.start(name);
                rig.up(&[name]);
            }
        }
        let now = (counts.served.load(Relaxed), counts.not.load(Relaxed));
        let line = format!(
            "{:>3} s: {} served, {} not in the last second",
            round,
            now.0 - served,
            now.1 - not
        );
        (served, not) = now;
        show(&(line + &table(&rig, &nodes, &all, &mut runs)));
        if demo.seconds > 0 && round >= demo.seconds {
            break;
        }
    }
    counts.ended.store(true, Relaxed);
    let _ = trickle.join();
    Ok(())
}

fn fault(rig: &mut Rig, demo: &Demo) {
    if let Some(name) = &demo.kill {
        rig.kill(name);
    }
    if !demo.cut.is_empty() {
        let rest: Vec<String> = rig
            .names()
            .into_iter()
            .filter(|n| !demo.cut.contains(n))
            .collect();
        rig.partition(&[rest, demo.cut.clone()]);
    }
}

fn show(text: &str) {
    let mut out = io::stdout();
    // On a terminal the table stays in its place.
    let clear = if out.is_terminal() {
        "\x1b[H\x1b[2J"
    } else {
        ""
    };
    let _ = writeln!(out, "{clear}{text}");
}

fn table(
    rig: &Rig,
    nodes: &[String],
    all: &[String],
    runs: &mut BTreeMap<String, usize>,
) -> String {
    let mut text = String::from("\n");
    let _ = write!(
        text,
        "{:<8} {:>8}  {:<8} sees:",
        "member", "served/s", "says"
    );
    for name in all {
        let _ = write!(text, " {name:<9}");
    }
    for name in all {
        let told: Option<QueryReply> = rig.runs(name).then(|| rig.told(name)).flatten();
        let served = if nodes.contains(name) {
            let now = rig.executor(name).total_runs();
            let before = runs.insert(name.clone(), now).unwrap_or(0);
            (now - before).to_string()
        } else {
            "router".into()
        };
        let says = match &told {
            Some(told) => told.summary.partition_status.to_string(),
            None if rig.runs(name) => "silent".into(),
            None => "killed".into(),
        };
        let _ = write!(text, "\n{name:<8} {served:>8}  {says:<8}      ");
        for other in all {
            let seen = told
                .as_ref()
                .and_then(|t| t.members.iter().find(|r| *r.name == **other))
                .map(state_name);
            let _ = write!(text, " {:<9}", seen.unwrap_or("-"));
        }
    }
    text.push('\n');
    text
}
