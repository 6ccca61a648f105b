//! The clients of the simulated fleet: each sends one settlement and retries until it has an
//! answer.

use std::collections::BTreeSet;

use cells::migration::{FenceDecision, Incarnation, KeyHash};
use cells::Name;

use super::{SimulatedFleet, TENANT_COUNT};

/// A settlement and its client.
#[derive(Default)]
pub(crate) struct Settlement {
    tenant: String,
    attempts: u32,
    runs: u32,
    pub(crate) is_acknowledged: bool,
    pub(crate) is_answered: bool,
    /// Node and incarnation that admitted the attempt whose answer the client waits for.
    awaited: Option<(Name, Incarnation)>,
    /// Nodes and incarnations that admitted attempts which may still run.
    pending: BTreeSet<(Name, Incarnation)>,
}

impl Settlement {
    pub(super) fn lose_connection_to(&mut self, node: &Name) {
        self.awaited.take_if(|(awaited, _)| awaited == node);
    }

    pub(super) fn check_invariants(&self) {
        assert!(
            self.runs <= 1,
            "a settlement of {} ran {} times",
            self.tenant,
            self.runs
        );
        assert!(
            !self.is_acknowledged || self.runs == 1,
            "a settlement of {} was acknowledged and never ran",
            self.tenant
        );
    }
}

impl SimulatedFleet {
    /// Sends or resends a client's settlement.
    pub(super) fn send_attempt(&mut self) {
        let index = self.select_client();
        // The router's map may be some epochs old. A key always goes to the same node of a cell.
        let epochs_behind = if self.random.one_in(3) {
            self.random.below(4)
        } else {
            0
        };
        let map = &self.maps[self.maps.len().saturating_sub(1 + epochs_behind)];
        let settlement = &mut self.settlements[index];
        let tenant = settlement.tenant.clone();
        let cell = map.cell_for(&tenant, None).expect("a cell");
        let node = cell.nodes[index % cell.nodes.len()].name.clone();
        let epoch = map.assignment(&tenant).expect("an assignment").since;
        settlement.attempts += 1;
        let is_retry = settlement.attempts > 1;
        if self.exited_nodes.contains(&node) {
            return;
        }
        let fence = self.fence(&node, &tenant);
        let incarnation = fence.incarnation;
        let decision = fence.admit(Some(index as KeyHash), is_retry, epoch);
        let settlement = &mut self.settlements[index];
        match decision {
            FenceDecision::Admit => {
                settlement.awaited = Some((node.clone(), incarnation));
                settlement.pending.insert((node, incarnation));
            }
            FenceDecision::WrongCell(_) | FenceDecision::Migrating(_) => {}
            FenceDecision::MayHaveRun => settlement.is_answered = true,
            FenceDecision::Ran => {
                settlement.is_answered = true;
                settlement.is_acknowledged = true;
            }
        }
    }

    /// Selects a client that waits for no answer, or creates one.
    fn select_client(&mut self) -> usize {
        let idle: Vec<usize> = self
            .open_settlements
            .iter()
            .copied()
            .filter(|index| {
                let settlement = &self.settlements[*index];
                !settlement.is_answered && settlement.awaited.is_none()
            })
            .collect();
        if idle.len() > 12 || (!idle.is_empty() && self.random.one_in(3)) {
            return idle[self.random.below(idle.len())];
        }
        let tenant = format!("t{}", self.random.below(TENANT_COUNT));
        self.settlements.push(Settlement {
            tenant,
            ..Settlement::default()
        });
        let index = self.settlements.len() - 1;
        self.open_settlements.push(index);
        index
    }

    /// Lets an admitted attempt be rejected, run or be answered, or breaks its connection.
    pub(super) fn advance_settlement(&mut self) {
        let settlements = &self.settlements;
        self.open_settlements.retain(|index| {
            !settlements[*index].is_answered || !settlements[*index].pending.is_empty()
        });
        let busy: Vec<usize> = self
            .open_settlements
            .iter()
            .copied()
            .filter(|index| {
                let settlement = &self.settlements[*index];
                settlement.awaited.is_some() || !settlement.pending.is_empty()
            })
            .collect();
        if busy.is_empty() {
            return;
        }
        let index = busy[self.random.below(busy.len())];
        let event = self.random.below(6);
        let settlement = &mut self.settlements[index];
        if event == 0 {
            // The client's connection breaks; it will retry.
            settlement.awaited = None;
            return;
        }
        let Some((node, incarnation)) = settlement.pending.pop_first() else {
            self.answer(index);
            return;
        };
        let is_alive =
            self.incarnations[&node] == incarnation && !self.exited_nodes.contains(&node);
        if event == 1 && is_alive {
            settlement
                .awaited
                .take_if(|awaited| *awaited == (node.clone(), incarnation));
            let tenant = settlement.tenant.clone();
            self.fence(&node, &tenant)
                .record_never_ran(index as KeyHash);
        } else if is_alive || event > 2 {
            // The executor of a node whose process exited may still run the attempt.
            settlement.runs += 1;
        }
    }

    /// Answers the waiting client of a settlement that has run.
    fn answer(&mut self, index: usize) {
        let settlement = &mut self.settlements[index];
        let Some((node, incarnation)) = settlement.awaited.take() else {
            return;
        };
        let tenant = settlement.tenant.clone();
        let fence = self.fence(&node, &tenant);
        if fence.incarnation == incarnation {
            fence.record_ran(index as KeyHash);
            let settlement = &mut self.settlements[index];
            settlement.is_acknowledged = true;
            settlement.is_answered = true;
        }
    }
}
