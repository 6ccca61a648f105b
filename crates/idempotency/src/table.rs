//! The table of keys within a memory limit.

use std::collections::{BTreeSet, HashMap};

use crate::entry::{KeyEntry, KeyState, ENTRY_BYTES};
use crate::{BodyDigest, JoinOutcome, KeyDigest, Lookup, Micros, RequestId, RunResult};

/// The known idempotency keys, with the state of the request that owns each. `R` is the type of a result.
#[derive(Debug)]
pub struct KeyTable<R> {
    entries: HashMap<KeyDigest, KeyEntry<R>>,
    keys_by_owner: HashMap<RequestId, KeyDigest>,
    /// Finished entries that expire, ordered by when they may be removed.
    expiries: BTreeSet<(Micros, KeyDigest)>,
    /// The owner that each waiting attempt has joined.
    joined_owners: HashMap<RequestId, RequestId>,
    bytes: usize,
    max_bytes: usize,
    /// Set aside for the result of each run that is not finished.
    result_bytes: usize,
    /// For how long an attempt may lie unread and still be run.
    max_unread: Micros,
}

impl<R: Clone> KeyTable<R> {
    /// A table of at most `max_bytes`, where a result has at most `result_bytes` and an attempt that was not read
    /// `max_unread` after its arrival is no longer run.
    pub fn new(max_bytes: usize, result_bytes: usize, max_unread: Micros) -> KeyTable<R> {
        KeyTable {
            entries: HashMap::new(),
            keys_by_owner: HashMap::new(),
            expiries: BTreeSet::new(),
            joined_owners: HashMap::new(),
            bytes: 0,
            max_bytes,
            result_bytes,
            max_unread,
        }
    }

    /// Looks up the key of an attempt with this body that arrived at this time.
    pub fn lookup(&self, key: KeyDigest, body: BodyDigest, arrived_at: Micros) -> Lookup {
        let Some(entry) = self.entries.get(&key) else {
            return self.lookup_new_key();
        };
        if entry.is_finished() && arrived_at > entry.window_ends_at {
            Lookup::Unknown
        } else if arrived_at <= entry.previous_window_ends_at {
            Lookup::AlreadyRan
        } else if entry.body != body {
            Lookup::BodyMismatch
        } else {
            Lookup::DuplicateOf(entry.owner)
        }
    }

    fn lookup_new_key(&self) -> Lookup {
        if self.bytes + ENTRY_BYTES + self.result_bytes <= self.max_bytes {
            Lookup::Unknown
        } else {
            Lookup::TableFull
        }
    }

    /// Reserves an unknown key for its first request, in place of an entry that is finished and expired. Attempts that
    /// arrive after the owner's own arrival are duplicates of a finished run only after [`KeyTable::extend_window`].
    pub fn reserve(
        &mut self,
        key: KeyDigest,
        body: BodyDigest,
        owner: RequestId,
        arrived_at: Micros,
    ) {
        let previous = self
            .entries
            .get(&key)
            .map_or(Micros::MIN, |entry| entry.window_ends_at);
        self.remove(key);
        let entry = KeyEntry::new(
            owner,
            body,
            KeyState::Reserved,
            arrived_at,
            previous,
            self.result_bytes,
        );
        self.insert(key, entry);
    }

    /// Has attempts that arrive up to `window_ends_at` count as duplicates of this request.
    pub fn extend_window(&mut self, owner: RequestId, window_ends_at: Micros) {
        if let Some(entry) = self.entry_mut(owner) {
            entry.window_ends_at = entry.window_ends_at.max(window_ends_at);
        }
    }

    /// Notes that the owner was sent to run: from now on its key stays known until its window is over.
    pub fn mark_running(&mut self, owner: RequestId) {
        if let Some(entry) = self.entry_mut(owner) {
            if matches!(entry.state, KeyState::Reserved) {
                entry.state = KeyState::Running;
            }
        }
    }

    /// Whether the owner was sent to run and is not finished: another attempt may join it, so it must not be stopped.
    pub fn is_running(&self, owner: RequestId) -> bool {
        self.keys_by_owner
            .get(&owner)
            .and_then(|key| self.entries.get(key))
            .is_some_and(KeyEntry::is_running)
    }

    /// Has an attempt join the request that it duplicates.
    pub fn join(&mut self, attempt: RequestId, owner: RequestId) -> JoinOutcome<R> {
        let Some(entry) = self.entry_mut(owner) else {
            return JoinOutcome::NeverRan;
        };
        if let KeyState::Finished(result) = &entry.state {
            return JoinOutcome::Finished(result.clone());
        }
        entry.waiting.push(attempt);
        self.joined_owners.insert(attempt, owner);
        JoinOutcome::Waiting
    }

    /// Removes a waiting attempt that was answered otherwise or that nobody waits for any more.
    pub fn cancel_wait(&mut self, attempt: RequestId) {
        let Some(owner) = self.joined_owners.remove(&attempt) else {
            return;
        };
        if let Some(entry) = self.entry_mut(owner) {
            entry.waiting.retain(|waiting| *waiting != attempt);
        }
    }

    /// Keeps the result of a run, of `size` bytes, for later duplicates, and returns the attempts that waited for it.
    /// Does nothing for a request that is not running.
    pub fn finish(
        &mut self,
        owner: RequestId,
        result: RunResult<R>,
        size: usize,
    ) -> Vec<RequestId> {
        let Some(key) = self.keys_by_owner.get(&owner).copied() else {
            return Vec::new();
        };
        let Some(entry) = self
            .entries
            .get_mut(&key)
            .filter(|entry| entry.is_running())
        else {
            return Vec::new();
        };
        entry.state = KeyState::Finished(result);
        if entry.window_ends_at != Micros::NEVER {
            let expires_at = entry.window_ends_at.saturating_add(self.max_unread);
            self.expiries.insert((expires_at, key));
        }
        let bytes = ENTRY_BYTES + size;
        self.bytes = self.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
        let waiting = std::mem::take(&mut entry.waiting);
        for attempt in &waiting {
            self.joined_owners.remove(attempt);
        }
        waiting
    }

    /// Drops a request that certainly never ran: its key is unknown again, and the attempts that waited for it, which
    /// never ran either, are returned. Does nothing for a request that is finished.
    pub fn release_unrun(&mut self, owner: RequestId) -> Vec<RequestId> {
        let Some(key) = self.keys_by_owner.get(&owner).copied() else {
            return Vec::new();
        };
        let Some(entry) = self.entries.get(&key).filter(|entry| !entry.is_finished()) else {
            return Vec::new();
        };
        let (body, previous) = (entry.body, entry.previous_window_ends_at);
        let waiting = self.remove(key);
        if previous > Micros::MIN {
            self.restore_previous(key, body, owner, previous);
        }
        waiting
    }

    /// Keeps the window of a run before a dropped request: it may not be over for attempts that are still unread.
    fn restore_previous(
        &mut self,
        key: KeyDigest,
        body: BodyDigest,
        owner: RequestId,
        window_ends_at: Micros,
    ) {
        let expires_at = window_ends_at.saturating_add(self.max_unread);
        self.expiries.insert((expires_at, key));
        let entry = KeyEntry::new(
            owner,
            body,
            KeyState::Finished(RunResult::Failed),
            window_ends_at,
            window_ends_at,
            self.result_bytes,
        );
        self.insert(key, entry);
    }

    /// Removes the entries that no attempt can duplicate any more.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some((expires_at, key)) = self.expiries.first().copied() {
            if expires_at >= now {
                return;
            }
            self.expiries.remove(&(expires_at, key));
            self.remove(key);
        }
    }

    /// The number of known keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that the entries take, with those set aside for results.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn entry_mut(&mut self, owner: RequestId) -> Option<&mut KeyEntry<R>> {
        self.entries.get_mut(self.keys_by_owner.get(&owner)?)
    }

    fn insert(&mut self, key: KeyDigest, entry: KeyEntry<R>) {
        self.bytes += entry.bytes;
        self.keys_by_owner.insert(entry.owner, key);
        self.entries.insert(key, entry);
    }

    /// Removes an entry; the attempts that waited for it.
    fn remove(&mut self, key: KeyDigest) -> Vec<RequestId> {
        let Some(entry) = self.entries.remove(&key) else {
            return Vec::new();
        };
        self.keys_by_owner.remove(&entry.owner);
        let expires_at = entry.window_ends_at.saturating_add(self.max_unread);
        self.expiries.remove(&(expires_at, key));
        self.bytes -= entry.bytes;
        for attempt in &entry.waiting {
            self.joined_owners.remove(attempt);
        }
        entry.waiting
    }
}
