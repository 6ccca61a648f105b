//! Probes: in each interval one member is pinged, then pinged again, then pinged through other
//! members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::packets::PacketOrigin;
use super::{Effect, MembershipView};
use crate::member_state::{suspect, Liveness, MemberRecord, Name};
use crate::packet::Body;
use crate::probe::{IndirectProbe, Probe, ProbeStage};
use crate::RandomIndex;

/// Number of consecutive acknowledgements with a different digest before views are compared.
const MISMATCHES_BEFORE_COMPARISON: u32 = 2;
/// An indirect probe is discarded after this many probe timeouts.
const INDIRECT_PROBE_TIMEOUTS: u32 = 4;
/// Number of candidates that are considered for each relay.
const CANDIDATES_PER_RELAY: usize = 4;

impl MembershipView {
    /// Returns the time at which the probe in progress escalates or the next one starts.
    pub(super) fn probe_deadline(&self) -> Duration {
        self.probe.as_ref().map_or(self.next_probe_at, |probe| {
            probe.escalates_at.min(self.next_probe_at)
        })
    }

    /// Returns the factor by which the time limits of probes are extended because of this node's
    /// local health score.
    fn probe_time_factor(&self) -> u32 {
        1 + self.local_health
    }

    /// At the end of an interval, concludes the last probe and starts the next one. Before that,
    /// escalates the probe when it is due.
    pub(super) fn advance_probe(
        &mut self,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        if now >= self.next_probe_at {
            if let Some(probe) = self.probe.take() {
                self.conclude_probe(&probe, now, effects);
            }
            self.next_probe_at = now + self.settings.probe_interval * self.probe_time_factor();
            self.start_probe(now, random, effects);
            return;
        }
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if probe.escalates_at <= now && !probe.is_answered {
            let Some(address) = self.member(&probe.target).map(|record| record.address) else {
                return;
            };
            self.escalate_probe(&mut probe, address, now, random, effects);
        }
        self.probe = Some(probe);
    }

    /// Starts a probe of the next member in the queue, and refills an empty queue for the next
    /// round.
    fn start_probe(&mut self, now: Duration, random: RandomIndex, effects: &mut Vec<Effect>) {
        while let Some(target) = self.probe_queue.pop() {
            let address = self.present_address(&target);
            let Some(address) = address.filter(|_| target != self.own.name) else {
                continue;
            };
            let seq = self.next_seq();
            self.probe = Some(Probe {
                target: target.clone(),
                seq,
                started_at: now,
                stage: ProbeStage::FirstPing,
                escalates_at: now + self.settings.probe_timeout * self.probe_time_factor(),
                relay_count: 0,
                nack_count: 0,
                is_answered: false,
            });
            self.send_ping(seq, target, address, effects);
            break;
        }
        if self.probe_queue.is_empty() {
            self.refill_probe_queue(random);
        }
    }

    fn refill_probe_queue(&mut self, random: RandomIndex) {
        self.probe_queue = self.members.present_names().to_vec();
        for index in (1..self.probe_queue.len()).rev() {
            self.probe_queue.swap(index, random(index + 1));
        }
    }

    /// Pings a member, and includes the claim about it that it may have to refute.
    fn send_ping(
        &mut self,
        seq: u32,
        target: Name,
        address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let claim = self.claim_to_refute(&target);
        self.send(address, Body::Ping { seq, target }, claim, effects);
    }

    fn escalate_probe(
        &mut self,
        probe: &mut Probe,
        address: SocketAddr,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        self.send_ping(probe.seq, probe.target.clone(), address, effects);
        probe.escalates_at = now + self.settings.probe_timeout * self.probe_time_factor();
        match probe.stage {
            ProbeStage::FirstPing => probe.stage = ProbeStage::SecondPing,
            ProbeStage::SecondPing => {
                let relays = self.choose_relays(&probe.target, random);
                probe.relay_count = relays.len();
                for relay in relays {
                    let request = Body::PingRequest {
                        seq: probe.seq,
                        target: probe.target.clone(),
                        address,
                    };
                    self.send(relay, request, vec![], effects);
                }
                probe.stage = ProbeStage::Indirect;
                probe.escalates_at = Duration::MAX;
            }
            ProbeStage::Indirect => {}
        }
    }

    /// Chooses members to ping a target on this node's behalf, at as many other sites as possible:
    /// a fault that separates this node from the target may not affect them.
    fn choose_relays(&self, target: &Name, random: RandomIndex) -> Vec<SocketAddr> {
        let count = self.settings.indirect_probes;
        let is_eligible = |record: &MemberRecord| {
            record.name != *target && record.state.liveness == Liveness::Alive
        };
        let mut candidates =
            self.pick_random_members(count * CANDIDATES_PER_RELAY, random, is_eligible);
        let mut used_sites = BTreeSet::from([self.own.site.clone()]);
        let mut chosen = Vec::new();
        for needs_unused_site in [true, false] {
            candidates.retain(|(name, address)| {
                if chosen.len() >= count {
                    return true;
                }
                if needs_unused_site && !used_sites.insert(self.site_of_member(name)) {
                    return true;
                }
                chosen.push(*address);
                false
            });
        }
        chosen
    }

    fn site_of_member(&self, name: &str) -> Name {
        self.member(name)
            .map(|record| record.site.clone())
            .unwrap_or_default()
    }

    /// Suspects the target of a probe whose interval ended without an answer.
    fn conclude_probe(&mut self, probe: &Probe, now: Duration, effects: &mut Vec<Effect>) {
        let Some(entry) = self.members.get(&probe.target) else {
            return;
        };
        // A target that has sent anything since the probe started is alive. In that case the path
        // to it is faulty, which other members will detect.
        let has_contact_since = entry
            .last_contact_at
            .is_some_and(|last_contact_at| last_contact_at >= probe.started_at);
        if probe.is_answered || has_contact_since {
            return;
        }
        let record = entry.record.clone();
        // Fewer than half of the relays reported that they have no answer, so this node may be
        // faulty. Not all relays are required, as one of them may be dead itself.
        if probe.nack_count * 2 < probe.relay_count {
            self.degrade_local_health();
        }
        match suspect(&record.state) {
            Some(state) => self.apply_own_conclusion(record, state, now, effects),
            None => self.confirm_suspicion(&probe.target, self.own_name_hash()),
        }
    }

    /// Processes the acknowledgement of a ping: from this member's successor, for an indirect
    /// probe, or for this member's own probe.
    pub(super) fn handle_ack(
        &mut self,
        origin: &PacketOrigin,
        seq: u32,
        digest: u64,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        if let (Some(last_contact_at), Some(sender)) =
            (&mut self.successor_last_contact_at, &origin.sender)
        {
            if *sender == self.own.name {
                *last_contact_at = now;
            }
            return;
        }
        if let Some(indirect_probe) = self.take_indirect_probe(seq) {
            let ack = Body::Ack {
                seq: indirect_probe.requester_seq,
                digest,
            };
            self.send(indirect_probe.requester, ack, vec![], effects);
            return;
        }
        let probe = self.probe.as_mut();
        let Some(probe) = probe.filter(|probe| probe.seq == seq && !probe.is_answered) else {
            return;
        };
        probe.is_answered = true;
        probe.escalates_at = Duration::MAX;
        let target = probe.target.clone();
        self.local_health = self.local_health.saturating_sub(1);
        self.compare_digest(&target, digest, now, random, effects);
    }

    /// Begins a comparison with a member whose digest keeps differing. Views differ briefly while
    /// updates spread. A lasting difference means that an update was lost.
    fn compare_digest(
        &mut self,
        target: &Name,
        digest: u64,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        if digest == self.digest() {
            self.digest_mismatches = 0;
            return;
        }
        self.digest_mismatches += 1;
        let is_lasting = self.digest_mismatches >= MISMATCHES_BEFORE_COMPARISON;
        if is_lasting && now >= self.next_comparison_at {
            if let Some(address) = self.member(target).map(|record| record.address) {
                self.begin_comparison(address, now, random, effects);
            }
        }
    }

    /// Creates a probe that a member asked for.
    pub(super) fn new_indirect_probe(
        &mut self,
        requester: SocketAddr,
        requester_seq: u32,
        now: Duration,
    ) -> IndirectProbe {
        let timeout = self.settings.probe_timeout;
        IndirectProbe {
            seq: self.next_seq(),
            requester,
            requester_seq,
            nack_at: now + timeout,
            is_nacked: false,
            expires_at: now + timeout * INDIRECT_PROBE_TIMEOUTS,
        }
    }

    /// Pings a target on behalf of another member. If there are too many such probes, the oldest
    /// one is discarded.
    pub(super) fn start_indirect_probe(
        &mut self,
        probe: IndirectProbe,
        target: Name,
        address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if self.indirect_probes.len() >= self.settings.max_relayed_probes {
            self.indirect_probes.pop_front();
        }
        let seq = probe.seq;
        self.indirect_probes.push_back(probe);
        self.send_ping(seq, target, address, effects);
    }

    fn take_indirect_probe(&mut self, seq: u32) -> Option<IndirectProbe> {
        let index = self
            .indirect_probes
            .iter()
            .position(|probe| probe.seq == seq)?;
        self.indirect_probes.remove(index)
    }

    /// Discards indirect probes that took too long, and notifies requesters that there is no answer
    /// yet.
    pub(super) fn expire_indirect_probes(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.indirect_probes.retain(|probe| probe.expires_at > now);
        let mut nacks = Vec::new();
        for probe in &mut self.indirect_probes {
            if !probe.is_nacked && probe.nack_at <= now {
                probe.is_nacked = true;
                nacks.push((probe.requester, probe.requester_seq));
            }
        }
        for (requester, seq) in nacks {
            self.send(requester, Body::Nack { seq }, vec![], effects);
        }
    }

    /// Returns the time at which the next indirect probe must be reported as unanswered or
    /// discarded.
    pub(super) fn next_indirect_probe_deadline(&self) -> Option<Duration> {
        self.indirect_probes
            .iter()
            .map(|probe| {
                if probe.is_nacked {
                    probe.expires_at
                } else {
                    probe.nack_at
                }
            })
            .min()
    }
}
