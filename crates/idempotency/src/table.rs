//! The table of idempotency keys, with a memory limit.

use std::collections::{BTreeSet, HashMap};

use crate::entry::{KeyEntry, KeyState, ENTRY_BYTES};
use crate::{BodyDigest, JoinOutcome, KeyDigest, Lookup, Micros, RequestId, RunResult};

/// The known idempotency keys and the states of the requests that own them. `R` is the type of a
/// result.
#[derive(Debug)]
pub struct KeyTable<R> {
    entries: HashMap<KeyDigest, KeyEntry<R>>,
    keys_by_owner: HashMap<RequestId, KeyDigest>,
    /// Finished entries that expire, ordered by the time from which they may be removed.
    expiries: BTreeSet<(Micros, KeyDigest)>,
    /// Owners that waiting attempts have joined, by attempt.
    joined_owners: HashMap<RequestId, RequestId>,
    bytes: usize,
    max_bytes: usize,
    /// Bytes reserved for the result of each run that has not finished.
    result_bytes: usize,
    /// Maximum time between arrival and reading after which an attempt may still run.
    max_read_delay: Micros,
}

impl<R: Clone> KeyTable<R> {
    /// Creates a table of at most `max_bytes`. A result has at most `result_bytes`, and an attempt
    /// that is read more than `max_read_delay` after its arrival does not run any more.
    pub fn new(max_bytes: usize, result_bytes: usize, max_read_delay: Micros) -> KeyTable<R> {
        KeyTable {
            entries: HashMap::new(),
            keys_by_owner: HashMap::new(),
            expiries: BTreeSet::new(),
            joined_owners: HashMap::new(),
            bytes: 0,
            max_bytes,
            result_bytes,
            max_read_delay,
        }
    }

    /// Looks up the key of an attempt with the body digest `body` that arrived at `arrived_at`.
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

    /// Reserves an unknown key for its first request and replaces an entry that has finished and
    /// whose window has ended. Attempts that arrive later than the owner are duplicates of its
    /// finished run only after [`KeyTable::extend_window`].
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

    /// Treats attempts that arrive up to `window_ends_at` as duplicates of this request. Never
    /// shortens the window.
    pub fn extend_window(&mut self, owner: RequestId, window_ends_at: Micros) {
        if let Some(entry) = self.entry_mut(owner) {
            entry.window_ends_at = entry.window_ends_at.max(window_ends_at);
        }
    }

    /// Records that the owner was sent to run. From then on its key stays known until its window
    /// has ended.
    pub fn mark_running(&mut self, owner: RequestId) {
        if let Some(entry) = self.entry_mut(owner) {
            if matches!(entry.state, KeyState::Reserved) {
                entry.state = KeyState::Running;
            }
        }
    }

    /// Returns true if the owner was sent to run and has not finished. It must not be stopped then,
    /// as another attempt may join it.
    pub fn is_running(&self, owner: RequestId) -> bool {
        self.keys_by_owner
            .get(&owner)
            .and_then(|key| self.entries.get(key))
            .is_some_and(KeyEntry::is_running)
    }

    /// Joins an attempt to the request that it duplicates.
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

    /// Removes a waiting attempt that was answered otherwise or is abandoned.
    pub fn cancel_wait(&mut self, attempt: RequestId) {
        let Some(owner) = self.joined_owners.remove(&attempt) else {
            return;
        };
        if let Some(entry) = self.entry_mut(owner) {
            entry.waiting.retain(|waiting| *waiting != attempt);
        }
    }

    /// Returns true if attempts wait for the result of this request.
    pub fn has_waiting(&self, owner: RequestId) -> bool {
        self.keys_by_owner
            .get(&owner)
            .and_then(|key| self.entries.get(key))
            .is_some_and(|entry| !entry.waiting.is_empty())
    }

    /// Stores the result of a run, of `size` bytes, for later duplicates, and returns the attempts
    /// that waited for it. Has no effect for a request that is not running.
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
            let expires_at = entry.window_ends_at.saturating_add(self.max_read_delay);
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

    /// Drops a request that certainly never ran, so that its key is unknown again. Returns the
    /// attempts that waited for it, which never ran either. Has no effect for a request that has
    /// finished.
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

    /// Restores the window of the run that preceded a dropped request: attempts that arrived within
    /// it may still be unread.
    fn restore_previous(
        &mut self,
        key: KeyDigest,
        body: BodyDigest,
        owner: RequestId,
        window_ends_at: Micros,
    ) {
        let expires_at = window_ends_at.saturating_add(self.max_read_delay);
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

    /// Removes the entries of which no further attempt can be a duplicate.
    pub fn remove_expired(&mut self, now: Micros) {
        while let Some((expires_at, key)) = self.expiries.first().copied() {
            if expires_at >= now {
                return;
            }
            self.expiries.remove(&(expires_at, key));
            self.remove(key);
        }
    }

    /// Returns the number of known keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all entries in bytes, including the bytes reserved for results.
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

    /// Removes an entry and returns the attempts that waited for it.
    fn remove(&mut self, key: KeyDigest) -> Vec<RequestId> {
        let Some(entry) = self.entries.remove(&key) else {
            return Vec::new();
        };
        self.keys_by_owner.remove(&entry.owner);
        let expires_at = entry.window_ends_at.saturating_add(self.max_read_delay);
        self.expiries.remove(&(expires_at, key));
        self.bytes -= entry.bytes;
        for attempt in &entry.waiting {
            self.joined_owners.remove(attempt);
        }
        entry.waiting
    }
}
