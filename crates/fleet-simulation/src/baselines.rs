//! What views are measured against: heartbeats from all to all, and the library `foca`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{Id, Peer};

fn mix(id: u64, life: u64) -> u64 {
    let mut z = (id << 32 ^ life).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z ^ (z >> 27)
}

/// Each tells each that it is there, twice a second; who is silent for 2.5 s is gone. All addresses are known from a file.
pub struct Heartbeats {
    id: Id,
    life: u64,
    size: usize,
    heard: BTreeMap<Id, (u64, Duration)>,
    given_up: Vec<Id>,
    beat: Duration,
}

const BEAT: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2500);

impl Peer for Heartbeats {
    type Packet = (Id, u64);
    const NAME: &'static str = "heartbeats";
    fn start(
        id: Id,
        life: u64,
        size: usize,
        _: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Heartbeats {
        let beat = now + BEAT.mul_f64(rng.random::<f64>());
        Heartbeats {
            id,
            life,
            size,
            heard: BTreeMap::new(),
            given_up: Vec::new(),
            beat,
        }
    }
    fn hear(
        &mut self,
        (from, life): (Id, u64),
        now: Duration,
        _: &mut ChaCha8Rng,
        _: &mut Vec<(Id, (Id, u64))>,
    ) {
        let known = self.heard.entry(from).or_insert((life, now));
        if life >= known.0 {
            *known = (life, now);
        }
    }
    fn tick(&mut self, now: Duration, _: &mut ChaCha8Rng, out: &mut Vec<(Id, (Id, u64))>) {
        if now >= self.beat {
            self.beat = now + BEAT;
            out.extend(
                (0..self.size)
                    .filter(|id| *id != self.id)
                    .map(|id| (id, (self.id, self.life))),
            );
            let gone: Vec<Id> = self
                .heard
                .iter()
                .filter(|(_, (_, at))| now - *at >= SILENCE)
                .map(|(id, _)| *id)
                .collect();
            for id in gone {
                self.heard.remove(&id);
                self.given_up.push(id);
            }
        }
    }
    fn next(&self) -> Duration {
        self.beat
    }
    fn size(_: &(Id, u64)) -> usize {
        // Mark, version, fleet, name, life, checksum.
        32
    }
    fn holds(&self, id: Id) -> bool {
        id == self.id || self.heard.contains_key(&id)
    }
    fn present(&self) -> usize {
        self.heard.len() + 1
    }
    fn digest(&self) -> u64 {
        self.heard
            .iter()
            .fold(mix(self.id as u64, self.life), |sum, (id, (life, _))| {
                sum ^ mix(*id as u64, *life)
            })
    }
    fn given_up(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.given_up)
    }
}

/// A member as `foca` knows it: its number, and what it raises to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Who {
    id: u32,
    life: u64,
}
impl Identity for Who {
    type Addr = u32;
    fn renew(&self) -> Option<Who> {
        Some(Who {
            id: self.id,
            life: self.life + 1,
        })
    }
    fn addr(&self) -> u32 {
        self.id
    }
    fn win_addr_conflict(&self, other: &Who) -> bool {
        self.life > other.life
    }
}

/// The library `foca` with the probes, suspicion and gossip of the shipped view.
pub struct FocaPeer {
    foca: Foca<Who, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Who>,
    timers: BTreeMap<(Duration, Reverse<u64>), Timer<Who>>,
    order: u64,
    given_up: Vec<Id>,
    seeds: Vec<u32>,
    announce: Duration,
}

impl FocaPeer {
    fn drain(&mut self, now: Duration, out: &mut Vec<(Id, Vec<u8>)>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push((to.id as usize, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.order += 1;
            self.timers
                .insert((now + after, Reverse(self.order)), timer);
        }
        while let Some(note) = self.runtime.to_notify() {
            if let OwnedNotification::MemberDown(who) = note {
                self.given_up.push(who.id as usize);
            }
        }
    }
}

impl Peer for FocaPeer {
    type Packet = Vec<u8>;
    const NAME: &'static str = "foca";
    fn start(
        id: Id,
        life: u64,
        size: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> FocaPeer {
        let members = NonZeroU32::new(size.max(2) as u32).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(members);
        config.probe_period = Duration::from_millis(500);
        config.probe_rtt = Duration::from_millis(240);
        config.suspect_to_down_after =
            Duration::from_millis(500).mul_f64(4.0 * (size.max(10) as f64).log10());
        config.remove_down_after = Some(Duration::from_secs(3600));
        config.max_packet_size =
            std::num::NonZeroUsize::new(1200).unwrap_or(config.max_packet_size);
        let every = |ms, num_members| PeriodicParams {
            frequency: Duration::from_millis(ms),
            num_members,
        };
        let (one, three) = (std::num::NonZeroUsize::MIN, config.num_indirect_probes);
        config.periodic_gossip = Some(every(100, three));
        config.periodic_announce = Some(every(1000, one));
        config.periodic_announce_to_down_members = Some(every(1000, one));
        let own = ChaCha8Rng::seed_from_u64(rng.random());
        let who = Who {
            id: id as u32,
            life: life << 32,
        };
        let seeds = seeds
            .iter()
            .filter(|s| **s != id)
            .map(|s| *s as u32)
            .collect();
        FocaPeer {
            foca: Foca::new(who, config, own, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            order: 0,
            given_up: Vec::new(),
            seeds,
            announce: now,
        }
    }
    fn hear(
        &mut self,
        bytes: Vec<u8>,
        now: Duration,
        _: &mut ChaCha8Rng,
        out: &mut Vec<(Id, Vec<u8>)>,
    ) {
        // What it can't use it tells by an error, and drops.
        let _ = self.foca.handle_data(&bytes, &mut self.runtime);
        self.drain(now, out);
    }
    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng, out: &mut Vec<(Id, Vec<u8>)>) {
        if now >= self.announce {
            self.announce = now + Duration::from_millis(500);
            if self.foca.num_members() == 0 && !self.seeds.is_empty() {
                let id = self.seeds[rng.random_range(0..self.seeds.len())];
                let _ = self.foca.announce(Who { id, life: 0 }, &mut self.runtime);
            }
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.drain(now, out);
    }
    fn next(&self) -> Duration {
        self.timers
            .first_key_value()
            .map_or(self.announce, |((at, _), _)| self.announce.min(*at))
    }
    fn size(bytes: &Vec<u8>) -> usize {
        bytes.len()
    }
    fn holds(&self, id: Id) -> bool {
        self.foca.identity().id as usize == id
            || self.foca.iter_members().any(|m| m.id().id as usize == id)
    }
    fn present(&self) -> usize {
        self.foca.num_members() + 1
    }
    fn digest(&self) -> u64 {
        let own = self.foca.identity();
        let of = |who: &Who| mix(u64::from(who.id), who.life);
        self.foca
            .iter_members()
            .fold(of(own), |sum, m| sum ^ of(m.id()))
    }
    fn given_up(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.given_up)
    }
}
