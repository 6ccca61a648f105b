//! The members that a view knows, with everything that is derived from them: the bucket checksums
//! by which views are compared, the names from which probe targets and relays are chosen, and the
//! queue of updates to spread.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member_state::{hash_name, Liveness, MemberRecord, MemberState, Name};
use crate::suspicion_timer::SuspicionTimer;

/// Number of buckets into which names are hashed, so that two views can find where they differ. The
/// checksums of all buckets fit into one datagram.
pub(crate) const BUCKET_COUNT: usize = 64;

/// The position of an update in the queue: the least transmitted first, and among those the newest
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UpdatePriority {
    transmissions: u8,
    /// Decreases with each queued update, so that a newer update sorts before an older one.
    order: u64,
}

/// A member as the view knows it.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub record: MemberRecord,
    pub suspicion: Option<Box<SuspicionTimer>>,
    /// Time at which the member's status or liveness last changed.
    pub changed_at: Duration,
    /// Time at which the last datagram from the member was received.
    pub last_contact_at: Option<Duration>,
    /// The record's position in the queue of updates. `None` if it is not queued, for example
    /// because it has been transmitted often enough.
    queue_position: Option<UpdatePriority>,
}

/// The members that a view knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<Name, MemberEntry>,
    /// Names of the members that are present, in no particular order.
    present: Vec<Name>,
    checksums: Vec<u64>,
    update_queue: BTreeSet<(UpdatePriority, Name)>,
    update_counter: u64,
    lost_count: usize,
    left_count: usize,
}

fn bucket_index(name: &str) -> usize {
    (hash_name(name) >> 32) as usize % BUCKET_COUNT
}

/// Returns what a member contributes to the checksum of its bucket. Members that are not present
/// contribute nothing, as views forget them at different times.
fn record_checksum(record: &MemberRecord) -> u64 {
    let MemberState {
        incarnation,
        version,
        status,
        liveness,
    } = record.state;
    if !record.state.is_present() {
        return 0;
    }
    // Incarnation, version, status and liveness in a fixed layout, as members of all software
    // versions compare these checksums.
    let mut bytes = [0; 8 + 4 + 1 + 1];
    bytes[..8].copy_from_slice(&incarnation.to_le_bytes());
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    bytes[12] = status as u8;
    bytes[13] = liveness as u8;
    xxh3_64_with_seed(&bytes, hash_name(&record.name))
}

fn is_present(state: Option<MemberState>) -> bool {
    state.is_some_and(|s| s.is_present())
}

fn is_lost(state: Option<MemberState>) -> bool {
    state.is_some_and(|s| !s.is_present() && !s.has_left())
}

fn has_left(state: Option<MemberState>) -> bool {
    state.is_some_and(|s| s.has_left())
}

impl MemberTable {
    /// Creates an empty table.
    pub(crate) fn new() -> MemberTable {
        MemberTable {
            checksums: vec![0; BUCKET_COUNT],
            ..MemberTable::default()
        }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut MemberEntry> {
        self.members.get_mut(name)
    }

    /// Returns the timer of a member's suspicion if the member is suspected.
    pub(crate) fn suspicion_mut(&mut self, name: &str) -> Option<&mut SuspicionTimer> {
        self.members.get_mut(name)?.suspicion.as_deref_mut()
    }

    /// Returns all members in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the records of the members that are present.
    pub(crate) fn present_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .map(|entry| &entry.record)
            .filter(|record| record.state.is_present())
    }

    /// Returns the records of the members that were declared dead without having left.
    pub(crate) fn lost_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.iter()
            .map(|entry| &entry.record)
            .filter(|record| is_lost(Some(record.state)))
    }

    /// Returns the members whose names sort after this one.
    pub(crate) fn iter_after(&self, name: &str) -> impl Iterator<Item = &MemberEntry> {
        self.members
            .range::<str, _>((Bound::Excluded(name), Bound::Unbounded))
            .map(|(_, entry)| entry)
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Names of the members that are present, in no particular order.
    pub(crate) fn present_names(&self) -> &[Name] {
        &self.present
    }

    /// Returns the number of members that were declared dead without having left.
    pub(crate) fn lost_count(&self) -> usize {
        self.lost_count
    }

    /// Returns one checksum for each bucket of names.
    pub(crate) fn checksums(&self) -> &[u64] {
        &self.checksums
    }

    /// Returns a digest of all checksums.
    pub(crate) fn digest(&self) -> u64 {
        self.checksums
            .iter()
            .fold(0, |digest, checksum| digest.rotate_left(1) ^ checksum)
    }

    /// Returns the records of the members in buckets whose checksums differ from these.
    pub(crate) fn records_differing_from(&self, checksums: &[u64]) -> Vec<MemberRecord> {
        let differs: Vec<bool> = self
            .checksums
            .iter()
            .zip(checksums)
            .map(|(own, other)| own != other)
            .collect();
        self.iter()
            .map(|entry| &entry.record)
            .filter(|record| {
                let bucket = bucket_index(&record.name);
                differs.get(bucket).copied().unwrap_or(false)
            })
            .cloned()
            .collect()
    }

    /// Inserts or replaces a member's record, and queues it as an update if `queue_update` is set.
    pub(crate) fn insert(&mut self, record: MemberRecord, now: Duration, queue_update: bool) {
        let name = record.name.clone();
        let bucket = bucket_index(&name);
        self.checksums[bucket] ^= record_checksum(&record);
        let new = record.state;
        let old = if let Some(entry) = self.members.get_mut(&name) {
            let old = entry.record.state;
            self.checksums[bucket] ^= record_checksum(&entry.record);
            if (old.liveness, old.status) != (new.liveness, new.status) {
                entry.changed_at = now;
            }
            if new.liveness != Liveness::Suspect {
                entry.suspicion = None;
            }
            entry.record = record;
            Some(old)
        } else {
            let entry = MemberEntry {
                record,
                suspicion: None,
                changed_at: now,
                last_contact_at: None,
                queue_position: None,
            };
            self.members.insert(name.clone(), entry);
            None
        };
        self.update_counts(old, Some(new), &name);
        if queue_update {
            self.queue_update(&name);
        }
    }

    fn remove(&mut self, name: &str) {
        let Some((key, entry)) = self.members.remove_entry(name) else {
            return;
        };
        self.checksums[bucket_index(name)] ^= record_checksum(&entry.record);
        if let Some(priority) = entry.queue_position {
            self.update_queue.remove(&(priority, key.clone()));
        }
        self.update_counts(Some(entry.record.state), None, &key);
    }

    fn update_counts(&mut self, old: Option<MemberState>, new: Option<MemberState>, name: &Name) {
        match (is_present(old), is_present(new)) {
            (false, true) => self.present.push(name.clone()),
            (true, false) => {
                if let Some(index) = self.present.iter().position(|n| n == name) {
                    self.present.swap_remove(index);
                }
            }
            _ => {}
        }
        self.lost_count = self.lost_count + usize::from(is_lost(new)) - usize::from(is_lost(old));
        self.left_count = self.left_count + usize::from(has_left(new)) - usize::from(has_left(old));
    }

    /// Queues a member's record to be spread as an update, ahead of all queued updates.
    pub(crate) fn queue_update(&mut self, name: &Name) {
        self.update_counter += 1;
        let priority = UpdatePriority {
            transmissions: 0,
            order: u64::MAX - self.update_counter,
        };
        let Some(entry) = self.members.get_mut(name) else {
            return;
        };
        if let Some(previous) = entry.queue_position.replace(priority) {
            self.update_queue.remove(&(previous, name.clone()));
        }
        self.update_queue.insert((priority, name.clone()));
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.update_queue.is_empty()
    }

    /// Takes updates that fit into `max_bytes` and counts a transmission of each. An update leaves
    /// the queue after `max_transmissions` transmissions. The record of the member `excluded_name`
    /// is skipped.
    pub(crate) fn take_updates(
        &mut self,
        max_bytes: usize,
        max_transmissions: u8,
        excluded_name: &str,
    ) -> Vec<MemberRecord> {
        let mut free_bytes = max_bytes;
        let mut taken = Vec::new();
        let mut records = Vec::new();
        for (priority, name) in &self.update_queue {
            let Some(entry) = self.members.get(name) else {
                continue;
            };
            let len = entry.record.max_encoded_len();
            if len > free_bytes {
                break;
            }
            if &**name == excluded_name {
                continue;
            }
            free_bytes -= len;
            records.push(entry.record.clone());
            taken.push((*priority, name.clone()));
        }
        for (priority, name) in taken {
            self.count_transmission(priority, name, max_transmissions);
        }
        records
    }

    fn count_transmission(&mut self, priority: UpdatePriority, name: Name, max_transmissions: u8) {
        let key = (priority, name);
        self.update_queue.remove(&key);
        let name = key.1;
        let transmissions = priority.transmissions + 1;
        let next = (transmissions < max_transmissions).then_some(UpdatePriority {
            transmissions,
            ..priority
        });
        if let Some(entry) = self.members.get_mut(&name) {
            entry.queue_position = next;
        }
        if let Some(next) = next {
            self.update_queue.insert((next, name));
        }
    }

    /// Empties the queue of updates when there is no member to send them to.
    pub(crate) fn discard_updates(&mut self) {
        self.take_updates(usize::MAX, 1, "");
    }

    /// Removes members that were declared dead or left at least `retention` ago, and the oldest
    /// tombstones beyond `max_count`.
    pub(crate) fn forget_tombstones(
        &mut self,
        now: Duration,
        retention: Duration,
        max_count: usize,
    ) {
        if self.lost_count + self.left_count == 0 {
            return;
        }
        let mut tombstones: Vec<(Duration, Name)> = self
            .iter()
            .filter(|entry| !entry.record.state.is_present())
            .map(|entry| (entry.changed_at, entry.record.name.clone()))
            .collect();
        tombstones.sort();
        let excess = tombstones.len().saturating_sub(max_count);
        for (index, (changed_at, name)) in tombstones.into_iter().enumerate() {
            if index < excess || now.saturating_sub(changed_at) >= retention {
                self.remove(&name);
            }
        }
    }
}
