//! The plan of a seed: the site, the load and the faults, drawn without I/O or clock.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::site_settings::{ClassPlan, CLASSES};

/// Longest deadline of the site's classes. The platform waits for this and a grace period before it
/// kills a process.
pub(crate) const LONGEST_DEADLINE: Duration = Duration::from_millis(1500);
/// Time from SIGTERM to the kill, the shortest that the platform allows.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_millis(1500 + 700);
/// Length of the period with faults; the rest of a soak run has none.
const FAULT_PERIOD: Duration = Duration::from_secs(14);
/// Window of the mean number of runs on the cores.
pub(crate) const RUNS_WINDOW: Duration = Duration::from_secs(3);
/// Window of the mean number of calls at the database.
pub(crate) const CALLS_WINDOW: Duration = Duration::from_secs(5);
/// Longest time that the database continues a call after it has noticed that the call is abandoned.
pub(crate) const LINGER: Duration = Duration::from_millis(200);
/// Time after SIGTERM during which arriving requests may still be run.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Share of its full speed that a cold machine has at its start. See [`WARM_UP`].
pub(crate) const START_CAPACITY: f64 = 0.3;
/// Time after a keyed request that ran, during which no other request with its key may run.
pub(crate) const KEY_WINDOW: Duration = Duration::from_secs(5);
/// Memory booked for a request, in kilobytes.
pub(crate) const REQUEST_KB: f64 = 24.5;
/// Factor by which the booked memory of a request is larger while it runs.
pub(crate) const RUN_MEMORY_FACTOR: f64 = 8.0;
/// Memory of a machine that never runs short of it, in kilobytes.
const AMPLE_MEMORY_KB: f64 = 26622.0;
/// Memory of the executor that a key costs at sites with keys, in kilobytes: too little to limit
/// anything.
pub(crate) const SMALL_KEY_KB: f64 = 0.1;
const MIN_RUNS_IN_MEMORY: u32 = 4;
const MAX_RUNS_IN_MEMORY: u32 = 8;
/// Random number stream of the seed that the conditions are drawn from; the following streams
/// belong to the other nodes.
const CONDITIONS_STREAM: u64 = 1;
/// Time until a cold machine has reached its full speed. See [`START_CAPACITY`].
pub(crate) const WARM_UP: Duration = Duration::from_secs(6);

/// The site's handling of commands to stop runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stops {
    /// Commands to stop a run are carried out.
    Allowed,
    /// Commands to stop a run are rejected.
    Rejected,
}

/// The site of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct SitePlan {
    /// Number of cores of the machine.
    pub cores: u32,
    /// Number of runs per core that a warm machine can sustain.
    pub runs_per_core: f64,
    /// The node's quota of the concurrent calls that the database can sustain.
    pub call_quota: f64,
    /// The site's handling of commands to stop runs.
    pub stops: Stops,
    /// True if the machine starts cold.
    pub is_cold: bool,
    /// Mean processor time of a run, in milliseconds on one core.
    pub work_ms: f64,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The cores are stalled: no run makes progress, and no command stops one.
    CoresStandStill {
        /// True if the gauges show idle cores during the fault.
        gauges_show_idle: bool,
    },
    /// The gauges keep their readings from before the fault.
    GaugesAreOld,
    /// The machine works at a fifth of its speed.
    MachineIsSlow,
    /// The executor sends nothing, and sends the delayed messages after the fault.
    ExecutorIsSilent,
    /// The executor's connection breaks.
    LinkBreaks,
    /// The executor's connection stays open but transmits nothing any more.
    LinkIsHalfOpen,
    /// Calls take 20 times as long.
    DatabaseIsSlow,
    /// The database continues calls whose connection is closed.
    DatabaseHearsNoClose,
    /// The database does not answer, but notices when calls are abandoned.
    DatabaseIsSilent,
    /// The database's connections break.
    DatabaseConnectionsBreak,
    /// The endpoint list service does not receive the node's load reports.
    ListIsOut,
    /// The node reloads its configuration, which has another address of the executor.
    Reload,
    /// The node gets SIGTERM, and is started again after it has exited or was killed.
    Restart,
    /// The node and its executor are killed, and both are started again.
    Kill,
    /// A second process takes over from the first, which then gets SIGTERM.
    Replacement,
}

impl FaultKind {
    fn affects_database(self) -> bool {
        matches!(
            self,
            FaultKind::DatabaseIsSlow
                | FaultKind::DatabaseHearsNoClose
                | FaultKind::DatabaseIsSilent
                | FaultKind::DatabaseConnectionsBreak
        )
    }
}

/// A fault and the time at which it is present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, from the start of the soak run.
    pub from: Duration,
    /// Duration of the fault, for kinds that have one.
    pub length: Duration,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, length) = (self.from.as_millis(), self.length.as_millis());
        write!(f, "{:?} at {from} ms for {length} ms", self.kind)
    }
}

/// Conditions of a soak run in addition to its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// Number of nodes that share the database, each with its own machine, clients and faults.
    pub nodes: usize,
    /// True if all clients keep using a connection after the node's close notice, until it ends.
    pub ignores_close_notices: bool,
    /// True if the node gets series of signals in place of single ones.
    pub has_signal_series: bool,
    /// True if the site has a class with idempotency keys, whose requests are retried.
    pub has_keys: bool,
    /// Number of runs per core that fit into the machine's memory; `None` if memory is not scarce.
    pub runs_in_memory: Option<u32>,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            nodes: 1,
            ignores_close_notices: false,
            has_signal_series: false,
            has_keys: false,
            runs_in_memory: None,
        }
    }
}

/// The plan of a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The site.
    pub site: SitePlan,
    /// Request rate of all clients per second in the period with faults.
    pub requests_per_s: f64,
    /// Number of connections whose request is never completed.
    pub stalled_connections: usize,
    /// The faults, ordered by start.
    pub faults: Vec<Fault>,
    /// Length of the period with faults.
    pub fault_period: Duration,
    /// Conditions in addition to the faults.
    pub conditions: Conditions,
}

impl Plan {
    /// Draws the plan of a seed with further conditions. Its faults and site are those of
    /// [`Plan::draw`].
    pub fn draw_with_conditions(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CONDITIONS_STREAM);
        let conditions = Conditions {
            nodes: if rng.random_bool(0.4) {
                rng.random_range(2..=3)
            } else {
                1
            },
            ignores_close_notices: rng.random_bool(0.6),
            has_signal_series: rng.random_bool(0.6),
            has_keys: rng.random_bool(0.5),
            runs_in_memory: rng
                .random_bool(0.5)
                .then(|| rng.random_range(MIN_RUNS_IN_MEMORY..=MAX_RUNS_IN_MEMORY)),
        };
        Plan {
            conditions,
            ..Plan::draw(seed)
        }
    }

    /// Returns the plans of all nodes of a soak run. They have the same site; the faults of the
    /// database are those in the plan of the first node.
    pub(crate) fn node_plans(&self) -> Vec<Plan> {
        let other_plan = |node: usize| {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
            rng.set_stream(CONDITIONS_STREAM + node as u64);
            let mut faults = draw_faults(&mut rng);
            faults.retain(|fault| !fault.kind.affects_database());
            Plan {
                faults,
                ..self.clone()
            }
        };
        let others = (1..self.conditions.nodes).map(other_plan);
        std::iter::once(self.clone()).chain(others).collect()
    }

    /// Returns the classes of the site.
    pub(crate) fn classes(&self) -> &'static [ClassPlan] {
        if self.conditions.has_keys {
            &CLASSES
        } else {
            &CLASSES[..CLASSES.len() - 1]
        }
    }

    /// Returns the memory of the machine in kilobytes.
    pub(crate) fn memory_kb(&self) -> f64 {
        let Some(runs_per_core) = self.conditions.runs_in_memory else {
            return AMPLE_MEMORY_KB;
        };
        f64::from(runs_per_core * self.site.cores) * REQUEST_KB * RUN_MEMORY_FACTOR
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = draw_site(&mut rng);
        let capacity = f64::from(site.cores) * 1e3 / site.work_ms;
        let requests_per_s = capacity * rng.random_range(0.4..1.3);
        let stalled_connections = if rng.random_bool(0.25) { 200 } else { 0 };
        let faults = draw_faults(&mut rng);
        Plan {
            seed,
            site,
            requests_per_s,
            stalled_connections,
            faults,
            fault_period: FAULT_PERIOD,
            conditions: Conditions::default(),
        }
    }
}

fn draw_site(rng: &mut ChaCha8Rng) -> SitePlan {
    SitePlan {
        cores: rng.random_range(1..=4),
        runs_per_core: rng.random_range(2.0..6.0),
        call_quota: rng.random_range(1.5..6.0),
        stops: if rng.random_bool(0.75) {
            Stops::Allowed
        } else {
            Stops::Rejected
        },
        is_cold: rng.random_bool(0.5),
        work_ms: rng.random_range(40.0..120.0),
    }
}

fn draw_faults(rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let count = rng.random_range(2..=6);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_fault(rng)).collect();
    faults.sort_by_key(|fault| fault.from);
    faults
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let kind = draw_kind(rng);
    let from = Duration::from_millis(rng.random_range(500..8000));
    let longest = (FAULT_PERIOD - from).as_millis() as u64;
    let length = Duration::from_millis(rng.random_range(300..=longest));
    Fault { kind, from, length }
}

fn draw_kind(rng: &mut ChaCha8Rng) -> FaultKind {
    match rng.random_range(0..20) {
        0..=3 => FaultKind::CoresStandStill {
            gauges_show_idle: rng.random_bool(0.5),
        },
        4 => FaultKind::GaugesAreOld,
        5 => FaultKind::MachineIsSlow,
        6 => FaultKind::ExecutorIsSilent,
        7 | 8 => FaultKind::LinkBreaks,
        9 => FaultKind::LinkIsHalfOpen,
        10 => FaultKind::DatabaseIsSlow,
        11 | 12 => FaultKind::DatabaseHearsNoClose,
        13 => FaultKind::DatabaseIsSilent,
        14 => FaultKind::DatabaseConnectionsBreak,
        15 => FaultKind::ListIsOut,
        16 => FaultKind::Reload,
        17 => FaultKind::Restart,
        18 => FaultKind::Kill,
        _ => FaultKind::Replacement,
    }
}
