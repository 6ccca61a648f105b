//! What a holder may spend of one budget.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Terms;

/// What a holder asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// Rises with each ask of a life.
    pub seq: u64,
    /// The ask whose answer the holder goes by; no earlier answer will ever count.
    pub applied: u64,
    /// What it may be spending at this moment, its floor aside.
    pub using: u64,
    /// What it could spend.
    pub want: u64,
}

/// What a granter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The ask that it answers.
    pub seq: u64,
    /// What may be spent for [`Terms::lease`] from when that was asked.
    pub units: u64,
}

/// Asks whose answers are waited for; a later one makes the earlier ones useless soon anyhow.
const ASKS: usize = 64;

/// One holder's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    terms: Terms,
    floor: u64,
    /// What an earlier life of this node spent of the floor has ended by then.
    floor_from: Duration,
    seq: u64,
    asked: VecDeque<(u64, Duration)>,
    applied: u64,
    granted: u64,
    until: Duration,
    in_use: u64,
    want: u64,
}

impl Part {
    /// A holder that starts now, with a floor of its own that nobody else ever spends.
    pub fn new(terms: &Terms, floor: u64, now: Duration) -> Part {
        Part {
            floor,
            floor_from: now + terms.over(terms.longest),
            terms: terms.clone(),
            seq: 0,
            asked: VecDeque::new(),
            applied: 0,
            granted: 0,
            until: Duration::ZERO,
            in_use: 0,
            want: 0,
        }
    }
    /// What is in use, and what could be.
    pub fn wants(&mut self, in_use: u64, want: u64) {
        (self.in_use, self.want) = (in_use, want);
    }
    /// The floor can be spent from then on: not before another process that has it as well has ended, and what it began.
    pub fn floor_from(&mut self, from: Duration) {
        self.floor_from = from;
    }
    /// What is in use, and what could be.
    pub fn used(&self) -> (u64, u64) {
        (self.in_use, self.want)
    }
    /// What could be spent.
    pub fn want(&self) -> u64 {
        self.want
    }
    /// What may be in use at this moment: nothing new is begun past it.
    pub fn limit(&self, now: Duration) -> u64 {
        self.own(now) + self.leased(now)
    }
    /// The floor, once it can be spent.
    pub fn own(&self, now: Duration) -> u64 {
        if now >= self.floor_from {
            self.floor
        } else {
            0
        }
    }
    fn leased(&self, now: Duration) -> u64 {
        if now < self.until {
            self.granted
        } else {
            0
        }
    }
    /// The lease on what is granted, and its end by this clock.
    pub fn lease(&self) -> (u64, Duration) {
        (self.granted, self.until)
    }
    /// When the floor can be spent.
    pub fn floor(&self) -> (u64, Duration) {
        (self.floor, self.floor_from)
    }

    /// The next ask.
    pub fn ask(&mut self, now: Duration) -> Ask {
        self.seq += 1;
        self.asked.push_back((self.seq, now));
        if self.asked.len() > ASKS {
            self.asked.pop_front();
        }
        // What is in hand counts as long as it is, whatever the lease says by now.
        let using = self
            .leased(now)
            .max(self.in_use.saturating_sub(self.own(now)));
        let want = self.want.saturating_sub(self.own(now));
        Ask {
            seq: self.seq,
            applied: self.applied,
            using,
            want,
        }
    }
    /// An answer came. False for one that is doubled, overtaken, or answers nothing.
    pub fn granted(&mut self, grant: Grant) -> bool {
        if grant.seq <= self.applied {
            return false;
        }
        let Some((_, at)) = self
            .asked
            .iter()
            .find(|(seq, _)| *seq == grant.seq)
            .copied()
        else {
            return false;
        };
        self.asked.retain(|(seq, _)| *seq > grant.seq);
        (self.applied, self.granted, self.until) = (grant.seq, grant.units, at + self.terms.lease);
        true
    }
}
