//! The members that a view holds, with what follows from each change at once: the sums by which views are compared, the
//! list that probes and relays are drawn from, the news to be told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::suspicion::Suspicion;
use crate::word::{hash, Name, Record, Said, Standing, Word};

/// Buckets of names by which two views find what differs: the sums of all fit one datagram.
pub(crate) const BUCKETS: usize = 64;

/// A member as it is held.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub record: Record,
    pub suspicion: Option<Box<Suspicion>>,
    /// Since when it stands as it does.
    pub since: Duration,
    /// When a datagram of its own last came.
    pub heard: Option<Duration>,
    /// Times that its news has been told, and its place in the order of news; none where it is no news any more.
    news: Option<(u8, u64)>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<Name, Member>,
    /// Names of those that are present, in no order.
    present: Vec<Name>,
    sums: Vec<u64>,
    /// News by times told, then the newest first.
    hot: BTreeSet<(u8, u64, Name)>,
    counter: u64,
    lost: usize,
    left: usize,
}

fn bucket(name: &str) -> usize {
    (hash(name) >> 32) as usize % BUCKETS
}

/// What a present member adds to its bucket's sum. The gone add nothing: they are forgotten at different times.
fn part(record: &Record) -> u64 {
    let Word {
        life,
        incarnation,
        said,
        standing,
    } = record.word;
    if !record.word.present() {
        return 0;
    }
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&life.to_le_bytes());
    bytes[8..12].copy_from_slice(&incarnation.to_le_bytes());
    (bytes[12], bytes[13]) = (said as u8, standing as u8);
    xxh3_64_with_seed(&bytes, hash(&record.name))
}

impl Table {
    pub(crate) fn new() -> Table {
        Table {
            sums: vec![0; BUCKETS],
            ..Table::default()
        }
    }
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }
    pub(crate) fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
    pub(crate) fn after(&self, name: &str) -> impl Iterator<Item = &Member> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.members
            .range::<str, _>((Excluded(name), Unbounded))
            .map(|(_, m)| m)
    }
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }
    pub(crate) fn present(&self) -> &[Name] {
        &self.present
    }
    /// Members gone without a word.
    pub(crate) fn lost(&self) -> usize {
        self.lost
    }
    pub(crate) fn sums(&self) -> &[u64] {
        &self.sums
    }
    pub(crate) fn digest(&self) -> u64 {
        self.sums
            .iter()
            .fold(0, |all, sum| all.rotate_left(1) ^ sum)
    }
    /// The names of the buckets whose sums differ from those.
    pub(crate) fn differing(&self, sums: &[u64]) -> impl Iterator<Item = &Member> + '_ {
        let differs: Vec<bool> = self.sums.iter().zip(sums).map(|(a, b)| a != b).collect();
        self.members.values().filter(move |m| {
            differs
                .get(bucket(&m.record.name))
                .copied()
                .unwrap_or(false)
        })
    }

    /// Holds a record from now on, and has it told if it is news.
    pub(crate) fn put(&mut self, record: Record, now: Duration, news: bool) {
        let name = record.name.clone();
        let at = bucket(&name);
        self.sums[at] ^= part(&record);
        let is = record.word;
        let was = if let Some(member) = self.members.get_mut(&name) {
            let was = member.record.word;
            self.sums[at] ^= part(&member.record);
            if (was.standing, was.said) != (is.standing, is.said) {
                member.since = now;
            }
            if is.standing != Standing::Suspected {
                member.suspicion = None;
            }
            member.record = record;
            Some(was)
        } else {
            let member = Member {
                record,
                suspicion: None,
                since: now,
                heard: None,
                news: None,
            };
            self.members.insert(name.clone(), member);
            None
        };
        self.count(was, Some(is), &name);
        if news {
            self.tell(&name);
        }
    }
    pub(crate) fn remove(&mut self, name: &str) {
        let Some((key, member)) = self.members.remove_entry(name) else {
            return;
        };
        self.sums[bucket(name)] ^= part(&member.record);
        if let Some((told, order)) = member.news {
            self.hot.remove(&(told, order, key.clone()));
        }
        self.count(Some(member.record.word), None, &key);
    }
    fn count(&mut self, was: Option<Word>, is: Option<Word>, name: &Name) {
        let present = |word: Option<Word>| word.is_some_and(|w| w.present());
        match (present(was), present(is)) {
            (false, true) => self.present.push(name.clone()),
            (true, false) => {
                if let Some(at) = self.present.iter().position(|n| n == name) {
                    self.present.swap_remove(at);
                }
            }
            _ => {}
        }
        let lost = |word: Option<Word>| word.is_some_and(|w| !w.present() && !w.left()) as usize;
        let left = |word: Option<Word>| word.is_some_and(|w| w.left()) as usize;
        self.lost = self.lost + lost(is) - lost(was);
        self.left = self.left + left(is) - left(was);
    }
    /// The gone of either kind.
    pub(crate) fn tombstones(&self) -> usize {
        self.lost + self.left
    }

    /// This member is news again.
    pub(crate) fn tell(&mut self, name: &Name) {
        self.counter += 1;
        // The newest first: the order counts down.
        let order = u64::MAX - self.counter;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        if let Some((told, before)) = member.news.replace((0, order)) {
            self.hot.remove(&(told, before, name.clone()));
        }
        self.hot.insert((0, order, name.clone()));
    }
    pub(crate) fn has_news(&self) -> bool {
        !self.hot.is_empty()
    }
    /// News that fits so many bytes, the least told first and the newest among those; each piece ends after `tellings`.
    pub(crate) fn news(&mut self, bytes: usize, tellings: u8, but: &str) -> Vec<Record> {
        let mut left = bytes;
        let mut taken = Vec::new();
        let mut records = Vec::new();
        for (told, order, name) in &self.hot {
            let Some(member) = self.members.get(name) else {
                continue;
            };
            let size = member.record.size();
            if size > left {
                break;
            }
            if &**name == but {
                continue;
            }
            left -= size;
            records.push(member.record.clone());
            taken.push((*told, *order, name.clone()));
        }
        for piece in taken {
            self.hot.remove(&piece);
            let (told, order, name) = piece;
            let next = (told + 1 < tellings).then_some((told + 1, order));
            if let Some(member) = self.members.get_mut(&name) {
                member.news = next;
            }
            if let Some((told, order)) = next {
                self.hot.insert((told, order, name));
            }
        }
        records
    }

    /// Forgets the gone that have been so for `forget`, and the oldest of them past `most`.
    pub(crate) fn forget(&mut self, now: Duration, forget: Duration, most: usize) {
        if self.tombstones() == 0 {
            return;
        }
        let mut gone: Vec<(Duration, Name)> = self
            .members
            .values()
            .filter(|m| !m.record.word.present())
            .map(|m| (m.since, m.record.name.clone()))
            .collect();
        gone.sort();
        let over = gone.len().saturating_sub(most);
        for (i, (since, name)) in gone.into_iter().enumerate() {
            if i < over || now.saturating_sub(since) >= forget {
                self.remove(&name);
            }
        }
    }
    /// How a member is served by what it says.
    pub(crate) fn said(&self, name: &str) -> Option<Said> {
        self.get(name).map(|m| m.record.word.said)
    }
}
