//! The plays of the drawn fleet: the hard cases of `docs/fleet.md`, and what size does.

use std::time::Duration;

use crate::{Fleet, Id, Network, Peer};

/// A hard case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// All start at once from one seed.
    Start,
    /// All start at once, one of two seeds is down.
    SeedDown,
    /// A third is killed in one instant.
    ThirdKilled,
    /// Cut in halves for a minute, then healed.
    Halves,
    /// Cut two to one for a minute, then healed.
    TwoToOne,
    /// Cut in three for a minute, then healed.
    InThree,
    /// One is cut off for a minute, then healed.
    OneCut,
    /// One hears nothing for a minute, then healed.
    Deaf,
    /// Nobody hears one for a minute, then healed.
    Mute,
    /// During a cut in halves two on each side are replaced, then healed.
    Replaced,
    /// A fifth of all datagrams lost, up to 100 ms on the way, for a minute; then a fault-free network.
    Loss,
    /// One is stopped for 5 s and goes on.
    Stopped,
    /// One restarts in less time than suspicion takes.
    Restart,
    /// All restart, one after the other, a second apart.
    Rolling,
}

/// All of them.
pub const CASES: [Case; 14] = [
    Case::Start,
    Case::SeedDown,
    Case::ThirdKilled,
    Case::Halves,
    Case::TwoToOne,
    Case::InThree,
    Case::OneCut,
    Case::Deaf,
    Case::Mute,
    Case::Replaced,
    Case::Loss,
    Case::Stopped,
    Case::Restart,
    Case::Rolling,
];

/// What came out of one play.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// From the last fault, or from its beginning where it stays, until all views of each side were settled; none if they
    /// were not within two minutes.
    pub settled: Option<Duration>,
    /// Members given up that lived and could be reached, over all nodes.
    pub wrongly: usize,
}

const LOOK: Duration = Duration::from_millis(20);
const MOST: Duration = Duration::from_secs(120);
const MINUTE: Duration = Duration::from_secs(60);

/// A fleet that has started and settled.
pub fn whole<P: Peer>(size: usize, network: Network, seed: u64) -> Option<Fleet<P>> {
    let mut fleet: Fleet<P> = Fleet::new(size, vec![0, 1], network, seed);
    (0..size).for_each(|id| fleet.start(id));
    fleet.until(MOST, LOOK, Fleet::settled)?;
    fleet.run(Duration::from_secs(5));
    fleet.until(MOST, LOOK, Fleet::settled)?;
    (fleet.wrongly, fleet.rightly) = (Vec::new(), Vec::new());
    Some(fleet)
}

/// Plays a hard case in a fleet of this size.
pub fn play<P: Peer>(case: Case, size: usize, seed: u64) -> Outcome {
    let none = Outcome {
        settled: None,
        wrongly: 0,
    };
    if matches!(case, Case::Start | Case::SeedDown) {
        let seeds = if case == Case::Start {
            vec![0]
        } else {
            vec![0, size]
        };
        // A seed that is down: a number beyond the fleet's.
        let mut fleet: Fleet<P> = Fleet::new(size, seeds, Network::default(), seed);
        (0..size).for_each(|id| fleet.start(id));
        let settled = fleet.until(MOST, LOOK, Fleet::settled);
        return Outcome {
            settled,
            wrongly: fleet.wrongly.len(),
        };
    }
    let Some(mut fleet) = whole::<P>(size, Network::default(), seed) else {
        return none;
    };
    let cut = |fleet: &mut Fleet<P>, part: &dyn Fn(Id) -> u8| {
        (0..size).for_each(|id| fleet.part(id, part(id)));
    };
    let one = fleet.draw(size);
    match case {
        Case::Start | Case::SeedDown => {}
        Case::ThirdKilled => (0..size)
            .filter(|id| id % 3 == 2)
            .for_each(|id| fleet.kill(id)),
        Case::Halves => cut(&mut fleet, &|id| (id % 2) as u8),
        Case::TwoToOne => cut(&mut fleet, &|id| u8::from(id % 3 == 0)),
        Case::InThree => cut(&mut fleet, &|id| (id % 3) as u8),
        Case::OneCut => cut(&mut fleet, &|id| u8::from(id == one)),
        Case::Deaf => fleet.one_way(one, true, false),
        Case::Mute => fleet.one_way(one, false, true),
        Case::Replaced => {
            cut(&mut fleet, &|id| (id % 2) as u8);
            fleet.run(MINUTE / 2);
            for id in 2..6 {
                fleet.kill(id);
                fleet.run(Duration::from_millis(700));
                fleet.start(id);
            }
        }
        Case::Loss => {
            let delay = (Duration::from_millis(1), Duration::from_millis(100));
            fleet.network = Network {
                loss: 0.2,
                double: 0.02,
                delay,
            };
        }
        Case::Stopped => fleet.stop(one, Duration::from_secs(5)),
        Case::Restart => {
            fleet.kill(one);
            fleet.run(Duration::from_millis(800));
            fleet.start(one);
        }
        Case::Rolling => {
            for id in 0..size {
                fleet.kill(id);
                fleet.run(Duration::from_millis(300));
                fleet.start(id);
                fleet.run(Duration::from_millis(700));
            }
        }
    }
    let heals = matches!(
        case,
        Case::Halves
            | Case::TwoToOne
            | Case::InThree
            | Case::OneCut
            | Case::Deaf
            | Case::Mute
            | Case::Replaced
            | Case::Loss
    );
    if heals {
        fleet.run(MINUTE);
        fleet.heal();
        fleet.network = Network::default();
    }
    if case == Case::Stopped {
        fleet.run(Duration::from_secs(5));
    }
    let settled = fleet.until(MOST, LOOK, Fleet::settled);
    Outcome {
        settled,
        wrongly: fleet.wrongly.len(),
    }
}

/// What a fleet of one size does.
#[derive(Clone, Copy, Debug)]
pub struct Sized {
    /// From a kill until the first and until the last of the others had given it up.
    pub detected: Option<(Duration, Duration)>,
    /// From a start of one more until all held it.
    pub joined: Option<Duration>,
    /// Datagrams and bytes that a node sent in a second at rest.
    pub datagrams: f64,
    /// See `datagrams`.
    pub bytes: f64,
}

/// Measures a fleet of `size`: at rest, one killed, one started again.
pub fn sized<P: Peer>(size: usize, seed: u64) -> Option<Sized> {
    let mut fleet = whole::<P>(size, Network::default(), seed)?;
    let total = |fleet: &Fleet<P>| {
        (0..size)
            .map(|id| fleet.traffic(id))
            .fold((0, 0), |sum, t| (sum.0 + t.datagrams, sum.1 + t.bytes))
    };
    // What the start left to be told is told by then.
    fleet.run(MINUTE);
    let before = total(&fleet);
    let rest = 10;
    fleet.run(Duration::from_secs(rest));
    let after = total(&fleet);
    let per = |n: u64| n as f64 / rest as f64 / size as f64;
    let (datagrams, bytes) = (per(after.0 - before.0), per(after.1 - before.1));
    let one = 2 + fleet.draw(size - 2);
    fleet.kill(one);
    let began = fleet.now();
    fleet.until(MOST, LOOK, |f| f.given_up_by_all(one));
    let times: Vec<Duration> = fleet
        .rightly
        .iter()
        .filter(|(_, _, id)| *id == one)
        .map(|(at, _, _)| *at - began)
        .collect();
    let detected = times.iter().min().copied().zip(times.iter().max().copied());
    fleet.start(one);
    let joined = fleet.until(MOST, LOOK, Fleet::settled);
    Some(Sized {
        detected,
        joined,
        datagrams,
        bytes,
    })
}

/// Members given up wrongly in a fleet with a network that loses, and one slow node if wanted, over so long.
pub fn wrongly<P: Peer>(
    size: usize,
    loss: f64,
    slow: Duration,
    long: Duration,
    seed: u64,
) -> Option<usize> {
    let mut fleet = whole::<P>(size, Network::default(), seed)?;
    fleet.network.loss = loss;
    if !slow.is_zero() {
        fleet.slow(size / 2, slow);
    }
    fleet.run(long);
    Some(fleet.wrongly.len())
}
