//! The billing node: reads its configuration, starts the actors, and leaves when told to.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cells_cli::CellsCommand;
use clap::{Parser, Subcommand};
use crossbeam_channel::{after, bounded, never, select, Receiver, Sender};
use fleet_cli::FleetCommand;
use fleet_runtime as fleet;
use lifecycle::{ProcessState, SiblingProcess, Transition, TOTAL_SHARES};
use protocol_gateway::amqp::Amqp;
use protocol_gateway::fleet_membership::{FleetMembership, FleetMembershipOptions};
use protocol_gateway::instance_lock::{InstanceLock, ResourceShareLocks};
use protocol_gateway::inventory::{self, InventoryError};
use protocol_gateway::net::jsonrpc::Front;
use protocol_gateway::net::{database, door, executor, membership, spawn, take_address, Address};
use protocol_gateway::node::cell_guard::CellGuardError;
use protocol_gateway::node::config::{Config, ConfigError};
use protocol_gateway::node::{
    CellGuard, FleetCounters, Limits, NodeStatus, Peers, PolicyActor, PolicyConfig, PolicyMessage,
};
use router::{Config as Router, ConfigError as RouterError, RouterLoop};
use routing::RoutingSettings;
use slog::{info, o, warn, Drain, Logger};
use socket2::Socket;

/// A billing node; with a command, what stands around one. `PROXY_CONFIG` names the node's configuration.
#[derive(Parser)]
#[command(
    name = "protocol-gateway",
    version,
    args_conflicts_with_subcommands = true
)]
struct Cli {
    /// The broker queues to consume from, in .yaml, .yml or .csv.
    #[arg(long, value_name = "FILE")]
    inventory: Option<PathBuf>,
    /// The file of cells, in JSON5: the node refuses tenants of other cells. SIGHUP reads it again.
    #[arg(long, value_name = "FILE")]
    cells: Option<PathBuf>,
    /// The fleet's file, in JSON5: the node keeps a view of the other nodes. SIGHUP reads it again.
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check, show and plan cells: which nodes serve which tenants.
    #[command(subcommand)]
    Cells(CellsCommand),
    /// Show what members of a fleet see of each other.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Start nodes with stand-ins on loopback, put faults between them, and tell what happens as lines of JSON.
    Faults {
        /// The play, in JSON5.
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Show the program at work: a router and a few nodes with stand-ins on loopback, and what they see of each other.
    Demo(fault_testbed::demo::Demo),
    /// Carry requests to the nodes of each tenant's cell. SIGHUP reads the file of cells again.
    Route {
        /// The router's file, in JSON5.
        #[arg(value_name = "FILE", default_value = "deploy/router.json5")]
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done =
        match &cli.command {
            None => serve(&cli).map_err(|e| e.to_string()),
            Some(Command::Cells(command)) => cells_cli::run(command)
                .map_err(|e| e.to_string())
                .map(|text| {
                    print!("{text}");
                    ExitCode::SUCCESS
                }),
            Some(Command::Fleet(command)) => fleet_cli::run(command)
                .map_err(|e| e.to_string())
                .map(|text| {
                    print!("{text}");
                    ExitCode::SUCCESS
                }),
            Some(Command::Faults { file }) => fault_testbed::script::Script::read(file)
                .and_then(|play| play.play(true))
                .map(|_| ExitCode::SUCCESS)
                .map_err(|e| e.to_string()),
            Some(Command::Demo(demo)) => signals(&Limits::new(64))
                .map_err(|e| e.to_string())
                .and_then(|signals| {
                    let ended = || signals.leave.try_recv().is_ok();
                    fault_testbed::demo::run(demo, ended)
                        .map(|()| ExitCode::SUCCESS)
                        .map_err(|e| e.to_string())
                }),
            Some(Command::Route { file }) => route(file).map_err(|e| e.to_string()),
        };
    done.unwrap_or_else(|e| {
        eprintln!("protocol-gateway: {e}");
        ExitCode::FAILURE
    })
}

/// Runs the router until it is told to leave and all that was taken up is answered.
fn route(file: &Path) -> Result<ExitCode, StartError> {
    let config = Router::read(file).map_err(StartError::Router)?;
    let system = |what| move |e| StartError::System(what, e);
    let log = logger("router");
    // The wait for a signal is that of any node's.
    let limits = Limits::new(config.max_clients);
    let signals = signals(&limits).map_err(system("signals"))?;
    let seed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let router = RouterLoop::bind(config, RoutingSettings::default(), seed, &log)
        .map_err(system("listen"))?;
    let handle = router.handle();
    info!(log, "listening"; "at" => %handle.address);
    let (tell, ended) = bounded(1);
    spawn("route", limits.policy.stack_bytes, move || {
        let _ = tell.send(router.run());
    })
    .map_err(system("threads"))?;
    loop {
        select! {
            recv(signals.leave) -> _ => handle.stop(),
            recv(signals.reload) -> _ => handle.reload(),
            recv(ended) -> end => {
                let end = end.unwrap_or_else(|_| Err(io::Error::other("the router's thread has ended")));
                return end.map(|()| ExitCode::SUCCESS).map_err(system("poll"));
            }
        }
    }
}

/// Why the node did not start.
#[derive(Debug)]
enum StartError {
    Config(ConfigError),
    Inventory(InventoryError),
    Cells(CellGuardError),
    Fleet(fleet::ConfigError),
    Router(RouterError),
    System(&'static str, io::Error),
}
impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Inventory(e) => write!(f, "{e}"),
            StartError::Cells(e) => write!(f, "{e}"),
            StartError::Fleet(e) => write!(f, "{e}"),
            StartError::Router(e) => write!(f, "{e}"),
            StartError::System(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

fn logger(name: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .fuse();
    Logger::root(drain, o!("node" => name.to_string()))
}

fn serve(cli: &Cli) -> Result<ExitCode, StartError> {
    let (inventory, cells) = (cli.inventory.as_deref(), cli.cells.as_deref());
    let config = Config::from_env().map_err(StartError::Config)?;
    let in_fleet = cli
        .fleet
        .as_deref()
        .map(fleet::Config::read)
        .transpose()
        .map_err(StartError::Fleet)?;
    let mut limits = Limits::new(config.descriptors).with_memory(config.memory_mb);
    let env = |name: &str| std::env::var(name).ok();
    let queues = inventory.map_or(Ok(Vec::new()), |file| {
        inventory::read(file, &config.site, &limits, env)
    });
    let queues = queues.map_err(StartError::Inventory)?;
    let cells = cells
        .map(|file| CellGuard::read(file, &config.name))
        .transpose()
        .map_err(StartError::Cells)?;
    limits.front.max_connections = limits.front.max_connections.saturating_sub(queues.len());
    let system = |what| move |e| StartError::System(what, e);
    let log = logger(&config.name);
    let signals = signals(&limits).map_err(system("signals"))?;
    let clients = take_address(config.listen, config.admin.is_some()).map_err(system("listen"))?;
    let door = config
        .admin
        .map(TcpListener::bind)
        .transpose()
        .map_err(system("door"))?;

    let node_status = Arc::new(NodeStatus::default());
    let (policy, inbox) = bounded(limits.policy.mailbox);
    let (to_executor, executor_inbox) = bounded(limits.executor.mailbox);
    let (to_list, list_inbox) = bounded(1);
    let (to_moves, moves) = bounded(1);

    let grace = Duration::from_micros(config.site.settings.drain_grace.0.unsigned_abs());
    let site = Arc::new(config.site);
    let database_log = log.new(o!("actor" => "database"));
    let database = Arc::new(Address::new(config.database));
    let budgeted = in_fleet
        .as_ref()
        .is_some_and(|f| f.budgets.iter().any(|b| *b.name == *fleet::LEDGER_BUDGET));
    let shares = in_fleet
        .as_ref()
        .filter(|f| f.shares_counts || f.shares_ledger_health)
        .map(|_| fleet::SharedCounters::default());
    let judged = in_fleet
        .as_ref()
        .filter(|f| f.shares_ledger_health)
        .and(shares.clone());
    let guard = (budgeted || judged.is_some())
        .then(|| database::Guard::new(database::Budget::new(budgeted, judged)));
    let calls = database::start(&database, guard.clone(), &limits, &policy, &database_log)
        .map_err(system("threads"))?;
    let waiting = guard
        .clone()
        .map(|budget| Box::new(move |requests| budget.waits(requests)) as Box<_>);
    let counts = in_fleet
        .as_ref()
        .filter(|f| f.shares_counts)
        .and(shares.clone());
    let counts = counts.map(|s| FleetCounters {
        own: s.in_flight(),
        read_others: Box::new(move |keys| {
            s.in_flight_elsewhere(keys)
                .map(|others| (others.node_count, others.requests))
        }),
    });
    let peers = Peers {
        executor: to_executor,
        database: Box::new(move |call| calls.make(call)),
        report_waiting: waiting,
        fleet: counts,
    };
    let policy_config = PolicyConfig {
        site: site.clone(),
        seed: config.seed,
        shutdown_timeout: config.shutdown_timeout,
        limits: limits.clone(),
        cells: cells.clone(),
    };
    let actor = PolicyActor::new(
        policy_config,
        peers,
        node_status.clone(),
        log.new(o!("actor" => "policy")),
    );
    // Dropped when the module's thread ends, however it ends: without it the node is of no use.
    let (alive, ended) = bounded::<()>(0);
    spawn("policy", limits.policy.stack_bytes, move || {
        let _alive = alive;
        actor.run(&inbox);
    })
    .map_err(system("threads"))?;

    let (at, own, own_log) = (
        config.executor,
        limits.clone(),
        log.new(o!("actor" => "executor")),
    );
    let mailboxes = executor::Mailboxes {
        commands: executor_inbox,
        moves,
        policy: policy.clone(),
    };
    spawn("executor", limits.stack_bytes, move || {
        executor::run(at, &own, &mailboxes, &own_log);
    })
    .map_err(system("threads"))?;
    let (at, own, own_log, own_board) = (
        config.endpoint_list,
        limits.clone(),
        log.new(o!("actor" => "list")),
        node_status.clone(),
    );
    let name = config.name.clone();
    spawn("list", limits.stack_bytes, move || {
        membership::run(at, &name, &own, &own_board, &list_inbox, &own_log);
    })
    .map_err(system("threads"))?;
    let front_log = log.new(o!("actor" => "front"));
    let amqp_log = log.new(o!("actor" => "amqp"));
    let amqp = Amqp::start(
        queues,
        (site.clone(), config.seed),
        &limits,
        &node_status,
        &policy,
        &amqp_log,
    )
    .map_err(system("threads"))?;
    let front = Front::start(site.clone(), &limits, &node_status, &policy, &front_log)
        .map_err(system("threads"))?;
    let (to_main, changed) = bounded(1);
    if let Some(listener) = door {
        let door_log = log.new(o!("actor" => "door"));
        let at = door::start(listener, &node_status, to_main.clone(), &limits, &door_log)
            .map_err(system("door"))?;
        info!(log, "admin"; "at" => %at);
    }
    let listen = |clients: Socket| -> io::Result<SocketAddr> {
        clients.listen(limits.listener.backlog)?;
        let listener = TcpListener::from(clients);
        let at = listener.local_addr()?;
        info!(log, "listening"; "at" => %at);
        front.listen(listener);
        Ok(at)
    };
    // Where another process may serve at this address, clients must not come here before they can be served.
    let mut clients = Some(clients);
    let mut serves = None;
    if config.admin.is_none() {
        if let Some(clients) = clients.take() {
            serves = Some(listen(clients).map_err(system("listen"))?);
        }
    }

    // Where there is a door another process may stand beside this one.
    let mut instance_lock = config.admin.map_or(InstanceLock::Unavailable, |_| {
        InstanceLock::new(&std::env::temp_dir(), &config.name)
    });
    instance_lock.try_acquire(node_status.process_state(), &log);
    let mut divide = Divide {
        parts: ResourceShareLocks::new(&std::env::temp_dir(), &config.name, &instance_lock),
        node_status: node_status.clone(),
        policy: policy.clone(),
        slots: limits.front.max_connections,
        log: log.clone(),
    };
    divide.look(&instance_lock, front.connections());
    let fleet_options = FleetMembershipOptions {
        config: in_fleet,
        config_file: cli.fleet.clone(),
        node_name: config.name.clone(),
        stack_size: limits.stack_bytes,
        ledger_guard: guard,
        shared_counters: shares,
    };
    let mut member = FleetMembership::new(fleet_options, &log);
    // One that is to replace another stays out of the fleet until it takes clients: the name is the other's so long.
    let another = |instance_lock: &InstanceLock| {
        !instance_lock.may_accept_clients() || instance_lock.sibling() != SiblingProcess::Absent
    };
    member.set_sibling_running(another(&instance_lock));
    if instance_lock.sibling() != SiblingProcess::AcceptingClients {
        member
            .join(node_status.process_state(), serves)
            .map_err(system("fleet"))?;
    }
    let pace = |divide: &Divide| match config.admin {
        Some(_) if divide.whole() => after(limits.replacement.poll_interval_alone),
        Some(_) => after(limits.replacement.poll_interval),
        None => never(),
    };
    let began = Instant::now();
    let mut look = pace(&divide);
    let mut up = false;
    let mut peers = Moves {
        cells,
        executor: (config.executor, to_moves),
        database,
        list: (config.endpoint_list, to_list.clone()),
        log: log.clone(),
    };
    loop {
        select! {
            recv(signals.leave) -> _ => break,
            recv(signals.reload) -> _ => {
                peers.reload(&config.name, config.listen);
                member.reload_config();
            }
            recv(node_status.executor_ready()) -> _ => up = true,
            recv(look) -> _ => {
                instance_lock.try_acquire(node_status.process_state(), &log);
                // Of two processes the later one leaves to the earlier what is the name's own.
                if member.is_sibling_running() {
                    member.set_sibling_running(another(&instance_lock));
                }
                divide.look(&instance_lock, front.connections());
                look = pace(&divide);
            }
            recv(changed) -> _ => {
                let _ = to_list.try_send(membership::Report::Changed);
                member.advertise_state(node_status.process_state());
            }
            recv(ended) -> _ => return Ok(ExitCode::FAILURE),
        }
        // Without a part it could only refuse what comes.
        let has_part =
            divide.parts.held() > 0 || began.elapsed() >= limits.replacement.first_share_timeout;
        if up && instance_lock.may_accept_clients() && has_part {
            up = false;
            if let Some(clients) = clients.take() {
                serves = Some(listen(clients).map_err(system("listen"))?);
            }
            // Said before the door says so: the platform ends the other process on the door's word.
            instance_lock.publish(ProcessState::Serving);
            let _ = node_status.apply_transition(Transition::AcceptClients);
            member
                .join(node_status.process_state(), serves)
                .map_err(system("fleet"))?;
            let _ = to_list.try_send(membership::Report::Changed);
        }
    }
    let told = Instant::now();
    let beside = instance_lock.sibling();
    let _ = node_status.apply_transition(beside.shutdown_transition());
    let replaced = beside == SiblingProcess::AcceptingClients;
    instance_lock.publish(node_status.process_state());
    let stop = if replaced {
        limits.replaced_lifetime(&site)
    } else {
        config.shutdown_timeout
    };
    if replaced {
        info!(log, "replaced"; "time_left_ms" => stop.as_millis() as u64, "unanswered" => node_status.unanswered());
    }
    // Of a node that goes on under a successor nothing is said.
    if !replaced {
        member.advertise_state(node_status.process_state());
    }
    let _ = policy.send(if replaced {
        PolicyMessage::Replaced(stop)
    } else {
        PolicyMessage::ShutDown
    });
    let _ = to_list.try_send(membership::Report::Changed);
    let mut closed = replaced;
    if replaced {
        // Who comes from now on is the successor's.
        front.close();
    }
    front.farewell();
    amqp.leave();
    let stop = stop.saturating_sub(limits.stop_margin / 4);
    loop {
        let quiet = front.open() == 0 && node_status.unanswered() == 0 && amqp.has_left();
        // Who has not heard of the notice yet still comes; those that are early enough are served.
        if !closed && quiet && told.elapsed() > grace {
            closed = true;
            front.close();
            front.farewell();
        }
        // Until the front has closed its listener, some may wait there whom it has not seen.
        let gone = closed && !front.listening() && quiet && front.connections() == 0;
        if gone || told.elapsed() >= stop {
            info!(log, "shut down"; "unanswered" => node_status.unanswered(), "unwritten" => front.open(),
                "unsettled" => amqp.unsettled(), "ms" => told.elapsed().as_millis() as u64);
            member.leave(replaced);
            return Ok(ExitCode::SUCCESS);
        }
        select! {
            recv(after(limits.drain_poll_interval)) -> _ => {}
            recv(look) -> _ => {
                divide.look(&instance_lock, front.connections());
                look = pace(&divide);
            }
            recv(signals.reload) -> _ => peers.reload(&config.name, config.listen),
            recv(ended) -> _ => return Ok(ExitCode::FAILURE),
        }
    }
}

/// How this process and another of the node divide what the node may have, and who must hear when that changes.
struct Divide {
    parts: ResourceShareLocks,
    node_status: Arc<NodeStatus>,
    policy: Sender<PolicyMessage>,
    slots: usize,
    log: Logger,
}

impl Divide {
    /// All is this process's, as nobody stands beside it.
    fn whole(&self) -> bool {
        self.parts.held() == TOTAL_SHARES
    }
    /// Looks who stands beside this process, with so many connections here.
    fn look(&mut self, instance_lock: &InstanceLock, connections: usize) {
        let taken = (connections * TOTAL_SHARES as usize).div_ceil(self.slots.max(1)) as u32;
        let used = self.node_status.used_shares().max(taken);
        if let Some(held) = self.parts.update(
            self.node_status.process_state(),
            instance_lock.sibling(),
            used,
            &self.log,
        ) {
            self.node_status.set_resource_shares(held);
            // It reads these at once; one that has ended ends the process.
            let _ = self.policy.send(PolicyMessage::ResourceSharesChanged(held));
        }
    }
}

/// Where the peers are, and who must hear when they move.
struct Moves {
    cells: Option<CellGuard>,
    executor: (SocketAddr, Sender<SocketAddr>),
    database: Arc<Address>,
    list: (SocketAddr, Sender<membership::Report>),
    log: Logger,
}

impl Moves {
    /// Reads the configuration again and hands new addresses on. One that can't be used changes nothing.
    fn reload(&mut self, name: &str, listen: SocketAddr) {
        match self.cells.as_ref().map(CellGuard::reload) {
            Some(Ok(epoch)) => info!(self.log, "cells read again"; "epoch" => epoch),
            Some(Err(e)) => warn!(self.log, "the new cells are not used"; "error" => %e),
            None => {}
        }
        let config = match Config::from_env() {
            Ok(config) => config,
            Err(e) => return warn!(self.log, "the new configuration is not used"; "error" => %e),
        };
        if config.name != name || config.listen != listen {
            warn!(
                self.log,
                "name and listening address change with a restart only"
            );
        }
        info!(self.log, "configuration read again"; "executor" => %config.executor, "database" => ?config.database,
            "members" => %config.endpoint_list);
        // The actors take these at any time, so the sends end; one that is gone has ended the node already.
        if std::mem::replace(&mut self.executor.0, config.executor) != config.executor {
            let _ = self.executor.1.send(config.executor);
        }
        self.database.set(config.database);
        if std::mem::replace(&mut self.list.0, config.endpoint_list) != config.endpoint_list {
            let _ = self
                .list
                .1
                .send(membership::Report::To(config.endpoint_list));
        }
    }
}

/// What the platform says by signals. Each is a state, not a count: one that waits stands for any that follow.
struct Signals {
    /// SIGTERM and SIGINT.
    leave: Receiver<()>,
    /// SIGHUP.
    reload: Receiver<()>,
}

fn signals(limits: &Limits) -> io::Result<Signals> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let ((tell_leave, leave), (tell_reload, reload)) = (bounded(1), bounded(1));
    spawn("signals", limits.stack_bytes, move || {
        for signal in signals.forever() {
            let tell = if signal == SIGHUP {
                &tell_reload
            } else {
                &tell_leave
            };
            let _ = tell.try_send(());
        }
    })?;
    Ok(Signals { leave, reload })
}
