//! The fleet's membership with processes of the program and faults between them. A small set runs always; the hard cases
//! at 24 nodes and at the usual period by `cargo test --release --test fleet_membership -- --ignored --nocapture
//! --test-threads 1`.

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
fn fleet_meets_with_a_seed_down_and_gives_up_killed_nodes() {
    start_with_a_seed_down(6, 200);
    kill_a_third(6, 200);
}

#[test]
fn sides_of_a_partition_know_their_status_and_meet_again() {
    partition_and_heal(6, 200, |n| n % 2, 2);
    partition_and_heal(7, 200, |n| usize::from(n == 3), 2);
}

#[test]
fn one_way_silence_affects_only_one_node() {
    silence_one_way(5, 200, true);
    silence_one_way(5, 200, false);
}

#[test]
fn nodes_replaced_on_both_sides_of_a_partition_are_known_after_it() {
    replace_nodes_while_partitioned(6, 200);
}

#[test]
fn nobody_is_given_up_for_loss_and_delay() {
    lose_a_fifth(6, 200, Duration::from_secs(8));
}

#[test]
fn stopped_and_restarted_nodes_are_members_again() {
    stop_and_resume(5, 200);
    restart_one(5, 200);
    restart_all_in_turn(4, 200);
}

#[test]
#[ignore = "24 nodes at the usual pace: minutes"]
fn hard_cases_of_24_nodes() {
    let is_n3 = |n: usize| usize::from(n == 3);
    let cases: [(&str, &dyn Fn() -> Duration); 11] = [
        ("start at once, one seed", &|| {
            start_unsettled(24, 500, &["n0"], false).wait_until_converged(SETTLE_TIMEOUT)
        }),
        ("start at once, a seed down", &|| {
            start_with_a_seed_down(24, 500)
        }),
        ("8 killed", &|| kill_a_third(24, 500)),
        ("halves, healed", &|| {
            partition_and_heal(24, 500, |n| n % 2, 2)
        }),
        ("2:1, healed", &|| {
            partition_and_heal(24, 500, |n| usize::from(n % 3 == 0), 2)
        }),
        ("in three, healed", &|| {
            partition_and_heal(24, 500, |n| n % 3, 3)
        }),
        ("one cut off, healed", &|| {
            partition_and_heal(24, 500, is_n3, 2)
        }),
        ("one deaf, healed", &|| silence_one_way(24, 500, true)),
        ("nobody hears one, healed", &|| {
            silence_one_way(24, 500, false)
        }),
        ("one stopped, continued", &|| stop_and_resume(24, 500)),
        ("one restarted", &|| restart_one(24, 500)),
    ];
    for (case, run) in cases {
        println!("| {case} | {:.2} |", run().as_secs_f64());
    }
    lose_a_fifth(24, 500, Duration::from_secs(60));
    println!("| a fifth lost for 60 s: nobody given up | |");
    println!(
        "| rolling restart of all | {:.2} |",
        restart_all_in_turn(24, 500).as_secs_f64()
    );
    println!(
        "| replaced on both sides | {:.2} |",
        replace_nodes_while_partitioned(24, 500).as_secs_f64()
    );
}

/// The record of a member as another one holds it.
fn held_record(testbed: &Testbed, observer: &str, member: &str) -> MemberRecord {
    testbed
        .query_members(observer)
        .expect("it answers")
        .members
        .into_iter()
        .find(|record| &*record.name == member)
        .expect("held")
}

/// A gossip datagram with a state of the incarnation before the held one.
fn late_gossip(
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

/// Late datagrams of an earlier incarnation change nothing, whatever they claim; garbled and foreign ones at full rate are
/// counted and dropped, and the node serves on.
#[test]
fn late_forged_and_garbled_datagrams_do_no_harm() {
    let mut testbed = start_fleet(4, 200);
    testbed.kill("n2");
    testbed.start("n2");
    testbed.wait_until_up(&["n2"]);
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    let held = held_record(&testbed, "n0", "n2");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let fleet_address = testbed.node("n0").logged_address("fleet").expect("logged");
    for status in [
        AdvertisedStatus::Left,
        AdvertisedStatus::Quiesced,
        AdvertisedStatus::Up,
    ] {
        let datagram = late_gossip(&held, status, Liveness::Suspect, 9);
        socket.send_to(&datagram, fleet_address).expect("sent");
    }
    let valid = late_gossip(&held, AdvertisedStatus::Up, Liveness::Dead, 1 << 30);
    socket.send_to(&valid, fleet_address).expect("sent");
    let mut sent = 0;
    for i in 0..20_000usize {
        let mut garbled = valid.clone();
        let position = i % garbled.len();
        garbled[position] ^= 1 + (i % 255) as u8;
        sent += usize::from(socket.send_to(&garbled, fleet_address).is_ok());
        if i % 64 == 0 {
            // The socket's buffer holds a few hundred datagrams: they are sent as fast as they are read, no faster.
            let reply = testbed
                .query_members("n0")
                .expect("it answers in the flood");
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
    assert_eq!(held_record(&testbed, "n0", "n2").state, held.state);
    let mut client = testbed.connect("n0");
    assert_eq!(
        client.request("statement-read", "serve:flood")["error"],
        serde_json::Value::Null
    );
    assert!(testbed.node("n0").log().contains("datagram dropped"));
}

/// During a replacement two processes have one name: they are one member, and membership loses no request to it.
#[test]
fn process_and_its_successor_are_one_member() {
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
    wait_until("the second is a member", || {
        second.logged_address("fleet").is_some()
    });
    wait_until("it has the name", || {
        held(&testbed).state.incarnation > before.state.incarnation
            && held(&testbed).state.status == AdvertisedStatus::Up
    });
    assert_ne!(
        held(&testbed).address,
        fleet_address,
        "the address is in use"
    );
    // The first process ends by the platform's signal and sends nothing about the name.
    testbed.shut_down("n1");
    wait_until("the second takes the address over", || {
        held(&testbed).address == fleet_address
    });
    assert!(held(&testbed).state.is_present());
    second.terminate();
    second.wait_for_exit();
    wait_until("it has left", || {
        let reply = testbed.query_members("n0").expect("it answers");
        reply
            .members
            .iter()
            .any(|r| &*r.name == "n1" && r.state.has_left())
    });
}

/// Where the file advertises one address to the others, the second process joins once the first has ended.
#[test]
fn successor_at_an_advertised_address_waits_for_it() {
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
    wait_until("the second accepts clients", || {
        second.logged_address("listening").is_some()
    });
    assert_eq!(held(&testbed).state.incarnation, before.state.incarnation);
    testbed.shut_down("n1");
    wait_until("the second has the name", || {
        held(&testbed).state.incarnation > before.state.incarnation
            && held(&testbed).state.status == AdvertisedStatus::Up
    });
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
        .wait_for("n0 is informed", SETTLE_TIMEOUT, |testbed| {
            status(testbed, &[]).contains("quiesced")
        })
        .expect("it is informed");
    let text = status(&testbed, &[]);
    assert!(
        text.starts_with("n0 sees 4 present, 0 lost; partition status: whole"),
        "{text}"
    );
    testbed.wait_until_converged(SETTLE_TIMEOUT);
    assert!(status(&testbed, &["--all"]).contains("all members that answered have the same view"));
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
    // A member that does not answer is listed as such, and not as one that sees the same.
    testbed.pause("n1");
    assert!(status(&testbed, &["--all"])
        .lines()
        .any(|line| line.starts_with("n1") && line.ends_with("no answer")));
    testbed.unpause("n1");
}

/// Guards `run` on the platform: without a fleet file there is no thread, socket or log line of the fleet.
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
