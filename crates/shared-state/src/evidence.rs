//! What nodes find of a service below, and what each makes of it: neither one node nor one site can say for all that it is
//! down, and one that is alone in failing knows that the fault is its own path's.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How long an attempt tells something.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Attempts kept at the most, the newest.
const ATTEMPTS: usize = 256;
/// Fewer attempts than this say nothing of a service.
const FEWEST: usize = 3;
/// It is slow where attempts take this multiple of their long-run best.
const SLOW: f64 = 4.0;
/// How much of the best is forgotten with each attempt that takes longer.
const FORGET: f64 = 1.0 / 4096.0;
/// How long something worse has to be found until it is said ...
const WORSE: Duration = Duration::from_millis(300);
/// ... and that only this node fails: when all do, some find it sooner than others. So what the others find has to be of a
/// moment this much later than when this node found that it fails.
const ALONE: Duration = Duration::from_millis(500);
/// How long something better has to be found, at first and after many turns.
const BETTER: (Duration, u32) = (Duration::from_secs(1), 4);
/// Turns for the worse are forgotten after this long without one.
const CALM: Duration = Duration::from_secs(60);

/// What a node finds of a service by its own attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Condition {
    /// Most attempts succeed.
    Sound,
    /// They succeed, and take much longer than they used to.
    Slow,
    /// Half of them or more fail.
    Failing,
}

/// A node's attempts of late at one service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    attempts: VecDeque<(Duration, Option<Duration>)>,
    best: f64,
}

impl Window {
    /// An attempt ended: well, in so long, or not.
    pub fn ended(&mut self, now: Duration, took: Option<Duration>) {
        if let Some(took) = took {
            let took = took.as_secs_f64().max(1e-6);
            let more = (took - self.best) * FORGET;
            self.best = if self.best == 0.0 || took < self.best {
                took
            } else {
                self.best + more
            };
        }
        if self.attempts.len() >= ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back((now, took));
    }
    /// Attempts and failures in the window.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        let recent = || self.attempts.iter().filter(|(at, _)| *at + WINDOW >= now);
        (
            recent().count(),
            recent().filter(|(_, took)| took.is_none()).count(),
        )
    }
    /// What they say, if they are enough to say anything.
    pub fn condition(&self, now: Duration) -> Option<Condition> {
        let (attempts, failures) = self.counts(now);
        if attempts < FEWEST {
            return None;
        }
        if failures * 2 >= attempts {
            return Some(Condition::Failing);
        }
        let recent = self.attempts.iter().filter(|(at, _)| *at + WINDOW >= now);
        let took: f64 = recent
            .filter_map(|(_, took)| *took)
            .map(|t| t.as_secs_f64())
            .sum();
        let slow = took > SLOW * self.best * (attempts - failures) as f64;
        Some(if slow {
            Condition::Slow
        } else {
            Condition::Sound
        })
    }
}

/// How many find what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Found {
    /// That it is sound.
    pub sound: u32,
    /// That it is slow.
    pub slow: u32,
    /// That it fails.
    pub failing: u32,
}

impl Found {
    /// One more, or one less, finds this.
    pub fn count(&mut self, condition: Condition, more: bool) {
        let of = match condition {
            Condition::Sound => &mut self.sound,
            Condition::Slow => &mut self.slow,
            Condition::Failing => &mut self.failing,
        };
        *of = if more {
            of.saturating_add(1)
        } else {
            of.saturating_sub(1)
        };
    }
    /// All that tried.
    pub fn tried(&self) -> u32 {
        self.sound
            .saturating_add(self.slow)
            .saturating_add(self.failing)
    }
    fn most_fail(&self) -> bool {
        u64::from(self.failing) * 2 > u64::from(self.tried())
    }
    fn most_slow(&self) -> bool {
        u64::from(self.slow) * 2 > u64::from(self.tried())
    }
}

/// What the others find of a service, gathered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// At the reader's own site, itself left out.
    pub here: Found,
    /// At all other sites together.
    pub elsewhere: Found,
    /// How many other sites say what, each by most of its nodes that tried.
    pub sites: Found,
}

impl Tally {
    /// Of other sites, and what is found at each; and of the reader's own.
    pub fn of(here: Found, others: impl Iterator<Item = Found>) -> Tally {
        let mut tally = Tally {
            here,
            ..Tally::default()
        };
        for found in others.filter(|f| f.tried() > 0) {
            let all = &mut tally.elsewhere;
            all.sound += found.sound;
            all.slow += found.slow;
            all.failing += found.failing;
            let says = match () {
                () if found.most_fail() => Condition::Failing,
                () if found.most_slow() => Condition::Slow,
                () => Condition::Sound,
            };
            tally.sites.count(says, true);
        }
        tally
    }
    fn all(&self, own: Option<Condition>) -> Found {
        let mut all = Found {
            sound: self.here.sound + self.elsewhere.sound,
            slow: self.here.slow + self.elsewhere.slow,
            failing: self.here.failing + self.elsewhere.failing,
        };
        own.into_iter().for_each(|c| all.count(c, true));
        all
    }
}

/// What a node makes of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Judgement {
    /// Nobody tried of late.
    Unknown,
    /// It serves.
    Sound,
    /// It serves, slowly, and not to this node alone.
    Slow,
    /// This node fails, and what others find is too little to tell whose fault that is.
    Unsure,
    /// Others reach it: this node's or its site's own path is at fault.
    OnlyHere,
    /// It fails for most of those that tried, at two sites and more.
    Down,
}

impl Judgement {
    /// Whether calls are to be few: enough to see that it serves again.
    pub fn holds_back(self) -> bool {
        matches!(self, Judgement::Down | Judgement::OnlyHere)
    }
    fn worse_than(self, other: Judgement) -> bool {
        let grave = |j| match j {
            Judgement::Unknown | Judgement::Sound => 0,
            Judgement::Slow => 1,
            Judgement::Unsure => 2,
            Judgement::OnlyHere | Judgement::Down => 3,
        };
        grave(self) > grave(other)
    }
    /// For people.
    pub fn name(self) -> &'static str {
        match self {
            Judgement::Unknown => "unknown",
            Judgement::Sound => "sound",
            Judgement::Slow => "slow",
            Judgement::Unsure => "unsure",
            Judgement::OnlyHere => "only here",
            Judgement::Down => "down",
        }
    }
}

/// What follows from what this node finds and what the others do, in a fleet of so many sites.
pub fn judge(own: Option<Condition>, others: &Tally, sites: usize) -> Judgement {
    // What succeeds here is not down for this node, whatever is said elsewhere.
    if own == Some(Condition::Sound) {
        return Judgement::Sound;
    }
    let all = others.all(own);
    let mut here = others.here;
    own.into_iter().for_each(|c| here.count(c, true));
    let sites_failing = others.sites.failing + u32::from(here.most_fail());
    // Of a fleet that stands at one site that site is all there is; one node is not enough even so.
    let enough = if sites > 1 {
        sites_failing >= 2
    } else {
        all.failing >= 2
    };
    if all.most_fail() && enough {
        return Judgement::Down;
    }
    match own {
        Some(Condition::Failing) => {
            let others = others.all(None);
            if others.tried() > 0 && !others.most_fail() {
                Judgement::OnlyHere
            } else {
                Judgement::Unsure
            }
        }
        Some(Condition::Slow) => Judgement::Slow,
        _ if all.tried() == 0 => Judgement::Unknown,
        // One that did not try believes the others no harm that it has not met itself.
        _ if all.most_slow() => Judgement::Slow,
        _ => Judgement::Sound,
    }
}

/// A judgement that does not flap: the worse is said soon, the better after longer with each turn.
#[derive(Clone, Debug)]
pub struct Judge {
    said: Judgement,
    since: Duration,
    found: (Judgement, Duration),
    turns: u32,
}

impl Default for Judge {
    fn default() -> Judge {
        let nothing = Judgement::Unknown;
        Judge {
            said: nothing,
            since: Duration::ZERO,
            found: (nothing, Duration::ZERO),
            turns: 0,
        }
    }
}

impl Judge {
    /// What holds after this was found, from what others found at `as_of` or later.
    pub fn look(&mut self, now: Duration, found: Judgement, as_of: Duration) -> Judgement {
        if found != self.found.0 {
            self.found = (found, now);
        }
        if found == self.said {
            if now.saturating_sub(self.since) >= CALM {
                self.turns = 0;
            }
            return self.said;
        }
        let worse = found.worse_than(self.said);
        let better = self.said.worse_than(found);
        let wait = match () {
            () if worse => WORSE,
            // Before anything grave was said the better is believed at once.
            () if better && self.said.holds_back() => {
                BETTER.0 * (1 << self.turns.saturating_sub(1).min(BETTER.1))
            }
            () => Duration::ZERO,
        };
        let told = found != Judgement::OnlyHere || as_of >= self.found.1 + ALONE;
        if told && now.saturating_sub(self.found.1) >= wait {
            if worse && found.holds_back() {
                self.turns = if now.saturating_sub(self.since) >= CALM {
                    0
                } else {
                    self.turns + 1
                };
            }
            (self.said, self.since) = (found, now);
        }
        self.said
    }
    /// What is said, and since when.
    pub fn said(&self) -> (Judgement, Duration) {
        (self.said, self.since)
    }
}
