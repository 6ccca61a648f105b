//! The links between processes, one for each directed pair, and their effects on traffic. This
//! module does no I/O and reads no clock. Each link has its own random stream, so that a fault on
//! one link does not change the random values of another.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The faults of a link. The default has none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplication: f64,
    /// Fraction of datagrams in which one byte is changed.
    pub corruption: f64,
    /// Minimum and maximum delay; each delay is drawn uniformly between them. Datagrams can be
    /// reordered by it, bytes of a stream can't.
    pub delay: (Duration, Duration),
    /// True if the link is blocked: datagrams are lost, and streams stall without being closed.
    pub is_blocked: bool,
    /// True if streams stall. Datagrams are still delivered.
    pub stalls_streams: bool,
}

/// A delivered copy of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramCopy {
    /// The delay before it is delivered.
    pub delay: Duration,
    /// The corruption of one byte, if any.
    pub corruption: Option<Corruption>,
}

/// The corruption of one byte of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The position of the byte, modulo the datagram's length.
    pub position: usize,
    /// The bits that are flipped. Not 0.
    pub mask: u8,
}

/// How the next bytes of a stream are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// The bytes are forwarded after this delay.
    Forward(Duration),
    /// The bytes are held back. The caller must ask again.
    Stall,
    /// The stream is closed.
    Close,
}

struct LinkState {
    faults: LinkFaults,
    rng: ChaCha8Rng,
    /// Number of times that the streams of this link were cut. Streams that were opened before the
    /// last cut are closed.
    cuts: u64,
}

/// All links of a testbed.
pub struct Links {
    seed: u64,
    /// The faults of links that have no state yet.
    default_faults: LinkFaults,
    states: BTreeMap<(String, String), LinkState>,
}

impl Links {
    /// Creates links without faults. Random values are drawn from this seed.
    pub fn new(seed: u64) -> Links {
        Links {
            seed,
            default_faults: LinkFaults::default(),
            states: BTreeMap::new(),
        }
    }

    fn state(&mut self, from: &str, to: &str) -> &mut LinkState {
        let (seed, default_faults) = (self.seed, &self.default_faults);
        self.states
            .entry((from.into(), to.into()))
            .or_insert_with(|| {
                let link_seed = xxh3_64_with_seed(format!("{from}\n{to}").as_bytes(), seed);
                LinkState {
                    faults: default_faults.clone(),
                    rng: ChaCha8Rng::seed_from_u64(link_seed),
                    cuts: 0,
                }
            })
    }

    /// Changes the faults of one link.
    pub fn change_link(&mut self, from: &str, to: &str, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.state(from, to).faults);
    }

    /// Changes the faults of all links, including those that are not used yet.
    pub fn change_all(&mut self, change: impl Fn(&mut LinkFaults)) {
        change(&mut self.default_faults);
        for state in self.states.values_mut() {
            change(&mut state.faults);
        }
    }

    /// Closes the streams that are open over a link. Streams that are opened later are not
    /// affected.
    pub fn cut_streams(&mut self, from: &str, to: &str) {
        self.state(from, to).cuts += 1;
    }

    /// Returns true if the link is not blocked.
    pub fn is_open(&self, from: &str, to: &str) -> bool {
        let state = self.states.get(&(from.to_string(), to.to_string()));
        let faults = state.map_or(&self.default_faults, |state| &state.faults);
        !faults.is_blocked
    }

    /// Returns the copies of a datagram that are delivered.
    pub fn transmit_datagram(&mut self, from: &str, to: &str) -> Vec<DatagramCopy> {
        let LinkState { faults, rng, .. } = self.state(from, to);
        // All random values are drawn whether they are used or not, so that the next datagrams of a
        // link do not depend on the faults of this one.
        let is_lost = rng.random::<f64>() < faults.loss;
        let is_duplicated = rng.random::<f64>() < faults.duplication;
        let copies = [draw_copy(faults, rng), draw_copy(faults, rng)];
        if is_lost || faults.is_blocked {
            return vec![];
        }
        if is_duplicated {
            copies.to_vec()
        } else {
            vec![copies[0]]
        }
    }

    /// Returns the number of cuts so far, which [`Links::transmit_bytes`] needs for a stream that
    /// is opened now.
    pub fn open_stream(&mut self, from: &str, to: &str) -> u64 {
        self.state(from, to).cuts
    }

    /// Returns how to handle the next bytes of a stream that was opened after `cuts_at_open` cuts.
    pub fn transmit_bytes(&mut self, from: &str, to: &str, cuts_at_open: u64) -> StreamAction {
        let LinkState { faults, rng, cuts } = self.state(from, to);
        if *cuts > cuts_at_open {
            return StreamAction::Close;
        }
        if faults.is_blocked || faults.stalls_streams {
            return StreamAction::Stall;
        }
        StreamAction::Forward(draw_delay(faults, rng))
    }
}

fn draw_delay(faults: &LinkFaults, rng: &mut ChaCha8Rng) -> Duration {
    let (min, max) = faults.delay;
    min + max.saturating_sub(min).mul_f64(rng.random::<f64>())
}

fn draw_copy(faults: &LinkFaults, rng: &mut ChaCha8Rng) -> DatagramCopy {
    let delay = draw_delay(faults, rng);
    let corruption = Corruption {
        position: rng.random::<u32>() as usize,
        mask: rng.random_range(1..=u8::MAX),
    };
    let is_corrupted = rng.random::<f64>() < faults.corruption;
    DatagramCopy {
        delay,
        corruption: is_corrupted.then_some(corruption),
    }
}
