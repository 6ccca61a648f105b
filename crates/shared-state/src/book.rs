//! What the granter of one budget has granted, and what of it may still be spent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use membership::Name;

use crate::part::{Ask, Grant};
use crate::Terms;

/// A holder in one life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// The last ask.
    seq: u64,
    want: u64,
    /// What it said to be using, and until when that may last.
    using: (u64, Duration),
    /// Answers that may still count there: the ask, the units, and until when.
    granted: Vec<(u64, u64, Duration)>,
}

impl Holder {
    /// The most that it may be spending, or have in hand below.
    fn counted(&self, now: Duration) -> u64 {
        let using = if now < self.using.1 { self.using.0 } else { 0 };
        let granted = self
            .granted
            .iter()
            .filter(|(_, _, until)| now < *until)
            .map(|(_, units, _)| *units);
        granted.fold(using, u64::max)
    }
}

/// A granter's book of one budget, for one reign.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Book {
    terms: Terms,
    pool: u64,
    /// Until then what the granter before this one granted may be spent: only what holders say to be using is granted again.
    unknown_until: Duration,
    holders: BTreeMap<(Name, u64), Holder>,
    /// What each may have at the most, so that the wants of all fit; and when that is next worked out.
    level: u64,
    level_until: Duration,
    /// Who may have one more: what does not divide.
    extra: BTreeSet<(Name, u64)>,
}

impl Book {
    /// The book of a reign that begins now, over what is not anybody's floor.
    pub fn new(terms: &Terms, pool: u64, now: Duration) -> Book {
        Book {
            terms: terms.clone(),
            pool,
            unknown_until: now + terms.ended(),
            holders: BTreeMap::new(),
            level: 0,
            level_until: now,
            extra: BTreeSet::new(),
        }
    }
    /// The pool is another from now on. A smaller one is in force once what is granted beyond it has been asked back.
    pub fn set_pool(&mut self, pool: u64) {
        (self.pool, self.level_until) = (pool, Duration::ZERO);
    }
    /// The most that all together may be spending, as far as it was granted in this reign.
    pub fn counted(&self, now: Duration) -> u64 {
        self.holders.values().map(|h| h.counted(now)).sum()
    }
    /// Holders, in lives that may still spend, with what they are counted for and what they want.
    pub fn holders(&self, now: Duration) -> impl Iterator<Item = (&Name, u64, u64)> {
        self.holders
            .iter()
            .map(move |((name, _), h)| (name, h.counted(now), h.want))
    }

    /// A holder in this life asks.
    pub fn asked(&mut self, name: &Name, life: u64, ask: Ask, now: Duration) -> Option<Grant> {
        let ended = now + self.terms.ended();
        let holder = self.holders.entry((name.clone(), life)).or_default();
        if ask.seq <= holder.seq {
            // Late or doubled. What it says of the past is overtaken.
            return None;
        }
        // What is kept for it, and given to nobody else. An ask may be late: what it says to be using may have run out since,
        // and be another's by now. Only where this granter has given nothing yet is it taken at its word.
        let kept = holder.counted(now);
        let has = if now < self.unknown_until {
            kept.max(ask.using)
        } else {
            kept
        };
        // Answers before the one that it goes by will never count.
        holder
            .granted
            .retain(|(seq, _, until)| *seq >= ask.applied && now < *until);
        (holder.seq, holder.want, holder.using) = (ask.seq, ask.want, (ask.using, ended));
        if now >= self.level_until {
            self.work_out(now);
        }
        // Nothing is known of what others may still spend of an earlier granter's: what it has, it keeps, or less.
        let free = if now < self.unknown_until {
            0
        } else {
            self.pool.saturating_sub(self.counted(now))
        };
        let more = u64::from(self.extra.contains(&(name.clone(), life)));
        let wanted = ask.want.min(self.level.saturating_add(more));
        let units = if wanted <= has {
            wanted
        } else {
            has + free.min(wanted - has)
        };
        let holder = self.holders.entry((name.clone(), life)).or_default();
        holder.granted.push((ask.seq, units, ended));
        Some(Grant {
            seq: ask.seq,
            units,
        })
    }

    /// The level at which the wants of all that ask fit the pool: who wants less gets it, the others get equal parts of the
    /// rest.
    fn work_out(&mut self, now: Duration) {
        self.level_until = now + self.terms.least;
        self.holders
            .retain(|_, h| now < h.using.1 || h.granted.iter().any(|(_, _, until)| now < *until));
        let mut wants: Vec<u64> = self.holders.values().map(|h| h.want).collect();
        wants.sort_unstable();
        let (mut left, mut count) = (self.pool, wants.len() as u64);
        (self.level, self.extra) = (u64::MAX, BTreeSet::new());
        for want in wants {
            let equal = left / count.max(1);
            if want > equal {
                self.level = equal;
                break;
            }
            (left, count) = (left - want, count - 1);
        }
        if self.level < u64::MAX {
            let rest = (left - self.level * count) as usize;
            let more = self
                .holders
                .iter()
                .filter(|(_, h)| h.want > self.level)
                .map(|(key, _)| key.clone());
            self.extra = more.take(rest).collect();
        }
    }
}
