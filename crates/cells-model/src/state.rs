//! The state of the model.

use std::collections::BTreeSet;

use cells::migration::{Epoch, Incarnation, MigrationCommand, MigrationReport, NodeId, Ownership};
use cells::{Fence, Migration};

/// The node that serves the tenant before the migration.
pub(crate) const SOURCE: NodeId = 0;
/// The node that serves the tenant after the migration.
pub(crate) const TARGET: NodeId = 1;
/// The epoch before the migration.
pub(crate) const FIRST_EPOCH: Epoch = 1;
/// Identifier of the migration.
const MIGRATION_ID: u64 = 7;

/// The state of a client's current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// No attempt is in progress.
    Idle,
    /// The attempt is in transit to this node, through a router that knows this epoch.
    Sent(NodeId, Epoch),
    /// The attempt was admitted by this incarnation of this node.
    InFlight(NodeId, Incarnation),
    /// The client has received its final answer.
    Answered,
}

/// A client and its settlement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// Number of attempts so far.
    pub attempts: u8,
    /// State of the current attempt.
    pub attempt: AttemptState,
    /// True if the client was told that the settlement ran.
    pub is_acknowledged: bool,
    /// True if the client was told that the settlement may have run.
    pub is_in_doubt: bool,
    /// Number of times the settlement ran.
    pub runs: u8,
    /// Nodes and incarnations that admitted the settlement and may still run it, whether or not the
    /// client still waits.
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
    /// Content of the coordinator's journal; the coordinator's memory never holds more.
    pub migration: Migration,
    /// Fence of each node; none while its process is not running.
    pub fences: Vec<Option<Fence>>,
    /// Incarnation of each node; the previous one while its process is not running.
    pub incarnations: Vec<Incarnation>,
    /// All commands sent so far: any may arrive at any time, repeatedly or never.
    pub commands: BTreeSet<(NodeId, MigrationCommand)>,
    /// All reports sent so far; they may arrive in the same way.
    pub reports: BTreeSet<(NodeId, MigrationReport)>,
    /// The clients.
    pub clients: Vec<Client>,
    /// Number of crashes so far.
    pub crashes: u8,
}

impl ModelState {
    /// Returns the state in which the migration has just been created; none if it can't be created.
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

    /// Sends the commands of the migration's current phase.
    pub(crate) fn send_commands(&mut self) {
        self.commands.extend(self.migration.commands());
    }

    /// Returns the fence of a node if its process is running.
    pub(crate) fn fence(&self, node: NodeId) -> Option<&Fence> {
        self.fences[node as usize].as_ref()
    }

    /// Returns the fence of a node for modification if its process is running.
    pub(crate) fn fence_mut(&mut self, node: NodeId) -> Option<&mut Fence> {
        self.fences[node as usize].as_mut()
    }

    /// Returns the fence of a node if its process is still in this incarnation.
    pub(crate) fn fence_of_incarnation(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Option<&mut Fence> {
        self.fence_mut(node)
            .filter(|fence| fence.incarnation == incarnation)
    }

    /// Returns true if a node serves the tenant and has a lease.
    pub(crate) fn is_serving(&self, node: NodeId) -> bool {
        self.fence(node)
            .is_some_and(|fence| fence.ownership == Ownership::Serving && fence.has_lease)
    }
}
