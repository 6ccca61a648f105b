//! Work that a process leaves running when it exits is counted by the other process of its node,
//! each kind separately.

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
/// Number of runs that the small machine can sustain.
const SUSTAINABLE_RUNS: f64 = 10.5;
/// Maximum number of calls in flight from the node of the small site.
const CALL_QUOTA: usize = 5;
/// Twice the window of the mean of runs. After that, idle gauges alone allow a probe run.
const TWO_RUN_WINDOWS: Duration = Duration::from_secs(6);
/// Memory in KB that the platform counts for a run of the tests' requests: 24.5 times the run
/// factor.
const RUN_KB: f64 = 24.5 * 8.0;
/// Number of runs that a machine can sustain whose memory is enough for fewer.
const SUSTAINABLE_RUNS_BY_CORES: f64 = 48.0;
/// Number of runs that fit into the memory of a small node, fewer than its cores can sustain.
const RUNS_IN_SMALL_MEMORY: usize = 14;
/// Number of connections of which both processes of a node get some.
const CONNECTIONS_FOR_BOTH: usize = 30;
/// Number of runs that fit into the memory of a very small node.
const RUNS_IN_VERY_SMALL_MEMORY: usize = 5;

/// Starts a node with an admin server and this change to its configuration.
fn start_first(change: impl FnOnce(&mut Value)) -> Node {
    Node::start_with(None, |config| {
        config["admin"] = json!("127.0.0.1:0");
        change(config);
    })
}

/// Terminates the first process once the second one accepts clients, and waits until the second has
/// taken over all shares.
fn replace(first: &mut Node, second: &Node) {
    wait_until_accepting_clients(second);
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    wait_until("the second process holds all shares", || {
        second.log().contains("held: 8")
    });
}

/// Guards service after a replacement during a hang. All shares of the first process counted as
/// runs, more than it had. Next to them, the second process ran nothing for twice the window of the
/// mean of runs, and then one run at a time (soak, seeds 137 and 522).
#[test]
fn serves_at_once_next_to_fewer_hung_runs_than_are_sustainable() {
    let set_small_machine = small_machine(SUSTAINABLE_RUNS);
    let mut first = start_with_hung_runs(&set_small_machine);
    let second = first.start_replacement_with(&set_small_machine);
    // Both processes use one machine, whose gauges include all runs.
    second
        .executor
        .set_gauges([1.0, HUNG_RUNS as f64, 0.1, 5.0]);
    replace(&mut first, &second);
    let started_at = Instant::now();
    wait_until("the second process serves requests", || {
        second.connect().request(READ, "serve:after")["result"].is_object()
    });
    let took = started_at.elapsed();
    assert!(took < TWO_RUN_WINDOWS, "served after {took:?} only");
}

/// Guards the cores against runs of a process that exited before its replacement's executor was up.
/// Nothing counted them, as there was no policy yet. If the executor started after that exit, none
/// of them remains.
#[test]
fn remaining_runs_are_counted_if_the_executor_comes_up_later() {
    for (age, remaining_runs) in [(Duration::from_secs(60), HUNG_RUNS), (Duration::ZERO, 0)] {
        let set_small_machine = small_machine(SUSTAINABLE_RUNS);
        let mut first = start_with_hung_runs(&set_small_machine);
        let late = LateExecutor::bind();
        let second = first.start_replacement_with(|config| {
            set_small_machine(config);
            config["executor"] = json!(late.address());
        });
        wait_until("the second process detects the first", || {
            second.log().contains("sibling: AcceptingClients")
        });
        first.terminate();
        assert_eq!(first.wait_for_exit().code(), Some(0));
        wait_until("the second process detects the exit of the first", || {
            second.log().contains("an earlier process has ended")
        });
        second.executor.set_age(age);
        second.executor.stand_still();
        second
            .executor
            .set_gauges([1.0, remaining_runs as f64, 0.1, 5.0]);
        late.come_up(&second.executor);
        wait_until_accepting_clients(&second);
        let total_runs = || remaining_runs + second.executor.peak_on_cores();
        under_load(&second, "serve:second", || {
            wait_until("stop commands repeat, or runs exceed the limit", || {
                second.executor.fewest_kills() >= Some(10) || total_runs() as f64 > SUSTAINABLE_RUNS
            });
        });
        assert!(
            total_runs() as f64 <= SUSTAINABLE_RUNS,
            "{} runs",
            total_runs()
        );
        assert!(total_runs() >= HUNG_RUNS, "{} runs only", total_runs());
    }
}

/// Guards the cores where a third process takes over the lock of the first before the second has
/// detected its exit. The third removed the record of the runs that the first had left, and nothing
/// counted them (soak with conditions, seed 1443).
#[test]
fn remaining_runs_are_counted_by_a_process_that_takes_over_the_lock_at_once() {
    let set_small_machine = small_machine(SUSTAINABLE_RUNS);
    let mut first = start_with_hung_runs(&set_small_machine);
    let mut second = first.start_replacement_with(&set_small_machine);
    wait_until_accepting_clients(&second);
    let third = first.start_replacement_with(&set_small_machine);
    wait_until("the third process waits for an instance lock", || {
        third.log().contains("executor connected")
    });
    third.executor.stand_still();
    // The second process is stopped while the first exits.
    second.send_signal("STOP").expect("it runs");
    first.terminate();
    assert_eq!(first.wait_for_exit().code(), Some(0));
    wait_until("the third process holds the lock of the first", || {
        third.log().contains("instance lock")
    });
    second.send_signal("CONT").expect("it is stopped");
    replace(&mut second, &third);
    let total_runs = || HUNG_RUNS + third.executor.peak_on_cores();
    under_load(&third, "serve:third", || {
        wait_until("stop commands repeat, or runs exceed the limit", || {
            third.executor.fewest_kills() >= Some(10) || total_runs() as f64 > SUSTAINABLE_RUNS
        });
    });
    assert!(
        total_runs() as f64 <= SUSTAINABLE_RUNS,
        "{} runs",
        total_runs()
    );
}

/// Guards the database against calls that it continues after their process has exited. Nothing
/// counted them any more.
#[test]
fn calls_of_an_exited_process_occupy_their_slots() {
    let mut first = start_first(|_| {});
    let database = first.database.clone();
    // Connected before there is a second process, to which the operating system could give the
    // connection.
    let mut client = first.connect();
    let second = first.start_replacement();
    wait_until_accepting_clients(&second);
    // The calls start late, so that the database still has them in progress when the first process
    // has exited.
    for number in 0..CALL_QUOTA {
        client.send(READ, &format!("call:hold#4000#{number}"));
    }
    wait_until("calls are made", || {
        database.read_delayed_calls().in_flight > 1
    });
    replace(&mut first, &second);
    let remaining = database.read_delayed_calls();
    assert!(remaining.in_flight > 1, "calls remain in flight");
    under_load(&second, "call:hold#2900", || {
        wait_until("the second makes calls, or calls exceed the quota", || {
            let calls = database.read_delayed_calls();
            calls.total > remaining.total + CALL_QUOTA || calls.in_flight > CALL_QUOTA
        });
    });
    let in_flight = database.read_delayed_calls().in_flight;
    assert!(in_flight <= CALL_QUOTA, "{in_flight} calls in flight");
}

/// Guards a database that has stopped replying and ignores closes against calls of a killed
/// process. Neither the other process nor one that was started later knew of them (soak with
/// conditions, seed 1061).
#[test]
fn calls_of_a_killed_process_at_a_silent_database_occupy_their_slots() {
    // With a longer deadline, remaining calls count for longer, so that a slow start of a process
    // does not matter.
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
        let replacement = has_sibling.then(|| first.start_replacement_with(set_long_deadlines));
        if let Some(second) = &replacement {
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
        let second =
            replacement.unwrap_or_else(|| first.start_replacement_with(set_long_deadlines));
        wait_until("the second process holds all shares", || {
            second.log().contains("held: 8")
        });
        wait_until_accepting_clients(&second);
        let remaining = database.read_delayed_calls();
        assert!(remaining.in_flight > 1, "calls remain in flight");
        under_load(&second, "call:hold#300", || {
            wait_until(
                "requests time out before a call, or calls exceed the quota",
                || {
                    let has_timed_out = second.log().contains("stage: awaiting call");
                    has_timed_out || database.read_delayed_calls().in_flight > CALL_QUOTA
                },
            );
        });
        let in_flight = database.read_delayed_calls().in_flight;
        assert!(in_flight <= CALL_QUOTA, "{in_flight} calls in flight");
    }
}

/// Guards the database against calls that a process is waiting for while it shuts down. The other
/// process used their slots at once.
#[test]
fn calls_of_a_process_that_shuts_down_occupy_their_slots() {
    let first = start_first(|_| {});
    let database = first.database.clone();
    // Connected before there is a second process, to which the operating system could give the
    // connection.
    let mut client = first.connect();
    let second = first.start_replacement();
    wait_until_accepting_clients(&second);
    // The operating system gives each connection to one of the two processes.
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
    wait_until("the first process has exited", || {
        second.log().contains("held: 8")
    });
    let peak = database.read_delayed_calls().peak;
    assert!(peak <= CALL_QUOTA, "{peak} calls in flight");
}

/// Guards the node's memory against runs of an exited process. The other process used to use all
/// memory.
#[test]
fn memory_of_remaining_runs_is_not_used_again() {
    let set_little_memory = |config: &mut Value| {
        small_machine(SUSTAINABLE_RUNS_BY_CORES)(config);
        config["settings"]["specifics"]["heapKb"] = json!(RUN_KB * RUNS_IN_SMALL_MEMORY as f64);
    };
    let mut first = start_with_hung_runs(set_little_memory);
    let second = first.start_replacement_with(set_little_memory);
    second.executor.stand_still();
    replace(&mut first, &second);
    let total_runs = || first.executor.on_cores() + second.executor.peak_on_cores();
    under_load(&second, "serve:second", || {
        wait_until("stop commands repeat, or runs exceed the limit", || {
            second.executor.fewest_kills() >= Some(10) || total_runs() > RUNS_IN_SMALL_MEMORY
        });
    });
    assert!(
        total_runs() <= RUNS_IN_SMALL_MEMORY,
        "{} runs",
        total_runs()
    );
}

/// Way in which the first process of a node exits.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Exit {
    /// On SIGTERM, with a record.
    Terminated,
    /// By a kill, without a record, before the second process has received a request, whose size
    /// indicates the memory of a run.
    Killed,
    /// By a kill, without a record, after the second process has received a request.
    KilledAfterRequests,
}

/// Guards service next to remaining runs that use nearly all memory. The tenth of the memory that
/// is kept free is enough for one more run, without which nothing would ever show that the others
/// have ended. After a kill, all memory of the first process counted as theirs.
#[test]
fn serves_next_to_remaining_runs_that_fill_the_memory() {
    for exit in [Exit::Terminated, Exit::Killed, Exit::KilledAfterRequests] {
        let set_little_memory = |config: &mut Value| {
            config["settings"]["specifics"]["heapKb"] =
                json!(RUN_KB * RUNS_IN_VERY_SMALL_MEMORY as f64);
        };
        let mut first = start_first(set_little_memory);
        first.executor.stand_still();
        under_load(&first, "serve:hung", || {
            wait_until("runs fill its memory", || {
                first.executor.on_cores() == RUNS_IN_VERY_SMALL_MEMORY - 1
            });
        });
        let second = first.start_replacement_with(set_little_memory);
        // Without a record, all cores count as occupied until the gauges have shown for a long time
        // that they are idle.
        second.executor.set_gauges([0.0, 0.0, 0.1, 5.0]);
        wait_until_accepting_clients(&second);
        if exit == Exit::KilledAfterRequests {
            // The operating system gives each connection to one of the two processes.
            for number in 0..CONNECTIONS_FOR_BOTH {
                let answer = second.connect().request(READ, &format!("serve:{number}"));
                assert!(answer.is_object(), "request {number} is answered");
            }
        }
        if exit == Exit::Terminated {
            replace(&mut first, &second);
        } else {
            first.kill();
            wait_until("the second process holds all shares", || {
                second.log().contains("held: 8")
            });
        }
        wait_until("the second process serves requests", || {
            second.connect().request(READ, "serve:after")["result"].is_object()
        });
        let total_runs = first.executor.on_cores() + second.executor.peak_on_cores();
        assert!(total_runs <= RUNS_IN_VERY_SMALL_MEMORY, "{total_runs} runs");
    }
}

/// The record is read by other versions of the program, so its format may not change.
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
    file.remove().expect("a missing record is no error");
}

/// Guards the count of remaining work against invalid records: none of them is read as work that
/// has ended.
#[test]
fn invalid_records_are_rejected() {
    let path = std::env::temp_dir().join(format!("held-work-torn-{}", std::process::id()));
    let file = HeldWorkFile::new(path.clone());
    let complete = include_str!("golden/held_work.json").trim_end();
    for length in 0..complete.len() {
        std::fs::write(&path, &complete[..length]).expect("written");
        let error = file.read().expect_err("a truncated record");
        assert!(matches!(error, HeldWorkError::Malformed(_)), "{error}");
    }
    std::fs::write(&path, complete.replace("\"version\":1", "\"version\":2")).expect("written");
    assert!(matches!(file.read(), Err(HeldWorkError::UnknownVersion(2))));
    file.remove().expect("removed");
}

/// Guards against a failure to write the record of calls. The record was written again only when
/// the number of calls changed, so that those of a process killed in the meantime did not count.
/// After a failed removal, calls counted although they had ended.
#[test]
fn record_of_calls_is_written_again_after_a_failure() {
    let instance_file = std::env::temp_dir().join(format!("call-record-{}", std::process::id()));
    let record = instance_file.with_extension("calls");
    let mut own = ProcessRecords::for_instance_file(&instance_file);
    // A folder at the path of the record prevents it from being written. As the folder is not
    // empty, it also prevents the removal of the record.
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
