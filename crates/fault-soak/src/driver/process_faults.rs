//! Faults that stop processes of the node or have them reload their configuration.

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use serde_json::json;

use super::{start_node, NodeSoak, DOWN_TIME, START_TIMEOUT};
use crate::error::SoakError;
use crate::machine_world::MachineWithPorts;
use crate::plan::STOP_TIMEOUT;
use crate::port::Port;

impl NodeSoak {
    pub(super) fn reload(&mut self) -> Result<(), SoakError> {
        let address = self.node.port.open_address()?;
        self.node.config["executor"] = json!(address);
        self.node.process.reload(&self.node.config)?;
        if self.plan.conditions.has_signal_series {
            self.send_signals(&["HUP", "HUP"]);
        }
        Ok(())
    }

    /// Sends SIGTERM to the process, in a series of signals where the conditions ask for it.
    fn request_shutdown(&self) {
        if self.plan.conditions.has_signal_series {
            self.send_signals(&["HUP", "TERM", "TERM", "HUP"]);
        } else {
            self.send_signals(&["TERM"]);
        }
    }

    fn send_signals(&self, signals: &[&str]) {
        for signal in signals {
            self.node.process.signal(signal);
        }
    }

    /// Stops the node with SIGTERM, and starts it again.
    pub(super) fn restart(&mut self) -> Result<(), SoakError> {
        self.journal.drain_began(self.target.generation());
        self.request_shutdown();
        self.wait_for_exit_or_kill("restart");
        self.start_again()
    }

    pub(super) fn kill_and_start(&mut self) -> Result<(), SoakError> {
        self.target.record_kill();
        self.journal.process_killed(self.target.generation());
        self.node.process.kill();
        self.start_again()
    }

    /// Waits until the process exits, or kills it when the platform would.
    pub(super) fn wait_for_exit_or_kill(&mut self, reason: &str) {
        let until = Instant::now() + STOP_TIMEOUT;
        match self.node.process.wait(until) {
            Some(status) if status.success() => {
                self.journal.process_exited();
                self.journal
                    .record_event(format!("{reason}: the process exited by itself"));
            }
            Some(status) => {
                self.journal
                    .record_violation(format!("crash: the process exited with {status}"));
            }
            None => {
                self.journal
                    .record_event(format!("{reason}: the process was killed"));
                self.node.process.kill();
            }
        }
        self.logs.push(self.node.process.log());
    }

    /// Starts the node and its machine again, both cold.
    fn start_again(&mut self) -> Result<(), SoakError> {
        self.target.set_address(None);
        thread::sleep(DOWN_TIME);
        let machine = MachineWithPorts::start(&self.plan, self.starts, true, &self.journal);
        let port = machine.ports[0].clone();
        let config =
            self.peer_addresses()
                .config(&self.name, &self.plan, true, port.open_address()?, None);
        let previous = std::mem::replace(&mut *self.simulation.machine(), machine);
        self.peak_runs = self.peak_runs.max(previous.machine.peak_share());
        self.peak_memory = self.peak_memory.max(previous.machine.peak_memory_share());
        self.target.begin_generation();
        self.node = start_node(&self.name, self.starts, config, port)?;
        self.starts += 1;
        let address = self.publish_address()?;
        self.journal
            .record_event(format!("started again at {address}"));
        Ok(())
    }

    /// Starts a second process, and stops the first one once the second listens.
    pub(super) fn replace(&mut self) -> Result<(), SoakError> {
        let address = self.publish_address()?;
        let (port, is_cold) = {
            let mut machine = self.simulation.machine();
            let id = machine.ports.len();
            let port = Port::new(id, machine.machine.clone(), self.journal.clone());
            machine.ports.push(Arc::new(port));
            (
                machine.ports[id].clone(),
                machine.machine.cold_start_and_age().0,
            )
        };
        let executor = port.open_address()?;
        let config =
            self.peer_addresses()
                .config(&self.name, &self.plan, is_cold, executor, Some(address));
        let mut next = start_node(&self.name, self.starts, config, port)?;
        self.starts += 1;
        next.process.wait_for_address(START_TIMEOUT)?;
        self.journal.record_event("the second process listens");
        self.request_shutdown();
        self.wait_for_exit_or_kill("replacement");
        self.node = next;
        Ok(())
    }
}
