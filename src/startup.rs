//! The start of a node: reads its files, opens its sockets and starts its actors.

use std::io;
use std::net::TcpListener;

use crossbeam_channel::Sender;
use fleet_runtime as fleet;
use protocol_gateway::fleet_membership::{FleetMembership, FleetMembershipOptions};
use protocol_gateway::instance_lock::{InstanceLock, ResourceShareLocks};
use protocol_gateway::inventory::{self, BrokerQueue, InventoryError};
use protocol_gateway::net::bind_client_address;
use protocol_gateway::node::cell_guard::CellGuardError;
use protocol_gateway::node::config::{Config, ConfigError};
use protocol_gateway::node::{CellGuard, Limits, PolicyMessage, RateLimitedLog};
use slog::{o, Drain, Logger};
use thiserror::Error;

use crate::actors::{ActorContext, Actors, FleetLinks};
use crate::cli::Cli;
use crate::client_socket::ClientSocket;
use crate::reload::ConfigReloader;
use crate::resource_divider::ResourceDivider;
use crate::run_loop::Node;
use crate::signals::Signals;

/// Why the program did not start.
#[derive(Debug, Error)]
pub(crate) enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Inventory(#[from] InventoryError),
    #[error(transparent)]
    Cells(#[from] CellGuardError),
    #[error(transparent)]
    Fleet(#[from] fleet::ConfigError),
    #[error(transparent)]
    Router(#[from] router::ConfigError),
    #[error("{operation}: {source}")]
    System {
        /// The operation that the operating system refused.
        operation: &'static str,
        source: io::Error,
    },
}

impl StartError {
    /// Returns a function that converts the system's error to the error of this operation.
    pub(crate) fn system(operation: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |source| StartError::System { operation, source }
    }
}

/// Creates the logger of the node with this name, which writes to standard error.
pub(crate) fn logger(name: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .fuse();
    Logger::root(drain, o!("node" => name.to_string()))
}

/// The validated contents of the node's files.
struct NodeFiles {
    config: Config,
    fleet: Option<fleet::Config>,
    queues: Vec<BrokerQueue>,
    cells: Option<CellGuard>,
    limits: Limits,
}

impl NodeFiles {
    fn read(cli: &Cli) -> Result<NodeFiles, StartError> {
        let config = Config::from_env()?;
        let fleet = cli.fleet.as_deref().map(fleet::Config::read).transpose()?;
        let mut limits = Limits::new(config.descriptors).with_memory(config.memory_mb);
        limits = limits.with_site(&config.site);
        let env = |name: &str| std::env::var(name).ok();
        let queues = match cli.inventory.as_deref() {
            Some(file) => inventory::read(file, &config.site, &limits, env)?,
            None => Vec::new(),
        };
        let cells = cli
            .cells
            .as_deref()
            .map(|file| CellGuard::read(file, &config.name))
            .transpose()?;
        // Connections to brokers, at most one per queue, use descriptors of client connections.
        limits.client_connections.max_connections = limits
            .client_connections
            .max_connections
            .saturating_sub(queues.len());
        Ok(NodeFiles {
            config,
            fleet,
            queues,
            cells,
            limits,
        })
    }
}

/// Starts a node, which accepts clients once its executor is connected.
pub(crate) fn start_node(cli: &Cli) -> Result<Node, StartError> {
    let NodeFiles {
        config,
        fleet,
        queues,
        cells,
        limits,
    } = NodeFiles::read(cli)?;
    let log = logger(&config.name);
    let signals = Signals::listen(limits.stack_bytes).map_err(StartError::system("signals"))?;
    let bound_socket = bind_client_address(config.listen, config.admin.is_some())
        .map_err(StartError::system("listen"))?;
    let admin_listener = config
        .admin
        .map(TcpListener::bind)
        .transpose()
        .map_err(StartError::system("door"))?;

    let context = ActorContext::new(&config, &limits, &log);
    let actors = Actors::start(
        &context,
        FleetLinks::new(fleet.as_ref()),
        queues,
        cells.clone(),
        admin_listener,
    )?;
    let mut client_socket = ClientSocket::new(bound_socket, limits.listener.backlog, &log);
    // With an admin listener, another process may serve at this address: clients must not connect
    // before this one can serve them.
    if config.admin.is_none() {
        client_socket.open(&actors.json_rpc)?;
    }
    let reloader = config_reloader(&context, &actors, cells);
    let (instance_lock, divider) = divide_resources(&context, &actors);
    let member = fleet_membership(&context, &actors, fleet, cli);
    let status = context.status.clone();
    let policy = context.policy.clone();
    let unrecorded_calls = RateLimitedLog::new(limits.repeated_log_interval);
    let mut node = Node {
        config,
        limits,
        status,
        policy,
        actors,
        signals,
        client_socket,
        reloader,
        instance_lock,
        divider,
        unrecorded_calls,
        member,
        log,
    };
    node.join_fleet_unless_replacing()?;
    Ok(node)
}

/// Prepares this node's membership of the fleet that `fleet` describes, if there is one. It does
/// not join yet.
fn fleet_membership(
    context: &ActorContext<'_>,
    actors: &Actors,
    fleet: Option<fleet::Config>,
    cli: &Cli,
) -> FleetMembership {
    let options = FleetMembershipOptions {
        config: fleet,
        config_file: cli.fleet.clone(),
        node_name: context.config.name.clone(),
        stack_bytes: context.limits.stack_bytes,
        call_budget: actors.fleet.call_budget.clone(),
        shared_counters: actors.fleet.counters.clone(),
    };
    FleetMembership::new(options, context.log)
}

/// Prepares reloads of the configuration that the node starts with.
fn config_reloader(
    context: &ActorContext<'_>,
    actors: &Actors,
    cells: Option<CellGuard>,
) -> ConfigReloader {
    ConfigReloader {
        name: context.config.name.clone(),
        listen: context.config.listen,
        cells,
        executor: context.config.executor,
        executor_addresses: actors.executor_addresses.clone(),
        database: actors.database.clone(),
        endpoint_list: context.config.endpoint_list,
        endpoint_list_reports: actors.endpoint_list_reports.clone(),
        log: context.log.clone(),
    }
}

/// Has the policy share the ids of its runs with another process of the node, if the instance lock
/// is held.
pub(crate) fn share_run_ids(
    instance_lock: &InstanceLock,
    policy: &Sender<PolicyMessage>,
    log: &Logger,
) {
    if let Some(files) = instance_lock.open_run_ids(log) {
        let _ = policy.send(PolicyMessage::RunIdsShared(files));
    }
}

/// Acquires the instance lock and this process's resource shares. Another process of the node can
/// exist only where there is an admin listener.
fn divide_resources(
    context: &ActorContext<'_>,
    actors: &Actors,
) -> (InstanceLock, ResourceDivider) {
    let name = &context.config.name;
    let folder = std::env::temp_dir();
    let mut instance_lock = match context.config.admin {
        Some(_) => InstanceLock::new(&folder, name),
        None => InstanceLock::Unavailable,
    };
    instance_lock.try_acquire(context.status.process_state(), context.log);
    share_run_ids(&instance_lock, &context.policy, context.log);
    let mut divider = ResourceDivider {
        locks: ResourceShareLocks::new(&folder, name, &instance_lock),
        status: context.status.clone(),
        policy: context.policy.clone(),
        max_connections: context.limits.client_connections.max_connections,
        published: None,
        had_sibling: false,
        log: context.log.clone(),
    };
    divider.update(&instance_lock, actors.json_rpc.connection_count());
    (instance_lock, divider)
}
