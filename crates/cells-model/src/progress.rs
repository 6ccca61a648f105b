//! Checks that message loss, crashes or answers never leave a migration stuck.

use std::collections::HashMap;

use stateright::Model;

use crate::model::MigrationModel;
use crate::state::ModelState;

/// The result of [`check_every_migration_can_finish`].
pub struct ProgressReport {
    /// Number of reachable states.
    pub states: usize,
    /// State from which the migration can't finish, if there is one.
    pub stuck: Option<ModelState>,
}

/// Checks whether the migration can still finish from every reachable state. All states are kept in
/// memory, so this is for models with small bounds.
pub fn check_every_migration_can_finish(model: &MigrationModel) -> ProgressReport {
    let graph = StateGraph::explore(model);
    let can_finish = graph.states_that_can_finish();
    let stuck = can_finish.iter().position(|can_finish| !can_finish);
    ProgressReport {
        states: graph.states.len(),
        stuck: stuck.map(|index| graph.states[index].clone()),
    }
}

/// The graph of reachable states.
struct StateGraph {
    states: Vec<ModelState>,
    /// Predecessors of each state, by index.
    predecessors: Vec<Vec<usize>>,
}

impl StateGraph {
    fn explore(model: &MigrationModel) -> StateGraph {
        let states = model.init_states();
        let mut indexes: HashMap<ModelState, usize> = states.iter().cloned().zip(0..).collect();
        let mut graph = StateGraph {
            predecessors: vec![Vec::new(); states.len()],
            states,
        };
        let mut current = 0;
        while current < graph.states.len() {
            for next in model.next_states(&graph.states[current].clone()) {
                let index = *indexes
                    .entry(next)
                    .or_insert_with_key(|state| graph.add_state(state));
                graph.predecessors[index].push(current);
            }
            current += 1;
        }
        graph
    }

    fn add_state(&mut self, state: &ModelState) -> usize {
        self.states.push(state.clone());
        self.predecessors.push(Vec::new());
        self.states.len() - 1
    }

    /// Returns for each state whether the migration can finish from it, by a backward search from
    /// the finished states.
    fn states_that_can_finish(&self) -> Vec<bool> {
        let mut can_finish = vec![false; self.states.len()];
        let mut to_visit: Vec<usize> = (0..self.states.len())
            .filter(|index| self.states[*index].migration.is_finished())
            .collect();
        while let Some(index) = to_visit.pop() {
            let is_visited = std::mem::replace(&mut can_finish[index], true);
            if !is_visited {
                let predecessors = self.predecessors[index].iter().copied();
                to_visit.extend(predecessors.filter(|index| !can_finish[*index]));
            }
        }
        can_finish
    }
}
