//! Migration of a tenant from one cell to another, so that no settlement runs twice and none that was acknowledged is
//! lost.
//!
//! There are two state machines without I/O: a [`Migration`] at the coordinator and a [`Fence`] for the tenant at each
//! node. The coordinator writes its state to its journal before it sends the commands of a phase, so a coordinator that
//! was killed resumes from the journal. Messages may be lost, duplicated and delayed: commands are sent again until they
//! are acknowledged, and each report names the migration, epoch and incarnation that it belongs to.
//!
//! The protocol is safe because:
//! - a node runs a tenant's requests only while its fence is [`Ownership::Serving`], and a source's fence becomes
//!   `Frozen` before a target's becomes `Serving`;
//! - a source that can't be reached is waited out: it serves under a lease that each contact with the coordinator
//!   renews, and the coordinator proceeds only once the lease has certainly expired or the node has certainly died;
//! - every key that a source ran or has in flight is known at the targets before they serve; where a source died with
//!   its keys, the targets treat every marked retry of the tenant as one that may have run;
//! - epochs only rise at a node, and a command is for one incarnation of the node and one migration, so commands that
//!   are late, or come from a second coordinator, change nothing.

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

/// The number of a node within a migration.
pub type NodeId = u32;
/// The hash of a settlement's idempotency key.
pub type KeyHash = u64;
/// The unique number of a migration, whichever coordinator made it; 0 is none.
pub type MigrationId = u64;
/// Counts the runs of a node's process from 1; 0 where it is not known.
pub type Incarnation = u32;

/// What is known of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyStatus {
    /// It was sent to run and has not ended, or its outcome is unknown.
    MayHaveRun,
    /// It ran and was answered.
    Ran,
}

/// Keys and what is known of each.
pub type KnownKeys = BTreeMap<KeyHash, KeyStatus>;

/// Adds the keys of `learned` to `known`; a key known on both sides keeps the later status.
fn merge_keys(known: &mut KnownKeys, learned: &KnownKeys) {
    for (key, status) in learned {
        let own = known.entry(*key).or_insert(*status);
        *own = (*own).max(*status);
    }
}
