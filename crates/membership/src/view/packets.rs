//! Received datagrams: merging the sender's record and the updates, and dispatching the message.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, MembershipView};
use crate::member_state::{Liveness, MemberRecord, Name};
use crate::packet::{Body, Packet};
use crate::RandomIndex;

/// Where a datagram came from.
pub(super) struct PacketOrigin {
    /// The sender's name; none for a tool.
    pub sender: Option<Name>,
    /// The address that the operating system reports.
    pub source: SocketAddr,
    /// Where a member is to be answered: the address in its record.
    pub reply_to: SocketAddr,
}

impl MembershipView {
    /// Processes a datagram that came from `source`: merges its sender's record and the piggybacked updates, then handles the
    /// message itself. What is to be done is added to `effects`.
    pub fn handle_packet(
        &mut self,
        packet: Packet,
        source: SocketAddr,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        let Packet {
            sender,
            body,
            updates,
            ..
        } = packet;
        let mut is_sender_current = true;
        if let Some(sender) = &sender {
            if self.is_own_record(sender) {
                // This node's own datagram, sent back.
                return;
            }
            is_sender_current = self.merge_sender(sender, now, effects);
        }
        // A page of anti-entropy holds what its sender has known for a while: it is not disseminated again.
        let is_page = matches!(body, Body::RecordPage);
        for update in &updates {
            if update.name == self.own.name {
                self.handle_self_claim(update, now, effects);
            } else if is_sender_current || update.state.liveness == Liveness::Alive {
                self.merge_record(update, is_page, now, effects);
            }
        }
        let origin = PacketOrigin {
            source,
            reply_to: sender.as_ref().map_or(source, |record| record.address),
            sender: sender.map(|record| record.name),
        };
        self.handle_body(body, &origin, now, random, effects);
        self.update_partition_status(now);
    }

    fn is_own_record(&self, record: &MemberRecord) -> bool {
        record.name == self.own.name
            && record.state == self.own.state
            && record.address == self.own.address
    }

    /// Merges the record that a sender gives of itself. Returns whether the sender is a present member in its current
    /// incarnation: what others say of suspects and dead members is believed of these alone.
    fn merge_sender(
        &mut self,
        sender: &MemberRecord,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if sender.name == self.own.name {
            self.handle_self_claim(sender, now, effects);
            return true;
        }
        self.merge_record(sender, false, now, effects);
        self.last_contact_at = now;
        let Some(entry) = self.members.get_mut(&sender.name) else {
            return true;
        };
        let known = entry.record.state;
        let is_same_incarnation = known.incarnation == sender.state.incarnation;
        if is_same_incarnation {
            entry.last_contact_at = Some(now);
        }
        if known.precedence() > sender.state.precedence() {
            // The sender does not know what is claimed of it, or that its name has a later incarnation.
            let claim = entry.record.clone();
            self.send(sender.address, Body::Gossip, vec![claim], effects);
        }
        known.is_present() && is_same_incarnation
    }

    /// Handles the message of a datagram. Application messages are handled by the caller; a ping for another member and a
    /// reply to a query need nothing here.
    fn handle_body(
        &mut self,
        body: Body,
        origin: &PacketOrigin,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        let reply_to = origin.reply_to;
        match body {
            Body::Ping { seq, target } if target == self.own.name => {
                let digest = self.digest();
                self.send(reply_to, Body::Ack { seq, digest }, vec![], effects);
            }
            Body::Ack { seq, digest } => {
                self.handle_ack(origin, seq, digest, now, random, effects);
            }
            Body::PingRequest {
                seq,
                target,
                address,
            } => {
                let probe = self.new_indirect_probe(reply_to, seq, now);
                self.start_indirect_probe(probe, target, address, effects);
            }
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nack_count += 1;
                }
            }
            Body::CompareChecksums {
                checksums,
                is_reply,
            } => {
                self.handle_comparison(&checksums, is_reply, reply_to, now, random, effects);
            }
            Body::Query { seq, after } => {
                self.answer_query(seq, &after, origin.source, now, effects);
            }
            Body::Ping { .. }
            | Body::Gossip
            | Body::RecordPage
            | Body::ApplicationMessage(_)
            | Body::QueryReply { .. } => {}
        }
    }
}
