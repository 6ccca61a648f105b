//! The shipped view as a member of a drawn fleet, and the same without what it adds to SWIM.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use membership::word::{self, Word};
use membership::{Name, Out, Packet, Record, Said, Settings, Standing, View};
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
    pub view: View,
    given_up: Vec<Id>,
}

impl ViewPeer {
    fn with(
        settings: Settings,
        id: Id,
        life: u64,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> ViewPeer {
        // Starts don't fall into step with each other in a real fleet either.
        let site = ["milano-lambrate", "bergamo-est", "brescia-sud"][id % 3];
        let word = Word {
            life: word::life(life * 1000, rng.random()),
            incarnation: 0,
            said: Said::Joining,
            standing: Standing::Present,
        };
        let me = Record {
            name: name(id),
            site: site.into(),
            at: address(id),
            serves: Some(address(id)),
            word,
            by: 0,
        };
        let seeds = seeds
            .iter()
            .filter(|s| **s != id)
            .map(|s| address(*s))
            .collect();
        let mut view = View::new(settings, "drawn".into(), me, seeds, now);
        view.say(Said::Up, now);
        ViewPeer {
            view,
            given_up: Vec::new(),
        }
    }
    fn take(&mut self, done: Vec<Out>, out: &mut Vec<(Id, Packet)>) {
        for one in done {
            match one {
                Out::Send(to, packet) => out.push((number(to), packet)),
                Out::Changed(r) if r.word.standing == Standing::Gone && !r.word.left() => {
                    self.given_up.extend(r.name[1..].parse::<Id>());
                }
                Out::Changed(_) => {}
            }
        }
    }
}

impl Peer for ViewPeer {
    type Packet = Packet;
    const NAME: &'static str = "view";
    fn start(
        id: Id,
        life: u64,
        _: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> ViewPeer {
        ViewPeer::with(Settings::default(), id, life, seeds, now, rng)
    }
    fn hear(
        &mut self,
        packet: Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<(Id, Packet)>,
    ) {
        let mut done = Vec::new();
        let source = packet.from.as_ref().map_or(address(0), |r| r.at);
        self.view.hear(
            packet,
            source,
            now,
            &mut |n| rng.random_range(0..n),
            &mut done,
        );
        self.take(done, out);
    }
    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng, out: &mut Vec<(Id, Packet)>) {
        let mut done = Vec::new();
        self.view
            .tick(now, &mut |n| rng.random_range(0..n), &mut done);
        self.take(done, out);
    }
    fn next(&self) -> Duration {
        self.view.next()
    }
    fn size(packet: &Packet) -> usize {
        packet.encode().len()
    }
    fn holds(&self, id: Id) -> bool {
        self.view
            .member(&name(id))
            .is_some_and(|(r, _)| r.word.present())
    }
    fn present(&self) -> usize {
        self.view.present()
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
        life: u64,
        _: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> PlainSwim {
        PlainSwim(ViewPeer::with(
            Settings::plain_swim(),
            id,
            life,
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
