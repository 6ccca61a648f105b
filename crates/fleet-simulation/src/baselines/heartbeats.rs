//! Heartbeats: each node sends a heartbeat to every other node twice a second, and a node that is
//! silent for 2.5 s is declared dead. All addresses are known from the start.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::hash_process;
use crate::{NodeId, Outgoing, Peer, PeerStart};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Length of a heartbeat in bytes: magic bytes, version, fleet, name, incarnation and checksum.
const HEARTBEAT_LEN: usize = 32;

/// A heartbeat datagram.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    from: NodeId,
    start_count: u64,
}

/// The last heartbeat that was received from a node.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    start_count: u64,
    received_at: Duration,
}

/// A node that exchanges heartbeats with all others.
pub struct HeartbeatPeer {
    id: NodeId,
    start_count: u64,
    fleet_size: usize,
    last_heartbeats: BTreeMap<NodeId, LastHeartbeat>,
    declared_dead: Vec<NodeId>,
    next_heartbeat_at: Duration,
}

impl HeartbeatPeer {
    fn send_heartbeats(&self, sent: &mut Vec<Outgoing<Heartbeat>>) {
        let packet = Heartbeat {
            from: self.id,
            start_count: self.start_count,
        };
        let others = (0..self.fleet_size).filter(|id| *id != self.id);
        sent.extend(others.map(|to| Outgoing { to, packet }));
    }

    fn expire_silent_nodes(&mut self, now: Duration) {
        let silent: Vec<NodeId> = self
            .last_heartbeats
            .iter()
            .filter(|(_, last)| now - last.received_at >= SILENCE_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.last_heartbeats.remove(&id);
            self.declared_dead.push(id);
        }
    }
}

impl Peer for HeartbeatPeer {
    type Packet = Heartbeat;
    const NAME: &'static str = "heartbeats";

    fn start(start: &PeerStart, rng: &mut ChaCha8Rng) -> HeartbeatPeer {
        HeartbeatPeer {
            id: start.id,
            start_count: start.start_count,
            fleet_size: start.fleet_size,
            last_heartbeats: BTreeMap::new(),
            declared_dead: Vec::new(),
            next_heartbeat_at: start.now + HEARTBEAT_INTERVAL.mul_f64(rng.random::<f64>()),
        }
    }

    fn handle_packet(
        &mut self,
        heartbeat: Heartbeat,
        now: Duration,
        _: &mut ChaCha8Rng,
        _: &mut Vec<Outgoing<Heartbeat>>,
    ) {
        let received = LastHeartbeat {
            start_count: heartbeat.start_count,
            received_at: now,
        };
        let last = self
            .last_heartbeats
            .entry(heartbeat.from)
            .or_insert(received);
        if received.start_count >= last.start_count {
            *last = received;
        }
    }

    fn handle_timers(
        &mut self,
        now: Duration,
        _: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Heartbeat>>,
    ) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(sent);
            self.expire_silent_nodes(now);
        }
    }

    fn next_deadline(&self) -> Duration {
        self.next_heartbeat_at
    }

    fn packet_len(_: &Heartbeat) -> usize {
        HEARTBEAT_LEN
    }

    fn considers_present(&self, id: NodeId) -> bool {
        id == self.id || self.last_heartbeats.contains_key(&id)
    }

    fn present_count(&self) -> usize {
        self.last_heartbeats.len() + 1
    }

    fn digest(&self) -> u64 {
        let own = hash_process(self.id as u64, self.start_count);
        self.last_heartbeats.iter().fold(own, |digest, (id, last)| {
            digest ^ hash_process(*id as u64, last.start_count)
        })
    }

    fn take_declared_dead(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.declared_dead)
    }
}
