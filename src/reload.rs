//! A reload of the configuration while the node runs.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use protocol_gateway::net::{endpoint_list, PeerAddress};
use protocol_gateway::node::config::Config;
use protocol_gateway::node::CellGuard;
use slog::{info, warn, Logger};

/// Reads the configuration again and notifies the actors of peers whose addresses have changed.
pub(crate) struct ConfigReloader {
    /// The node's name, which does not change while it runs.
    pub(crate) name: String,
    /// The address for clients, which does not change while the node runs.
    pub(crate) listen: SocketAddr,
    pub(crate) cells: Option<CellGuard>,
    pub(crate) executor: SocketAddr,
    pub(crate) executor_addresses: Sender<SocketAddr>,
    pub(crate) database: Arc<PeerAddress>,
    pub(crate) endpoint_list: SocketAddr,
    pub(crate) endpoint_list_reports: Sender<endpoint_list::EndpointListMessage>,
    pub(crate) log: Logger,
}

impl ConfigReloader {
    /// Reloads the cells file and the configuration. A file that can't be used changes nothing.
    pub(crate) fn reload(&mut self) {
        match self.cells.as_ref().map(CellGuard::reload) {
            Some(Ok(epoch)) => info!(self.log, "cells file reloaded"; "epoch" => epoch),
            Some(Err(e)) => {
                warn!(self.log, "cells file rejected; previous layout kept"; "error" => %e);
            }
            None => {}
        }
        match Config::from_env() {
            Ok(config) => self.apply(&config),
            Err(e) => warn!(self.log, "configuration rejected; previous one kept"; "error" => %e),
        }
    }

    fn apply(&mut self, config: &Config) {
        if config.name != self.name || config.listen != self.listen {
            warn!(
                self.log,
                "name and listening address not reloaded: changing them requires a restart"
            );
        }
        info!(self.log, "configuration reloaded"; "executor" => %config.executor,
            "database" => ?config.database, "endpoint_list" => %config.endpoint_list);
        // The actors always read these mailboxes, so the sends don't block for long. If an actor's
        // thread has ended, the node is shutting down already.
        if self.executor != config.executor {
            self.executor = config.executor;
            let _ = self.executor_addresses.send(config.executor);
        }
        self.database.set(config.database);
        if self.endpoint_list != config.endpoint_list {
            self.endpoint_list = config.endpoint_list;
            let message = endpoint_list::EndpointListMessage::AddressChanged(config.endpoint_list);
            let _ = self.endpoint_list_reports.send(message);
        }
    }
}
