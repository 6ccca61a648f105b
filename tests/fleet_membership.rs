//! Membership of a fleet of real processes, with faults on the links between them. A small set
//! always runs. The hard cases, with 24 nodes and the usual period, run with `cargo test --release
//! --test fleet_membership -- --ignored --nocapture --test-threads 1`.

#[path = "common/membership_scenarios.rs"]
mod membership_scenarios;
#[path = "common/testbed.rs"]
mod testbed;

use std::net::UdpSocket;
use std::time::Duration;

use fault_testbed::Testbed;
use membership::{AdvertisedStatus, Body, Liveness, MemberRecord, MemberState, Packet};
use membership_scenarios::*;
use serde_json::json;
use test_doubles::wait_until;
use testbed::SETTLE_TIMEOUT;

#[test]
fn fleet_forms_with_a_seed_down_and_declares_killed_nodes_dead() {
    start_with_a_seed_down(6, 200);
    kill_a_third(6, 200);
}

#[test]
fn sides_of_a_partition_know_their_status_and_merge_after_it() {
    partition_and_heal(6, 200, |n| n % 2, 2);
    partition_and_heal(7, 200, |n| usize::from(n == 3), 2);
}

#[test]
fn one_way_loss_affects_only_one_node() {
    silence_one_way(5, 200, true);
    silence_one_way(5, 200, false);
}

#[test]
fn nodes_replaced_on_both_sides_of_a_partition_are_known_after_it() {
    replace_nodes_while_partitioned(6, 200);
}

#[test]
fn no_member_is_declared_dead_for_loss_and_delay() {
    lose_a_fifth(6, 200, Duration::from_secs(8));
}

#[test]
fn stopped_and_restarted_nodes_are_members_again() {
    stop_and_resume(5, 200);
    restart_one(5, 200);
    restart_all_in_turn(4, 200);
}

#[test]
#[ignore = "24 nodes with the usual period: takes minutes"]
fn hard_cases_of_24_nodes() {
    let is_n3 = |n: usize| usize::from(n == 3);
    let cases: [(&str, &dyn Fn() -> Duration); 11] = [
        ("start at once, one seed", &|| {
            start_unsettled(24, 500, &["n0"], false).wait_until_converged(SETTLE_TIMEOUT)
        }),
        ("start at once, a seed down", &|| {
            start_with_a_seed_down(24, 500)
        }),
        ("8 nodes killed", &|| kill_a_third(24, 500)),
        ("partition into halves, healed", &|| {
            partition_and_heal(24, 500, |n| n % 2, 2)
        }),
        ("partition 2:1, healed", &|| {
            partition_and_heal(24, 500, |n| usize::from(n % 3 == 0), 2)
        }),
        ("partition into three, healed", &|| {
            partition_and_heal(24, 500, |n| n % 3, 3)
        }),
        ("one node isolated, healed", &|| {
            partition_and_heal(24, 500, is_n3, 2)
        }),
        ("one receives nothing, healed", &|| {
            silence_one_way(24, 500, true)
        }),
        ("nothing is received from one node, healed", &|| {
            silence_one_way(24, 500, false)
        }),
        ("one node paused, resumed", &|| stop_and_resume(24, 500)),
        ("one node restarted", &|| restart_one(24, 500)),
    ];
    for (case, run) in cases {
        println!("| {case} | {:.2} |", run().as_secs_f64());
    }
    lose_a_fifth(24, 500, Duration::from_secs(60));
    println!("| a fifth of datagrams lost for 60 s: no member declared dead | |");
    println!(
        "| rolling restart of all nodes | {:.2} |",
        restart_all_in_turn(24, 500).as_secs_f64()
    );
    println!(
        "| nodes replaced on both sides of a partition | {:.2} |",
        replace_nodes_while_partitioned(24, 500).as_secs_f64()
    );
}

/// Returns the record that `observer` has of a member.
fn record_of(testbed: &Testbed, observer: &str, member: &str) -> MemberRecord {
    testbed
        .query_members(observer)
        .expect("it answers")
        .members
        .into_iter()
        .find(|record| &*record.name == member)
        .expect("held")
}

/// Encodes a gossip datagram with a state of the incarnation before the one in `held`.
fn outdated_gossip(
    held: &MemberRecord,
    status: AdvertisedStatus,
    liveness: Liveness,
    version: u32,
) -> Vec<u8> {
    let state = MemberState {
        incarnation: held.state.incarnation - 1,
        version,
        status,
        liveness,
    };
    let record = MemberRecord {
        state,
        ..held.clone()
    };
    Packet {
        fleet: "rig".into(),
        sender: None,
        body: Body::Gossip,
        updates: vec![record],
    }
    .encode()
}

/// Late datagrams of an earlier incarnation change nothing, whatever state they carry. Garbled
/// datagrams and datagrams of other fleets are counted and dropped, and the node continues to serve
/// while they arrive at full rate.
#[test]
fn late_forged_and_garbled_datagrams_change_nothing() {
    let mut testbed = start_fleet(4, 200);
    testbed.kill("n2");
    testbed.start("n2");
    testbed.wait_until_up(&["n2"]);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let held = record_of(&testbed, "n0", "n2");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let fleet_address = testbed.node("n0").logged_address("fleet").expect("logged");
    for status in [
        AdvertisedStatus::Left,
        AdvertisedStatus::Quiesced,
        AdvertisedStatus::Up,
    ] {
        let datagram = outdated_gossip(&held, status, Liveness::Suspect, 9);
        socket.send_to(&datagram, fleet_address).expect("sent");
    }
    let valid = outdated_gossip(&held, AdvertisedStatus::Up, Liveness::Dead, 1 << 30);
    socket.send_to(&valid, fleet_address).expect("sent");
    let mut sent = 0;
    for i in 0..20_000usize {
        let mut garbled = valid.clone();
        let position = i % garbled.len();
        garbled[position] ^= 1 + (i % 255) as u8;
        sent += usize::from(socket.send_to(&garbled, fleet_address).is_ok());
        if i % 64 == 0 {
            // The socket's buffer holds a few hundred datagrams, so they are sent no faster than
            // the node reads them.
            let reply = testbed
                .query_members("n0")
                .expect("it answers under the flood");
            assert_eq!((reply.summary.present, reply.summary.lost), (4, 0));
        }
    }
    let dropped = testbed
        .query_members("n0")
        .expect("it answers")
        .summary
        .dropped;
    assert!(
        dropped > 1000 && dropped <= sent as u64,
        "{dropped} of {sent}"
    );
    assert_eq!(record_of(&testbed, "n0", "n2").state, held.state);
    let mut client = testbed.connect("n0");
    assert_eq!(
        client.request("statement-read", "serve:flood")["error"],
        serde_json::Value::Null
    );
    assert!(testbed.node("n0").log().contains("datagram dropped"));
}

/// During a replacement two processes have the same name. They count as one member, and no request
/// is lost through membership.
#[test]
fn process_and_its_replacement_are_one_member() {
    let mut testbed = start_unsettled(3, 200, &["n0"], true);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let fleet_address = testbed.node("n1").logged_address("fleet").expect("logged");
    let held = |testbed: &Testbed| {
        let reply = testbed.query_members("n0").expect("it answers");
        assert_eq!(reply.summary.present, 3);
        reply
            .members
            .into_iter()
            .find(|r| &*r.name == "n1")
            .expect("held")
    };
    let before = held(&testbed);
    let mut second = testbed.start_replacement("n1", fleet_address);
    wait_until("the second process is a member", || {
        second.logged_address("fleet").is_some()
    });
    wait_until(
        "the member has the incarnation of the second process",
        || {
            held(&testbed).state.incarnation > before.state.incarnation
                && held(&testbed).state.status == AdvertisedStatus::Up
        },
    );
    assert_ne!(
        held(&testbed).address,
        fleet_address,
        "the address is in use"
    );
    // The first process exits on SIGTERM and sends no update about the name.
    testbed.shut_down("n1");
    wait_until("the second process takes over the address", || {
        held(&testbed).address == fleet_address
    });
    assert!(held(&testbed).state.is_present());
    second.terminate();
    second.wait_for_exit();
    wait_until("the member has left", || {
        let reply = testbed.query_members("n0").expect("it answers");
        reply
            .members
            .iter()
            .any(|r| &*r.name == "n1" && r.state.has_left())
    });
}

/// If the fleet file sets the address to advertise, the second process joins once the first has
/// exited.
#[test]
fn replacement_joins_once_the_advertised_address_is_free() {
    let mut testbed = start_fleet(3, 200);
    let fleet_address = testbed.node("n1").logged_address("fleet").expect("logged");
    let held = |testbed: &Testbed| {
        let reply = testbed.query_members("n0").expect("it answers");
        assert_eq!((reply.summary.present, reply.summary.lost), (3, 0));
        reply
            .members
            .into_iter()
            .find(|r| &*r.name == "n1")
            .expect("held")
    };
    let before = held(&testbed);
    let second = testbed.start_replacement("n1", fleet_address);
    wait_until("the second process accepts clients", || {
        second.logged_address("listening").is_some()
    });
    assert_eq!(held(&testbed).state.incarnation, before.state.incarnation);
    testbed.shut_down("n1");
    wait_until(
        "the member has the incarnation of the second process",
        || {
            held(&testbed).state.incarnation > before.state.incarnation
                && held(&testbed).state.status == AdvertisedStatus::Up
        },
    );
    assert_eq!(held(&testbed).address, before.address);
}

#[test]
fn status_command_shows_the_views_and_their_differences() {
    let mut testbed = start_unsettled(4, 200, &["n0"], true);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let status = |testbed: &Testbed, options: &[&str]| {
        let file = testbed.fleet_file_path("n0");
        let address = testbed
            .node("n0")
            .logged_address("fleet")
            .expect("logged")
            .to_string();
        let mut command = std::process::Command::new(test_doubles::gateway_program());
        command
            .args(["fleet", "status", "--at", &address])
            .args(options)
            .arg(file);
        let out = command.output().expect("it runs");
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8(out.stdout).expect("text")
    };
    assert_eq!(testbed.call_admin("n3", "quiesce"), "ok quiesced");
    testbed
        .wait_for("n0 shows the quiesced status", SETTLE_TIMEOUT, |testbed| {
            status(testbed, &[]).contains("quiesced")
        })
        .expect("n0 shows it");
    let text = status(&testbed, &[]);
    assert!(
        text.starts_with("n0 sees 4 present, 0 lost; it concludes: whole"),
        "{text}"
    );
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert!(status(&testbed, &["--all"]).contains("all that answered see the same"));
    testbed.kill("n2");
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let all: serde_json::Value =
        serde_json::from_str(&status(&testbed, &["--all", "--json"])).expect("JSON");
    assert_eq!(
        (&all["same"], &all["views"]["n1"]["members"]["n2"]["state"]),
        (&json!(true), &json!("gone"))
    );
    let all: serde_json::Value =
        serde_json::from_str(&status(&testbed, &["--all", "--json"])).expect("JSON");
    assert_eq!(all["views"]["n3"]["members"]["n3"]["state"], "quiesced");
    // A member that does not answer is listed as such, and not as one with a consistent view.
    testbed.pause("n1");
    assert!(status(&testbed, &["--all"])
        .lines()
        .any(|line| line.starts_with("n1") && line.ends_with("no answer")));
    testbed.unpause("n1");
}

/// Without a fleet file, the program starts no fleet thread and opens no fleet socket, and its log
/// does not mention the fleet.
#[test]
fn node_without_a_fleet_file_starts_no_fleet_thread() {
    let node = test_doubles::Node::start();
    let threads = format!("/proc/{}/task", node.process.id());
    let names: Vec<String> = std::fs::read_dir(threads)
        .expect("a list")
        .flatten()
        .map(|t| std::fs::read_to_string(t.path().join("comm")).expect("a name"))
        .collect();
    assert!(
        !names.is_empty() && !names.iter().any(|n| n.contains("fleet")),
        "{names:?}"
    );
    assert!(!node.log().contains("fleet"));
}
