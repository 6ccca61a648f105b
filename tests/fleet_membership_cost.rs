//! Measures what membership costs a node in a fleet of 256. Runs only on request.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use fleet_runtime::{spawn_fleet_actor, Config, FleetHandle, LocalMember};
use membership::AdvertisedStatus;
use slog::{o, Discard, Logger};
use test_doubles::{wait_until, Node, ScratchFile};

/// Size of the stack of each member's thread.
const STACK_BYTES: usize = 160 * 1024;

/// Starts a member in this process, with a socket of its own.
fn start_member(number: usize, seed: SocketAddr, log: &Logger) -> FleetHandle {
    let site = number % 3;
    let text = format!(
        "{{ version: 1, fleet: 'rig', site: 's{site}', listen: '127.0.0.1:0', seeds: ['{seed}'] }}"
    );
    let config = Config::parse("f", &text).expect("a valid fleet file");
    let member = LocalMember {
        name: format!("v{number}").into(),
        client_address: None,
        shared_counters: None,
    };
    let handle =
        spawn_fleet_actor(config, member, STACK_BYTES, Box::new(|| {}), log).expect("a socket");
    handle.set_status(AdvertisedStatus::Up);
    handle
}

/// Returns the sorted latencies of 20,000 requests.
fn measure_latencies_us(node: &Node) -> Vec<u128> {
    let mut client = node.connect();
    let mut latencies_us: Vec<u128> = (0..20_000)
        .map(|_| {
            let sent_at = Instant::now();
            client.request("statement-read", "serve:cost");
            sent_at.elapsed().as_micros()
        })
        .collect();
    latencies_us.sort_unstable();
    latencies_us
}

/// Prints a row with the processor time of a node at rest over 20 s, its memory, its threads and
/// the latencies of requests.
fn report_cost(label: &str, node: &Node) {
    thread::sleep(Duration::from_secs(10));
    let started_at = Instant::now();
    let before = node.usage();
    thread::sleep(Duration::from_secs(20));
    let elapsed = started_at.elapsed();
    let after = node.usage();
    let processor_percent =
        (after.processor_ms - before.processor_ms) as f64 / elapsed.as_secs_f64() / 10.0;
    let latencies_us = measure_latencies_us(node);
    println!(
        "| {label} | {processor_percent:.2} | {:.1} | {} | {}, {} |",
        after.resident_kb as f64 / 1024.0,
        after.threads,
        latencies_us[latencies_us.len() / 2],
        latencies_us[latencies_us.len() * 99 / 100]
    );
}

/// Measures a node with and without membership, with 255 members in this process.
#[test]
#[ignore = "a measurement"]
fn measure_membership_in_a_fleet_of_256() {
    let log = Logger::root(Discard, o!());
    let first = start_member(0, ([127, 0, 0, 1], 9).into(), &log);
    let members: Vec<FleetHandle> = (1..255)
        .map(|number| start_member(number, first.address, &log))
        .collect();
    let fleet_file = ScratchFile::new(
        "own.json5",
        &format!(
            "{{ version: 1, fleet: 'rig', site: 's', listen: '127.0.0.1:0', seeds: ['{}'] }}",
            first.address
        ),
    );
    println!("| | CPU at rest, % of a core | resident MB | threads | answer, µs: median, 99th |");
    for round in 0..2 {
        report_cost(&format!("{round}, without"), &Node::start());
        let node = Node::start_in_fleet(&fleet_file);
        wait_until("all members see the node", || {
            members
                .iter()
                .all(|member| member.snapshot().present == 256)
        });
        report_cost(&format!("{round}, with"), &node);
    }
}
