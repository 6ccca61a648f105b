//! The division of the node's resources between this process and another one of the same node.

use std::sync::Arc;

use crossbeam_channel::Sender;
use lifecycle::{connection_shares, SiblingProcess, TOTAL_SHARES};
use protocol_gateway::instance_lock::{InstanceLock, ResourceShareLocks};
use protocol_gateway::node::{NodeStatus, PolicyMessage, RemainingWork};
use slog::Logger;

/// Holds this process's resource shares and publishes their number.
pub(crate) struct ResourceDivider {
    pub(crate) locks: ResourceShareLocks,
    pub(crate) status: Arc<NodeStatus>,
    pub(crate) policy: Sender<PolicyMessage>,
    /// Maximum number of client connections of the whole node.
    pub(crate) max_connections: usize,
    /// Number of shares last sent to the policy; `None` before the first update.
    pub(crate) published: Option<u32>,
    /// True if another process of the node was running at the last update.
    pub(crate) had_sibling: bool,
    pub(crate) log: Logger,
}

impl ResourceDivider {
    /// Returns whether this process holds all shares, as it does if there is no other.
    pub(crate) fn holds_all(&self) -> bool {
        self.locks.held() == TOTAL_SHARES
    }

    /// Returns whether this process holds any share.
    pub(crate) fn holds_any(&self) -> bool {
        self.locks.held() > 0
    }

    /// Acquires or releases shares after a change of the other process. `connections` is the number
    /// of this process's client connections.
    pub(crate) fn update(&mut self, instance_lock: &InstanceLock, connections: usize) {
        let scaled = connections * TOTAL_SHARES as usize;
        let shares_of_connections = scaled.div_ceil(self.max_connections.max(1)) as u32;
        let used = self.status.used_shares().max(shares_of_connections);
        let process_state = self.status.process_state();
        let sibling = instance_lock.sibling();
        let has_sibling = sibling != SiblingProcess::Absent;
        let was_present = std::mem::replace(&mut self.had_sibling, has_sibling);
        let sibling_ended = was_present && !has_sibling;
        if has_sibling && !was_present {
            // Sent before the other process gets a share, without which it accepts no clients.
            let _ = self.policy.send(PolicyMessage::SiblingSeen);
        }
        let before = self.locks.held();
        let _ = self.locks.update(process_state, sibling, used, &self.log);
        let held = self.locks.held();
        let connection_shares = connection_shares(held, has_sibling);
        self.status.set_connection_shares(connection_shares);
        if sibling_ended {
            self.inherit_work(instance_lock, held.saturating_sub(before));
        }
        // The actors assume that this process is the only one until they receive a number of
        // shares, so that 0 is published as well.
        if self.published.replace(held) == Some(held) {
            return;
        }
        // The policy reads its mailbox without delay. If its thread has ended, the process ends.
        let _ = self.policy.send(PolicyMessage::ResourceSharesChanged(held));
    }

    /// Reports to the policy the work that the other process left running when it ended and freed
    /// this many shares. A process releases the shares that its work does not need, so that the
    /// freed shares bound that work.
    fn inherit_work(&self, instance_lock: &InstanceLock, freed_shares: u32) {
        let recorded = instance_lock.take_sibling_work(&self.log);
        let killed = RemainingWork::Killed {
            shares: freed_shares,
            calls: instance_lock.take_sibling_calls(),
        };
        let left = recorded.map_or(killed, RemainingWork::Recorded);
        let _ = self.policy.send(PolicyMessage::SiblingEnded(left));
    }
}
