//! The snapshots of the membership that the fleet actor publishes to the rest of the process.

use membership::{MemberRecord, MembershipView, PartitionStatus};

/// A member's view of its fleet at one point in time.
#[derive(Clone, Debug)]
pub struct MembershipSnapshot {
    /// All known members in the order of their names, including those that are dead or left.
    pub members: Vec<MemberRecord>,
    /// How much of the fleet this member can see.
    pub partition_status: PartitionStatus,
    /// A digest of the members. Equal views have equal digests.
    pub digest: u64,
    /// Number of members that are present (alive or suspect), including this one.
    pub present: usize,
    /// Number of members that were declared dead without having left.
    pub lost: usize,
}

impl MembershipSnapshot {
    /// Returns the member of this name, if it is known.
    pub fn member(&self, name: &str) -> Option<&MemberRecord> {
        let index = self
            .members
            .binary_search_by(|record| (*record.name).cmp(name))
            .ok()?;
        self.members.get(index)
    }

    /// Captures the current state of a view.
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
