//! The journal that all peers of a node share: its requests, the rules that are checked with them,
//! and the order of events.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::plan::{DRAIN_GRACE, KEY_WINDOW, REQUEST_KB};
use crate::request_record::{
    ConnectionEnd, RequestEnd, RequestRecord, RequestTotals, RunPermit, SentRequest, Violation,
};

/// Time by which an answer may exceed its deadline: the `answerSlack` of the settings, the
/// documented 50 ms, and the delay that a busy machine may add to a client.
const ANSWER_SLACK: Duration = Duration::from_millis(100 + 50 + 250);
/// Longest time between the sending of a request and the close of its connection for which the
/// request may still have been in transit, so that it does not count as lost.
const CLOSE_RACE_SLACK: Duration = Duration::from_millis(50);
/// Longest time between the exit of a process, which closes its listening socket, and the close of
/// a new connection for which the exit may have caused the close.
const PROCESS_EXIT_SLACK: Duration = Duration::from_millis(300);
/// Delay that a busy machine may add to the time after which no request is run any more.
const DRAIN_SLACK: Duration = Duration::from_millis(50 + 250);

/// Time after which a written request counts as booked: the documented 0.1 s, and the delay that a
/// busy machine may add to the node.
const BOOKED_AFTER: Duration = Duration::from_millis(100 + 250);

#[derive(Debug, Default)]
struct JournalState {
    requests: HashMap<String, RequestRecord>,
    violations: Vec<Violation>,
    events: Vec<(Duration, String)>,
    /// When each generation of the node got SIGTERM without a replacement.
    draining_since: HashMap<usize, Instant>,
    totals: RequestTotals,
    /// First requests on connections that the node closed immediately, with the time of the close.
    closed_immediately: Vec<(Instant, String)>,
    /// When processes exited by themselves.
    process_exits: Vec<Instant>,
}

impl JournalState {
    /// Returns true if a run of any request with this key produced this result.
    fn has_result(&self, key: Option<&str>, result: Option<&str>) -> bool {
        let mut attempts = self
            .requests
            .values()
            .filter(|r| key.is_some() && r.key.as_deref() == key);
        attempts.any(|record| result.is_some() && record.result.as_deref() == result)
    }
}

/// All requests to a node in a soak run, the rule violations and the order of events.
#[derive(Debug)]
pub struct Journal {
    started_at: Instant,
    state: Mutex<JournalState>,
}

impl Journal {
    /// Creates an empty journal of a soak run that starts now.
    pub fn new() -> Journal {
        Journal {
            started_at: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, JournalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the soak run.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records an event.
    pub fn record_event(&self, text: impl Into<String>) {
        let at = self.elapsed();
        self.state().events.push((at, text.into()));
    }

    /// Records a rule violation.
    pub fn record_violation(&self, text: impl Into<String>) {
        let at = self.elapsed();
        let text = text.into();
        let mut state = self.state();
        state.events.push((at, format!("BROKEN: {text}")));
        state.violations.push(Violation { at, text });
    }

    /// Returns the rule violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.state().violations.clone()
    }

    /// Returns the events so far, with the time since the start of the soak run.
    pub fn events(&self) -> Vec<(Duration, String)> {
        self.state().events.clone()
    }

    /// Returns the counts of requests by outcome so far.
    pub fn totals(&self) -> RequestTotals {
        self.state().totals
    }

    /// Records that the node got SIGTERM and no other process takes over.
    pub(crate) fn drain_began(&self, generation: usize) {
        let now = Instant::now();
        self.state().draining_since.insert(generation, now);
    }

    /// Records a request that is about to be written to the node.
    pub fn request_sent(&self, request: &SentRequest<'_>) {
        let mut state = self.state();
        state.totals.sent += 1;
        let record = RequestRecord {
            class: request.class,
            key: request.key.map(str::to_string),
            body: request.body.to_string(),
            sent_at: Instant::now(),
            generation: request.generation,
            end: None,
            commands: 0,
            has_run: false,
            result: None,
            reply: None,
        };
        state.requests.insert(request.uid.to_string(), record);
    }

    /// Records a request for which no connection to a node was available.
    pub(crate) fn request_unsent(&self) {
        self.state().totals.unsent += 1;
    }

    /// Records that a client has read the answer to a request, and checks the answer. `result` is
    /// the result in the answer, if any.
    pub fn request_answered(&self, uid: &str, end: RequestEnd, result: Option<&str>) {
        let broken = self.check_answer(uid, end, result);
        for text in broken {
            self.record_violation(text);
        }
    }

    fn check_answer(&self, uid: &str, end: RequestEnd, result: Option<&str>) -> Vec<String> {
        let mut state = self.state();
        state.totals.served += usize::from(end == RequestEnd::Served);
        state.totals.rejected += usize::from(end == RequestEnd::Rejected);
        let Some(record) = state.requests.get_mut(uid) else {
            return vec![format!("an answer to {uid}, which no client sent")];
        };
        let mut broken = Vec::new();
        match record.end {
            None | Some(RequestEnd::Killed) => record.end = Some(end),
            Some(_) => broken.push(format!("duplicate: {uid} was answered twice")),
        }
        let took = record.sent_at.elapsed();
        if took > record.class.deadline + ANSWER_SLACK {
            broken.push(format!(
                "lost: {uid} was answered after {} ms",
                took.as_millis()
            ));
        }
        if end == RequestEnd::Rejected && record.has_run && !record.class.may_run_again {
            broken.push(format!(
                "duplicate: {uid} ran and was rejected as never run"
            ));
        }
        let key = record.key.clone();
        let is_own_result = record.result.as_deref() == result;
        if end == RequestEnd::Served && !is_own_result && !state.has_result(key.as_deref(), result)
        {
            broken.push(format!(
                "lost: {uid} was served a result that no run produced for it"
            ));
        }
        broken
    }

    /// Returns the kilobytes booked for requests of the current generation of the node that wait
    /// for an answer and do not run according to `runs`.
    pub(crate) fn waiting_kb(&self, runs: impl Fn(&str) -> bool) -> f64 {
        let state = self.state();
        let generation = state.requests.values().map(|r| r.generation).max();
        let waiting = state.requests.iter().filter(|(uid, record)| {
            let is_open = record.end.is_none() && Some(record.generation) == generation;
            is_open && record.sent_at.elapsed() > BOOKED_AFTER && !runs(uid)
        });
        waiting.count() as f64 * REQUEST_KB
    }

    /// Records that a process exited by itself.
    pub(crate) fn process_exited(&self) {
        let now = Instant::now();
        self.state().process_exits.push(now);
    }

    /// Records that the connection of a request ended without the answer, and reports the request
    /// as lost unless it may have been in transit.
    pub(crate) fn connection_ended(&self, uid: &str, end: ConnectionEnd) {
        let now = Instant::now();
        let is_lost = {
            let mut state = self.state();
            let Some(record) = state.requests.get_mut(uid) else {
                return;
            };
            let is_open = record.end.is_none() && end != ConnectionEnd::Killed;
            let is_lost = is_open && now > record.sent_at + CLOSE_RACE_SLACK;
            record.end.get_or_insert(RequestEnd::NoAnswerExpected);
            if is_open && !is_lost && end == ConnectionEnd::ClosedNew {
                state.closed_immediately.push((now, uid.to_string()));
            }
            is_lost
        };
        if is_lost {
            self.record_violation(format!(
                "lost: the connection of {uid} ended without an answer"
            ));
        }
    }

    /// Reports first requests on connections that were closed immediately as lost, unless a process
    /// exited at about that time.
    pub(crate) fn check_closed_immediately(&self) {
        let lost: Vec<String> = {
            let state = self.state();
            let is_near_exit = |at: Instant| {
                let mut exits = state.process_exits.iter();
                exits.any(|exit| at < *exit + PROCESS_EXIT_SLACK && *exit < at + PROCESS_EXIT_SLACK)
            };
            let lost = state
                .closed_immediately
                .iter()
                .filter(|(at, _)| !is_near_exit(*at));
            lost.map(|(_, uid)| uid.clone()).collect()
        };
        for uid in lost {
            self.record_violation(format!(
                "lost: the new connection of {uid} was closed immediately"
            ));
        }
    }

    /// Records that the node was killed: its requests get no more answers, except those that it has
    /// already written.
    pub fn process_killed(&self, generation: usize) {
        let mut state = self.state();
        for record in state
            .requests
            .values_mut()
            .filter(|r| r.generation == generation)
        {
            record.end.get_or_insert(RequestEnd::Killed);
        }
    }

    /// Reports requests that should have been answered by now as lost.
    pub(crate) fn check_overdue(&self) {
        let overdue: Vec<String> = {
            let mut state = self.state();
            let is_overdue = |record: &RequestRecord| {
                let limit = record.class.deadline + ANSWER_SLACK * 2;
                record.end.is_none() && record.sent_at.elapsed() > limit
            };
            let records = state.requests.iter_mut().filter(|(_, r)| is_overdue(r));
            records
                .map(|(uid, record)| {
                    record.end = Some(RequestEnd::NoAnswerExpected);
                    uid.clone()
                })
                .collect()
        };
        for uid in overdue {
            self.record_violation(format!("lost: {uid} was never answered"));
        }
    }

    /// Records and checks a command to run a request that is not running.
    pub(crate) fn run_commanded(&self, uid: &str, class: &str, body: &str) -> RunPermit {
        let (permit, broken) = self.check_command(uid, class, body);
        for text in broken {
            self.record_violation(text);
        }
        permit
    }

    fn check_command(&self, uid: &str, class: &str, body: &str) -> (RunPermit, Vec<String>) {
        let mut broken = Vec::new();
        let mut guard = self.state();
        let state = &mut *guard;
        let Some(record) = state.requests.get_mut(uid) else {
            return (RunPermit::Unknown, broken);
        };
        if record.class.name != class || record.body != body {
            broken.push(format!("lost: {uid} reached the executor changed"));
        }
        record.commands += 1;
        if !record.class.may_run_again && record.commands > 1 {
            broken.push(format!("duplicate: a second command to run {uid}"));
        }
        if record.end.is_some() {
            return (RunPermit::Ended, broken);
        }
        let drained_at = state.draining_since.get(&record.generation);
        let latest_arrival = drained_at.map(|at| *at + DRAIN_GRACE + DRAIN_SLACK);
        if latest_arrival.is_some_and(|latest| record.sent_at > latest) {
            broken.push(format!(
                "drain: {uid} was run, although it was sent after the drain grace period"
            ));
        }
        record.has_run = true;
        let (key, generation, sent_at) = (record.key.clone(), record.generation, record.sent_at);
        if let Some(key) = key {
            let ran_before = state.requests.iter().any(|(other, record)| {
                let is_attempt = record.key.as_ref() == Some(&key) && other != uid;
                let is_in_window = sent_at < record.sent_at + KEY_WINDOW;
                is_attempt && record.has_run && record.generation == generation && is_in_window
            });
            if ran_before {
                broken.push(format!(
                    "duplicate: {uid} was run, although its key {key} had already run"
                ));
            }
        }
        (RunPermit::Run, broken)
    }

    /// Returns true if the request is answered, abandoned or unknown.
    pub(crate) fn has_ended(&self, uid: &str) -> bool {
        let state = self.state();
        state
            .requests
            .get(uid)
            .is_none_or(|record| record.end.is_some())
    }

    /// Records the result of a run.
    pub(crate) fn set_result(&self, uid: &str, result: &str) {
        if let Some(record) = self.state().requests.get_mut(uid) {
            record.result = Some(result.to_string());
        }
    }

    /// Records the reply of the database to a call.
    pub(crate) fn set_reply(&self, uid: &str, reply: &str) {
        if let Some(record) = self.state().requests.get_mut(uid) {
            record.reply = Some(reply.to_string());
        }
    }

    /// Checks a reply that was passed to the run that waits for it.
    pub(crate) fn check_reply(&self, uid: &str, reply: &str) {
        let state = self.state();
        let expected = state
            .requests
            .get(uid)
            .and_then(|record| record.reply.clone());
        drop(state);
        if expected.as_deref() != Some(reply) {
            self.record_violation(format!(
                "lost: the run of {uid} got a reply that the database did not send"
            ));
        }
    }
}

impl Default for Journal {
    fn default() -> Journal {
        Journal::new()
    }
}
