//! Guards against more runs on the machine, or calls at the shared database, than they can sustain
//! while runs hang or the database continues abandoned calls.
//!
//! A slot used to be released after a fixed time, without evidence that its run or call had ended.
//! The node stopped hung runs at their deadline, which has no effect while the cores are stalled,
//! and started other runs in their slots 2 s after the answers: 50 to 52 runs on cores that can
//! sustain 48 (three of three test runs). Abandoned calls were counted for only another 200 ms: 8
//! calls in progress where the quota is 5.

#[path = "common/load.rs"]
mod load;

use load::under_load;
use serde_json::json;
use test_doubles::*;

/// Number of runs that the machine of the small site can sustain: 8 for each of 6 cores.
const SUSTAINABLE_RUNS: usize = 8 * CORES;
const CORES: usize = 6;
/// Maximum number of calls in flight from the node of the small site.
const CALL_QUOTA: usize = 5;
/// Number of stop commands after which a hung run evidently still counts as running. They are sent
/// every 200 ms, and used to end after 2 s.
const MIN_STOP_COMMANDS: usize = 20;

/// Runs that hang keep occupying their slots on the cores until they end. Then the node serves as
/// before.
#[test]
fn hung_runs_occupy_their_slots_until_they_end() {
    let node = Node::start();
    let executor = &node.executor;
    executor.stand_still();
    under_load(&node, "serve:hung", || {
        wait_until("stop commands repeat, or runs exceed the limit", || {
            executor.fewest_kills() >= Some(MIN_STOP_COMMANDS)
                || executor.peak_on_cores() > SUSTAINABLE_RUNS
        });
    });
    let peak = executor.peak_on_cores();
    assert!(peak <= SUSTAINABLE_RUNS, "{peak} runs on the cores");
    // If slots were lost each time, none would be left after a few rounds.
    for _ in 0..SUSTAINABLE_RUNS / CORES {
        executor.resume();
        wait_until("requests are served again", || {
            node.connect().request("statement-read", "serve:after")["result"].is_object()
        });
        executor.stand_still();
        under_load(&node, "serve:hung", || {
            wait_until("all cores have runs", || executor.on_cores() >= CORES);
        });
    }
}

/// The same for a site that does not allow stopping runs: no run is stopped, and none is assumed to
/// have ended.
#[test]
fn hung_runs_that_can_not_be_stopped_occupy_their_slots() {
    let node = Node::start_with(None, |config| {
        config["settings"]["specifics"]["halt"] = json!("off");
    });
    node.executor.stand_still();
    under_load(&node, "serve:hung", || {
        // Twice as long as a run used to be counted after its deadline, which is 1.5 s in the small
        // site.
        let until = unix_ms() + 6000;
        wait_until("runs are long overdue, or exceed the limit", || {
            unix_ms() > until || node.executor.peak_on_cores() > SUSTAINABLE_RUNS
        });
    });
    assert!(node.executor.peak_on_cores() <= SUSTAINABLE_RUNS);
    assert_eq!(node.executor.kill_count(), 0, "the site allows no stops");
    node.executor.resume();
    wait_until("requests are served again", || {
        node.connect().request("statement-read", "serve:after")["result"].is_object()
    });
}

/// A database that continues abandoned calls gets no more calls than the node's quota.
#[test]
fn abandoned_calls_that_the_database_continues_occupy_their_slots() {
    let node = Node::start();
    under_load(&node, "call:hold#4000", || {
        wait_until("the first calls end, or calls exceed the quota", || {
            let calls = node.database.read_delayed_calls();
            calls.total > 2 * CALL_QUOTA || calls.in_flight > CALL_QUOTA
        });
    });
    let in_flight = node.database.read_delayed_calls().in_flight;
    assert!(in_flight <= CALL_QUOTA, "{in_flight} calls in flight");
    wait_until("calls are served again", || {
        node.connect().request("statement-read", "call:ok")["result"].is_object()
    });
}
