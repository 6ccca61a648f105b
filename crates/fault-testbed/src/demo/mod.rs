//! `protocol-gateway demo`: runs a router, a few nodes with test doubles and a steady load of
//! requests, and shows their state in a table.

mod load;
mod table;

use std::cell::Cell;
use std::io::{self, IsTerminal, Write};
use std::thread;
use std::time::{Duration, Instant};

use clap::Args;
use test_doubles::TestDoubleError;

use crate::error::TestbedError;
use crate::testbed::{ProcessPlan, Testbed};
use load::{Load, RequestCounts};
use table::MemberTable;

/// The router's name.
const ROUTER_NAME: &str = "r1";
/// The seeds of the fleet.
const SEEDS: [&str; 2] = ["n1", "n2"];
/// The seed that faults are drawn from. Without effect, as the demo's faults are not random.
const FAULT_SEED: u64 = 1;
/// Time after the start at which faults begin.
const FAULTS_BEGIN_AFTER: Duration = Duration::from_secs(5);
/// Time after the start at which faults end.
const FAULTS_END_AFTER: Duration = Duration::from_secs(20);
/// Interval between two checks whether the demo has been stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between the router's exit and the signal that stops the demo. A signal to the
/// process group ends the router as well.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// The options of the demo.
#[derive(Args, Clone, Debug)]
pub struct DemoOptions {
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

/// The reason why the demo can't be run, or failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No node has this name.
    #[error("there is no node {0}; they are called n1, n2, ...")]
    NoSuchNode(String),
    /// The testbed failed.
    #[error("{0}")]
    Testbed(#[from] TestbedError),
    /// A request could not be sent, or its answer could not be read.
    #[error("a request failed: {0}")]
    Load(#[from] TestDoubleError),
    /// The table can't be written.
    #[error("{0}")]
    Output(#[from] io::Error),
}

/// Runs the demo until its duration has elapsed or `is_stopped` has returned true once. Prints a
/// last table before it returns.
///
/// # Errors
/// [`DemoError`] if a node is unknown, or the testbed, a request or the output fails.
pub fn run(options: &DemoOptions, is_stopped: impl Fn() -> bool) -> Result<(), DemoError> {
    run_with_output(options, is_stopped, &mut io::stdout())
}

/// Runs the demo as [`run`] does, and writes what it shows to `out`.
///
/// # Errors
/// Those of [`run`].
pub fn run_with_output(
    options: &DemoOptions,
    is_stopped: impl Fn() -> bool,
    out: &mut impl Write,
) -> Result<(), DemoError> {
    let nodes: Vec<String> = (1..=options.nodes).map(|n| format!("n{n}")).collect();
    let mut named_nodes = options.kill.iter().chain(&options.cut);
    if let Some(name) = named_nodes.find(|name| !nodes.contains(name)) {
        return Err(DemoError::NoSuchNode(name.clone()));
    }
    let mut testbed = start_processes(&nodes)?;
    print_addresses(&testbed, out)?;
    let mut load = Load::start(testbed.try_node(ROUTER_NAME)?.address);
    let stop = StopCondition::new(is_stopped);
    run_rounds(options, nodes, &mut testbed, &load, &stop, out)?;
    let result = load.finish();
    // The signal that stopped the demo may have stopped the router as well, which makes the load
    // fail.
    if stop.is_met() {
        return Ok(());
    }
    Ok(result?)
}

/// Prints a table each second until the demo is stopped, its duration has elapsed, or its load has
/// ended.
fn run_rounds(
    options: &DemoOptions,
    nodes: Vec<String>,
    testbed: &mut Testbed,
    load: &Load,
    stop: &StopCondition<impl Fn() -> bool>,
    out: &mut impl Write,
) -> Result<(), DemoError> {
    let mut faults = FaultSchedule::default();
    let mut table = MemberTable::new(nodes);
    let mut previous = RequestCounts::default();
    let started_at = Instant::now();
    let mut second = 0;
    let mut is_last = false;
    while !is_last {
        second += 1;
        let elapsed = Duration::from_secs(second);
        stop.wait_until(started_at + elapsed);
        // Decided before the table: a stop during or after a table causes another, last one.
        let is_stopped = stop.is_met();
        let is_over = options.seconds > 0 && second >= options.seconds;
        is_last = is_stopped || is_over || load.has_ended();
        if !is_stopped {
            faults.apply_due(testbed, options, elapsed)?;
        }
        let counts = load.counts();
        let served = counts.served - previous.served;
        let failed = counts.failed - previous.failed;
        previous = counts;
        let line = format!("{second:>3} s: {served} served, {failed} not in the last second");
        print_table(out, &(line + &table.format(testbed)?))?;
    }
    if load.has_ended() {
        stop.wait_until(Instant::now() + STOP_GRACE);
    }
    Ok(())
}

/// Starts the nodes and the router, and waits until they are up.
fn start_processes(nodes: &[String]) -> Result<Testbed, TestbedError> {
    let mut testbed = Testbed::new(FAULT_SEED)?;
    for (number, name) in nodes.iter().enumerate() {
        testbed.add_process(ProcessPlan {
            name: name.clone(),
            ..ProcessPlan::node(number)
        })?;
    }
    testbed.add_process(ProcessPlan {
        name: ROUTER_NAME.into(),
        ..ProcessPlan::node(0)
    })?;
    testbed.set_seeds(&SEEDS);
    for name in nodes {
        testbed.try_start(name)?;
    }
    testbed.try_start_router(ROUTER_NAME, true)?;
    let names = testbed.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    testbed.try_wait_until_up(&names)?;
    Ok(testbed)
}

/// Prints the router's address, and the command that shows the fleet's status for each process.
fn print_addresses(testbed: &Testbed, out: &mut impl Write) -> Result<(), DemoError> {
    let router = testbed.try_node(ROUTER_NAME)?.address;
    writeln!(
        out,
        "router at {router}; `protocol-gateway fleet status` asks any of these:"
    )?;
    for name in testbed.names() {
        let Some(address) = testbed.try_node(&name)?.logged_address("fleet") else {
            continue;
        };
        let file = testbed.try_fleet_file_path(&name)?;
        writeln!(
            out,
            "  {name}: protocol-gateway fleet status {} --at {address}",
            file.display()
        )?;
    }
    Ok(())
}

fn print_table(out: &mut impl Write, text: &str) -> io::Result<()> {
    // On a terminal, each table replaces the previous one.
    let clear = if io::stdout().is_terminal() {
        "\x1b[H\x1b[2J"
    } else {
        ""
    };
    writeln!(out, "{clear}{text}")
}

/// Remembers that the demo has been stopped, as `is_stopped` reports a signal only once.
struct StopCondition<F> {
    is_stopped: F,
    was_stopped: Cell<bool>,
}

impl<F: Fn() -> bool> StopCondition<F> {
    fn new(is_stopped: F) -> StopCondition<F> {
        StopCondition {
            is_stopped,
            was_stopped: Cell::new(false),
        }
    }

    fn is_met(&self) -> bool {
        if !self.was_stopped.get() {
            self.was_stopped.set((self.is_stopped)());
        }
        self.was_stopped.get()
    }

    /// Waits until the condition is met or the deadline has passed.
    fn wait_until(&self, deadline: Instant) {
        while !self.is_met() && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Records whether the faults of the demo have begun and ended.
#[derive(Default)]
struct FaultSchedule {
    have_begun: bool,
    have_ended: bool,
}

impl FaultSchedule {
    /// Begins and ends the faults when that is due.
    fn apply_due(
        &mut self,
        testbed: &mut Testbed,
        options: &DemoOptions,
        elapsed: Duration,
    ) -> Result<(), TestbedError> {
        if elapsed >= FAULTS_BEGIN_AFTER && !self.have_begun {
            self.have_begun = true;
            begin_faults(testbed, options)?;
        }
        if elapsed >= FAULTS_END_AFTER && self.have_begun && !self.have_ended {
            self.have_ended = true;
            end_faults(testbed, options)?;
        }
        Ok(())
    }
}

fn begin_faults(testbed: &mut Testbed, options: &DemoOptions) -> Result<(), TestbedError> {
    if let Some(name) = &options.kill {
        testbed.try_kill(name)?;
    }
    if !options.cut.is_empty() {
        let mut rest = testbed.names();
        rest.retain(|name| !options.cut.contains(name));
        testbed.partition(&[rest, options.cut.clone()]);
    }
    Ok(())
}

fn end_faults(testbed: &mut Testbed, options: &DemoOptions) -> Result<(), TestbedError> {
    testbed.heal();
    if let Some(name) = options.kill.as_deref() {
        testbed.try_start(name)?;
        testbed.try_wait_until_up(&[name])?;
    }
    Ok(())
}
