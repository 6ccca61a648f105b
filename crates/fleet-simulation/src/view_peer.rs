//! The shipped membership view as a node of a simulated fleet, with and without its extensions of
//! SWIM.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use membership::{
    member_state, AdvertisedStatus, Effect, Liveness, MemberRecord, MemberState, MembershipView,
    Name, Packet, Settings,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{NodeId, Outgoing, Peer, PeerStart};

/// IPv4 address of node 0. The addresses of the other nodes follow in the order of their indexes.
const FIRST_ADDRESS: u32 = 0x7f10_0000;
const PORT: u16 = 7946;
const SITES: [&str; 3] = ["milano-lambrate", "bergamo-est", "brescia-sud"];
/// Difference in milliseconds between the simulated Unix times of two successive starts of a node.
/// The incarnation of a process is derived from the time of its start.
const MILLIS_PER_START: u64 = 1000;

fn node_address(id: NodeId) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + id as u32), PORT))
}

fn node_id(address: SocketAddr) -> NodeId {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - FIRST_ADDRESS) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn node_name(id: NodeId) -> Name {
    format!("n{id}").into()
}

/// A node that runs the shipped view.
pub struct ViewPeer {
    view: MembershipView,
    declared_dead: Vec<NodeId>,
}

impl ViewPeer {
    fn with_settings(settings: Settings, start: &PeerStart, rng: &mut ChaCha8Rng) -> ViewPeer {
        let unix_ms = start.start_count * MILLIS_PER_START;
        let own = MemberRecord {
            name: node_name(start.id),
            site: SITES[start.id % SITES.len()].into(),
            address: node_address(start.id),
            client_address: Some(node_address(start.id)),
            state: MemberState {
                incarnation: member_state::new_incarnation(unix_ms, rng.random()),
                version: 0,
                status: AdvertisedStatus::Joining,
                liveness: Liveness::Alive,
            },
            suspected_by: 0,
        };
        let seeds = start.other_seeds().map(node_address).collect();
        let mut view = MembershipView::new(settings, "fleet".into(), own, seeds, start.now);
        view.advertise_status(AdvertisedStatus::Up, start.now);
        ViewPeer {
            view,
            declared_dead: Vec::new(),
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>, sent: &mut Vec<Outgoing<Packet>>) {
        for effect in effects {
            match effect {
                Effect::Send { to, packet } => sent.push(Outgoing {
                    to: node_id(to),
                    packet,
                }),
                Effect::MemberChanged(record) => {
                    let is_dead = record.state.liveness == Liveness::Dead;
                    if is_dead && !record.state.has_left() {
                        self.declared_dead
                            .extend(record.name[1..].parse::<NodeId>());
                    }
                }
            }
        }
    }
}

impl Peer for ViewPeer {
    type Packet = Packet;
    const NAME: &'static str = "view";

    fn start(start: &PeerStart, rng: &mut ChaCha8Rng) -> ViewPeer {
        ViewPeer::with_settings(Settings::default(), start, rng)
    }

    fn handle_packet(
        &mut self,
        packet: Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Packet>>,
    ) {
        let mut effects = Vec::new();
        let source = packet
            .sender
            .as_ref()
            .map_or(node_address(0), |record| record.address);
        let mut random = |bound| rng.random_range(0..bound);
        self.view
            .handle_packet(packet, source, now, &mut random, &mut effects);
        self.apply_effects(effects, sent);
    }

    fn handle_timers(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Packet>>,
    ) {
        let mut effects = Vec::new();
        let mut random = |bound| rng.random_range(0..bound);
        self.view.handle_timers(now, &mut random, &mut effects);
        self.apply_effects(effects, sent);
    }

    fn next_deadline(&self) -> Duration {
        self.view.next_deadline()
    }

    fn packet_len(packet: &Packet) -> usize {
        packet.encode().len()
    }

    fn considers_present(&self, id: NodeId) -> bool {
        self.view
            .member(&node_name(id))
            .is_some_and(|record| record.state.is_present())
    }

    fn present_count(&self) -> usize {
        self.view.present_count()
    }

    fn digest(&self) -> u64 {
        self.view.digest()
    }

    fn take_declared_dead(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.declared_dead)
    }
}

/// A node that runs the shipped view without its extensions of SWIM with suspicion.
pub struct PlainSwimPeer(ViewPeer);

impl Peer for PlainSwimPeer {
    type Packet = Packet;
    const NAME: &'static str = "plain SWIM";

    fn start(start: &PeerStart, rng: &mut ChaCha8Rng) -> PlainSwimPeer {
        PlainSwimPeer(ViewPeer::with_settings(Settings::plain_swim(), start, rng))
    }

    fn handle_packet(
        &mut self,
        packet: Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Packet>>,
    ) {
        self.0.handle_packet(packet, now, rng, sent);
    }

    fn handle_timers(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Packet>>,
    ) {
        self.0.handle_timers(now, rng, sent);
    }

    fn next_deadline(&self) -> Duration {
        self.0.next_deadline()
    }

    fn packet_len(packet: &Packet) -> usize {
        ViewPeer::packet_len(packet)
    }

    fn considers_present(&self, id: NodeId) -> bool {
        self.0.considers_present(id)
    }

    fn present_count(&self) -> usize {
        self.0.present_count()
    }

    fn digest(&self) -> u64 {
        self.0.digest()
    }

    fn take_declared_dead(&mut self) -> Vec<NodeId> {
        self.0.take_declared_dead()
    }
}
