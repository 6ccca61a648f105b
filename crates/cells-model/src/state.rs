//! The state of the model.

use std::collections::BTreeSet;

use cells::migration::{Epoch, Incarnation, MigrationCommand, MigrationReport, NodeId, Ownership};
use cells::{Fence, Migration};

/// The node that serves the tenant before the migration.
pub(crate) const SOURCE: NodeId = 0;
/// The node that serves it afterwards.
pub(crate) const TARGET: NodeId = 1;
/// The epoch before the migration.
pub(crate) const FIRST_EPOCH: Epoch = 1;
/// The number of the migration.
const MIGRATION_ID: u64 = 7;

/// Where a client's attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// No attempt is in progress.
    Idle,
    /// It is on its way to this node, by a router that knows this epoch.
    Sent(NodeId, Epoch),
    /// It was admitted by this incarnation of this node.
    InFlight(NodeId, Incarnation),
    /// The client has its final answer.
    Answered,
}

/// A client and its settlement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// The number of attempts so far.
    pub attempts: u8,
    /// The present attempt.
    pub attempt: AttemptState,
    /// Whether the client was told that the settlement ran.
    pub is_acknowledged: bool,
    /// Whether the client was told that the settlement may have run.
    pub is_in_doubt: bool,
    /// How often the settlement ran.
    pub runs: u8,
    /// Where it was admitted and may still run, whether the client waits for it or not.
    pub pending: BTreeSet<(NodeId, Incarnation)>,
}

impl Client {
    fn new() -> Client {
        Client {
            attempts: 0,
            attempt: AttemptState::Idle,
            is_acknowledged: false,
            is_in_doubt: false,
            runs: 0,
            pending: BTreeSet::new(),
        }
    }
}

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    /// The coordinator's journal; the coordinator's memory never holds more.
    pub migration: Migration,
    /// The fence of each node; none while its process is dead.
    pub fences: Vec<Option<Fence>>,
    /// The incarnation of each node; the last one while its process is dead.
    pub incarnations: Vec<Incarnation>,
    /// The commands that were ever sent: any may arrive at any time, repeatedly or never.
    pub commands: BTreeSet<(NodeId, MigrationCommand)>,
    /// The reports that were ever sent; they may arrive likewise.
    pub reports: BTreeSet<(NodeId, MigrationReport)>,
    /// The clients.
    pub clients: Vec<Client>,
    /// The number of crashes so far.
    pub crashes: u8,
}

impl ModelState {
    /// The state in which the migration has just been created; none if it can't be.
    pub(crate) fn initial(clients: u8) -> Option<ModelState> {
        let migration = Migration::new(
            MIGRATION_ID,
            FIRST_EPOCH + 1,
            BTreeSet::from([SOURCE]),
            BTreeSet::from([TARGET]),
        )
        .ok()?;
        let mut state = ModelState {
            migration,
            fences: vec![
                Some(Fence::serving(1, FIRST_EPOCH)),
                Some(Fence::started(1)),
            ],
            incarnations: vec![1, 1],
            commands: BTreeSet::new(),
            reports: BTreeSet::new(),
            clients: vec![Client::new(); usize::from(clients)],
            crashes: 0,
        };
        state.send_commands();
        Some(state)
    }

    /// Sends the commands of the migration's present phase.
    pub(crate) fn send_commands(&mut self) {
        self.commands.extend(self.migration.commands());
    }

    /// The fence of a node whose process lives.
    pub(crate) fn fence(&self, node: NodeId) -> Option<&Fence> {
        self.fences[node as usize].as_ref()
    }

    /// The fence of a node whose process lives.
    pub(crate) fn fence_mut(&mut self, node: NodeId) -> Option<&mut Fence> {
        self.fences[node as usize].as_mut()
    }

    /// The fence of a node, if its process is still in this incarnation.
    pub(crate) fn fence_of_incarnation(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Option<&mut Fence> {
        self.fence_mut(node)
            .filter(|fence| fence.incarnation == incarnation)
    }

    /// Whether a node serves the tenant.
    pub(crate) fn is_serving(&self, node: NodeId) -> bool {
        self.fence(node)
            .is_some_and(|fence| fence.ownership == Ownership::Serving && fence.has_lease)
    }
}
