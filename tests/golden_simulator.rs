//! Golden sessions of the simulator's wire protocol: the adapter program gets `NAME.in` on its
//! standard input and has to write `NAME.out` and `NAME.err` byte for byte. The message formats in
//! them never change. The actions in them change only with the policy.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::Command;

const ADAPTER_PROGRAM: &str = env!("CARGO_BIN_EXE_simulator-adapter");

/// Runs the session `name`. A session with an expected error also has to fail.
fn replay(name: &str) {
    let file = |suffix| {
        PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden/wire/simulator")
            .join(name)
            .with_extension(suffix)
    };
    let input = File::open(file("in")).expect("an input file");
    let output = Command::new(ADAPTER_PROGRAM)
        .stdin(input)
        .output()
        .expect("the program starts");
    let read = |suffix| fs::read_to_string(file(suffix)).expect("an expected output");
    let (stdout, stderr) = (read("out"), read("err"));
    for (number, (got, want)) in String::from_utf8_lossy(&output.stdout)
        .lines()
        .zip(stdout.lines())
        .enumerate()
    {
        assert_eq!(got, want, "{name}: reply to line {}", number + 1);
    }
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        stdout,
        "{name}: standard output"
    );
    assert_eq!(
        String::from_utf8_lossy(&output.stderr),
        stderr,
        "{name}: standard error"
    );
    assert_eq!(
        output.status.code(),
        Some(i32::from(!stderr.is_empty())),
        "{name}: exit code"
    );
}

#[test]
fn a_session_with_every_event_gets_the_recorded_actions() {
    replay("session");
}

#[test]
fn malformed_line_ends_the_program_with_the_recorded_error() {
    for name in [
        "error_not_json",
        "error_not_started",
        "error_unknown_event",
        "error_missing_field",
        "error_unknown_outcome",
        "error_run_outcome",
        "error_not_a_time",
        "error_no_cores",
        "error_no_backends",
        "error_missing_number",
        "error_time_left_null",
        "error_lane_without_name",
    ] {
        replay(name);
    }
}
