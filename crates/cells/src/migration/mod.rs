//! Migration of a tenant from one cell to another. No settlement runs twice, and no acknowledged
//! settlement is lost.
//!
//! Two state machines without I/O implement it: a [`Migration`] at the coordinator, and a [`Fence`]
//! for the tenant at each node. The coordinator writes its state to its journal before it sends the
//! commands of a phase, so a coordinator that was killed resumes from the journal. Messages may be
//! lost, duplicated and delayed: commands are resent until they are acknowledged, and each report
//! names the migration, epoch and incarnation that it belongs to.
//!
//! The protocol is safe because:
//! - a node runs a tenant's requests only while its fence is [`Ownership::Serving`], and a source's
//!   fence becomes `Frozen` before a target's becomes `Serving`;
//! - if a source is unreachable, the coordinator waits: the source serves under a lease that each
//!   contact with the coordinator renews, and the coordinator proceeds only once the lease has
//!   certainly expired or the node's process has certainly exited;
//! - the targets know every key that a source ran or has in flight before they serve; if a source
//!   crashed and lost its keys, the targets treat every marked retry of the tenant as one that may
//!   have run;
//! - epochs only increase at a node, and a command applies to one incarnation of the node and one
//!   migration, so commands that are late, or come from a second coordinator, change nothing.

mod command;
mod fence;
mod phase;
mod state;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use crate::Epoch;
pub use command::{CommandKind, MigrationCommand, MigrationReport};
pub use fence::{Fence, FenceDecision, Ownership};
pub use phase::MigrationPhase;
pub use state::{Migration, MigrationError, MigrationEvent};

/// Identifier of a node within a migration.
pub type NodeId = u32;
/// Hash of a settlement's idempotency key.
pub type KeyHash = u64;
/// Unique identifier of a migration, across all coordinators; 0 means none.
pub type MigrationId = u64;
/// Number of the current run of a node's process, counted from 1; 0 if unknown.
pub type Incarnation = u32;

/// The known status of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyStatus {
    /// The request was sent to run and has not ended, or its outcome is unknown.
    MayHaveRun,
    /// The request ran and was answered.
    Ran,
}

/// Known keys and their status.
pub type KnownKeys = BTreeMap<KeyHash, KeyStatus>;

/// Merges the keys of `learned` into `known`; a key present in both keeps the later status.
fn merge_keys(known: &mut KnownKeys, learned: &KnownKeys) {
    for (key, status) in learned {
        let own = known.entry(*key).or_insert(*status);
        *own = (*own).max(*status);
    }
}
