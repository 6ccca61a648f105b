//! The model: its bounds, the effect of each action, and the properties that must hold.

use cells::migration::{
    FenceDecision, Incarnation, KeyHash, MigrationCommand, MigrationEvent, NodeId,
};
use cells::{Fence, MigrationPhase};
use stateright::{Model, Property};

use crate::action::{possible_actions, Action};
use crate::state::{AttemptState, Client, ModelState, SOURCE, TARGET};

/// A bug that is deliberately injected into the protocol, to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The keys of the sources are not handed over.
    SkipHandOver,
    /// The coordinator proceeds before the sources are frozen.
    SkipFreeze,
    /// Keys that were lost when a source crashed are not taken into account.
    ForgetLostKeys,
    /// Nodes execute commands for an earlier incarnation.
    IgnoreIncarnation,
    /// A source that sends no messages is treated as fenced while its lease is valid.
    FenceTooSoon,
    /// A target that restarted is told to serve without receiving the keys again.
    SkipRepeatedHandOver,
}

/// The bounds of the model, and its injected bug, if any.
#[derive(Clone, Debug)]
pub struct MigrationModel {
    /// Maximum number of attempts of each client.
    pub max_attempts: u8,
    /// Number of clients, each with a settlement of its own.
    pub clients: u8,
    /// Maximum number of node crashes in total.
    pub max_crashes: u8,
    /// Injected bug, if any.
    pub injected_bug: Option<InjectedBug>,
}

impl MigrationModel {
    /// Applies an event to the coordinator, and then the injected bug.
    fn apply_event(&self, state: &mut ModelState, event: &MigrationEvent) {
        state.migration.apply(event);
        self.inject_bug(state);
        state.send_commands();
    }

    fn inject_bug(&self, state: &mut ModelState) {
        let migration = &mut state.migration;
        match self.injected_bug {
            Some(InjectedBug::SkipHandOver) if migration.phase == MigrationPhase::HandOver => {
                migration.phase = MigrationPhase::Commit;
            }
            Some(InjectedBug::SkipFreeze) if migration.phase == MigrationPhase::Freeze => {
                migration.phase = MigrationPhase::HandOver;
            }
            Some(InjectedBug::ForgetLostKeys) => migration.may_lack_keys = false,
            Some(InjectedBug::SkipRepeatedHandOver) => migration.restarted_targets.clear(),
            _ => {}
        }
    }

    fn deliver_command(
        &self,
        state: &mut ModelState,
        node: NodeId,
        mut command: MigrationCommand,
    ) -> Option<()> {
        let fence = state.fence_mut(node)?;
        if self.injected_bug == Some(InjectedBug::IgnoreIncarnation) {
            command.incarnation = fence.incarnation;
        }
        let report = fence.handle_command(&command);
        state.reports.insert((node, report));
        Some(())
    }

    /// Applies an action; returns none if it is impossible.
    fn apply(&self, state: &mut ModelState, action: Action) -> Option<()> {
        match action {
            Action::DeliverCommand(node, command) => self.deliver_command(state, node, command)?,
            Action::DeliverReport(node, report) => {
                self.apply_event(state, &MigrationEvent::ReportReceived(node, report));
            }
            Action::Crash(node) => crash(state, node),
            Action::Restart(node) => restart(state, node),
            Action::ExpireLease(node) => state.fence_mut(node)?.expire_lease(),
            Action::Fence(node) => self.apply_event(state, &MigrationEvent::NodeFenced(node)),
            Action::Abort => {
                state.migration.apply(&MigrationEvent::AbortRequested);
                state.send_commands();
            }
            Action::SendAttempt(client, node, epoch) => {
                let client = &mut state.clients[client];
                client.attempts += 1;
                client.attempt = AttemptState::Sent(node, epoch);
            }
            Action::DeliverAttempt(client) => deliver_attempt(state, client)?,
            Action::BreakConnection(client) => state.clients[client].attempt = AttemptState::Idle,
            Action::Reject(client, node, incarnation) => reject(state, client, node, incarnation),
            Action::Run(client, node, incarnation) => {
                // The node may never learn that the attempt ran; its key then remains one that may
                // have run.
                let client = &mut state.clients[client];
                client.pending.remove(&(node, incarnation));
                client.runs += 1;
            }
            Action::Answer(client, node, incarnation) => answer(state, client, node, incarnation),
        }
        Some(())
    }
}

fn crash(state: &mut ModelState, node: NodeId) {
    state.fences[node as usize] = None;
    state.crashes += 1;
    for client in &mut state.clients {
        if matches!(client.attempt, AttemptState::InFlight(at, _) if at == node) {
            client.attempt = AttemptState::Idle;
        }
    }
}

fn restart(state: &mut ModelState, node: NodeId) {
    let node = node as usize;
    state.incarnations[node] += 1;
    state.fences[node] = Some(Fence::started(state.incarnations[node]));
}

fn deliver_attempt(state: &mut ModelState, index: usize) -> Option<()> {
    let client = &mut state.clients[index];
    let AttemptState::Sent(node, epoch) = client.attempt else {
        return None;
    };
    let Some(fence) = state.fences[node as usize].as_mut() else {
        client.attempt = AttemptState::Idle;
        return Some(());
    };
    let is_retry = client.attempts > 1;
    client.attempt = match fence.admit(Some(index as KeyHash), is_retry, epoch) {
        FenceDecision::Admit => {
            client.pending.insert((node, fence.incarnation));
            AttemptState::InFlight(node, fence.incarnation)
        }
        FenceDecision::WrongCell(_) | FenceDecision::Migrating(_) => AttemptState::Idle,
        FenceDecision::MayHaveRun => {
            client.is_in_doubt = true;
            AttemptState::Answered
        }
        FenceDecision::Ran => {
            client.is_acknowledged = true;
            AttemptState::Answered
        }
    };
    Some(())
}

fn reject(state: &mut ModelState, index: usize, node: NodeId, incarnation: Incarnation) {
    let client = &mut state.clients[index];
    client.pending.remove(&(node, incarnation));
    if client.attempt == AttemptState::InFlight(node, incarnation) {
        client.attempt = AttemptState::Idle;
    }
    if let Some(fence) = state.fence_of_incarnation(node, incarnation) {
        fence.record_never_ran(index as KeyHash);
    }
}

fn answer(state: &mut ModelState, index: usize, node: NodeId, incarnation: Incarnation) {
    if let Some(fence) = state.fence_of_incarnation(node, incarnation) {
        fence.record_ran(index as KeyHash);
    }
    let client = &mut state.clients[index];
    client.is_acknowledged = true;
    client.attempt = AttemptState::Answered;
}

/// Returns true if the target knows the first settlement's key and a settlement was acknowledged.
fn target_knows_acknowledged_settlement(state: &ModelState) -> bool {
    let is_known = state
        .fence(TARGET)
        .is_some_and(|fence| fence.keys.contains_key(&0));
    is_known && state.clients.iter().any(|client| client.is_acknowledged)
}

impl Model for MigrationModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        ModelState::initial(self.clients).into_iter().collect()
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        possible_actions(self, state, actions);
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        self.apply(&mut state, action)?;
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn has_client(state: &ModelState, is_match: impl Fn(&Client) -> bool) -> bool {
            state.clients.iter().any(is_match)
        }
        vec![
            Property::always("no settlement runs twice", |_, state: &ModelState| {
                !has_client(state, |client| client.runs > 1)
            }),
            Property::always(
                "acknowledged settlements have run",
                |_, state: &ModelState| {
                    !has_client(state, |client| client.is_acknowledged && client.runs != 1)
                },
            ),
            Property::always("only one side serves", |_, state: &ModelState| {
                !(state.is_serving(SOURCE) && state.is_serving(TARGET))
            }),
            Property::sometimes("a migration is done", |_, state: &ModelState| {
                state.migration.phase == MigrationPhase::Done
            }),
            Property::sometimes("a migration is aborted", |_, state: &ModelState| {
                state.migration.phase == MigrationPhase::Aborted
            }),
            Property::sometimes("a retry may have run", |_, state: &ModelState| {
                has_client(state, |client| client.is_in_doubt)
            }),
            Property::sometimes("the target runs a settlement", |_, state: &ModelState| {
                target_knows_acknowledged_settlement(state)
            }),
        ]
    }
}
