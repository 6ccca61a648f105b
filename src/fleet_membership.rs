//! The node's membership in its fleet: joining it, advertising the state of the process, and
//! leaving it. All methods are called by the main thread.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use fleet_runtime::{
    spawn_fleet_actor, Config, FleetHandle, LocalMember, SharedCounters, LEDGER_BUDGET,
};
use lifecycle::ProcessState;
use membership::AdvertisedStatus;
use slog::{info, o, warn, Logger};

use crate::net::database::SharedCallBudget;

/// The options of a node's membership in a fleet.
pub struct FleetMembershipOptions {
    /// The fleet's configuration; `None` for a node that is in no fleet.
    pub config: Option<Config>,
    /// The path of the fleet file, for reloads.
    pub config_file: Option<PathBuf>,
    /// The node's name.
    pub node_name: String,
    /// Stack size of the fleet actor's thread in bytes.
    pub stack_bytes: usize,
    /// Limits the node's database calls. `None` unless the fleet has a budget for them or shares
    /// its observations of them.
    pub call_budget: Option<SharedCallBudget>,
    /// The node's counters, if the fleet shares them.
    pub shared_counters: Option<SharedCounters>,
}

/// The node's membership in its fleet. Without a fleet configuration it never joins one, and no
/// thread is started.
pub struct FleetMembership {
    options: FleetMembershipOptions,
    /// `None` until the node has joined.
    handle: Option<FleetHandle>,
    is_sibling_running: bool,
    log: Logger,
}

impl FleetMembership {
    /// Creates the membership of a node that has not joined its fleet yet.
    pub fn new(options: FleetMembershipOptions, log: &Logger) -> FleetMembership {
        FleetMembership {
            options,
            handle: None,
            is_sibling_running: false,
            log: log.new(o!("actor" => "fleet")),
        }
    }

    /// Records whether another process of this node runs, so that the node's guaranteed quota is
    /// not spent twice. To be called before the node joins and at each change. Has no effect
    /// without a budget for calls.
    pub fn set_sibling_running(&mut self, is_running: bool) {
        if self.options.call_budget.is_none() || self.is_sibling_running == is_running {
            return;
        }
        self.is_sibling_running = is_running;
        if let Some(handle) = &self.handle {
            handle.set_sibling_running(is_running);
        }
    }

    /// Returns whether another process of this node runs, as last recorded.
    pub fn is_sibling_running(&self) -> bool {
        self.is_sibling_running
    }

    /// Joins the fleet unless the node has joined already, and advertises the state of the process
    /// and the address for clients.
    ///
    /// # Errors
    /// The fleet's socket can't be bound, or its thread can't be started.
    pub fn join(
        &mut self,
        state: ProcessState,
        client_address: Option<SocketAddr>,
    ) -> io::Result<()> {
        if self.handle.is_none() {
            if let Some(config) = self.options.config.take() {
                self.handle = Some(self.spawn_member(config)?);
            }
        }
        if let (Some(handle), Some(address)) = (&self.handle, client_address) {
            handle.set_client_address(address);
        }
        self.advertise_state(state);
        Ok(())
    }

    fn spawn_member(&self, config: Config) -> io::Result<FleetHandle> {
        let member = LocalMember {
            name: self.options.node_name.as_str().into(),
            client_address: None,
            shared_counters: self.options.shared_counters.clone(),
        };
        let call_budget = self.options.call_budget.clone();
        let on_change = Box::new(move || {
            if let Some(call_budget) = &call_budget {
                call_budget.wake_actor();
            }
        });
        let handle = spawn_fleet_actor(
            config,
            member,
            self.options.stack_bytes,
            on_change,
            &self.log,
        )?;
        info!(self.log, "fleet"; "at" => %handle.address);
        if self.is_sibling_running {
            handle.set_sibling_running(true);
        }
        if let (Some(call_budget), Some(quota)) =
            (&self.options.call_budget, handle.quota(LEDGER_BUDGET))
        {
            call_budget.set_quota(quota);
        }
        Ok(handle)
    }

    /// Advertises the state of the process to the other members.
    pub fn advertise_state(&self, state: ProcessState) {
        let status = match state {
            ProcessState::Starting { .. } => AdvertisedStatus::Joining,
            ProcessState::Serving => AdvertisedStatus::Up,
            ProcessState::Quiesced => AdvertisedStatus::Quiesced,
            ProcessState::ShuttingDown { .. } => AdvertisedStatus::Leaving,
        };
        if let Some(handle) = &self.handle {
            handle.set_status(status);
        }
    }

    /// Reads the fleet file again. A file with an error changes nothing.
    pub fn reload_config(&self) {
        let (Some(handle), Some(file)) = (&self.handle, &self.options.config_file) else {
            return;
        };
        match Config::read(file) {
            Ok(config) => {
                info!(self.log, "fleet file reloaded"; "seeds" => config.seeds.len());
                handle.reload(config);
            }
            Err(e) => warn!(self.log, "fleet file rejected; previous one kept"; "error" => %e),
        }
    }

    /// Leaves the fleet. The departure is not announced if another process continues under the
    /// node's name.
    pub fn leave(&self, is_replaced: bool) {
        let Some(handle) = &self.handle else {
            return;
        };
        if is_replaced {
            handle.stop_silently();
        } else {
            handle.leave();
        }
    }
}
