//! The links between processes, one for each directed pair, and what each does to what goes over it. Nothing here acts or
//! reads a clock; each link draws from a stream of its own, so that a fault on one does not shift another's.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a link does.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part of them that comes twice.
    pub double: f64,
    /// Part of them of which one byte is changed on the way.
    pub garble: f64,
    /// Time on the way, drawn evenly between these: datagrams overtake each other, bytes of a stream don't.
    pub delay: (Duration, Duration),
    /// Nothing comes through, and nobody is told: datagrams are lost, streams stall.
    pub silent: bool,
    /// Streams stall, datagrams pass.
    pub stalled: bool,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            loss: 0.0,
            double: 0.0,
            garble: 0.0,
            delay: (Duration::ZERO, Duration::ZERO),
            silent: false,
            stalled: false,
        }
    }
}

/// One copy of a datagram that comes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// After so long.
    pub after: Duration,
    /// With the byte at this place, counted around, changed by this.
    pub garbled: Option<(usize, u8)>,
}

/// What becomes of bytes of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// They go on after so long.
    Pass(Duration),
    /// They wait; ask again.
    Stall,
    /// The stream is cut.
    Cut,
}

struct State {
    link: Link,
    rng: ChaCha8Rng,
    /// Streams that began before this many cuts are cut.
    cuts: u64,
}

/// All links of a rig.
pub struct Links {
    seed: u64,
    usual: Link,
    links: BTreeMap<(String, String), State>,
}

impl Links {
    /// Links without faults, with draws from this seed.
    pub fn new(seed: u64) -> Links {
        Links {
            seed,
            usual: Link::default(),
            links: BTreeMap::new(),
        }
    }
    fn state(&mut self, from: &str, to: &str) -> &mut State {
        let (seed, usual) = (self.seed, &self.usual);
        self.links
            .entry((from.into(), to.into()))
            .or_insert_with(|| {
                let own = xxh3_64_with_seed(format!("{from}\n{to}").as_bytes(), seed);
                State {
                    link: usual.clone(),
                    rng: ChaCha8Rng::seed_from_u64(own),
                    cuts: 0,
                }
            })
    }
    /// Changes one link.
    pub fn change(&mut self, from: &str, to: &str, change: impl FnOnce(&mut Link)) {
        change(&mut self.state(from, to).link);
    }
    /// Changes all links, those to come as well.
    pub fn change_all(&mut self, change: impl Fn(&mut Link)) {
        change(&mut self.usual);
        self.links.values_mut().for_each(|s| change(&mut s.link));
    }
    /// Cuts the streams that are open over a link; later ones pass.
    pub fn cut(&mut self, from: &str, to: &str) {
        self.state(from, to).cuts += 1;
    }
    /// Whether anything comes through from one to another.
    pub fn passes(&self, from: &str, to: &str) -> bool {
        !self
            .links
            .get(&(from.to_string(), to.to_string()))
            .map_or(&self.usual, |s| &s.link)
            .silent
    }

    /// The copies of a datagram that come through.
    pub fn datagram(&mut self, from: &str, to: &str) -> Vec<Copy> {
        let State { link, rng, .. } = self.state(from, to);
        // Drawn whether they are used or not: what a link does next does not hang on what it did to this one.
        let (lost, doubled) = (
            rng.random::<f64>() < link.loss,
            rng.random::<f64>() < link.double,
        );
        let mut copy = || {
            let (least, most) = link.delay;
            let after = least + most.saturating_sub(least).mul_f64(rng.random::<f64>());
            let place = (rng.random::<u32>() as usize, rng.random_range(1..=u8::MAX));
            Copy {
                after,
                garbled: (rng.random::<f64>() < link.garble).then_some(place),
            }
        };
        let copies = [copy(), copy()];
        match (lost || link.silent, doubled) {
            (true, _) => vec![],
            (false, false) => vec![copies[0]],
            (false, true) => copies.to_vec(),
        }
    }

    /// The number of cuts so far, kept by a stream that begins.
    pub fn begin(&mut self, from: &str, to: &str) -> u64 {
        self.state(from, to).cuts
    }
    /// What becomes of the next bytes of a stream that began after so many cuts.
    pub fn stream(&mut self, from: &str, to: &str, began: u64) -> Stream {
        let State { link, rng, cuts } = self.state(from, to);
        if *cuts > began {
            return Stream::Cut;
        }
        if link.silent || link.stalled {
            return Stream::Stall;
        }
        let (least, most) = link.delay;
        Stream::Pass(least + most.saturating_sub(least).mul_f64(rng.random::<f64>()))
    }
}
