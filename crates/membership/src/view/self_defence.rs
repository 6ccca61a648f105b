//! This member's own record: its changes, the refutation of false claims, and the handling of
//! another process that uses the same name.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, MembershipView};
use crate::member_state::{
    evaluate_self_claim, AdvertisedStatus, Liveness, MemberRecord, MemberState, SelfClaim,
};
use crate::packet::Body;
use crate::RandomIndex;

/// The announcement that this member leaves is sent to this many times the gossip fanout, as there
/// is no later datagram to make up for a loss.
const LEAVE_FANOUT_FACTOR: usize = 2;

impl MembershipView {
    /// Advertises another status of this member's process. `Left` is final.
    pub fn advertise_status(&mut self, status: AdvertisedStatus, now: Duration) {
        if self.own.state.status != status && !self.own.state.has_left() {
            self.own.state.status = status;
            self.publish_own_record(now);
        }
    }

    /// Changes the address at which this member receives datagrams.
    pub fn set_address(&mut self, address: SocketAddr, now: Duration) {
        if self.own.address != address {
            self.own.address = address;
            self.publish_own_record(now);
        }
    }

    /// Changes the address to which this member's clients connect.
    pub fn set_client_address(&mut self, client_address: Option<SocketAddr>, now: Duration) {
        if self.own.client_address != client_address {
            self.own.client_address = client_address;
            self.publish_own_record(now);
        }
    }

    fn publish_own_record(&mut self, now: Duration) {
        self.own.state.version += 1;
        if !self.is_superseded() {
            self.members.insert(self.own.clone(), now, true);
        }
    }

    /// Announces that this member leaves the fleet. Nothing is sent afterwards.
    pub fn leave(&mut self, now: Duration, random: RandomIndex, effects: &mut Vec<Effect>) {
        if !self.is_silent() {
            self.advertise_status(AdvertisedStatus::Left, now);
            let count = self.settings.gossip_fanout * LEAVE_FANOUT_FACTOR;
            self.send_gossip(count, random, effects);
        }
        self.is_muted = true;
    }

    /// Stops all sending without announcing that this member leaves, as another process continues
    /// under the name.
    pub fn mute(&mut self) {
        self.is_muted = true;
    }

    /// Handles a record of this member that another member sent.
    pub(super) fn handle_self_claim(
        &mut self,
        claim: &MemberRecord,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        match evaluate_self_claim(&self.own.state, &claim.state) {
            SelfClaim::Ignore => {}
            SelfClaim::Refute(state) => self.refute(claim.state, state, now, effects),
            SelfClaim::Superseded => {
                if !self.is_superseded() {
                    self.successor_last_contact_at = Some(now);
                    self.probe = None;
                }
                self.apply_record(claim.clone(), true, now, effects);
            }
        }
    }

    fn refute(
        &mut self,
        claimed: MemberState,
        own: MemberState,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let is_same_incarnation = claimed.incarnation == self.own.state.incarnation;
        if is_same_incarnation && claimed.liveness != Liveness::Alive {
            // Others did not receive this member's datagrams in time, which indicates that this
            // node is slow.
            self.degrade_local_health();
        }
        self.own.state = own;
        if self.successor_last_contact_at.take().is_some() {
            // Nothing was received from other members while another process used the name.
            self.compensate_for_pause(Duration::ZERO, now);
            self.restart_suspicions(now);
        }
        self.apply_record(self.own.clone(), true, now, effects);
    }

    /// Adds a point to the local health score.
    pub(super) fn degrade_local_health(&mut self) {
        self.local_health = (self.local_health + 1).min(self.settings.max_local_health);
    }

    /// Pings the process that uses this member's name. If it does not answer within the shortest
    /// suspicion timeout, this member takes the name back.
    pub(super) fn watch_successor(
        &mut self,
        last_contact_at: Duration,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.settings.probe_interval;
        self.next_reconnect_at = self.next_probe_at;
        self.next_gossip_at = self.next_probe_at;
        let Some(successor) = self.member(&self.own.name).cloned() else {
            return;
        };
        let timeout = self.settings.min_suspicion_timeout(self.present_count());
        if now.saturating_sub(last_contact_at) >= timeout {
            let dead = MemberRecord {
                state: successor.state.with_liveness(Liveness::Dead),
                ..successor
            };
            self.handle_self_claim(&dead, now, effects);
            return;
        }
        let ping = Body::Ping {
            seq: self.next_seq(),
            target: self.own.name.clone(),
        };
        let packet = self.own_packet(ping, vec![]);
        let to = successor.address;
        effects.push(Effect::Send { to, packet });
    }
}
