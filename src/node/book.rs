//! The book of requests: where each stands, the right to answer it, and the keys that must not run again.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::time::Instant;

use super::request::{Body, Reply, Rid};
use crate::interface::{ClassId, RequestId};

/// Where a request stands with the peers.
#[derive(Debug, PartialEq)]
pub(super) enum Stage {
    /// Never sent to the executor.
    Held,
    /// Sent, and not known to be over.
    Running,
    /// Its run waits for this call.
    AtCall(Body),
    /// The call is being made; the body is kept in case it never runs and is made again.
    Calling(Body),
}

impl Stage {
    /// A word for the log.
    pub fn word(&self) -> &'static str {
        match self {
            Stage::Held => "held",
            Stage::Running => "running",
            Stage::AtCall(_) => "at a call",
            Stage::Calling(_) => "calling",
        }
    }
}

pub(super) struct Entry {
    pub rid: Rid,
    pub class: ClassId,
    pub body: Body,
    /// Kilobytes that the platform books for it while it is held.
    pub held_kb: f64,
    pub reply: Option<Reply>,
    pub stage: Stage,
    /// When the answer was given; what runs on after that is nobody's.
    pub answered: Option<Instant>,
    /// Repeats one that ran, or may yet: it is failed and never run.
    pub repeats: bool,
    /// The link broke since its run was last heard of: the command may not have arrived.
    pub unsure: bool,
    /// Its key in the table of those that must not run again.
    pub key: Option<u128>,
    /// The key under which the fleet counts it, where it does.
    pub counted: Option<u64>,
}

impl Entry {
    /// Whether it was ever sent to run: then it is not refused, as that would say that it never ran.
    pub fn ran(&self) -> bool {
        self.stage != Stage::Held
    }
}

/// Keys of effects in hand or run in this life. They are kept as 128-bit hashes under seeds of this process, so a
/// long key costs no more than a short one; the table is bounded, and when it is full new keys are refused.
pub(super) struct Keys {
    seeds: (RandomState, RandomState),
    table: HashMap<u128, RequestId>,
    most: usize,
}

impl Keys {
    pub fn new(most: usize) -> Keys {
        Keys { seeds: (RandomState::new(), RandomState::new()), table: HashMap::new(), most }
    }
    pub fn hash(&self, class: ClassId, key: &str) -> u128 {
        let one = |s: &RandomState| u128::from(s.hash_one((class, key)));
        one(&self.seeds.0) << 64 | one(&self.seeds.1)
    }
    pub fn find(&self, key: u128) -> Option<RequestId> {
        self.table.get(&key).copied()
    }
    pub fn full(&self) -> bool {
        self.table.len() >= self.most
    }
}

pub(super) struct Book {
    entries: HashMap<RequestId, Entry>,
    by_rid: HashMap<Rid, RequestId>,
    next: u64,
    pub keys: Keys,
}

impl Book {
    pub fn new(once_keys: usize) -> Book {
        Book { entries: HashMap::new(), by_rid: HashMap::new(), next: 1, keys: Keys::new(once_keys) }
    }

    /// Enters a request, and its key if it is the first to bring it.
    pub fn enter(&mut self, entry: Entry) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        if let Some(key) = entry.key.filter(|_| !entry.repeats) {
            self.keys.table.insert(key, id);
        }
        self.by_rid.insert(entry.rid, id);
        self.entries.insert(id, entry);
        id
    }

    /// Takes out a request that is over. Its key stays if it was ever sent to run, and goes if it never was.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.by_rid.remove(&entry.rid);
        if let Some(key) = entry.key.filter(|_| !entry.repeats && !entry.ran()) {
            self.keys.table.remove(&key);
        }
        Some(entry)
    }

    pub fn find(&self, rid: Rid) -> Option<RequestId> {
        self.by_rid.get(&rid).copied()
    }
    pub fn get(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }
    /// Requests held, with a run that someone waits for, and with one that nobody does.
    pub fn counts(&self) -> (usize, usize, usize) {
        let held = self.entries.values().filter(|e| !e.ran()).count();
        let ghosts = self.entries.values().filter(|e| e.ran() && e.reply.is_none()).count();
        (held, self.entries.len() - held - ghosts, ghosts)
    }
    /// Kilobytes that the platform books for all of them, where a run takes `run_factor` times what is held.
    pub fn booked_kb(&self, run_factor: f64) -> f64 {
        self.entries.values().map(|e| e.held_kb * if e.ran() { run_factor } else { 1.0 }).sum()
    }
    pub fn all(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(n: u64, key: Option<u128>, repeats: bool) -> Entry {
        let (rid, body) = (Rid::from_number(n), Body::from_bytes(b""));
        let (stage, class) = (Stage::Held, ClassId(0));
        Entry {
            rid,
            class,
            body,
            held_kb: 1.0,
            reply: None,
            stage,
            answered: None,
            repeats,
            unsure: false,
            key,
            counted: None,
        }
    }

    /// Guards the single effect: a key stays once its request was sent to run, and goes if it never was, so that a
    /// request refused here may come again.
    #[test]
    fn a_key_stays_only_where_it_ran() {
        let mut book = Book::new(2);
        let key = book.keys.hash(ClassId(0), "a");
        assert_ne!(key, book.keys.hash(ClassId(1), "a"));
        let first = book.enter(entry(1, Some(key), false));
        book.remove(first);
        assert_eq!(book.keys.find(key), None);
        let second = book.enter(entry(2, Some(key), false));
        // One that repeats it neither takes the key over nor takes it away.
        let third = book.enter(entry(3, Some(key), true));
        book.remove(third);
        assert_eq!(book.keys.find(key), Some(second));
        book.get(second).expect("in the book").stage = Stage::Running;
        book.remove(second);
        assert_eq!((book.keys.find(key), book.find(Rid::from_number(2))), (Some(second), None));
    }

    /// Guards our memory: the table of keys is bounded, and says so before the bound is passed.
    #[test]
    fn the_table_of_keys_is_bounded() {
        let mut book = Book::new(1);
        assert!(!book.keys.full());
        let key = book.keys.hash(ClassId(0), "a");
        book.enter(entry(1, Some(key), false));
        assert!(book.keys.full());
    }
}
