//! Starts processes.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::json;
use test_doubles::{try_node_command, try_wait_until, FakeExecutor, Node, ScratchFile};

use super::{Testbed, LOOPBACK_ANY_PORT};
use crate::error::TestbedError;

impl Testbed {
    /// Starts a node, which may have run before, without waiting until it is up.
    ///
    /// # Errors
    /// [`TestbedError`] if the name is unknown, or a file can't be written or the process not
    /// started.
    pub fn try_start(&mut self, name: &str) -> Result<(), TestbedError> {
        let slot = self.try_slot(name)?;
        let database = self.proxied_database.unwrap_or(self.database.address);
        let settings = self.node_settings(name, &slot.executor, database);
        TestbedError::write_file(slot.config.path(), &settings.to_string())?;
        let fleet_file = self.write_fleet_file(name, LOOPBACK_ANY_PORT.into())?;
        let mut command = try_node_command(&slot.config)?;
        command.arg("--fleet").arg(fleet_file);
        self.launch(name, command)?;
        self.try_slot_mut(name)?.is_paused = false;
        Ok(())
    }

    /// Starts a router in front of all other processes, which are the nodes of one cell, without
    /// waiting until it is up. If `uses_membership` is true, it takes the nodes from the fleet's
    /// membership; otherwise it queries each of them.
    ///
    /// # Errors
    /// [`TestbedError`] if the name is unknown, or a file can't be written or the process not
    /// started.
    pub fn try_start_router(
        &mut self,
        name: &str,
        uses_membership: bool,
    ) -> Result<(), TestbedError> {
        let fleet_file = self.write_fleet_file(name, LOOPBACK_ANY_PORT.into())?;
        let router_file = self.write_router_file(name, uses_membership.then_some(fleet_file))?;
        let mut command = try_node_command(&self.try_slot(name)?.config)?;
        command.arg("route").arg(router_file);
        self.launch(name, command)?;
        self.try_slot_mut(name)?.is_fleet_member = uses_membership;
        Ok(())
    }

    /// Starts the process of a slot.
    fn launch(&mut self, name: &str, command: Command) -> Result<(), TestbedError> {
        let peers = self.peers(&self.try_slot(name)?.executor);
        // The process reads the slot's configuration file, which is reused at the next start.
        // `Node` must own a file as well, and gets an empty one.
        let unused_file = ScratchFile::try_new(&format!("{name}.spare"), "")?;
        let node = Node::try_spawn_command(command, peers, unused_file)
            .map_err(TestbedError::process(name))?;
        self.proxy.set_pid(name, node.process.id());
        self.record_event("start", json!(name));
        self.try_slot_mut(name)?.process = Some(node);
        Ok(())
    }

    /// Waits until these processes are up, and connects the proxy to them.
    ///
    /// # Errors
    /// [`TestbedError`] if one is not running or not up in time.
    pub fn try_wait_until_up(&mut self, names: &[&str]) -> Result<(), TestbedError> {
        for name in names {
            let is_fleet_member = self.try_slot(name)?.is_fleet_member;
            if is_fleet_member {
                let address = self.wait_for_logged_address(name, "fleet")?;
                self.proxy.set_datagram_target(name, address)?;
            }
            let address = self.wait_for_logged_address(name, "listening")?;
            self.proxy.set_stream_target(name, address)?;
            if let Some(node) = &mut self.try_slot_mut(name)?.process {
                node.address = address;
            }
        }
        Ok(())
    }

    fn wait_for_logged_address(
        &self,
        name: &str,
        message: &str,
    ) -> Result<SocketAddr, TestbedError> {
        let node = self.try_node(name)?;
        let mut address = None;
        try_wait_until(&format!("the address of: {message}"), || {
            address = node.logged_address(message);
            address.is_some()
        })
        .map_err(TestbedError::process(name))?;
        address.ok_or_else(|| TestbedError::NotRunning(name.into()))
    }

    /// Starts a second process of a running node concurrently with the first one. It receives the
    /// fleet's datagrams at `listen`.
    ///
    /// # Errors
    /// [`TestbedError`] if the node is not running, or a file can't be written or the process not
    /// started.
    pub fn try_start_replacement(
        &self,
        name: &str,
        listen: SocketAddr,
    ) -> Result<Node, TestbedError> {
        let first = self.try_node(name)?;
        let executor = FakeExecutor::try_start()?;
        let mut settings = self.node_settings(name, &executor, self.database.address);
        settings["listen"] = json!(first.address);
        let config = ScratchFile::try_new(&format!("{name}.second.json"), &settings.to_string())?;
        let mut command = try_node_command(&config)?;
        command
            .arg("--fleet")
            .arg(self.write_fleet_file(name, listen)?);
        let mut node = Node::try_spawn_command(command, self.peers(&executor), config)
            .map_err(TestbedError::process(name))?;
        node.address = first.address;
        self.record_event("successor", json!(name));
        Ok(node)
    }
}
