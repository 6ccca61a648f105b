//! A reference model that records all attempts and checks a table against it in random histories.

use std::collections::HashMap;

use idempotency::{JoinOutcome, KeyTable, Lookup, Micros, RunResult};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Duration of a key's window after its owner's arrival, in microseconds.
pub(crate) const WINDOW_US: i64 = 50;
/// Maximum time between an attempt's arrival and its reading, in microseconds.
pub(crate) const MAX_READ_DELAY_US: i64 = 30;

const BODY: u128 = 1;

/// Returns a table with capacity for every key of these tests.
pub(crate) fn empty_table() -> KeyTable<u64> {
    KeyTable::new(1 << 20, 100, Micros(MAX_READ_DELAY_US))
}

/// An event of a history. For all but `Read` and `AdvanceClock`, the number selects one of the
/// attempts in the state that the event applies to.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An attempt with this key is read, this many microseconds after its arrival.
    Read {
        key: u8,
        delay: u8,
    },
    Run(u8),
    Serve(u8),
    Fail(u8),
    Drop(u8),
    Cancel(u8),
    /// The clock advances by this many microseconds.
    AdvanceClock(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 7 {
            0 | 1 => Step::Read {
                key: number % 3,
                delay: u8::arbitrary(g) % MAX_READ_DELAY_US as u8,
            },
            2 => Step::Run(number),
            3 => Step::Serve(number),
            4 => Step::Fail(number),
            5 => [Step::Drop(number), Step::Cancel(number)][usize::from(number % 2)],
            _ => Step::AdvanceClock(number % 40),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum AttemptState {
    Reserved,
    Waiting,
    Running,
    Ended,
}

struct Attempt {
    key: u128,
    arrived_at: i64,
    state: AttemptState,
    end_count: usize,
}

/// The table under test and the expected state.
struct Model {
    table: KeyTable<u64>,
    now: i64,
    attempts: HashMap<u64, Attempt>,
    /// Arrival times of the attempts that ran, by key.
    runs: HashMap<u128, Vec<i64>>,
}

impl Model {
    fn new() -> Model {
        Model {
            table: empty_table(),
            now: 1000,
            attempts: HashMap::new(),
            runs: HashMap::new(),
        }
    }

    /// Applies a step. Returns true if the table behaves as expected.
    fn apply(&mut self, step: Step) -> bool {
        match step {
            Step::Read { key, delay } => self.read(key.into(), self.now - i64::from(delay)),
            Step::Run(number) => self
                .select(number, AttemptState::Reserved)
                .is_none_or(|id| self.run(id)),
            Step::Serve(number) => self
                .select(number, AttemptState::Running)
                .is_none_or(|id| self.finish(id, RunResult::Served(id))),
            Step::Fail(number) => self
                .select(number, AttemptState::Running)
                .is_none_or(|id| self.finish(id, RunResult::Failed)),
            Step::Drop(number) => self
                .select(number, AttemptState::Reserved)
                .is_none_or(|id| self.drop_unrun(id)),
            Step::Cancel(number) => self
                .select(number, AttemptState::Waiting)
                .is_none_or(|id| self.cancel(id)),
            Step::AdvanceClock(duration) => {
                self.now += i64::from(duration);
                self.table.remove_expired(Micros(self.now));
                true
            }
        }
    }

    fn read(&mut self, key: u128, arrived_at: i64) -> bool {
        let id = self.attempts.len() as u64 + 1;
        let mut attempt = Attempt {
            key,
            arrived_at,
            state: AttemptState::Ended,
            end_count: 0,
        };
        match self.table.lookup(key, BODY, Micros(arrived_at)) {
            Lookup::Unknown => {
                self.table.reserve(key, BODY, id, Micros(arrived_at));
                self.table.extend_window(id, Micros(arrived_at + WINDOW_US));
                attempt.state = AttemptState::Reserved;
            }
            Lookup::DuplicateOf(owner) => match self.table.join(id, owner) {
                JoinOutcome::Waiting => attempt.state = AttemptState::Waiting,
                JoinOutcome::Finished(_) | JoinOutcome::NeverRan => attempt.end_count = 1,
            },
            Lookup::AlreadyRan => attempt.end_count = 1,
            Lookup::BodyMismatch | Lookup::TableFull => return false,
        }
        self.attempts.insert(id, attempt);
        true
    }

    fn run(&mut self, id: u64) -> bool {
        self.table.mark_running(id);
        let attempt = self.attempts.get_mut(&id).expect("known");
        attempt.state = AttemptState::Running;
        let earlier_runs = self.runs.entry(attempt.key).or_default();
        let is_only_run = earlier_runs
            .iter()
            .all(|other| (attempt.arrived_at - other).abs() > WINDOW_US);
        earlier_runs.push(attempt.arrived_at);
        is_only_run && self.table.is_running(id)
    }

    fn finish(&mut self, id: u64, result: RunResult<u64>) -> bool {
        let joined = self.table.finish(id, result, 8);
        self.end_all(joined, AttemptState::Waiting) && self.end_all(vec![id], AttemptState::Running)
    }

    fn drop_unrun(&mut self, id: u64) -> bool {
        let joined = self.table.release_unrun(id);
        self.end_all(joined, AttemptState::Waiting)
            && self.end_all(vec![id], AttemptState::Reserved)
    }

    fn cancel(&mut self, id: u64) -> bool {
        self.table.cancel_wait(id);
        self.end_all(vec![id], AttemptState::Waiting)
    }

    /// Selects one of the attempts in this state.
    fn select(&self, number: u8, state: AttemptState) -> Option<u64> {
        let mut ids: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.state == state)
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        (!ids.is_empty()).then(|| ids[usize::from(number) % ids.len()])
    }

    /// Ends attempts. Returns true if each was in the expected state and ends for the first time.
    fn end_all(&mut self, ids: Vec<u64>, expected: AttemptState) -> bool {
        ids.into_iter().all(|id| {
            let attempt = self
                .attempts
                .get_mut(&id)
                .expect("the table returned an unknown attempt");
            let was_expected = attempt.state == expected;
            attempt.state = AttemptState::Ended;
            attempt.end_count += 1;
            was_expected && attempt.end_count == 1
        })
    }

    /// Returns true if some attempt is reserved or running, or else all attempts have ended: no
    /// attempt may wait when none is left that could finish.
    fn no_attempt_is_stranded(&self) -> bool {
        let has_unfinished = self.attempts.values().any(|attempt| {
            matches!(
                attempt.state,
                AttemptState::Reserved | AttemptState::Running
            )
        });
        has_unfinished
            || self
                .attempts
                .values()
                .all(|attempt| attempt.state == AttemptState::Ended)
    }
}

fn table_agrees_with_model(steps: Vec<Step>) -> bool {
    let mut model = Model::new();
    steps.into_iter().all(|step| model.apply(step)) && model.no_attempt_is_stranded()
}

/// Runs 2,000 random histories against the model.
pub(crate) fn check_random_histories() {
    QuickCheck::new()
        .tests(2000)
        .quickcheck(table_agrees_with_model as fn(Vec<Step>) -> bool);
}
