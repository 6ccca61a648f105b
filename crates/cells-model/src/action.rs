//! The actions that are possible in a state of the model.

use cells::migration::{Epoch, Incarnation, MigrationCommand, MigrationReport, NodeId, Ownership};
use cells::MigrationPhase;

use crate::model::{InjectedBug, MigrationModel};
use crate::state::{AttemptState, ModelState, FIRST_EPOCH, SOURCE, TARGET};

/// A transition of the model. Clients are identified by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A command arrives at a node.
    DeliverCommand(NodeId, MigrationCommand),
    /// A node's report arrives at the coordinator.
    DeliverReport(NodeId, MigrationReport),
    /// A node's process crashes; its executor may continue to run attempts.
    Crash(NodeId),
    /// A crashed node's process restarts.
    Restart(NodeId),
    /// A source's lease expires, because no message from the coordinator was received for the
    /// lease's duration.
    ExpireLease(NodeId),
    /// The coordinator is certain that a node serves no requests.
    Fence(NodeId),
    /// The migration is aborted.
    Abort,
    /// A client sends its settlement to a node, through a router that knows this epoch.
    SendAttempt(usize, NodeId, Epoch),
    /// The client's attempt arrives at the node.
    DeliverAttempt(usize),
    /// The client's connection breaks, before or after the attempt arrived.
    BreakConnection(usize),
    /// An admitted attempt is rejected before it runs.
    Reject(usize, NodeId, Incarnation),
    /// An admitted attempt runs.
    Run(usize, NodeId, Incarnation),
    /// The node learns that the attempt has ended, and answers the waiting client.
    Answer(usize, NodeId, Incarnation),
}

/// Appends all actions that are possible in a state.
pub(crate) fn possible_actions(
    model: &MigrationModel,
    state: &ModelState,
    actions: &mut Vec<Action>,
) {
    for (node, command) in &state.commands {
        actions.push(Action::DeliverCommand(*node, command.clone()));
    }
    for (node, report) in &state.reports {
        actions.push(Action::DeliverReport(*node, report.clone()));
    }
    if !state.migration.is_finished() {
        actions.push(Action::Abort);
    }
    for node in [SOURCE, TARGET] {
        node_actions(model, state, node, actions);
    }
    for client in 0..state.clients.len() {
        client_actions(model, state, client, actions);
    }
}

fn node_actions(
    model: &MigrationModel,
    state: &ModelState,
    node: NodeId,
    actions: &mut Vec<Action>,
) {
    let Some(fence) = state.fence(node) else {
        actions.push(Action::Restart(node));
        actions.push(Action::Fence(node));
        return;
    };
    if state.crashes < model.max_crashes {
        actions.push(Action::Crash(node));
    }
    if node != SOURCE {
        return;
    }
    if fence.has_lease {
        actions.push(Action::ExpireLease(node));
    }
    let is_certain = !fence.has_lease && fence.ownership != Ownership::NotOwner;
    if is_certain || model.injected_bug == Some(InjectedBug::FenceTooSoon) {
        actions.push(Action::Fence(node));
    }
}

fn client_actions(
    model: &MigrationModel,
    state: &ModelState,
    index: usize,
    actions: &mut Vec<Action>,
) {
    let client = &state.clients[index];
    match client.attempt {
        AttemptState::Idle if client.attempts < model.max_attempts => {
            // Through any router, whether or not it knows of the commit.
            for epoch in FIRST_EPOCH..=newest_epoch(state) {
                for node in [SOURCE, TARGET] {
                    actions.push(Action::SendAttempt(index, node, epoch));
                }
            }
        }
        AttemptState::Idle | AttemptState::Answered => {}
        AttemptState::Sent(..) => {
            actions.push(Action::DeliverAttempt(index));
            actions.push(Action::BreakConnection(index));
        }
        AttemptState::InFlight(..) => actions.push(Action::BreakConnection(index)),
    }
    for (node, incarnation) in client.pending.iter().copied() {
        actions.push(Action::Run(index, node, incarnation));
        actions.push(Action::Reject(index, node, incarnation));
    }
    if let AttemptState::InFlight(node, incarnation) = client.attempt {
        if client.runs > 0 && !client.pending.contains(&(node, incarnation)) {
            actions.push(Action::Answer(index, node, incarnation));
        }
    }
}

/// Returns the newest epoch that a router may know.
fn newest_epoch(state: &ModelState) -> Epoch {
    if state.migration.phase >= MigrationPhase::Commit {
        state.migration.epoch
    } else {
        FIRST_EPOCH
    }
}
