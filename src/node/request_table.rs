//! The table of requests that have not ended, with the stage and the responder of each, and the
//! idempotency keys.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hash};
use std::time::Instant;

use idempotency::{KeyTable, Micros};
use policy::{ClassId, RequestId, Time};

use super::messages::ExecutorCommand;
use super::request::{ArrivalId, Payload, RequestUid, Responder};
use super::run_delivery::{RunDelivery, RunNumber};

/// The stage of a request at the executor and the database.
#[derive(Debug, PartialEq)]
pub(super) enum RequestStage {
    /// The request was never sent to the executor.
    Queued,
    /// The request was sent to the executor, and its run is not known to have ended.
    Running,
    /// The request waits for the result of the request that it repeats, and is never sent itself.
    Joined,
    /// The run waits for permission to make a database call.
    AwaitingCall {
        /// The body of the call.
        payload: Payload,
        /// Number of the executor's notice that requested the call.
        notice: u64,
    },
    /// The call is being made. Its body is kept in case the call never runs and is made again.
    Calling {
        /// The body of the call.
        payload: Payload,
        /// Number of the executor's notice that requested the call.
        notice: u64,
    },
}

impl RequestStage {
    /// Resets a request whose call never ran or failed to the stage in which it awaits the call.
    pub(super) fn await_call_again(&mut self) {
        if let RequestStage::Calling { payload, notice } =
            std::mem::replace(self, RequestStage::Running)
        {
            *self = RequestStage::AwaitingCall { payload, notice };
        }
    }

    /// Returns the name of the stage in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            RequestStage::Queued => "queued",
            RequestStage::Joined => "joined",
            RequestStage::Running => "running",
            RequestStage::AwaitingCall { .. } => "awaiting call",
            RequestStage::Calling { .. } => "calling",
        }
    }
}

/// A request that has not ended.
pub(super) struct RequestEntry {
    pub(super) uid: RequestUid,
    pub(super) arrival: ArrivalId,
    pub(super) class: ClassId,
    pub(super) payload: Payload,
    /// Kilobytes that the platform counts for the request while it is queued.
    pub(super) queued_kb: f64,
    /// The right to answer the request, until it is answered.
    pub(super) responder: Option<Responder>,
    pub(super) stage: RequestStage,
    /// Time of the answer. A run that continues after that is abandoned.
    pub(super) answered_at: Option<Instant>,
    /// The request that this one repeats, which ran or may still run. This one is answered from
    /// that run or fails, and never runs.
    pub(super) repeats: Option<RequestId>,
    /// Known state of the delivery of the command to run the request.
    pub(super) delivery: RunDelivery,
    /// True if a database call was made for the request.
    pub(super) has_called: bool,
    /// True if the request is the owner of its key in the table of keys, as the first one to use
    /// it.
    pub(super) owns_key: bool,
    /// The key under which the request is counted in the fleet's counters, if it is.
    pub(super) fleet_key: Option<u64>,
}

impl RequestEntry {
    /// Returns true if the request was ever sent to run. It must then not be rejected, as a
    /// rejection guarantees that the request never ran.
    pub(super) fn was_sent(&self) -> bool {
        !matches!(self.stage, RequestStage::Queued | RequestStage::Joined)
    }

    /// Returns the command to run the request; `class` is the name of its class.
    pub(super) fn run_command(&self, class: String) -> ExecutorCommand {
        ExecutorCommand::Run {
            uid: self.uid,
            class,
            payload: self.payload.clone(),
        }
    }
}

/// The result of a run, as the table of keys keeps it.
pub(super) type RunResult = idempotency::RunResult<Payload>;

/// The claim of a request to be the first one with its idempotency key.
#[derive(Clone, Copy)]
pub(super) struct KeyClaim {
    /// Digest of the key, its class and its tenant.
    pub(super) key_digest: u128,
    /// Digest of the payload.
    pub(super) payload_digest: u128,
    /// Arrival time of the request.
    pub(super) arrived_at: Time,
}

/// Computes 128-bit digests with random seeds of this process. With digests a long key takes no
/// more memory than a short one, and no client can choose keys whose digests collide.
pub(super) struct Digests(RandomState, RandomState);

impl Digests {
    fn new() -> Digests {
        Digests(RandomState::new(), RandomState::new())
    }

    /// Returns the digest of a value.
    pub(super) fn digest(&self, value: impl Hash) -> u128 {
        let high = u128::from(self.0.hash_one(&value));
        let low = u128::from(self.1.hash_one(&value));
        high << 64 | low
    }
}

/// Numbers of requests by stage.
pub(super) struct RequestCounts {
    /// Requests that were not sent to run.
    pub(super) queued: usize,
    /// Requests with a run whose caller still waits for the answer.
    pub(super) running: usize,
    /// Requests with an abandoned run.
    pub(super) abandoned: usize,
    /// Requests, both running and abandoned, whose run may never have started.
    pub(super) in_doubt: usize,
}

/// All requests that have not ended.
pub(super) struct RequestTable {
    entries: HashMap<RequestId, RequestEntry>,
    by_uid: HashMap<RequestUid, RequestId>,
    by_arrival: HashMap<ArrivalId, RequestId>,
    next_id: u64,
    pub(super) digests: Digests,
    pub(super) keys: KeyTable<Payload>,
}

impl RequestTable {
    pub(super) fn new(keys: KeyTable<Payload>) -> RequestTable {
        RequestTable {
            entries: HashMap::new(),
            by_uid: HashMap::new(),
            by_arrival: HashMap::new(),
            next_id: 1,
            digests: Digests::new(),
            keys,
        }
    }

    /// Inserts a request. `claim` is its claim to its key, if it is the first to use it.
    pub(super) fn insert(&mut self, entry: RequestEntry, claim: Option<KeyClaim>) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        if let Some(claim) = claim {
            self.keys.reserve(
                claim.key_digest,
                claim.payload_digest,
                id.0,
                Micros(claim.arrived_at.0),
            );
        }
        self.by_uid.insert(entry.uid, id);
        self.by_arrival.insert(entry.arrival, id);
        self.entries.insert(id, entry);
        id
    }

    /// Removes a request that has ended. Returns the requests that joined it, if it never ran. The
    /// key of a request that was ever sent to run stays in the table of keys.
    pub(super) fn remove(&mut self, id: RequestId) -> Vec<RequestId> {
        let Some(entry) = self.entries.remove(&id) else {
            return Vec::new();
        };
        self.by_uid.remove(&entry.uid);
        self.by_arrival.remove(&entry.arrival);
        if entry.repeats.is_some() {
            self.keys.cancel_wait(id.0);
        }
        if !entry.owns_key || entry.was_sent() {
            return Vec::new();
        }
        let joined = self.keys.release_unrun(id.0);
        joined.into_iter().map(RequestId).collect()
    }

    /// Returns the request that the executor knows by this id.
    pub(super) fn find(&self, uid: RequestUid) -> Option<RequestId> {
        self.by_uid.get(&uid).copied()
    }

    /// Returns the request with this arrival.
    pub(super) fn find_arrival(&self, arrival: ArrivalId) -> Option<RequestId> {
        self.by_arrival.get(&arrival).copied()
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns the request, if it has not been sent to run and has not joined another.
    pub(super) fn get_queued(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.get_mut(id)
            .filter(|entry| entry.stage == RequestStage::Queued)
    }

    /// Returns true if the request has not been sent to run, repeats no other, and no other repeats
    /// it.
    pub(super) fn is_queued_for_itself(&self, id: RequestId) -> bool {
        let is_queued =
            |entry: &RequestEntry| entry.stage == RequestStage::Queued && entry.repeats.is_none();
        let is_repeated = || self.entries.values().any(|entry| entry.repeats == Some(id));
        let Some(entry) = self.entries.get(&id) else {
            return false;
        };
        is_queued(entry) && !(entry.owns_key && is_repeated())
    }

    pub(super) fn counts(&self) -> RequestCounts {
        let sent = self.entries.values().filter(|e| e.was_sent());
        let sent_count = sent.clone().count();
        let in_doubt = sent.clone().filter(|e| e.delivery.is_in_doubt()).count();
        let abandoned = sent.filter(|e| e.responder.is_none()).count();
        RequestCounts {
            queued: self.entries.len() - sent_count,
            running: sent_count - abandoned,
            abandoned,
            in_doubt,
        }
    }

    /// Returns the number of runs that may be on the cores, which are those that do not wait for a
    /// call.
    pub(super) fn runs_on_cores(&self) -> usize {
        let on_cores = |entry: &&RequestEntry| entry.stage == RequestStage::Running;
        self.entries.values().filter(on_cores).count()
    }

    /// Returns the number of calls that are being made or about to be made.
    pub(super) fn calls_in_progress(&self) -> usize {
        let is_calling =
            |entry: &&RequestEntry| matches!(entry.stage, RequestStage::Calling { .. });
        self.entries.values().filter(is_calling).count()
    }

    /// Records that a run has ended on the cores by itself, which is evidence about runs in doubt
    /// that were sent before it.
    pub(super) fn record_ended_run(&mut self, number: RunNumber) {
        for entry in self.entries.values_mut() {
            entry.delivery.other_run_ended(number);
        }
    }

    /// Returns the kilobytes that the platform counts for all requests. A running request takes
    /// `run_factor` times the memory of a queued one.
    pub(super) fn booked_kb(&self, run_factor: f64) -> f64 {
        self.entries
            .values()
            .map(|e| e.queued_kb * if e.was_sent() { run_factor } else { 1.0 })
            .sum()
    }

    /// Returns the kilobytes that the platform counts for runs.
    pub(super) fn run_memory_kb(&self, run_factor: f64) -> f64 {
        let runs = self.entries.values().filter(|e| e.was_sent());
        runs.map(|e| e.queued_kb * run_factor).sum()
    }

    /// Returns the ids of the requests for which the predicate holds, in no particular order.
    pub(super) fn ids_matching(&self, predicate: impl Fn(&RequestEntry) -> bool) -> Vec<RequestId> {
        let matching = self.entries.iter().filter(|(_, entry)| predicate(entry));
        matching.map(|(id, _)| *id).collect()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut RequestEntry> {
        self.entries.values_mut()
    }
}
