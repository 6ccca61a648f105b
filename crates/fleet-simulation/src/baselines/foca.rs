//! The library `foca`, with probe, suspicion and gossip timings like those of the shipped view.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::hash_process;
use crate::{NodeId, Outgoing, Peer, PeerStart};

/// Interval between attempts to reach a seed while no other member is known.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of low bits of an incarnation in which `foca` counts a member's refutations of its own
/// death.
const REFUTATION_BITS: u32 = 32;

/// Identity of a member for `foca`: its node, and a number that increases when the member rejoins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct MemberIdentity {
    id: u32,
    incarnation: u64,
}

impl Identity for MemberIdentity {
    type Addr = u32;

    fn renew(&self) -> Option<MemberIdentity> {
        Some(MemberIdentity {
            id: self.id,
            incarnation: self.incarnation + 1,
        })
    }

    fn addr(&self) -> u32 {
        self.id
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        self.incarnation > other.incarnation
    }
}

impl MemberIdentity {
    fn hash(&self) -> u64 {
        hash_process(u64::from(self.id), self.incarnation)
    }
}

/// Time at which a timer is due, and its number. Of timers due at the same time, the one scheduled
/// last comes first.
type TimerKey = (Duration, Reverse<u64>);

/// A node that runs the library `foca`.
pub struct FocaPeer {
    foca: Foca<MemberIdentity, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberIdentity>,
    timers: BTreeMap<TimerKey, Timer<MemberIdentity>>,
    timer_count: u64,
    declared_dead: Vec<NodeId>,
    seeds: Vec<u32>,
    next_announcement_at: Duration,
}

impl FocaPeer {
    /// Collects the datagrams, timers and notifications that the library has queued.
    fn drain_runtime(&mut self, now: Duration, sent: &mut Vec<Outgoing<Vec<u8>>>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            sent.push(Outgoing {
                to: to.id as usize,
                packet: bytes.to_vec(),
            });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_count += 1;
            let key = (now + after, Reverse(self.timer_count));
            self.timers.insert(key, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            if let OwnedNotification::MemberDown(member) = notification {
                self.declared_dead.push(member.id as usize);
            }
        }
    }

    /// Contacts a random seed while no other member is known.
    fn announce_to_seed(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        if now < self.next_announcement_at {
            return;
        }
        self.next_announcement_at = now + ANNOUNCE_INTERVAL;
        if self.foca.num_members() == 0 && !self.seeds.is_empty() {
            let seed = MemberIdentity {
                id: self.seeds[rng.random_range(0..self.seeds.len())],
                incarnation: 0,
            };
            // A failed announcement is repeated after the interval.
            let _ = self.foca.announce(seed, &mut self.runtime);
        }
    }
}

/// Returns settings of the library that are similar to those of the shipped view.
fn config(fleet_size: usize) -> Config {
    let member_count = NonZeroU32::new(fleet_size.max(2) as u32).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(member_count);
    config.probe_period = Duration::from_millis(500);
    config.probe_rtt = Duration::from_millis(240);
    config.suspect_to_down_after =
        Duration::from_millis(500).mul_f64(4.0 * (fleet_size.max(10) as f64).log10());
    config.remove_down_after = Some(Duration::from_secs(3600));
    config.max_packet_size = NonZeroUsize::new(1200).unwrap_or(config.max_packet_size);
    let every = |ms, num_members| PeriodicParams {
        frequency: Duration::from_millis(ms),
        num_members,
    };
    config.periodic_gossip = Some(every(100, config.num_indirect_probes));
    config.periodic_announce = Some(every(1000, NonZeroUsize::MIN));
    config.periodic_announce_to_down_members = Some(every(1000, NonZeroUsize::MIN));
    config
}

impl Peer for FocaPeer {
    type Packet = Vec<u8>;
    const NAME: &'static str = "foca";

    fn start(start: &PeerStart, rng: &mut ChaCha8Rng) -> FocaPeer {
        let own_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let identity = MemberIdentity {
            id: start.id as u32,
            incarnation: start.start_count << REFUTATION_BITS,
        };
        FocaPeer {
            foca: Foca::new(identity, config(start.fleet_size), own_rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_count: 0,
            declared_dead: Vec::new(),
            seeds: start.other_seeds().map(|seed| seed as u32).collect(),
            next_announcement_at: start.now,
        }
    }

    fn handle_packet(
        &mut self,
        bytes: Vec<u8>,
        now: Duration,
        _: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Vec<u8>>>,
    ) {
        // The library drops datagrams that it can't process, and returns an error for them.
        let _ = self.foca.handle_data(&bytes, &mut self.runtime);
        self.drain_runtime(now, sent);
    }

    fn handle_timers(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        sent: &mut Vec<Outgoing<Vec<u8>>>,
    ) {
        self.announce_to_seed(now, rng);
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            // The library returns an error for a timer that is outdated.
            let _ = self.foca.handle_timer(entry.remove(), &mut self.runtime);
        }
        self.drain_runtime(now, sent);
    }

    fn next_deadline(&self) -> Duration {
        let first_timer = self.timers.first_key_value();
        first_timer.map_or(self.next_announcement_at, |((due, _), _)| {
            self.next_announcement_at.min(*due)
        })
    }

    fn packet_len(bytes: &Vec<u8>) -> usize {
        bytes.len()
    }

    fn considers_present(&self, id: NodeId) -> bool {
        let is_node = |member: &MemberIdentity| member.id as usize == id;
        is_node(self.foca.identity()) || self.foca.iter_members().any(|m| is_node(m.id()))
    }

    fn present_count(&self) -> usize {
        self.foca.num_members() + 1
    }

    fn digest(&self) -> u64 {
        let own = self.foca.identity().hash();
        self.foca
            .iter_members()
            .fold(own, |digest, member| digest ^ member.id().hash())
    }

    fn take_declared_dead(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.declared_dead)
    }
}
