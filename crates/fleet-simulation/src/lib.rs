//! A drawn fleet: many nodes in one process over a network and a clock that are drawn, the same for the same seed. The
//! views in it are the shipped ones; beside them stand baselines to measure against.

mod baselines;
pub mod budgets;
mod fleet;
pub mod gathering;
pub mod plays;
mod views;

pub use baselines::{FocaPeer, Heartbeats};
pub use fleet::{Fleet, Network, Traffic};
pub use views::{PlainSwim, ViewPeer};

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

/// A node's number in the drawn fleet.
pub type Id = usize;

/// What a member of a drawn fleet does: views and baselines alike.
pub trait Peer: Sized {
    /// What goes over the drawn network.
    type Packet: Clone;
    /// Its name in tables.
    const NAME: &'static str;
    /// A process that starts, with what it is told: its number, its life, the fleet's size and the seeds' numbers.
    fn start(
        id: Id,
        life: u64,
        size: usize,
        seeds: &[Id],
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Self;
    /// A datagram came.
    fn hear(
        &mut self,
        packet: Self::Packet,
        now: Duration,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<(Id, Self::Packet)>,
    );
    /// Time has passed.
    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng, out: &mut Vec<(Id, Self::Packet)>);
    /// When time alone does something.
    fn next(&self) -> Duration;
    /// Bytes of a datagram, without the headers of the network.
    fn size(packet: &Self::Packet) -> usize;
    /// Whether it holds that member to be there.
    fn holds(&self, id: Id) -> bool;
    /// How many members it holds to be there, itself included.
    fn present(&self) -> usize;
    /// Equal where two hold the same.
    fn digest(&self) -> u64;
    /// The members given up since this was last asked.
    fn given_up(&mut self) -> Vec<Id>;
}
