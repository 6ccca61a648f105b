//! Dissemination of updates: piggybacking on each datagram, rounds of gossip, and merging of
//! received records.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, MembershipView};
use crate::member_state::{
    hash_name, merge, Liveness, MemberRecord, MemberState, MergeOutcome, Name,
};
use crate::packet::{Body, Packet};
use crate::RandomIndex;

/// Upper bound of a datagram's length without the fleet's name, records and the content of its
/// message, in bytes.
pub(super) const PACKET_OVERHEAD: usize = 64;
/// Upper bound of the length of an encoded checksum, in bytes.
const MAX_CHECKSUM_LEN: usize = 10;
/// Upper bound of the encoded length of a number of elements, in bytes.
const MAX_COUNT_LEN: usize = 4;
/// Number of random picks that are tried for each member wanted.
const PICKS_PER_MEMBER: usize = 4;

/// Upper bound of the length of a message's content, in bytes.
fn max_body_len(body: &Body) -> usize {
    match body {
        Body::CompareChecksums { checksums, .. } => {
            checksums.len() * MAX_CHECKSUM_LEN + MAX_COUNT_LEN
        }
        Body::ApplicationMessage(bytes) => bytes.len() + MAX_COUNT_LEN,
        _ => 0,
    }
}

impl MembershipView {
    /// Returns true if this member sends nothing on its own initiative, because it has left or was
    /// muted, or because another process uses its name.
    pub(super) fn is_silent(&self) -> bool {
        self.is_muted || self.is_superseded()
    }

    /// Returns a datagram from this member.
    pub(super) fn own_packet(&self, body: Body, updates: Vec<MemberRecord>) -> Packet {
        Packet {
            fleet: self.fleet.clone(),
            sender: Some(self.own.clone()),
            body,
            updates,
        }
    }

    /// Returns the number of bytes of a datagram that are free for records, after an overhead and
    /// this member's own record.
    pub(super) fn free_record_bytes(&self, overhead: usize) -> usize {
        let fixed = overhead + self.fleet.len() + self.own.max_encoded_len();
        self.settings.max_datagram_len.saturating_sub(fixed)
    }

    /// Sends a message with these records, and with as many queued updates as fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        mut records: Vec<MemberRecord>,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_silent() {
            return;
        }
        let records_len: usize = records.iter().map(MemberRecord::max_encoded_len).sum();
        let free_bytes =
            self.free_record_bytes(PACKET_OVERHEAD + max_body_len(&body) + records_len);
        let transmissions = self.settings.update_transmissions(self.present_count());
        // Every datagram carries the sender's own record, so it is not needed among the updates.
        let updates = self
            .members
            .take_updates(free_bytes, transmissions, &self.own.name);
        records.extend(updates);
        let packet = self.own_packet(body, records);
        effects.push(Effect::Send { to, packet });
    }

    /// Sends a message of a layer above membership to a member. Returns false if no member of this
    /// name is present.
    pub fn send_application_message(
        &mut self,
        to: &str,
        bytes: Vec<u8>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(address) = self.present_address(to) else {
            return false;
        };
        self.send(address, Body::ApplicationMessage(bytes), vec![], effects);
        true
    }

    /// Sends gossip to up to `count` random members.
    pub(super) fn send_gossip(
        &mut self,
        count: usize,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        for (_, address) in self.pick_random_members(count, random, |_| true) {
            self.send(address, Body::Gossip, vec![], effects);
        }
    }

    pub(super) fn gossip_if_due(
        &mut self,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_gossip_at || !self.members.has_updates() {
            return;
        }
        self.next_gossip_at = now + self.settings.gossip_interval;
        self.send_gossip(self.settings.gossip_fanout, random, effects);
        if self.present_count() <= 1 {
            // There is no member to send the updates to. A member that joins compares checksums.
            self.members.discard_updates();
        }
    }

    /// Picks up to `count` other members that are present and eligible, at random.
    pub(super) fn pick_random_members(
        &self,
        count: usize,
        random: RandomIndex,
        is_eligible: impl Fn(&MemberRecord) -> bool,
    ) -> Vec<(Name, SocketAddr)> {
        let present = self.members.present_names();
        let mut picked: Vec<(Name, SocketAddr)> = Vec::new();
        for _ in 0..count * PICKS_PER_MEMBER {
            if picked.len() >= count || present.is_empty() {
                break;
            }
            let name = &present[random(present.len())];
            let Some(record) = self.member(name) else {
                continue;
            };
            let is_excluded =
                *name == self.own.name || picked.iter().any(|(other, _)| other == name);
            if !is_excluded && is_eligible(record) {
                picked.push((name.clone(), record.address));
            }
        }
        picked
    }

    /// Merges a received record of another member. `is_page` is true if it came in a page of
    /// anti-entropy.
    pub(super) fn merge_record(
        &mut self,
        record: &MemberRecord,
        is_page: bool,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.member(&record.name).map(|known| known.state);
        match merge(known.as_ref(), &record.state) {
            MergeOutcome::Ignore => {
                // A member that declared the subject dead confirms the suspicion, just as one that
                // suspects it.
                let is_same_version = known.is_some_and(|known| {
                    (known.incarnation, known.version)
                        == (record.state.incarnation, record.state.version)
                });
                if is_same_version && record.state.liveness != Liveness::Alive {
                    self.confirm_suspicion(&record.name, record.suspected_by);
                }
            }
            MergeOutcome::Accept => {
                if known.is_none() && self.members.len() >= self.settings.max_members {
                    return;
                }
                let is_update = known.is_some() || !is_page && record.state.is_present();
                self.apply_record(record.clone(), is_update, now, effects);
            }
            MergeOutcome::Suspect => {
                let suspected = MemberRecord {
                    state: record.state.with_liveness(Liveness::Suspect),
                    ..record.clone()
                };
                self.apply_record(suspected, true, now, effects);
            }
        }
    }

    /// Replaces a member's record and updates suspicion and probing accordingly. `is_update` is
    /// true if the record is to be spread as an update.
    pub(super) fn apply_record(
        &mut self,
        record: MemberRecord,
        is_update: bool,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let name = record.name.clone();
        let state = record.state;
        let suspected_by = record.suspected_by;
        let was_present = self.present_address(&name).is_some();
        effects.push(Effect::MemberChanged(record.clone()));
        self.has_changed_since_comparison = true;
        self.members.insert(record, now, is_update);
        self.has_known_others |= name != self.own.name;
        if state.liveness == Liveness::Suspect {
            self.start_suspicion(name, suspected_by, now);
            return;
        }
        self.suspects.remove(&name);
        if state.is_present() && !was_present {
            self.queue_new_member_for_probing(name);
        }
    }

    /// Queues a new member to be probed within this round, at a position that differs from member
    /// to member.
    fn queue_new_member_for_probing(&mut self, name: Name) {
        let hash = hash_name(&name) ^ hash_name(&self.own.name);
        let position = hash as usize % (self.probe_queue.len() + 1);
        self.probe_queue.push(name);
        let last = self.probe_queue.len() - 1;
        self.probe_queue.swap(position, last);
    }

    /// Applies a new liveness of a member that this node has concluded itself.
    pub(super) fn apply_own_conclusion(
        &mut self,
        record: MemberRecord,
        state: MemberState,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let concluded = MemberRecord {
            state,
            suspected_by: self.own_name_hash(),
            ..record
        };
        self.apply_record(concluded, true, now, effects);
    }
}
