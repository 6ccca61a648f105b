//! Tests of the lifecycle of a key: at most one run per key and window, and every attempt ends
//! exactly once.

mod model;

use idempotency::{JoinOutcome, KeyTable, Lookup, Micros, RunResult};
use model::{empty_table, MAX_READ_DELAY_US, WINDOW_US};

const KEY: u128 = 7;
const BODY: u128 = 1;
const OTHER_BODY: u128 = 2;

/// Returns a table in which request 10 arrived at 0 and owns the key until the end of the window.
fn table_with_reserved_key() -> KeyTable<u64> {
    let mut table = empty_table();
    table.reserve(KEY, BODY, 10, Micros(0));
    table.extend_window(10, Micros(WINDOW_US));
    table
}

/// Returns the same table after request 10 has run with result 42.
fn table_with_finished_key() -> KeyTable<u64> {
    let mut table = table_with_reserved_key();
    table.mark_running(10);
    table.finish(10, RunResult::Served(42), 8);
    table
}

#[test]
fn a_duplicate_joins_the_run_or_receives_the_stored_result() {
    let mut table = empty_table();
    assert_eq!(table.lookup(KEY, BODY, Micros(0)), Lookup::Unknown);
    table.reserve(KEY, BODY, 10, Micros(0));
    table.extend_window(10, Micros(WINDOW_US));
    assert_eq!(table.lookup(KEY, BODY, Micros(1)), Lookup::DuplicateOf(10));
    assert_eq!(table.join(11, 10), JoinOutcome::Waiting);
    table.mark_running(10);
    assert!(table.is_running(10));
    assert_eq!(table.finish(10, RunResult::Served(42), 8), vec![11]);
    assert_eq!(
        table.join(12, 10),
        JoinOutcome::Finished(RunResult::Served(42))
    );
    assert!(!table.is_running(10));
}

/// An attempt that arrived within the window is a duplicate, however late it is read; one that
/// arrived after the window is not.
#[test]
fn the_window_is_decided_by_the_arrival_of_the_duplicate() {
    let mut table = table_with_finished_key();
    table.remove_expired(Micros(WINDOW_US + MAX_READ_DELAY_US));
    assert_eq!(
        table.lookup(KEY, BODY, Micros(WINDOW_US)),
        Lookup::DuplicateOf(10)
    );
    assert_eq!(
        table.lookup(KEY, BODY, Micros(WINDOW_US + 1)),
        Lookup::Unknown
    );
    table.remove_expired(Micros(WINDOW_US + MAX_READ_DELAY_US + 1));
    assert!(table.is_empty() && table.bytes() == 0);
}

/// Guards against a second run if attempts are read in another order than they arrived: one that
/// arrived after the window reserves the key and is dropped, and then one is read that arrived
/// within the window.
#[test]
fn an_attempt_within_the_window_is_recognised_though_a_later_one_reserved_the_key() {
    let mut table = table_with_finished_key();
    let (within, after) = (Micros(WINDOW_US), Micros(WINDOW_US + 1));
    assert_eq!(table.lookup(KEY, BODY, after), Lookup::Unknown);
    table.reserve(KEY, BODY, 11, after);
    assert_eq!(table.lookup(KEY, BODY, within), Lookup::AlreadyRan);
    assert!(table.release_unrun(11).is_empty());
    assert_eq!(table.lookup(KEY, BODY, within), Lookup::AlreadyRan);
    assert_eq!(table.lookup(KEY, BODY, after), Lookup::Unknown);
    table.remove_expired(Micros(WINDOW_US + MAX_READ_DELAY_US + 1));
    assert!(table.is_empty());
}

/// Guards against two concurrent runs if a run takes longer than its window.
#[test]
fn while_a_request_runs_every_attempt_joins_regardless_of_the_window() {
    let mut table = empty_table();
    table.reserve(KEY, BODY, 10, Micros(0));
    table.extend_window(10, Micros(5));
    table.mark_running(10);
    table.remove_expired(Micros(1000));
    assert_eq!(
        table.lookup(KEY, BODY, Micros(900)),
        Lookup::DuplicateOf(10)
    );
}

#[test]
fn a_request_that_never_ran_releases_its_key_and_returns_waiting_attempts() {
    let mut table = table_with_reserved_key();
    assert_eq!(table.join(11, 10), JoinOutcome::Waiting);
    assert_eq!(table.join(12, 10), JoinOutcome::Waiting);
    table.cancel_wait(11);
    assert_eq!(table.release_unrun(10), vec![12]);
    assert_eq!(table.lookup(KEY, BODY, Micros(1)), Lookup::Unknown);
    assert_eq!(table.join(13, 10), JoinOutcome::NeverRan);
    // A late release does not remove a finished run.
    table.reserve(KEY, BODY, 20, Micros(0));
    table.extend_window(20, Micros(WINDOW_US));
    table.mark_running(20);
    table.finish(20, RunResult::Failed, 0);
    assert!(table.release_unrun(20).is_empty());
    assert_eq!(table.lookup(KEY, BODY, Micros(1)), Lookup::DuplicateOf(20));
}

#[test]
fn another_body_is_reported_until_the_window_has_ended() {
    let mut table = table_with_reserved_key();
    assert_eq!(
        table.lookup(KEY, OTHER_BODY, Micros(1)),
        Lookup::BodyMismatch
    );
    table.mark_running(10);
    table.finish(10, RunResult::Failed, 0);
    assert_eq!(
        table.lookup(KEY, OTHER_BODY, Micros(WINDOW_US)),
        Lookup::BodyMismatch
    );
    assert_eq!(
        table.lookup(KEY, OTHER_BODY, Micros(WINDOW_US + 1)),
        Lookup::Unknown
    );
}

/// Guards the memory limit: a full table rejects new keys and removes none within its window.
#[test]
fn a_full_table_rejects_new_keys_and_keeps_what_ran() {
    let max_bytes = 3 * 356;
    let mut table = KeyTable::new(max_bytes, 100, Micros(MAX_READ_DELAY_US));
    for owner in 0..3u64 {
        let key = u128::from(owner);
        assert_eq!(table.lookup(key, BODY, Micros(0)), Lookup::Unknown);
        table.reserve(key, BODY, owner, Micros(0));
        table.mark_running(owner);
        table.extend_window(owner, Micros::NEVER);
    }
    assert_eq!(table.lookup(9, BODY, Micros(0)), Lookup::TableFull);
    for owner in 0..3 {
        table.finish(owner, RunResult::Served(1), 8);
    }
    table.remove_expired(Micros(i64::MAX - 1));
    assert_eq!(table.lookup(0, BODY, Micros(1000)), Lookup::DuplicateOf(0));
    assert!(table.bytes() <= max_bytes);
}

#[test]
fn at_most_one_runs_in_a_window_and_every_attempt_ends_once() {
    model::check_random_histories();
}
