//! Random faults of the nodes that share a budget and of the network between them.

use std::time::Duration;

use rand::RngExt;

use super::simulation::{BudgetSimulation, Event};

/// Duration of a pause of a process.
const PAUSE_DURATION: Duration = Duration::from_secs(10);
/// Duration until a killed leader restarts.
const LEADER_DOWNTIME: Duration = Duration::from_millis(800);

impl BudgetSimulation {
    /// Injects a random fault or heals the network, and schedules the next fault.
    pub(super) fn inject_fault(&mut self) {
        let id = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..6) {
            0 => {
                let downtime = Duration::from_millis(self.rng.random_range(50..9000));
                self.kill(id, downtime);
            }
            1 => {
                if let Some(leader) = self.leader() {
                    self.kill(leader, LEADER_DOWNTIME);
                }
            }
            2 => self.nodes[id].paused_until = self.now + PAUSE_DURATION,
            3 => self.partition_network(),
            _ => self.heal_network(),
        }
        let delay = Duration::from_millis(self.rng.random_range(200..6000));
        self.schedule(delay, Event::Fault);
    }

    fn kill(&mut self, id: usize, downtime: Duration) {
        self.nodes[id].budgets = None;
        self.schedule(downtime, Event::Restart(id));
    }

    /// Returns the first node that grants leases.
    fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|id| {
            let budgets = self.nodes[*id].budgets.as_ref();
            budgets.is_some_and(|budgets| budgets.lease_tables(self.clock(*id)).is_some())
        })
    }

    fn partition_network(&mut self) {
        let partition_count = self.rng.random_range(2..4);
        for node in &mut self.nodes {
            node.partition = self.rng.random_range(0..partition_count);
        }
    }

    fn heal_network(&mut self) {
        for node in &mut self.nodes {
            node.partition = 0;
        }
    }
}
