//! The state of the membership that the fleet actor publishes to the rest of the process.

use membership::{MemberRecord, MembershipView, PartitionStatus};

/// What a member knows of its fleet at one moment.
#[derive(Clone, Debug)]
pub struct MembershipSnapshot {
    /// All known members by name, dead ones included.
    pub members: Vec<MemberRecord>,
    /// Whether this member is in contact with a majority of the fleet.
    pub partition_status: PartitionStatus,
    /// A digest of the members; equal where two views are equal.
    pub digest: u64,
    /// Members that are alive or suspect.
    pub present: usize,
    /// Members that died without leaving.
    pub lost: usize,
}

impl MembershipSnapshot {
    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&MemberRecord> {
        let index = self
            .members
            .binary_search_by(|record| (*record.name).cmp(name))
            .ok()?;
        self.members.get(index)
    }

    /// The present state of a view.
    pub(crate) fn capture(view: &MembershipView) -> MembershipSnapshot {
        MembershipSnapshot {
            members: view.members().cloned().collect(),
            partition_status: view.partition_status(),
            digest: view.digest(),
            present: view.present_count(),
            lost: view.lost_count(),
        }
    }
}
