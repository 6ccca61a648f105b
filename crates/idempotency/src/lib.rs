//! The table of keys under which a request runs at most once in a window, apart from wires, clock and threads: tries and
//! times come in, and it says whether a try is the first of its key, repeats another, or can't be told.
//!
//! A key is free, held (its first try waits for leave to run), running, or over with what came of it. The window counts
//! from the arrival of the try that ran; a repeat is told by its own arrival, however late it is read, so an entry stays
//! for as long after its window as a try may lie unread. While a try runs, every other joins it, whatever the window says:
//! two must not run at once. No entry whose try ran goes before its time; when there is no room, new keys are turned away.

use std::collections::{BTreeSet, HashMap};

/// An instant in microseconds, on whatever clock the caller counts arrivals by.
pub type Micros = i64;

/// The arrival after the window of a key that lapses never.
pub const NEVER: Micros = Micros::MAX;

/// What a try's key says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// No other try of it is known: it may be entered.
    Free,
    /// It repeats this one.
    Repeat(u64),
    /// It repeats one that ran and whose end is not held any more.
    Ran,
    /// The key stands for another body.
    OtherBody,
    /// It may be new, but there is no room to remember it.
    Full,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End<R> {
    /// The result, which every repeat gets.
    Served(R),
    /// It failed, or how far it went is not known: it may have had its effect, and is not run again.
    Failed,
}

/// What becomes of a try that joins the one it repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Joined<R> {
    /// That one is over, with this.
    Over(End<R>),
    /// It is told with the end of that one.
    Waits,
    /// That one was dropped without having run, so neither has.
    NeverRan,
}

#[derive(Debug)]
enum Stage<R> {
    Held,
    Running,
    Over(End<R>),
}

#[derive(Debug)]
struct Entry<R> {
    owner: u64,
    /// A digest of the first try's body.
    body: u128,
    stage: Stage<R>,
    /// The last arrival that is a repeat once the run is over.
    until: Micros,
    /// The same of a run before it: tries may be read in another order than they arrived.
    earlier: Micros,
    waiting: Vec<u64>,
    bytes: usize,
}

/// What an entry takes beside its result: key, owner, places in both maps and the order of lapses.
const ENTRY_BYTES: usize = 256;

/// See the crate's head. `R` is a result.
#[derive(Debug)]
pub struct Table<R> {
    entries: HashMap<u128, Entry<R>>,
    owners: HashMap<u64, u128>,
    /// Entries that are over and lapse, by when they may go.
    lapses: BTreeSet<(Micros, u128)>,
    /// Whom a try that waits has joined.
    joined: HashMap<u64, u64>,
    bytes: usize,
    most_bytes: usize,
    /// Set aside for the result of each run that is not over.
    result_bytes: usize,
    /// For how long a try may lie unread and still be run.
    unread: Micros,
}

impl<R: Clone> Table<R> {
    /// A table that keeps to `most_bytes`, where a result has `result_bytes` at the most and a try that was not read
    /// `unread` microseconds after its arrival is not run any more.
    pub fn new(most_bytes: usize, result_bytes: usize, unread: Micros) -> Table<R> {
        Table {
            entries: HashMap::new(),
            owners: HashMap::new(),
            lapses: BTreeSet::new(),
            joined: HashMap::new(),
            bytes: 0,
            most_bytes,
            result_bytes,
            unread,
        }
    }

    /// What is known of a key, for a try of this body that arrived then.
    pub fn find(&self, key: u128, body: u128, arrived: Micros) -> Found {
        let room = || self.bytes + ENTRY_BYTES + self.result_bytes <= self.most_bytes;
        match self.entries.get(&key) {
            Some(entry) if matches!(entry.stage, Stage::Over(_)) && arrived > entry.until => {
                Found::Free
            }
            Some(entry) if arrived <= entry.earlier => Found::Ran,
            Some(entry) if entry.body != body => Found::OtherBody,
            Some(entry) => Found::Repeat(entry.owner),
            None if room() => Found::Free,
            None => Found::Full,
        }
    }

    /// Enters the first try of a key that is free. One that is over and lapsed makes room for it. Nobody that repeats it
    /// after its end is known for its own before [`Table::keep`].
    pub fn enter(&mut self, key: u128, body: u128, owner: u64, arrived: Micros) {
        let earlier = self.entries.get(&key).map_or(Micros::MIN, |e| e.until);
        self.remove(key);
        self.put(
            key,
            Entry {
                owner,
                body,
                stage: Stage::Held,
                until: arrived,
                earlier,
                waiting: Vec::new(),
                bytes: 0,
            },
        );
    }

    /// Arrivals up to `until` are repeats of this one.
    pub fn keep(&mut self, owner: u64, until: Micros) {
        if let Some(entry) = self.of(owner) {
            entry.until = entry.until.max(until);
        }
    }

    /// It is sent to run: from now on its key is not free before its window is over.
    pub fn ran(&mut self, owner: u64) {
        if let Some(entry) = self.of(owner).filter(|e| matches!(e.stage, Stage::Held)) {
            entry.stage = Stage::Running;
        }
    }

    /// Whether it was sent to run and is not over: another try may come for its result, so it is not stopped.
    pub fn runs(&self, owner: u64) -> bool {
        self.owners
            .get(&owner)
            .and_then(|key| self.entries.get(key))
            .is_some_and(|e| matches!(e.stage, Stage::Running))
    }

    /// A try joins the one that it repeats.
    pub fn join(&mut self, waiter: u64, owner: u64) -> Joined<R> {
        let Some(entry) = self.of(owner) else {
            return Joined::NeverRan;
        };
        if let Stage::Over(end) = &entry.stage {
            return Joined::Over(end.clone());
        }
        entry.waiting.push(waiter);
        self.joined.insert(waiter, owner);
        Joined::Waits
    }

    /// A try that waits is answered otherwise, or nobody waits for it any more.
    pub fn leave(&mut self, waiter: u64) {
        let Some(owner) = self.joined.remove(&waiter) else {
            return;
        };
        if let Some(entry) = self.of(owner) {
            entry.waiting.retain(|w| *w != waiter);
        }
    }

    /// Its run is over: what came of it stays for later repeats, and those that wait, who are returned, get it now. Of one
    /// that never ran, or is over, there is nothing to tell.
    pub fn end(&mut self, owner: u64, end: End<R>, size: usize) -> Vec<u64> {
        let unread = self.unread;
        let Some(key) = self.owners.get(&owner).copied() else {
            return Vec::new();
        };
        let Some(entry) = self
            .entries
            .get_mut(&key)
            .filter(|e| matches!(e.stage, Stage::Running))
        else {
            return Vec::new();
        };
        entry.stage = Stage::Over(end);
        if entry.until != NEVER {
            self.lapses
                .insert((entry.until.saturating_add(unread), key));
        }
        let bytes = ENTRY_BYTES + size;
        self.bytes = self.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
        let waiting = std::mem::take(&mut entry.waiting);
        for waiter in &waiting {
            self.joined.remove(waiter);
        }
        waiting
    }

    /// It is dropped, and certainly never ran: its key is free, and so are those that wait, who are returned.
    pub fn never_ran(&mut self, owner: u64) -> Vec<u64> {
        let Some(key) = self.owners.get(&owner).copied() else {
            return Vec::new();
        };
        let Some((body, earlier)) = self
            .entries
            .get(&key)
            .filter(|e| !matches!(e.stage, Stage::Over(_)))
            .map(|e| (e.body, e.earlier))
        else {
            return Vec::new();
        };
        let waiting = self.remove(key);
        // The window of a run before it may not be over for all that is still unread.
        if earlier > Micros::MIN {
            let stage = Stage::Over(End::Failed);
            self.lapses
                .insert((earlier.saturating_add(self.unread), key));
            self.put(
                key,
                Entry {
                    owner,
                    body,
                    stage,
                    until: earlier,
                    earlier,
                    waiting: Vec::new(),
                    bytes: 0,
                },
            );
        }
        waiting
    }

    /// Lets go of what no try can repeat any more.
    pub fn expire(&mut self, now: Micros) {
        while let Some((at, key)) = self.lapses.first().copied().filter(|(at, _)| *at < now) {
            self.lapses.remove(&(at, key));
            self.remove(key);
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
    /// Bytes that they take, with what is set aside.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn of(&mut self, owner: u64) -> Option<&mut Entry<R>> {
        self.entries.get_mut(self.owners.get(&owner)?)
    }

    fn put(&mut self, key: u128, mut entry: Entry<R>) {
        entry.bytes = ENTRY_BYTES
            + if matches!(entry.stage, Stage::Over(_)) {
                0
            } else {
                self.result_bytes
            };
        self.bytes += entry.bytes;
        self.owners.insert(entry.owner, key);
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: u128) -> Vec<u64> {
        let Some(entry) = self.entries.remove(&key) else {
            return Vec::new();
        };
        self.owners.remove(&entry.owner);
        self.lapses
            .remove(&(entry.until.saturating_add(self.unread), key));
        self.bytes -= entry.bytes;
        for waiter in &entry.waiting {
            self.joined.remove(waiter);
        }
        entry.waiting
    }
}
