//! Work that a process leaves behind as it ends is counted by the process of its node that goes on, each kind as itself.

#[path = "common/admin.rs"]
mod admin;
#[path = "common/late_executor.rs"]
mod late_executor;
#[path = "common/load.rs"]
mod load;
#[path = "common/small_machine.rs"]
mod small_machine;

use std::time::{Duration, Instant};

use admin::wait_until_accepting_clients;
use late_executor::LateExecutor;
use load::under_load;
use protocol_gateway::held_work_file::{HeldWorkError, HeldWorkFile};
use protocol_gateway::node::HeldWork;
use protocol_gateway::process_records::ProcessRecords;
use serde_json::{json, Value};
use small_machine::{small_machine, start_with_hung_runs, HUNG_RUNS};
use test_doubles::*;

const READ: &str = "statement-read";
/// Runs that a small machine survives.
const SURVIVED_RUNS: f64 = 10.5;
/// Calls in flight that the small site's node may have.
const CALL_QUOTA: usize = 5;
/// Twice the window of the mean of runs, after which idle gauges alone let a run be tried.
const TWO_RUN_WINDOWS: Duration = Duration::from_secs(6);
/// Kilobytes that the platform counts for a run of the tests' requests: 24.5 times the run factor.
const RUN_KB: f64 = 24.5 * 8.0;
/// Runs that a machine survives whose memory is enough for fewer.
const SURVIVED_IF_AMPLE: f64 = 48.0;
/// Runs that the memory of a small node is enough for, fewer than its cores survive.
const RUNS_IN_MEMORY: usize = 14;
/// Connections of which two processes of a node both get some.
const CONNECTIONS_FOR_BOTH: usize = 30;
/// Runs that the memory of a very small node is enough for.
const FEW_RUNS: usize = 5;

/// A node with an admin server and this change to its configuration.
fn start_first(change: impl FnOnce(&mut Value)) -> Node {
    Node::start_with(None, |config| {
        config["admin"] = json!("127.0.0.1:0");
        change(config);
    })
}

/// Ends the first process once the second one accepts clients, and waits until the second has seen its end.
fn replace(first: &mut Node, second: &Node) {
    wait_until_accepting_clients(second);
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    wait_until("the second holds all shares", || {
        second.log().contains("held: 8")
    });
}

/// Guards service after a replacement inside a hang: all shares of the first process counted as runs, more than it had, beside which
/// the second ran nothing for twice the window of the mean of runs, and one run at a time after that (soak, seeds 137 and 522).
#[test]
fn serves_at_once_beside_fewer_hung_runs_than_are_survived() {
    let set_small_machine = small_machine(SURVIVED_RUNS);
    let mut first = start_with_hung_runs(&set_small_machine);
    let second = first.start_replacement_with(&set_small_machine);
    // Both processes use one machine, whose gauges tell of all runs.
    second
        .executor
        .set_gauges([1.0, HUNG_RUNS as f64, 0.1, 5.0]);
    replace(&mut first, &second);
    let began_at = Instant::now();
    wait_until("it serves", || {
        second.connect().request(READ, "serve:after")["result"].is_object()
    });
    let took = began_at.elapsed();
    assert!(took < TWO_RUN_WINDOWS, "served after {took:?} only");
}

/// Guards the cores against runs of a process that ended while its successor's executor was not up: nobody counted them, as there was
/// no policy yet. Where the executor has started after that end, none of them is left.
#[test]
fn runs_left_before_the_executor_is_up_are_counted() {
    for (age, left_runs) in [(Duration::from_secs(60), HUNG_RUNS), (Duration::ZERO, 0)] {
        let set_small_machine = small_machine(SURVIVED_RUNS);
        let mut first = start_with_hung_runs(&set_small_machine);
        let late = LateExecutor::bind();
        let second = first.start_replacement_with(|config| {
            set_small_machine(config);
            config["executor"] = json!(late.address());
        });
        wait_until("it has seen the first", || {
            second.log().contains("sibling: AcceptingClients")
        });
        first.terminate();
        assert_eq!(first.wait_for_exit().code(), Some(0));
        wait_until("the second has seen its end", || {
            second.log().contains("an earlier process has ended")
        });
        second.executor.set_age(age);
        second.executor.stand_still();
        second
            .executor
            .set_gauges([1.0, left_runs as f64, 0.1, 5.0]);
        late.come_up(&second.executor);
        wait_until_accepting_clients(&second);
        let in_all = || left_runs + second.executor.peak_on_cores();
        under_load(&second, "serve:second", || {
            wait_until("its runs were told to stop, or they are too many", || {
                second.executor.fewest_kills() >= Some(10) || in_all() as f64 > SURVIVED_RUNS
            });
        });
        assert!(in_all() as f64 <= SURVIVED_RUNS, "{} runs", in_all());
        assert!(in_all() >= HUNG_RUNS, "{} runs only", in_all());
    }
}

/// Guards the cores where a third process takes the place of the first before the second has seen its end: the third removed the record
/// of the runs that the first left behind, and nobody counted them (soak with conditions, seed 1443).
#[test]
fn runs_are_counted_by_the_process_that_takes_the_place_at_once() {
    let set_small_machine = small_machine(SURVIVED_RUNS);
    let mut first = start_with_hung_runs(&set_small_machine);
    let mut second = first.start_replacement_with(&set_small_machine);
    wait_until_accepting_clients(&second);
    let third = first.start_replacement_with(&set_small_machine);
    wait_until("the third waits for a place", || {
        third.log().contains("executor connected")
    });
    third.executor.stand_still();
    // The second does not run while the first ends.
    second.send_signal("STOP").expect("it runs");
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    wait_until("the third has the place of the first", || {
        third.log().contains("instance lock")
    });
    second.send_signal("CONT").expect("it is stopped");
    replace(&mut second, &third);
    let in_all = || HUNG_RUNS + third.executor.peak_on_cores();
    under_load(&third, "serve:third", || {
        wait_until("its runs were told to stop, or they are too many", || {
            third.executor.fewest_kills() >= Some(10) || in_all() as f64 > SURVIVED_RUNS
        });
    });
    assert!(in_all() as f64 <= SURVIVED_RUNS, "{} runs", in_all());
}

/// Guards the database against calls of a process that has ended and that it goes on with: nobody counted them any more.
#[test]
fn calls_of_an_ended_process_keep_their_places() {
    let mut first = start_first(|_| {});
    let database = first.database.clone();
    // Before there is a second process, to which the system could give the connection.
    let mut client = first.connect();
    let second = first.start_replacement();
    wait_until_accepting_clients(&second);
    // The calls begin late, so that the database still has them when the first process has ended.
    for number in 0..CALL_QUOTA {
        client.send(READ, &format!("call:hold#4000#{number}"));
    }
    wait_until("calls are made", || {
        database.read_delayed_calls().in_flight > 1
    });
    replace(&mut first, &second);
    let left = database.read_delayed_calls();
    assert!(left.in_flight > 1, "it has left calls behind");
    under_load(&second, "call:hold#2900", || {
        wait_until("the second makes calls, or they are too many", || {
            let calls = database.read_delayed_calls();
            calls.total > left.total + CALL_QUOTA || calls.in_flight > CALL_QUOTA
        });
    });
    let in_flight = database.read_delayed_calls().in_flight;
    assert!(in_flight <= CALL_QUOTA, "{in_flight} calls in flight");
}

/// Guards a database that has stopped to reply, and hears no close, against calls of a process that was killed: neither the other process
/// nor one that was started after it knew of them (soak with conditions, seed 1061).
#[test]
fn calls_of_a_killed_process_at_a_silent_database_keep_their_places() {
    // A longer deadline has left calls counted for longer, so that a slow start of a process does not matter.
    let set_long_deadlines = |config: &mut Value| {
        for class in config["settings"]["lanes"].as_array_mut().expect("classes") {
            class["deadline"] = json!(3000.0);
        }
    };
    for has_sibling in [true, false] {
        let mut first = start_first(set_long_deadlines);
        let database = first.database.clone();
        let mut client = first.connect();
        let answer = client.request(READ, "call:hold#10");
        assert!(answer["result"].is_object(), "{answer}");
        let heir = has_sibling.then(|| first.start_replacement_with(set_long_deadlines));
        if let Some(second) = &heir {
            wait_until_accepting_clients(second);
        }
        for number in 0..CALL_QUOTA {
            client.send(READ, &format!("call:hold#5500#{number}"));
        }
        wait_until("its calls are recorded", || {
            let calls = database.read_delayed_calls().in_flight;
            calls > 1 && first.log().contains(&format!("recorded: {calls}"))
        });
        first.kill();
        let second = heir.unwrap_or_else(|| first.start_replacement_with(set_long_deadlines));
        wait_until("the second holds all shares", || {
            second.log().contains("held: 8")
        });
        wait_until_accepting_clients(&second);
        let left = database.read_delayed_calls();
        assert!(left.in_flight > 1, "it has left calls behind");
        under_load(&second, "call:hold#300", || {
            wait_until("requests wait in vain, or calls are too many", || {
                let is_given_up = second.log().contains("stage: awaiting call");
                is_given_up || database.read_delayed_calls().in_flight > CALL_QUOTA
            });
        });
        let in_flight = database.read_delayed_calls().in_flight;
        assert!(in_flight <= CALL_QUOTA, "{in_flight} calls in flight");
    }
}

/// Guards the database against calls that a process waits for as it shuts down: the other process had their places at once.
#[test]
fn calls_of_a_process_that_shuts_down_keep_their_places() {
    let first = start_first(|_| {});
    let database = first.database.clone();
    // Before there is a second process, to which the system could give the connection.
    let mut client = first.connect();
    let second = first.start_replacement();
    wait_until_accepting_clients(&second);
    // The system gives each connection to one of the two.
    let mut clients: Vec<TestClient> = (0..CONNECTIONS_FOR_BOTH)
        .map(|_| second.connect())
        .collect();
    for number in 0..CALL_QUOTA {
        client.send(READ, &format!("call:hold#4000#{number}"));
    }
    wait_until("calls are made", || {
        database.read_delayed_calls().in_flight > 1
    });
    first.terminate();
    for client in &mut clients {
        client.send(READ, "call:hold#2900");
    }
    wait_until("the first has ended", || second.log().contains("held: 8"));
    let peak = database.read_delayed_calls().peak;
    assert!(peak <= CALL_QUOTA, "{peak} calls in flight");
}

/// Guards the node's memory against runs of a process that has ended: its successor used to have all memory for itself.
#[test]
fn memory_of_left_runs_is_not_used_again() {
    let set_little_memory = |config: &mut Value| {
        small_machine(SURVIVED_IF_AMPLE)(config);
        config["settings"]["specifics"]["heapKb"] = json!(RUN_KB * RUNS_IN_MEMORY as f64);
    };
    let mut first = start_with_hung_runs(set_little_memory);
    let second = first.start_replacement_with(set_little_memory);
    second.executor.stand_still();
    replace(&mut first, &second);
    let in_all = || first.executor.on_cores() + second.executor.peak_on_cores();
    under_load(&second, "serve:second", || {
        wait_until("its runs were told to stop, or they are too many", || {
            second.executor.fewest_kills() >= Some(10) || in_all() > RUNS_IN_MEMORY
        });
    });
    assert!(in_all() <= RUNS_IN_MEMORY, "{} runs", in_all());
}

/// How the first process of a node ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// By itself, with a record.
    Itself,
    /// Without a record, before the second process has seen a request, whose size tells of the runs' memory.
    Killed,
    /// Without a record, after the second process has seen a request.
    KilledAfterRequests,
}

/// Guards service beside runs that were left behind and take nearly all memory: the tenth that is kept free is enough for one more
/// run, without which nothing would ever show that those are over. After a kill all memory of the first process counted as theirs.
#[test]
fn serves_beside_left_runs_that_fill_the_memory() {
    for end in [End::Itself, End::Killed, End::KilledAfterRequests] {
        let set_little_memory = |config: &mut Value| {
            config["settings"]["specifics"]["heapKb"] = json!(RUN_KB * FEW_RUNS as f64);
        };
        let mut first = start_first(set_little_memory);
        first.executor.stand_still();
        under_load(&first, "serve:hung", || {
            wait_until("its memory is full of runs", || {
                first.executor.on_cores() == FEW_RUNS - 1
            });
        });
        let second = first.start_replacement_with(set_little_memory);
        // Without a record all cores count as full, until the gauges have shown for long that they are idle.
        second.executor.set_gauges([0.0, 0.0, 0.1, 5.0]);
        wait_until_accepting_clients(&second);
        if end == End::KilledAfterRequests {
            // The system gives each connection to one of the two.
            for number in 0..CONNECTIONS_FOR_BOTH {
                let answer = second.connect().request(READ, &format!("serve:{number}"));
                assert!(answer.is_object(), "request {number} is answered");
            }
        }
        if end == End::Itself {
            replace(&mut first, &second);
        } else {
            first.kill();
            wait_until("the second holds all shares", || {
                second.log().contains("held: 8")
            });
        }
        wait_until("it serves", || {
            second.connect().request(READ, "serve:after")["result"].is_object()
        });
        let in_all = first.executor.on_cores() + second.executor.peak_on_cores();
        assert!(in_all <= FEW_RUNS, "{in_all} runs");
    }
}

/// The record is read by other versions of the program: its text may not change.
#[test]
fn format_of_the_record_is_stable() {
    let path = std::env::temp_dir().join(format!("held-work-{}", std::process::id()));
    let file = HeldWorkFile::new(path.clone());
    let work = HeldWork {
        runs: 14,
        calls: 2,
        memory_kb: 2744,
    };
    file.write(work).expect("written");
    let text = std::fs::read_to_string(&path).expect("a record");
    assert_eq!(text, include_str!("golden/held_work.json").trim_end());
    assert_eq!(file.read().expect("read"), work);
    file.remove().expect("removed");
    assert!(matches!(file.read(), Err(HeldWorkError::Missing)));
    file.remove().expect("nothing is there any more");
}

/// Guards the count of left work against records that can't be believed: none of them reads as work that is over.
#[test]
fn unusable_records_are_not_believed() {
    let path = std::env::temp_dir().join(format!("held-work-torn-{}", std::process::id()));
    let file = HeldWorkFile::new(path.clone());
    let whole = include_str!("golden/held_work.json").trim_end();
    for length in 0..whole.len() {
        std::fs::write(&path, &whole[..length]).expect("written");
        let error = file.read().expect_err("half a record");
        assert!(matches!(error, HeldWorkError::Malformed(_)), "{error}");
    }
    std::fs::write(&path, whole.replace("\"version\":1", "\"version\":2")).expect("written");
    assert!(matches!(file.read(), Err(HeldWorkError::UnknownVersion(2))));
    file.remove().expect("removed");
}

/// A record of calls that could not be written was not written until their number changed, so that those of a process that was killed
/// in the meantime did not count. The same goes for its removal, after which they counted although they were over.
#[test]
fn record_of_calls_is_written_again_after_a_failure() {
    let instance_file = std::env::temp_dir().join(format!("call-record-{}", std::process::id()));
    let record = instance_file.with_extension("calls");
    let mut own = ProcessRecords::for_instance_file(&instance_file);
    // A folder in its place keeps the record from being written, and, as it is not empty, from being removed.
    std::fs::create_dir_all(record.join("full")).expect("a folder");
    let write_error = own.record_calls(3).expect_err("no record can be written");
    assert!(matches!(write_error, HeldWorkError::System(_)));
    std::fs::remove_dir_all(&record).expect("removed");
    assert!(own.record_calls(3).expect("the folder works again"));
    assert_eq!(
        ProcessRecords::for_instance_file(&instance_file).take_calls(),
        3
    );
    std::fs::create_dir_all(record.join("full")).expect("a folder");
    own.record_calls(0).expect_err("no record can be removed");
    std::fs::remove_dir_all(&record).expect("removed");
    std::fs::write(&record, include_str!("golden/held_work.json")).expect("an old record");
    own.record_calls(0).expect("the folder works again");
    assert_eq!(
        ProcessRecords::for_instance_file(&instance_file).take_calls(),
        0
    );
}
