//! A fleet of node processes on the fault testbed, and clients that send requests to its nodes.
#![allow(dead_code)] // Each test program uses a part of it.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fault_testbed::{ProcessPlan, Testbed};
use test_doubles::TestClient;

/// Maximum time for a fleet to reach a state.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns the names of the nodes with these numbers.
pub(crate) fn node_names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|n| format!("n{n}")).collect()
}

/// Borrows each name.
pub(crate) fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Adds nodes to the testbed, each with these fields in its fleet file.
pub(crate) fn plan_nodes(
    testbed: &mut Testbed,
    numbers: impl IntoIterator<Item = usize>,
    fleet_fields: &str,
) {
    for number in numbers {
        testbed
            .add_process(ProcessPlan {
                fleet_fields: fleet_fields.to_string(),
                ..ProcessPlan::node(number)
            })
            .expect("sockets can be opened");
    }
}

/// Starts these nodes at the same time and waits until they are up.
pub(crate) fn start_nodes(testbed: &mut Testbed, names: &[String]) {
    for name in names {
        testbed.start(name);
    }
    testbed.wait_until_up(&as_strs(names));
}

/// Starts all planned nodes with two of them as seeds, and waits until their membership views
/// agree.
pub(crate) fn start_settled(testbed: &mut Testbed) {
    testbed.set_seeds(&["n0", "n1"]);
    let all = testbed.names();
    start_nodes(testbed, &all);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
}

/// The body that each client of a group sends, and its pauses between requests.
#[derive(Clone, Copy)]
pub(crate) struct ClientLoad {
    pub body: &'static str,
    pub pause_after_result: Duration,
    pub pause_after_error: Duration,
}

impl ClientLoad {
    /// Calls of 60 ms, sent again as soon as they are answered.
    pub(crate) const SHORT_CALLS: ClientLoad = ClientLoad {
        body: "call:hold#60",
        pause_after_result: Duration::ZERO,
        pause_after_error: Duration::from_millis(20),
    };
}

/// Clients of one node that send one request after the other until the value is dropped.
pub(crate) struct LoadClients {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl LoadClients {
    /// Starts `count` clients of a node.
    pub(crate) fn start(
        testbed: &Testbed,
        name: &str,
        count: usize,
        load: ClientLoad,
    ) -> LoadClients {
        let clients = LoadClients {
            stop: Arc::default(),
            served: Arc::default(),
        };
        let address = testbed.node(name).address;
        for _ in 0..count {
            let stop = clients.stop.clone();
            let served = clients.served.clone();
            thread::spawn(move || {
                // The node may have been killed meanwhile; then there is nothing to send to.
                let Ok(stream) = TcpStream::connect(address) else {
                    return;
                };
                drop(stream);
                send_until_stopped(TestClient::connect(address), load, &stop, &served);
            });
        }
        clients
    }

    /// Returns the number of requests that were answered with a result.
    pub(crate) fn served(&self) -> usize {
        self.served.load(Relaxed)
    }
}

impl Drop for LoadClients {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
    }
}

fn send_until_stopped(
    mut client: TestClient,
    load: ClientLoad,
    stop: &AtomicBool,
    served: &AtomicUsize,
) {
    while !stop.load(Relaxed) {
        client.send("statement-read", load.body);
        let answer = client.read_answer();
        if answer.is_null() {
            return;
        }
        if answer["result"].is_object() {
            served.fetch_add(1, Relaxed);
            thread::sleep(load.pause_after_result);
        } else {
            thread::sleep(load.pause_after_error);
        }
    }
}
