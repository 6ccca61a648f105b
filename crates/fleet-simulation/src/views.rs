//! The shipped view as a member of a drawn fleet, and the same without what it adds to SWIM.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use membership::member_state::{self, MemberState};
use membership::{
    AdvertisedStatus, Effect, Liveness, MemberRecord, MembershipView, Name, Packet, Settings,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Id, Peer};

/// The address that stands for a node.
fn address(id: Id) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x7f10_0000 + id as u32), 7946))
}
fn number(at: SocketAddr) -> Id {
    match at {
        SocketAddr::V4(at) => (u32::from(*at.ip()) - 0x7f10_0000) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}
fn name(id: Id) -> Name {
    format!("n{id}").into()
}

/// The shipped view.
pub struct ViewPeer {
    /// The view itself.
    pub view: MembershipView,
    given_up: Vec<Id>,
}

impl ViewPeer {
    fn with(
        settings: Settings,
        id: Id,
        incarnation: u64,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> ViewPeer {
        // Starts don't fall into step with each other in a real fleet either.
        let site = ["milano-lambrate", "bergamo-est", "brescia-sud"][id % 3];
        let state = MemberState {
            incarnation: member_state::new_incarnation(incarnation * 1000, rng.random()),
            version: 0,
            status: AdvertisedStatus::Joining,
            liveness: Liveness::Alive,
        };
        let me = MemberRecord {
            name: name(id),
            site: site.into(),
            address: address(id),
            client_address: Some(address(id)),
            state,
            suspected_by: 0,
        };
        let seeds = seeds
            .iter()
            .filter(|s| **s != id)
            .map(|s| address(*s))
            .collect();
        let mut view = MembershipView::new(settings, "drawn".into(), me, seeds, now);
        view.advertise_status(AdvertisedStatus::Up, now);
        ViewPeer {
            view,
            given_up: Vec::new(),
        }
    }
    fn apply(&mut self, done: Vec<Effect>, out: &mut Vec<(Id, Packet)>) {
        for one in done {
            match one {
                Effect::Send { to, packet } => out.push((number(to), packet)),
                Effect::MemberChanged(r)
                    if r.state.liveness == Liveness::Dead && !r.state.has_left() =>
                {
                    self.given_up.extend(r.name[1..].parse::<Id>());
                }
                Effect::MemberChanged(_) => {}
            }
        }
    }
}

impl Peer for ViewPeer {
    type Packet = Packet;
    const NAME: &'static str = "view";
    fn start(
        id: Id,
        incarnation: u64,
        _: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> ViewPeer {
        ViewPeer::with(Settings::default(), id, incarnation, seeds, now, rng)
    }
    fn hear(
        &mut self,
        packet: Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<(Id, Packet)>,
    ) {
        let mut done = Vec::new();
        let source = packet.sender.as_ref().map_or(address(0), |r| r.address);
        self.view.handle_packet(
            packet,
            source,
            now,
            &mut |n| rng.random_range(0..n),
            &mut done,
        );
        self.apply(done, out);
    }
    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng, out: &mut Vec<(Id, Packet)>) {
        let mut done = Vec::new();
        self.view
            .handle_timers(now, &mut |n| rng.random_range(0..n), &mut done);
        self.apply(done, out);
    }
    fn next(&self) -> Duration {
        self.view.next_deadline()
    }
    fn size(packet: &Packet) -> usize {
        packet.encode().len()
    }
    fn holds(&self, id: Id) -> bool {
        self.view
            .member(&name(id))
            .is_some_and(|r| r.state.is_present())
    }
    fn present(&self) -> usize {
        self.view.present_count()
    }
    fn digest(&self) -> u64 {
        self.view.digest()
    }
    fn given_up(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.given_up)
    }
}

/// The shipped view without what it adds to SWIM with suspicion.
pub struct PlainSwim(ViewPeer);

impl Peer for PlainSwim {
    type Packet = Packet;
    const NAME: &'static str = "plain SWIM";
    fn start(
        id: Id,
        incarnation: u64,
        _: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> PlainSwim {
        PlainSwim(ViewPeer::with(
            Settings::plain_swim(),
            id,
            incarnation,
            seeds,
            now,
            rng,
        ))
    }
    fn hear(
        &mut self,
        packet: Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<(Id, Packet)>,
    ) {
        self.0.hear(packet, now, rng, out);
    }
    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng, out: &mut Vec<(Id, Packet)>) {
        self.0.tick(now, rng, out);
    }
    fn next(&self) -> Duration {
        self.0.next()
    }
    fn size(packet: &Packet) -> usize {
        ViewPeer::size(packet)
    }
    fn holds(&self, id: Id) -> bool {
        self.0.holds(id)
    }
    fn present(&self) -> usize {
        self.0.present()
    }
    fn digest(&self) -> u64 {
        self.0.digest()
    }
    fn given_up(&mut self) -> Vec<Id> {
        self.0.given_up()
    }
}
