//! Handling of received datagrams: merging the sender's record and the updates, and dispatching the
//! message.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, MembershipView};
use crate::member_state::{Liveness, MemberRecord, Name};
use crate::packet::{Body, Packet};
use crate::RandomIndex;

/// The origin of a datagram.
pub(super) struct PacketOrigin {
    /// The sender's name. `None` for a tool.
    pub sender: Option<Name>,
    /// The source address that the operating system reports.
    pub source: SocketAddr,
    /// The address for answers: for a member, the address in its record.
    pub reply_to: SocketAddr,
}

impl MembershipView {
    /// Processes a datagram that was received from `source`: merges its sender's record and the
    /// piggybacked updates, then handles the message itself. Appends the resulting actions to
    /// `effects`.
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
                // This node's own datagram, sent back to it.
                return;
            }
            is_sender_current = self.merge_sender(sender, now, effects);
        }
        // A page of anti-entropy contains what its sender has known for some time. Records of
        // members that are new to this view are therefore not spread further.
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

    /// Merges the record that a sender provides about itself. Returns whether the sender is a
    /// present member in its current incarnation: only from such a sender are claims about
    /// suspected and dead members accepted.
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
            // The sender does not know about a claim about itself, or about a later incarnation of
            // its name.
            let claim = entry.record.clone();
            self.send(sender.address, Body::Gossip, vec![claim], effects);
        }
        known.is_present() && is_same_incarnation
    }

    /// Handles the message of a datagram. Application messages are handled by the caller. A ping
    /// for another member and a reply to a query need no action here.
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
