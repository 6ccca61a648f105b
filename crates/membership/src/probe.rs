//! Probes in hand: the one of this period, and those made for others.

use std::net::SocketAddr;
use std::time::Duration;

use crate::word::Name;

/// How far a probe is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Asked once.
    Asked,
    /// Asked again.
    Again,
    /// Others were asked to ask.
    Relayed,
}

/// The probe of this period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub name: Name,
    pub seq: u32,
    pub started: Duration,
    pub stage: Stage,
    /// When the next stage is due, or the period ends.
    pub due: Duration,
    /// Relays asked, and those of them that said that they hear nothing either.
    pub relays: usize,
    pub nacks: usize,
    pub answered: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub(crate) struct Errand {
    /// Our number, under which the answer comes.
    pub seq: u32,
    /// Who asked, and its number.
    pub to: SocketAddr,
    pub theirs: u32,
    /// When the asker hears that there is no answer so far.
    pub nack: Duration,
    pub nacked: bool,
    /// When it is given up.
    pub until: Duration,
}
