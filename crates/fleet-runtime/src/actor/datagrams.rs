//! Receives datagrams, and carries out the effects of the membership protocol.

use std::io::ErrorKind;
use std::net::SocketAddr;

use membership::packet::MAX_DATAGRAM_LEN;
use membership::{Body, DecodeError, Effect, Name, Packet};
use shared_state::{Message, Outgoing};
use slog::info;

use super::{random_index, FleetActor};

/// Maximum number of datagrams that are read before the timers are checked again, so that a flood
/// of datagrams can't delay the protocol.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

impl FleetActor {
    /// Reads a bounded number of datagrams. Returns true if there may be more.
    pub(super) fn receive_datagrams(&mut self) -> bool {
        let mut buffer = [0; MAX_DATAGRAM_LEN + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.receive(&mut buffer) {
                Ok((length, source)) => self.handle_datagram(&buffer[..length], source),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // An earlier datagram was sent to a closed port. The failure detector finds such a
                // member.
                Err(_) => {}
            }
        }
        true
    }

    fn handle_datagram(&mut self, bytes: &[u8], source: SocketAddr) {
        let mut packet = match Packet::decode(bytes, &self.config.fleet) {
            Ok(packet) => packet,
            Err(reason) => return self.socket.record_drop(source, &reason),
        };
        let shared_state_message = match &mut packet.body {
            Body::ApplicationMessage(bytes) => Some(std::mem::take(bytes)),
            _ => None,
        };
        let sender = packet.sender.as_ref().map(|record| record.name.clone());
        let now = self.now();
        let mut effects = Vec::new();
        let mut draw = random_index(&mut self.rng);
        self.membership
            .handle_packet(packet, source, now, &mut draw, &mut effects);
        drop(draw);
        self.apply_effects(effects);
        if let Some(bytes) = shared_state_message {
            self.handle_shared_state_message(sender, &bytes, source);
        }
    }

    fn handle_shared_state_message(
        &mut self,
        sender: Option<Name>,
        bytes: &[u8],
        source: SocketAddr,
    ) {
        let Some(message) = Message::decode(bytes) else {
            return self.socket.record_drop(source, &DecodeError::OutOfBounds);
        };
        match (message, sender) {
            (Message::SnapshotRequest(seq), None) => self.answer_shared_state_query(seq, source),
            (Message::Aggregation(message), Some(sender)) => {
                self.handle_aggregation_message(&sender, message);
            }
            (message, Some(sender)) => self.handle_budget_message(&sender, message),
            (_, None) => {}
        }
    }

    fn answer_shared_state_query(&mut self, seq: u32, source: SocketAddr) {
        let state = self.shared_state_snapshot();
        let answer = Packet {
            fleet: self.config.fleet.clone(),
            sender: Some(self.membership.own_record().clone()),
            body: Body::ApplicationMessage(Message::SnapshotReply(seq, state).encode()),
            updates: Vec::new(),
        };
        self.apply_effects(vec![Effect::Send {
            to: source,
            packet: answer,
        }]);
    }

    /// Sends messages of the shared state protocols. Messages to members that are not present are
    /// dropped; such a member asks again.
    pub(super) fn send_shared_state(&mut self, messages: Vec<Outgoing>) {
        let mut effects = Vec::new();
        for Outgoing { to, message } in messages {
            self.membership
                .send_application_message(&to, message.encode(), &mut effects);
        }
        self.apply_effects(effects);
    }

    /// Carries out the effects of the membership protocol, and logs what they changed.
    pub(super) fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, packet } => self.socket.send(to, packet),
                Effect::MemberChanged(record) => {
                    self.log_member_change(&record);
                    self.schedule_publication();
                }
            }
        }
        self.log_supersession_change();
        self.log_partition_status_change();
    }

    /// Binds the configured address once the process that used it has released it.
    pub(super) fn rebind_if_due(&mut self) {
        if !self.socket.rebind_if_due(self.config.listen, &self.poll) {
            return;
        }
        let now = self.now();
        self.membership
            .set_address(self.config.advertised_address(), now);
        info!(self.log, "fleet"; "at" => %self.config.listen);
        self.schedule_publication();
    }
}
