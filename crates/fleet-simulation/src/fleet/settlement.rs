//! Whether the views of a fleet's nodes agree with each other and with what is true.

use std::collections::BTreeMap;

use super::FleetSimulation;
use crate::peer::{NodeId, Peer};

/// What the members of one partition hold, as far as it has been seen.
struct PartitionView {
    digest: u64,
    member_count: usize,
    /// Any one of its members.
    sample: NodeId,
}

impl<P: Peer> FleetSimulation<P> {
    /// Whether all running nodes of each partition consider exactly each other present.
    pub fn is_settled(&self) -> bool {
        let Some(partitions) = self.agreed_partition_views() else {
            return false;
        };
        partitions
            .iter()
            .all(|(partition, view)| self.is_view_complete(*partition, view))
    }

    /// The view of each partition; none if the members of one disagree.
    fn agreed_partition_views(&self) -> Option<BTreeMap<u8, PartitionView>> {
        let mut partitions: BTreeMap<u8, PartitionView> = BTreeMap::new();
        for id in self.running() {
            let digest = self.peer(id)?.digest();
            let view = partitions
                .entry(self.nodes[id].partition)
                .or_insert(PartitionView {
                    digest,
                    member_count: 0,
                    sample: id,
                });
            if view.digest != digest {
                return None;
            }
            view.member_count += 1;
        }
        Some(partitions)
    }

    /// Whether the view of a partition holds exactly its members. Its members agree, so that one of them is enough to test.
    fn is_view_complete(&self, partition: u8, view: &PartitionView) -> bool {
        let Some(peer) = self.peer(view.sample) else {
            return false;
        };
        let running = self.running();
        let mut members = running
            .iter()
            .filter(|id| self.nodes[**id].partition == partition);
        peer.present_count() == view.member_count && members.all(|id| peer.considers_present(*id))
    }

    /// Whether no other running node considers this one present.
    pub fn is_absent_everywhere(&self, id: NodeId) -> bool {
        self.running().iter().all(|other| {
            let peer = self.peer(*other);
            *other == id || peer.is_none_or(|peer| !peer.considers_present(id))
        })
    }
}
