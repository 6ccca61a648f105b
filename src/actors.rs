//! The actors of a node: each runs on a thread of its own and is reached through its mailbox.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use crossbeam_channel::{bounded, Receiver, Sender};
use fleet_runtime as fleet;
use protocol_gateway::amqp::AmqpConsumers;
use protocol_gateway::inventory::BrokerQueue;
use protocol_gateway::net::jsonrpc::JsonRpcServer;
use protocol_gateway::net::{admin, database, endpoint_list, executor, spawn, PeerAddress};
use protocol_gateway::node::config::Config;
use protocol_gateway::node::{
    CellGuard, ExecutorCommand, FleetCounters, Limits, NodeStatus, Peers, PolicyActor,
    PolicyConfig, PolicyMessage,
};
use slog::{info, o, Logger};

use crate::startup::StartError;

/// The configuration and handles with which every actor is started.
pub(crate) struct ActorContext<'a> {
    pub(crate) config: &'a Config,
    pub(crate) limits: &'a Limits,
    pub(crate) status: Arc<NodeStatus>,
    /// The policy's mailbox.
    pub(crate) policy: Sender<PolicyMessage>,
    pub(crate) log: &'a Logger,
    policy_inbox: Receiver<PolicyMessage>,
}

/// The running actors, and the mailboxes through which the main thread reaches them.
pub(crate) struct Actors {
    pub(crate) json_rpc: JsonRpcServer,
    pub(crate) amqp: AmqpConsumers,
    pub(crate) fleet: FleetLinks,
    /// The database's address, which a reload may change.
    pub(crate) database: Arc<PeerAddress>,
    /// Sends changes of the executor's address to its actor.
    pub(crate) executor_addresses: Sender<SocketAddr>,
    /// The mailbox of the endpoint list's actor.
    pub(crate) endpoint_list_reports: Sender<endpoint_list::EndpointListMessage>,
    /// Disconnected when the policy's thread ends, whether it returns or panics: the node can't
    /// work without the policy.
    pub(crate) policy_ended: Receiver<()>,
    /// Receives a message after each change of the process's state by an admin command.
    pub(crate) state_changes: Receiver<()>,
    /// Keeps `state_changes` connected if there is no admin listener.
    _state_change_sender: Sender<()>,
}

impl Actors {
    /// Starts all actors.
    pub(crate) fn start(
        context: &ActorContext<'_>,
        fleet: FleetLinks,
        queues: Vec<BrokerQueue>,
        cells: Option<CellGuard>,
        admin_listener: Option<TcpListener>,
    ) -> Result<Actors, StartError> {
        let (executor_commands, executor_inbox) = bounded(context.limits.executor.mailbox);
        let (executor_addresses, executor_address_inbox) = bounded(1);
        let (endpoint_list_reports, endpoint_list_inbox) = bounded(1);
        let (state_change_sender, state_changes) = bounded(1);
        let database = Arc::new(PeerAddress::new(context.config.database));
        let database_calls = context.start_database(&database, &fleet)?;
        let policy_ended =
            context.start_policy(executor_commands, database_calls, &fleet, cells)?;
        context.start_executor(executor_inbox, executor_address_inbox)?;
        context.start_endpoint_list(endpoint_list_inbox)?;
        let amqp = context.start_amqp(queues)?;
        let json_rpc = context.start_json_rpc()?;
        if let Some(listener) = admin_listener {
            context.start_admin(listener, state_change_sender.clone())?;
        }
        Ok(Actors {
            json_rpc,
            amqp,
            fleet,
            database,
            executor_addresses,
            endpoint_list_reports,
            policy_ended,
            state_changes,
            _state_change_sender: state_change_sender,
        })
    }
}

/// The handles through which this node's actors use the counts, quotas and database health that the
/// fleet shares.
pub(crate) struct FleetLinks {
    /// Limits database calls to the fleet's quota and by the database health that the fleet
    /// reports. `None` if the fleet shares neither.
    pub(crate) call_budget: Option<database::SharedCallBudget>,
    /// Counters that the members of the fleet share.
    pub(crate) counters: Option<fleet::SharedCounters>,
    shares_tenant_counts: bool,
}

impl FleetLinks {
    /// Creates the handles that this fleet configuration requires, none without a configuration.
    pub(crate) fn new(config: Option<&fleet::Config>) -> FleetLinks {
        let Some(config) = config else {
            return FleetLinks {
                call_budget: None,
                counters: None,
                shares_tenant_counts: false,
            };
        };
        let has_call_quota = config
            .budgets
            .iter()
            .any(|b| *b.name == *fleet::LEDGER_BUDGET);
        let counters = (config.shares_counts || config.shares_ledger_health)
            .then(fleet::SharedCounters::default);
        let health_counters = counters.clone().filter(|_| config.shares_ledger_health);
        let has_call_budget = has_call_quota || health_counters.is_some();
        let call_budget = has_call_budget.then(|| {
            database::SharedCallBudget::new(database::CallBudget::new(
                has_call_quota,
                health_counters,
            ))
        });
        FleetLinks {
            call_budget,
            counters,
            shares_tenant_counts: config.shares_counts,
        }
    }

    /// Returns the counters of requests in flight by tenant if the fleet shares them.
    fn tenant_counters(&self) -> Option<FleetCounters> {
        let counters = self
            .counters
            .clone()
            .filter(|_| self.shares_tenant_counts)?;
        Some(FleetCounters {
            own: counters.in_flight(),
            read_others: Box::new(move |keys| counters.in_flight_elsewhere(keys)),
        })
    }
}

impl<'a> ActorContext<'a> {
    /// Creates a context with a new mailbox for the policy and a new node status.
    pub(crate) fn new(config: &'a Config, limits: &'a Limits, log: &'a Logger) -> ActorContext<'a> {
        let (policy, policy_inbox) = bounded(limits.policy.mailbox);
        ActorContext {
            config,
            limits,
            status: Arc::new(NodeStatus::default()),
            policy,
            log,
            policy_inbox,
        }
    }

    fn log_for(&self, actor: &'static str) -> Logger {
        self.log.new(o!("actor" => actor))
    }

    /// Starts the database's actor.
    fn start_database(
        &self,
        address: &Arc<PeerAddress>,
        fleet: &FleetLinks,
    ) -> Result<database::CallSender, StartError> {
        let log = self.log_for("database");
        database::start(
            address,
            fleet.call_budget.clone(),
            self.limits,
            &self.policy,
            &log,
        )
        .map_err(StartError::system("threads"))
    }

    /// Starts the policy's actor. The receiver is disconnected when its thread ends.
    fn start_policy(
        &self,
        executor: Sender<ExecutorCommand>,
        database_calls: database::CallSender,
        fleet: &FleetLinks,
        cells: Option<CellGuard>,
    ) -> Result<Receiver<()>, StartError> {
        let report_waiting = fleet.call_budget.clone().map(|budget| {
            Box::new(move |requests| budget.set_waiting_requests(requests)) as Box<_>
        });
        let database_calls = Arc::new(database_calls);
        let ended_runs = database_calls.clone();
        let inherited_calls = database_calls.clone();
        let call_counter = database_calls.clone();
        let unresponsive_counter = database_calls.clone();
        let peers = Peers {
            executor,
            database: Box::new(move |call| database_calls.try_send(call)),
            run_ended: Box::new(move |uid| ended_runs.run_ended(uid)),
            inherit_calls: Box::new(move |calls| inherited_calls.inherit_calls(calls)),
            calls_in_flight: Box::new(move || call_counter.calls_in_flight()),
            calls_at_unresponsive_database: Box::new(move || {
                unresponsive_counter.calls_at_unresponsive_database()
            }),
            report_waiting,
            fleet: fleet.tenant_counters(),
        };
        let policy_config = PolicyConfig {
            site: self.config.site.clone(),
            seed: self.config.seed,
            shutdown_timeout: self.config.shutdown_timeout,
            limits: self.limits.clone(),
            cells,
        };
        let log = self.log_for("policy");
        let actor = PolicyActor::new(policy_config, peers, self.status.clone(), log);
        let inbox = self.policy_inbox.clone();
        let (ended_sender, ended) = bounded::<()>(0);
        spawn("policy", self.limits.policy.stack_bytes, move || {
            let _ended_sender = ended_sender;
            actor.run(&inbox);
        })
        .map_err(StartError::system("threads"))?;
        Ok(ended)
    }

    /// Starts the executor's actor, which reads commands and changes of the executor's address.
    fn start_executor(
        &self,
        commands: Receiver<ExecutorCommand>,
        addresses: Receiver<SocketAddr>,
    ) -> Result<(), StartError> {
        let address = self.config.executor;
        let limits = self.limits.clone();
        let log = self.log_for("executor");
        let mailboxes = executor::Mailboxes {
            commands,
            moves: addresses,
            policy: self.policy.clone(),
        };
        spawn("executor", self.limits.stack_bytes, move || {
            executor::run(address, &limits, &mailboxes, &log);
        })
        .map_err(StartError::system("threads"))
    }

    /// Starts the actor that reports this node to the endpoint list.
    fn start_endpoint_list(
        &self,
        inbox: Receiver<endpoint_list::EndpointListMessage>,
    ) -> Result<(), StartError> {
        let address = self.config.endpoint_list;
        let name = self.config.name.clone();
        let limits = self.limits.clone();
        let status = self.status.clone();
        let log = self.log_for("endpoint_list");
        spawn("endpoint-list", self.limits.stack_bytes, move || {
            endpoint_list::run(address, &name, &limits, &status, &inbox, &log);
        })
        .map_err(StartError::system("threads"))
    }

    /// Starts the consumers of AMQP queues.
    fn start_amqp(&self, queues: Vec<BrokerQueue>) -> Result<AmqpConsumers, StartError> {
        let site = self.config.site.clone();
        let log = self.log_for("amqp");
        AmqpConsumers::start(
            queues,
            site,
            self.config.seed,
            self.limits,
            &self.status,
            &self.policy,
            &log,
        )
        .map_err(StartError::system("threads"))
    }

    /// Starts the JSON-RPC server, which does not listen on a socket yet.
    fn start_json_rpc(&self) -> Result<JsonRpcServer, StartError> {
        let site = self.config.site.clone();
        let log = self.log_for("front");
        JsonRpcServer::start(site, self.limits, &self.status, &self.policy, &log)
            .map_err(StartError::system("threads"))
    }

    /// Starts the admin listener, which reports changes of the process's state.
    fn start_admin(
        &self,
        listener: TcpListener,
        state_changes: Sender<()>,
    ) -> Result<(), StartError> {
        let log = self.log_for("admin");
        let address = admin::start(listener, &self.status, state_changes, self.limits, &log)
            .map_err(StartError::system("door"))?;
        info!(self.log, "admin"; "at" => %address);
        Ok(())
    }
}
