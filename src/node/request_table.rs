//! The request table: where each stands, the right to answer it, and the keys that must not run again.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash};
use std::time::Instant;

use idempotency::Table;

use super::request::{Body, Reply, Rid};
use policy::{ClassId, RequestId};

/// Where a request stands with the peers.
#[derive(Debug, PartialEq)]
pub(super) enum Stage {
    /// Never sent to the executor.
    Held,
    /// Sent, and not known to be over.
    Running,
    /// It joins one that it repeats, and is never sent.
    Joined,
    /// Its run waits for this call, which came with the notice of this number.
    AtCall(Body, u64),
    /// The call is being made; the body is kept in case it never runs and is made again.
    Calling(Body, u64),
}

impl Stage {
    /// A word for the log.
    pub(super) fn word(&self) -> &'static str {
        match self {
            Stage::Held => "held",
            Stage::Joined => "joined",
            Stage::Running => "running",
            Stage::AtCall(..) => "at a call",
            Stage::Calling(..) => "calling",
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
    /// Repeats this one, which ran or may yet: it is served from that run or failed, and never run.
    pub repeats: Option<RequestId>,
    /// The link broke since its run was last heard of: the command may not have arrived.
    pub unsure: bool,
    /// It stands in the table of keys, as the first of its key.
    pub keyed: bool,
    /// The key under which the fleet counts it, where it does.
    pub counted: Option<u64>,
}

impl Entry {
    /// Whether it was ever sent to run: then it is not refused, as that would say that it never ran.
    pub(super) fn ran(&self) -> bool {
        !matches!(self.stage, Stage::Held | Stage::Joined)
    }
}

/// What came of a run, as the table of keys keeps it.
pub(super) type End = idempotency::End<Body>;

/// Digests of keys and bodies under seeds of this process: a long key costs no more than a short one.
pub(super) struct Digests(RandomState, RandomState);

impl Digests {
    /// The digest of a value.
    pub(super) fn of(&self, value: impl Hash) -> u128 {
        let one = |s: &RandomState| u128::from(s.hash_one(&value));
        one(&self.0) << 64 | one(&self.1)
    }
}

pub(super) struct RequestTable {
    entries: HashMap<RequestId, Entry>,
    by_rid: HashMap<Rid, RequestId>,
    next: u64,
    pub digests: Digests,
    pub keys: Table<Body>,
}

impl RequestTable {
    pub(super) fn new(keys: Table<Body>) -> RequestTable {
        let digests = Digests(RandomState::new(), RandomState::new());
        RequestTable {
            entries: HashMap::new(),
            by_rid: HashMap::new(),
            next: 1,
            digests,
            keys,
        }
    }

    /// Enters a request; with the digest of its key and of its body, if it is the first to bring it, and when it arrived.
    pub(super) fn enter(&mut self, entry: Entry, first: Option<(u128, u128, i64)>) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        if let Some((key, body, arrived)) = first {
            self.keys.enter(key, body, id.0, arrived);
        }
        self.by_rid.insert(entry.rid, id);
        self.entries.insert(id, entry);
        id
    }

    /// Takes out a request that is over, and tells who waited for what came of one that never ran. The key of one that was
    /// ever sent to run stays in the table.
    pub(super) fn remove(&mut self, id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        self.by_rid.remove(&entry.rid);
        if entry.repeats.is_some() {
            self.keys.leave(id.0);
        }
        let dropped = entry.keyed && !entry.ran();
        let waiting = if dropped {
            self.keys.never_ran(id.0)
        } else {
            Vec::new()
        };
        waiting.into_iter().map(RequestId).collect()
    }

    pub(super) fn find(&self, rid: Rid) -> Option<RequestId> {
        self.by_rid.get(&rid).copied()
    }
    pub(super) fn get(&mut self, id: RequestId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }
    /// Requests held, with a run that someone waits for, and with one that nobody does.
    pub(super) fn counts(&self) -> (usize, usize, usize) {
        let held = self.entries.values().filter(|e| !e.ran()).count();
        let ghosts = self
            .entries
            .values()
            .filter(|e| e.ran() && e.reply.is_none())
            .count();
        (held, self.entries.len() - held - ghosts, ghosts)
    }
    /// Kilobytes that the platform books for all of them, where a run takes `run_factor` times what is held.
    pub(super) fn booked_kb(&self, run_factor: f64) -> f64 {
        self.entries
            .values()
            .map(|e| e.held_kb * if e.ran() { run_factor } else { 1.0 })
            .sum()
    }
    pub(super) fn all(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }
}
