//! Checks whether the views of a fleet's nodes agree with each other and with the true state.

use std::collections::BTreeMap;

use super::FleetSimulation;
use crate::peer::{NodeId, Peer};

/// The common view of the members of one partition that have been examined so far.
struct PartitionView {
    digest: u64,
    member_count: usize,
    /// An arbitrary member of the partition.
    representative: NodeId,
}

impl<P: Peer> FleetSimulation<P> {
    /// Returns true if all running nodes of each partition consider exactly each other present.
    pub fn is_settled(&self) -> bool {
        let Some(partitions) = self.agreed_partition_views() else {
            return false;
        };
        partitions
            .iter()
            .all(|(partition, view)| self.is_view_complete(*partition, view))
    }

    /// Returns the view of each partition, or `None` if the members of a partition disagree.
    fn agreed_partition_views(&self) -> Option<BTreeMap<u8, PartitionView>> {
        let mut partitions: BTreeMap<u8, PartitionView> = BTreeMap::new();
        for id in self.running() {
            let digest = self.peer(id)?.digest();
            let view = partitions
                .entry(self.nodes[id].partition)
                .or_insert(PartitionView {
                    digest,
                    member_count: 0,
                    representative: id,
                });
            if view.digest != digest {
                return None;
            }
            view.member_count += 1;
        }
        Some(partitions)
    }

    /// Returns true if the view of a partition contains exactly its members. The members agree, so
    /// that it suffices to check one of them.
    fn is_view_complete(&self, partition: u8, view: &PartitionView) -> bool {
        let Some(peer) = self.peer(view.representative) else {
            return false;
        };
        let running = self.running();
        let mut members = running
            .iter()
            .filter(|id| self.nodes[**id].partition == partition);
        peer.present_count() == view.member_count && members.all(|id| peer.considers_present(*id))
    }

    /// Returns true if no other running node considers this one present.
    pub fn is_absent_everywhere(&self, id: NodeId) -> bool {
        self.running().iter().all(|other| {
            let peer = self.peer(*other);
            *other == id || peer.is_none_or(|peer| !peer.considers_present(id))
        })
    }
}
