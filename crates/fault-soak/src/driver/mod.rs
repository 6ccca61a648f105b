//! Executes the plan of a node: starts the node and its test doubles, and injects the faults.

mod process_faults;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};

use crate::client::{stall_connections, Client, LoadTarget};
use crate::database::Database;
use crate::error::SoakError;
use crate::journal::Journal;
use crate::machine::GaugeFault;
use crate::machine_world::MachineSimulation;
use crate::node_process::NodeProcess;
use crate::plan::{Fault, FaultKind, Plan, STOP_TIMEOUT};
use crate::port::Port;
use crate::report::SoakReport;

/// The number in the first node's name.
const FIRST_NODE_NUMBER: usize = 3;
/// Number of clients of a node; every other one keeps using connections after a close notice.
const CLIENT_COUNT: usize = 4;
/// Time within which a started node has to listen.
const START_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between two checks of the database.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time between the exit of a process and the start of the next one.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Length of the quiet time after the faults. Its last part checks that the node serves requests
/// again.
const QUIET_TIME: Duration = Duration::from_secs(6);
/// First part of the quiet time, in which the service is not checked.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Load in the quiet time, as a fraction of the capacity of the machine.
const QUIET_LOAD: f64 = 0.3;
/// Fraction of the requests in the checked part of the quiet time that must be served.
const MIN_SERVED_WHEN_QUIET: f64 = 0.8;

/// The current process of the node with its configuration and its port of the machine.
struct RunningNode {
    process: NodeProcess,
    config: Value,
    port: Arc<Port>,
}

/// The arguments with which a node of a soak run is started.
pub(crate) struct NodeContext {
    /// Number of the node in the soak run, from 0.
    pub(crate) number: usize,
    pub(crate) plan: Plan,
    pub(crate) journal: Arc<Journal>,
    pub(crate) simulation: Arc<MachineSimulation>,
    pub(crate) database: Arc<Database>,
    pub(crate) database_address: SocketAddr,
}

/// A node of a soak run with its clients and peers.
pub(crate) struct NodeSoak {
    name: String,
    plan: Plan,
    journal: Arc<Journal>,
    simulation: Arc<MachineSimulation>,
    database: Arc<Database>,
    database_address: SocketAddr,
    target: Arc<LoadTarget>,
    /// The endpoint list service, which only receives load reports; `None` while it is unavailable.
    endpoint_list: Option<UdpSocket>,
    list_address: SocketAddr,
    node: RunningNode,
    starts: u64,
    peak_runs: f64,
    peak_memory: f64,
    logs: Vec<String>,
}

impl NodeSoak {
    /// Starts a node and its peers.
    pub(crate) fn start(context: NodeContext) -> Result<NodeSoak, SoakError> {
        let NodeContext {
            number,
            plan,
            journal,
            simulation,
            database,
            database_address,
        } = context;
        let endpoint_list = UdpSocket::bind("127.0.0.1:0")
            .map_err(SoakError::system("bind the endpoint list socket"))?;
        let list_address = endpoint_list.local_addr().map_err(SoakError::system(
            "get the address of the endpoint list socket",
        ))?;
        simulation.start_ticking(&database);
        let target = Arc::new(LoadTarget::new(number, plan.requests_per_s));
        let peers = PeerAddresses {
            database: database_address,
            endpoint_list: list_address,
        };
        let port = simulation.machine().ports[0].clone();
        let name = format!("n{}", number + FIRST_NODE_NUMBER);
        let config = peers.config(&name, &plan, plan.site.is_cold, port.open_address()?, None);
        let node = start_node(&name, 0, config, port)?;
        let mut started = NodeSoak {
            name,
            plan,
            journal,
            simulation,
            database,
            database_address,
            target,
            endpoint_list: Some(endpoint_list),
            list_address,
            node,
            starts: 1,
            peak_runs: 0.0,
            peak_memory: 0.0,
            logs: Vec::new(),
        };
        started.publish_address()?;
        Ok(started)
    }

    /// Injects the faults, and checks the service after them.
    pub(crate) fn run(mut self) -> Result<SoakReport, SoakError> {
        let clients = self.start_clients();
        self.inject_faults()?;
        self.check_service_after_faults();
        self.target.stop_clients();
        for client in clients {
            let _ = client.join();
        }
        thread::sleep(crate::plan::LONGEST_DEADLINE);
        self.journal.check_overdue();
        self.journal.check_closed_immediately();
        Ok(self.finish())
    }

    fn peer_addresses(&self) -> PeerAddresses {
        PeerAddresses {
            database: self.database_address,
            endpoint_list: self.list_address,
        }
    }

    fn publish_address(&mut self) -> Result<SocketAddr, SoakError> {
        let address = self.node.process.wait_for_address(START_TIMEOUT)?;
        self.target.set_address(Some(address));
        Ok(address)
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..CLIENT_COUNT {
            let client = Client {
                target: self.target.clone(),
                journal: self.journal.clone(),
                clients: CLIENT_COUNT,
                classes: self.plan.classes(),
                ignores_close_notice: number % 2 == 0 || self.plan.conditions.ignores_close_notices,
            };
            let seed = self.plan.seed.wrapping_mul(31).wrapping_add(number as u64);
            threads.push(thread::spawn(move || client.run(seed)));
        }
        if self.plan.stalled_connections > 0 {
            let (target, count) = (self.target.clone(), self.plan.stalled_connections);
            threads.push(thread::spawn(move || stall_connections(&target, count)));
        }
        threads
    }

    /// Begins and ends each fault at its time.
    fn inject_faults(&mut self) -> Result<(), SoakError> {
        let mut steps: Vec<(Duration, Fault, bool)> = Vec::new();
        for fault in &self.plan.faults {
            steps.push((fault.from, *fault, true));
            steps.push((fault.from + fault.length, *fault, false));
        }
        steps.sort_by_key(|(at, _, _)| *at);
        let end = (self.plan.fault_period, None);
        let steps = steps
            .into_iter()
            .map(|(at, fault, begins)| (at, Some((fault, begins))));
        for (at, step) in steps.chain([end]) {
            thread::sleep(at.saturating_sub(self.journal.elapsed()));
            self.check_processes();
            let Some((fault, begins)) = step else {
                continue;
            };
            let verb = if begins { "begins" } else { "ends" };
            self.journal
                .record_event(format!("{:?} {verb}", fault.kind));
            self.apply_fault(fault.kind, begins)?;
        }
        Ok(())
    }

    fn apply_fault(&mut self, kind: FaultKind, begins: bool) -> Result<(), SoakError> {
        match kind {
            FaultKind::CoresStandStill { gauges_show_idle } => {
                self.simulation.machine().machine.set_faults(|faults| {
                    faults.stands_still = begins;
                    if gauges_show_idle {
                        faults.gauges = gauge_fault(GaugeFault::ShowIdle, begins);
                    }
                });
            }
            FaultKind::GaugesAreOld => {
                let gauges = gauge_fault(GaugeFault::Stale, begins);
                self.simulation
                    .machine()
                    .machine
                    .set_faults(|faults| faults.gauges = gauges);
            }
            FaultKind::MachineIsSlow => {
                let machine = self.simulation.machine();
                machine.machine.set_faults(|faults| faults.is_slow = begins);
            }
            FaultKind::ExecutorIsSilent => self.node.port.set_silent(begins),
            FaultKind::DatabaseIsSlow => self.database.set_faults(|f| f.is_slow = begins),
            FaultKind::DatabaseHearsNoClose => {
                self.database.set_faults(|f| f.ignores_close = begins);
            }
            FaultKind::DatabaseIsSilent => self.database.set_faults(|f| f.is_silent = begins),
            FaultKind::ListIsOut if begins => self.endpoint_list = None,
            FaultKind::ListIsOut => self.endpoint_list = UdpSocket::bind(self.list_address).ok(),
            _ if !begins => {}
            FaultKind::LinkBreaks => self.node.port.break_link(),
            FaultKind::LinkIsHalfOpen => self.node.port.leave_half_open(),
            FaultKind::DatabaseConnectionsBreak => self.database.break_connections(),
            FaultKind::Reload => self.reload()?,
            FaultKind::Restart => self.restart()?,
            FaultKind::Kill => self.kill_and_start()?,
            FaultKind::Replacement => self.replace()?,
        }
        Ok(())
    }

    fn check_processes(&mut self) {
        if let Some(status) = self.node.process.status() {
            let log = self.node.process.log();
            let text = format!(
                "crash: the process exited with {status}; last lines of its log: {}",
                last_lines(&log)
            );
            self.journal.record_violation(text);
        }
    }

    /// Puts a low load on the node, and checks that it is served.
    fn check_service_after_faults(&mut self) {
        // The fault lasts until the calls that it prolongs have ended.
        while self.database.has_close_ignoring_calls() {
            thread::sleep(POLL_INTERVAL);
        }
        let site = &self.plan.site;
        let capacity = f64::from(site.cores) * 1e3 / site.work_ms;
        self.target.set_rate(capacity * QUIET_LOAD);
        self.journal.record_event("quiet time begins");
        thread::sleep(RECOVERY_TIME);
        let before = self.journal.totals();
        thread::sleep(QUIET_TIME.saturating_sub(RECOVERY_TIME));
        let after = self.journal.totals();
        let offered = after.sent + after.unsent - before.sent - before.unsent;
        let served = after.served - before.served;
        if (served as f64) < offered as f64 * MIN_SERVED_WHEN_QUIET - 2.0 {
            let text =
                format!("service: {served} of {offered} requests were served after the faults");
            self.journal.record_violation(text);
        }
        self.check_processes();
    }

    fn finish(mut self) -> SoakReport {
        self.node.process.signal("TERM");
        self.wait_for_exit_or_kill("end");
        self.simulation.end();
        let machine = self.simulation.machine().machine.clone();
        SoakReport {
            violations: self.journal.violations(),
            events: self.journal.events(),
            totals: self.journal.totals(),
            peak_runs: self.peak_runs.max(machine.peak_share()),
            peak_memory: self.peak_memory.max(machine.peak_memory_share()),
            peak_calls: self.database.peak_share(),
            logs: self.logs,
            plan: self.plan,
        }
    }
}

/// Addresses of the peers that stay the same for a whole soak run.
struct PeerAddresses {
    database: SocketAddr,
    endpoint_list: SocketAddr,
}

impl PeerAddresses {
    fn config(
        &self,
        name: &str,
        plan: &Plan,
        is_cold: bool,
        executor: SocketAddr,
        listen: Option<SocketAddr>,
    ) -> Value {
        let listen = listen.map_or("127.0.0.1:0".to_string(), |address| address.to_string());
        json!({"name": name, "listen": listen, "admin": "127.0.0.1:0", "executor": executor, "members": self.endpoint_list,
               "db": self.database, "seed": format!("{:016x}", plan.seed),
               "stop_ms": STOP_TIMEOUT.as_millis() as u64,
               "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
               "settings": plan.settings(is_cold)})
    }
}

fn start_node(
    name: &str,
    number: u64,
    config: Value,
    port: Arc<Port>,
) -> Result<RunningNode, SoakError> {
    let process = NodeProcess::start(&format!("{name}-{number}.json"), &config)?;
    Ok(RunningNode {
        process,
        config,
        port,
    })
}

/// Returns the fault if it is present, otherwise no fault.
fn gauge_fault(fault: GaugeFault, is_present: bool) -> GaugeFault {
    if is_present {
        fault
    } else {
        GaugeFault::None
    }
}

/// Returns the last five lines of a text, joined into one.
fn last_lines(text: &str) -> String {
    let lines: Vec<&str> = text.lines().rev().take(5).collect();
    lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
}
