//! The partition status of a node: whether it can see a majority of the fleet.

use std::time::Duration;

use super::MembershipView;

/// How much of the fleet a node can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionStatus {
    /// The node sees more than half of the members that have not left.
    Majority,
    /// The node sees half of them or fewer, and must not decide on behalf of the others.
    Minority,
    /// The node sees no other member, although others are known or expected.
    Isolated,
}

impl PartitionStatus {
    /// Returns the name of the status in datagrams, command output and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PartitionStatus::Majority => "whole",
            PartitionStatus::Minority => "part",
            PartitionStatus::Isolated => "alone",
        }
    }
}

impl MembershipView {
    /// Returns the time without any datagram from other members after which a node is isolated.
    /// Each member is probed by another about once per interval.
    fn isolation_timeout(&self) -> Duration {
        self.settings.min_suspicion_timeout(self.present_count()) + self.settings.probe_interval * 2
    }

    /// Returns the time at which the node becomes isolated if it receives nothing until then.
    /// `None` if that would not change the status.
    pub(super) fn isolation_deadline(&self) -> Option<Duration> {
        let can_become_isolated =
            self.present_count() > 1 && self.partition_status != PartitionStatus::Isolated;
        can_become_isolated.then(|| self.last_contact_at + self.isolation_timeout())
    }

    pub(super) fn update_partition_status(&mut self, now: Duration) {
        let status = self.current_partition_status(now);
        if status != self.partition_status {
            self.partition_status = status;
            self.partition_status_since = now;
        }
    }

    fn current_partition_status(&self, now: Duration) -> PartitionStatus {
        let present = self.present_count();
        let lost = self.lost_count();
        if present > 1 {
            // A node that receives nothing can detect this long before it has declared each of the
            // others dead.
            if now >= self.last_contact_at + self.isolation_timeout() {
                return PartitionStatus::Isolated;
            }
        } else {
            let expects_others = !self.has_known_others && !self.seeds.is_empty();
            if lost > 0 || expects_others {
                return PartitionStatus::Isolated;
            }
        }
        if present > lost {
            PartitionStatus::Majority
        } else {
            PartitionStatus::Minority
        }
    }
}
