//! Golden transcripts of the node's wire protocols: JSON-RPC with front ends, lines with the
//! executor, HTTP with the database and datagrams to the endpoint list. Each file of
//! `tests/golden/wire/node` is a script that is run against the program. The texts in it are
//! compared byte for byte. The files never change. Steps of a script:
//!
//! - `set POINTER JSON`: changes a field of `config.json`; `cells FILE`: sets the cells file;
//!   `start`: starts the program.
//! - `open PEER`: a front end connects; `send PEER TEXT`; `want PEER TEXT`: the peer's next message
//!   is exactly this text.
//! - `find PEER TEXT`: one of the peer's next messages is this text; `poll PEER TEXT => TEXT`:
//!   repeats the first text until its answer is the second.
//! - `fill PEER TEXT`: sends the text 64 times, with `$ID` replaced by the numbers from 101.
//! - `close PEER`; `closed PEER`: the program closes the connection; `signal NAME`; `exit CODE`.
//! - `move executor`: moves the executor to another address by a new configuration; `takes MS`: the
//!   database takes this long for its call.
//!
//! The peers `executor`, `database` and `list` are sockets of the test. `$NOW` is the time in Unix
//! milliseconds, and `$EARLIER` is 700 ms before it. A number that differs from run to run is
//! written `#`, and CR and LF are written `\r` and `\n`. Requests for gauges are answered only
//! while the script waits for another message, so that the executor's other notices are never
//! written at the same time, and no answer is sent between two steps.

#[path = "common/wire_script/mod.rs"]
mod wire_script;

use wire_script::run_script;

#[test]
fn served_failed_and_rejected_requests_have_their_lines() {
    run_script("outcomes.txt");
}

#[test]
fn malformed_lines_get_their_errors_and_a_close() {
    run_script("malformed.txt");
}

#[test]
fn keyed_requests_and_repeats_have_their_lines() {
    run_script("keyed.txt");
}

#[test]
fn capacity_hint_is_in_health_and_answers() {
    run_script("hint.txt");
}

#[test]
fn cancelled_request_has_its_run_stopped() {
    run_script("cancel.txt");
}

#[test]
fn missing_budgets_and_full_connections_have_their_errors() {
    run_script("bounds.txt");
}

#[test]
fn calls_and_replies_of_the_database_have_their_bytes() {
    run_script("calls.txt");
}

#[test]
fn broken_link_is_resumed_after_the_last_notice() {
    run_script("links.txt");
}

#[test]
fn node_that_shuts_down_sends_a_close_notice_and_is_reported_out() {
    run_script("leaving.txt");
}

#[test]
fn tenant_of_another_cell_is_rejected_with_the_epoch() {
    run_script("cells.txt");
}

#[test]
fn call_that_would_end_too_late_is_skipped() {
    run_script("bypass.txt");
}
