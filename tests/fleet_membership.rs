//! The fleet's view with processes of the program and faults between them. A small set runs always; the hard cases at 24
//! nodes and at the usual pace by `cargo test --release --test fleet_membership -- --ignored --nocapture --test-threads 1`.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use fault_testbed::{Plan, Rig};
use membership::{AdvertisedStatus, Body, Liveness, MemberRecord, MemberState, Packet};
use serde_json::json;
use test_doubles::wait_until;

/// The most that any fleet here may take to settle.
const MOST: Duration = Duration::from_secs(40);

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|n| format!("n{n}")).collect()
}
fn strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Nodes that were started at once, with periods of so many milliseconds; they have not met yet.
fn started(count: usize, period_ms: u64, seeds: &[&str]) -> Rig {
    started_as(count, period_ms, seeds, false)
}
/// The same without the switch before them where they are to be open.
fn started_as(count: usize, period_ms: u64, seeds: &[&str], open: bool) -> Rig {
    let mut rig = Rig::new(7).expect("sockets");
    for n in 0..count {
        let fleet = format!("period_ms: {period_ms},");
        rig.plan(Plan {
            fleet,
            open,
            ..Plan::node(n)
        })
        .expect("sockets");
    }
    rig.seeds(seeds);
    let all = rig.names();
    all.iter().for_each(|n| rig.start(n));
    rig.up(&strs(&all));
    rig
}
fn fleet(count: usize, period_ms: u64) -> Rig {
    let rig = started(count, period_ms, &["n0", "n1"]);
    rig.settle(MOST);
    rig
}
/// Whether every one of these holds none of those.
fn gave_up(rig: &Rig, those: &[String]) -> bool {
    rig.names()
        .iter()
        .filter(|n| rig.runs(n) && !those.contains(n))
        .all(|n| {
            rig.told(n).is_some_and(|t| {
                !t.members
                    .iter()
                    .any(|r| r.state.is_present() && those.iter().any(|x| **x == *r.name))
            })
        })
}
/// Who is held to be gone by anybody.
fn gone(rig: &Rig) -> BTreeSet<String> {
    gone_by(rig, &rig.names())
}
fn gone_by(rig: &Rig, whom: &[String]) -> BTreeSet<String> {
    let tell = |n: &String| rig.told(n).map_or(vec![], |t| t.members);
    let all: Vec<MemberRecord> = whom.iter().filter(|n| rig.runs(n)).flat_map(tell).collect();
    all.iter()
        .filter(|r| r.state.liveness == Liveness::Dead)
        .map(|r| r.name.to_string())
        .collect()
}
fn conclusion(rig: &Rig, name: &str) -> String {
    rig.told(name)
        .map_or("silent".into(), |t| t.summary.partition_status.to_string())
}

// ---- the hard cases, for any size and pace ----

fn seed_down(count: usize, period: u64) -> Duration {
    started(count, period, &["n0", "nobody"]).settle(MOST)
}
fn third_killed(count: usize, period: u64) -> Duration {
    let mut rig = fleet(count, period);
    names((0..count).filter(|n| n % 3 == 2))
        .iter()
        .for_each(|n| rig.kill(n));
    rig.settle(MOST)
}
/// Cut into so many parts until all is given up, then healed.
fn parted(count: usize, period: u64, part: impl Fn(usize) -> usize, parts: usize) -> Duration {
    let mut rig = fleet(count, period);
    let of: Vec<Vec<String>> = (0..parts)
        .map(|p| names((0..count).filter(|n| part(*n) == p)))
        .collect();
    rig.partition(&of);
    // One by itself knows that it is alone long before it has given up each of the others.
    match of.iter().find(|side| side.len() == 1) {
        Some(one) => drop(
            rig.wait("it is given up", MOST, |rig| {
                gave_up(rig, one) && conclusion(rig, &one[0]) == "alone"
            })
            .expect("it is given up, and knows"),
        ),
        None => drop(rig.settle(MOST)),
    }
    for side in &of {
        let wanted = match () {
            () if side.len() == 1 => "alone",
            () if side.len() * 2 > count => "whole",
            () => "part",
        };
        assert_eq!(conclusion(&rig, &side[0]), wanted, "{side:?}");
    }
    rig.heal();
    let took = rig.settle(MOST);
    assert_eq!(conclusion(&rig, "n0"), "whole");
    took
}
fn one_way(count: usize, period: u64, deaf: bool) -> Duration {
    let mut rig = fleet(count, period);
    let (one, rest) = (names([1]), names((0..count).filter(|n| *n != 1)));
    if deaf {
        rig.silence(&rest, &one);
    } else {
        rig.silence(&one, &rest);
    }
    rig.wait("it is given up", MOST, |rig| gave_up(rig, &one))
        .expect("it is given up");
    if deaf {
        rig.wait("it knows that it is alone", MOST, |rig| {
            conclusion(rig, "n1") == "alone"
        })
        .expect("it hears nobody");
    }
    assert_eq!(
        gone_by(&rig, &rest),
        BTreeSet::from(["n1".to_string()]),
        "nobody else is given up"
    );
    rig.heal();
    rig.settle(MOST)
}
fn replaced_while_parted(count: usize, period: u64) -> Duration {
    let mut rig = fleet(count, period);
    rig.partition(&[
        names((0..count).filter(|n| n % 2 == 0)),
        names((0..count).filter(|n| n % 2 == 1)),
    ]);
    rig.settle(MOST);
    for name in names(2..4) {
        rig.kill(&name);
        rig.start(&name);
        rig.up(&[&name]);
    }
    rig.settle(MOST);
    rig.heal();
    rig.settle(MOST)
}
fn lossy(count: usize, period: u64, long: Duration) {
    let mut rig = fleet(count, period);
    rig.weather(json!("a fifth lost, up to 20 ms"), |link| {
        (link.loss, link.double) = (0.2, 0.05);
        link.delay = (Duration::from_millis(1), Duration::from_millis(20));
    });
    let end = Instant::now() + long;
    while Instant::now() < end {
        assert_eq!(gone(&rig), BTreeSet::new());
    }
    rig.heal();
    rig.settle(MOST);
}
fn stopped(count: usize, period: u64) -> Duration {
    let mut rig = fleet(count, period);
    rig.stop("n1");
    rig.wait("it is given up", MOST, |rig| {
        let others = names((0..count).filter(|n| *n != 1));
        others.iter().all(|n| {
            rig.told(n).is_some_and(|t| {
                !t.members
                    .iter()
                    .any(|r| &*r.name == "n1" && r.state.is_present())
            })
        })
    })
    .expect("it is given up");
    rig.resume("n1");
    let took = rig.settle(MOST);
    // Awake, it accused nobody of what it had missed.
    assert_eq!(gone(&rig), BTreeSet::new());
    took
}
fn restarted(count: usize, period: u64) -> Duration {
    let mut rig = fleet(count, period);
    let life = rig
        .told("n1")
        .expect("it answers")
        .responder
        .state
        .incarnation;
    rig.kill("n1");
    rig.start("n1");
    rig.up(&["n1"]);
    let took = rig.settle(MOST);
    let held = rig
        .told("n0")
        .expect("it answers")
        .members
        .into_iter()
        .find(|r| &*r.name == "n1");
    assert!(held.is_some_and(|r| r.state.incarnation > life));
    took
}
fn rolling(count: usize, period: u64) -> Duration {
    let mut rig = fleet(count, period);
    for name in rig.names() {
        rig.end(&name);
        rig.start(&name);
        rig.up(&[&name]);
        rig.wait("it is back", MOST, |rig| {
            rig.told(&name)
                .is_some_and(|t| t.summary.present == count as u32)
        })
        .expect("it is back");
    }
    rig.settle(MOST)
}

// ---- the small set ----

#[test]
fn a_fleet_meets_though_a_seed_is_down_and_gives_up_those_that_are_killed() {
    seed_down(6, 200);
    third_killed(6, 200);
}

#[test]
fn parts_know_what_they_are_and_meet_again() {
    parted(6, 200, |n| n % 2, 2);
    parted(7, 200, |n| usize::from(n == 3), 2);
}

#[test]
fn one_way_silence_harms_only_the_one() {
    one_way(5, 200, true);
    one_way(5, 200, false);
}

#[test]
fn those_replaced_on_both_sides_of_a_cut_are_known_afterwards() {
    replaced_while_parted(6, 200);
}

#[test]
fn loss_and_delay_give_nobody_up() {
    lossy(6, 200, Duration::from_secs(8));
}

#[test]
fn one_that_was_stopped_and_one_that_starts_anew_are_taken_back() {
    stopped(5, 200);
    restarted(5, 200);
    rolling(4, 200);
}

/// What was said in an earlier life and comes late changes nothing, however grave; garbled and foreign datagrams at full
/// rate are counted and dropped, and the node serves on.
#[test]
fn late_forged_and_garbled_datagrams_do_no_harm() {
    let mut rig = fleet(4, 200);
    rig.kill("n2");
    rig.start("n2");
    rig.up(&["n2"]);
    rig.settle(MOST);
    let held = rig
        .told("n0")
        .expect("it answers")
        .members
        .into_iter()
        .find(|r| &*r.name == "n2")
        .expect("held");
    let late = |said, standing, incarnation| {
        let state = MemberState {
            incarnation: held.state.incarnation - 1,
            version: incarnation,
            status: said,
            liveness: standing,
        };
        let news = vec![MemberRecord {
            state,
            ..held.clone()
        }];
        Packet {
            fleet: "rig".into(),
            sender: None,
            body: Body::Gossip,
            updates: news,
        }
        .encode()
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let at = rig.node("n0").logged_address("fleet").expect("logged");
    let whole = late(AdvertisedStatus::Up, Liveness::Dead, 1 << 30);
    for said in [
        AdvertisedStatus::Left,
        AdvertisedStatus::Quiesced,
        AdvertisedStatus::Up,
    ] {
        socket
            .send_to(&late(said, Liveness::Suspect, 9), at)
            .expect("sent");
    }
    socket.send_to(&whole, at).expect("sent");
    let mut sent = 0;
    for i in 0..20_000usize {
        let mut bytes = whole.clone();
        let place = i % bytes.len();
        bytes[place] ^= 1 + (i % 255) as u8;
        sent += usize::from(socket.send_to(&bytes, at).is_ok());
        if i % 64 == 0 {
            // The socket's buffer holds a few hundred of them: so fast as they are read, no faster.
            let seen = rig.told("n0").expect("it answers in the flood");
            assert_eq!((seen.summary.present, seen.summary.lost), (4, 0));
        }
    }
    let seen = rig.told("n0").expect("it answers");
    assert!(
        seen.summary.dropped > 1000 && seen.summary.dropped <= sent as u64,
        "{} of {sent}",
        seen.summary.dropped
    );
    let now = seen
        .members
        .into_iter()
        .find(|r| &*r.name == "n2")
        .expect("held");
    assert_eq!(now.state, held.state);
    let mut front = rig.front("n0");
    assert_eq!(
        front.request("statement-read", "serve:flood")["error"],
        serde_json::Value::Null
    );
    assert!(rig.node("n0").log().contains("datagram dropped"));
}

/// During a replacement two processes have one name: they are one member, and no call to it is lost for the view's sake.
#[test]
fn a_process_and_its_successor_are_one_member() {
    let mut rig = started_as(3, 200, &["n0"], true);
    rig.settle(MOST);
    let hears = rig.node("n1").logged_address("fleet").expect("logged");
    let held = |rig: &Rig| {
        let told = rig.told("n0").expect("it answers");
        assert_eq!(told.summary.present, 3);
        told.members
            .into_iter()
            .find(|r| &*r.name == "n1")
            .expect("held")
    };
    let before = held(&rig);
    let mut second = rig.successor("n1", hears);
    wait_until("the second is a member", || {
        second.logged_address("fleet").is_some()
    });
    wait_until("it has the name", || {
        held(&rig).state.incarnation > before.state.incarnation
            && held(&rig).state.status == AdvertisedStatus::Up
    });
    assert_ne!(held(&rig).address, hears, "the address was taken");
    // The first one ends on the platform's word and says nothing of the name.
    rig.end("n1");
    wait_until("the second takes the address over", || {
        held(&rig).address == hears
    });
    assert!(held(&rig).state.is_present());
    second.terminate();
    second.wait_for_exit();
    wait_until("it said goodbye", || {
        let told = rig.told("n0").expect("it answers");
        told.members
            .iter()
            .any(|r| &*r.name == "n1" && r.state.has_left())
    });
}

/// The same where others are told one address by the file: the second process joins once the first has ended.
#[test]
fn a_successor_at_an_advertised_address_waits_for_it() {
    let mut rig = fleet(3, 200);
    let hears = rig.node("n1").logged_address("fleet").expect("logged");
    let held = |rig: &Rig| {
        let told = rig.told("n0").expect("it answers");
        assert_eq!((told.summary.present, told.summary.lost), (3, 0));
        told.members
            .into_iter()
            .find(|r| &*r.name == "n1")
            .expect("held")
    };
    let before = held(&rig);
    let second = rig.successor("n1", hears);
    wait_until("the second takes clients", || {
        second.logged_address("listening").is_some()
    });
    assert_eq!(held(&rig).state.incarnation, before.state.incarnation);
    rig.end("n1");
    wait_until("the second has the name", || {
        held(&rig).state.incarnation > before.state.incarnation
            && held(&rig).state.status == AdvertisedStatus::Up
    });
    assert_eq!(held(&rig).address, before.address);
}

#[test]
fn the_command_shows_what_each_sees_and_where_they_differ() {
    let mut rig = started_as(4, 200, &["n0"], true);
    rig.settle(MOST);
    let status = |rig: &Rig, more: &[&str]| {
        let file = rig.fleet_file_of("n0");
        let at = rig
            .node("n0")
            .logged_address("fleet")
            .expect("logged")
            .to_string();
        let mut command = std::process::Command::new(test_doubles::gateway_program());
        command
            .args(["fleet", "status", "--at", &at])
            .args(more)
            .arg(file);
        let out = command.output().expect("it runs");
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8(out.stdout).expect("text")
    };
    assert_eq!(rig.call("n3", "quiesce"), "ok quiesced");
    rig.wait("n0 hears of it", MOST, |rig| {
        status(rig, &[]).contains("quiesced")
    })
    .expect("it is said");
    let text = status(&rig, &[]);
    assert!(
        text.starts_with("n0 sees 4 present, 0 lost; it concludes: whole"),
        "{text}"
    );
    rig.settle(MOST);
    assert!(status(&rig, &["--all"]).contains("all that answered see the same"));
    rig.kill("n2");
    rig.settle(MOST);
    let all: serde_json::Value =
        serde_json::from_str(&status(&rig, &["--all", "--json"])).expect("JSON");
    assert_eq!(
        (&all["same"], &all["views"]["n1"]["members"]["n2"]["state"]),
        (&json!(true), &json!("gone"))
    );
    let all: serde_json::Value =
        serde_json::from_str(&status(&rig, &["--all", "--json"])).expect("JSON");
    assert_eq!(all["views"]["n3"]["members"]["n3"]["state"], "quiesced");
    // One that does not answer is told as such, and is not taken for one that sees the same.
    rig.stop("n1");
    assert!(status(&rig, &["--all"])
        .lines()
        .any(|l| l.starts_with("n1") && l.ends_with("no answer")));
    rig.resume("n1");
}

// ---- the router as a member ----

/// Nodes and a router in front of them.
fn routed(count: usize, view: bool) -> Rig {
    let mut rig = Rig::new(11).expect("sockets");
    for n in 0..count {
        rig.plan(Plan {
            fleet: "period_ms: 200,".into(),
            ..Plan::node(n)
        })
        .expect("sockets");
    }
    rig.seeds(&["n0"]);
    rig.plan(Plan {
        name: "r0".into(),
        site: "milano-lambrate".into(),
        fleet: "period_ms: 200,".into(),
        open: false,
    })
    .expect("sockets");
    let nodes = names(0..count);
    nodes.iter().for_each(|n| rig.start(n));
    rig.start_router("r0", view);
    rig.up(&strs(&nodes));
    rig.up(&["r0"]);
    rig.settle(MOST);
    let mut front = rig.front("r0");
    wait_until("the router has all nodes", || {
        let body = format!("serve:{:?}", Instant::now());
        front.request("statement-read", &body);
        nodes.iter().all(|n| rig.executor(n).total_runs() > 0)
    });
    rig
}
/// Asks for so long, one request after the other; of each when it was asked, after how long it was answered, whether it
/// was served, and its body.
fn trickle(rig: &Rig, long: Duration) -> Vec<(Instant, Duration, bool, String)> {
    let mut front = rig.front("r0");
    let end = Instant::now() + long;
    let mut asked = Vec::new();
    while Instant::now() < end {
        let at = Instant::now();
        let body = format!("serve:{}", asked.len());
        let answer = front.request("statement-read", &body);
        asked.push((at, at.elapsed(), answer["result"].is_object(), body));
        std::thread::sleep(Duration::from_millis(1));
    }
    asked
}

#[test]
fn a_router_takes_its_nodes_from_the_view() {
    let mut rig = routed(3, true);
    // Nothing is asked of a node that empties itself, as soon as the news is there.
    assert_eq!(rig.call("n1", "quiesce"), "ok quiesced");
    let heard = rig.wait("the router hears of it", MOST, |rig| {
        rig.told("r0").is_some_and(|t| {
            t.members
                .iter()
                .any(|r| &*r.name == "n1" && r.state.status == AdvertisedStatus::Quiesced)
        })
    });
    heard.expect("it hears");
    std::thread::sleep(Duration::from_millis(50));
    let before = rig.executor("n1").total_runs();
    assert!(trickle(&rig, Duration::from_millis(500))
        .iter()
        .all(|(_, _, served, _)| *served));
    assert_eq!(rig.executor("n1").total_runs(), before);
    assert_eq!(rig.call("n1", "resume"), "ok serving");
    wait_until("it is asked again", || {
        trickle(&rig, Duration::from_millis(50));
        rig.executor("n1").total_runs() > before
    });
    // One that is killed costs no read: another serves it.
    rig.kill("n2");
    let asked = trickle(&rig, Duration::from_secs(2));
    assert!(
        asked.len() > 20 && asked.iter().all(|(_, _, served, _)| *served),
        "{} asked",
        asked.len()
    );
}

/// A router that hears nothing of the fleet goes on with the nodes that it knew, and finds out by asking them.
#[test]
fn a_router_that_hears_nothing_serves_on() {
    let mut rig = routed(3, true);
    rig.weather(json!("all datagrams lost"), |link| link.loss = 1.0);
    let mut served = Vec::new();
    wait_until("the router knows that it is alone", || {
        served.extend(trickle(&rig, Duration::from_millis(100)));
        conclusion(&rig, "r0") == "alone"
    });
    served.extend(trickle(&rig, Duration::from_secs(1)));
    assert!(
        served.iter().all(|(_, _, well, _)| *well),
        "of {} not all were served",
        served.len()
    );
    assert_eq!(rig.call("n1", "quiesce"), "ok quiesced");
    let before = std::cell::Cell::new(rig.executor("n1").total_runs());
    wait_until("a check finds that one is quiesced", || {
        trickle(&rig, Duration::from_millis(100));
        before.replace(rig.executor("n1").total_runs()) == rig.executor("n1").total_runs()
    });
    rig.heal();
    rig.settle(MOST);
    assert_eq!(conclusion(&rig, "r0"), "whole");
}

#[test]
#[ignore = "a measurement"]
fn from_quiesce_and_kill_to_the_last_request_routed_there() {
    println!("| router | quiesce to last there, ms: median, worst | kill to last not served or over 50 ms late, ms: median, worst |");
    for view in [true, false] {
        let (mut quiesced, mut killed) = (Vec::new(), Vec::new());
        for _ in 0..10 {
            let mut rig = routed(4, view);
            let from = Instant::now();
            assert_eq!(rig.call("n1", "quiesce"), "ok quiesced");
            let asked = trickle(&rig, Duration::from_millis(800));
            let there = asked
                .iter()
                .filter(|(_, _, _, body)| rig.executor("n1").run_count(body) > 0);
            quiesced.push(
                there
                    .map(|(at, ..)| at.duration_since(from).as_millis())
                    .max()
                    .unwrap_or(0),
            );
            let from = Instant::now();
            rig.kill("n2");
            let asked = trickle(&rig, Duration::from_secs(4));
            let harmed = asked
                .iter()
                .filter(|(_, took, served, _)| !served || took.as_millis() > 50);
            killed.push(
                harmed
                    .map(|(at, ..)| at.duration_since(from).as_millis())
                    .max()
                    .unwrap_or(0),
            );
        }
        quiesced.sort_unstable();
        killed.sort_unstable();
        let name = if view {
            "by the view"
        } else {
            "by asking, as before"
        };
        println!(
            "| {name} | {}, {} | {}, {} |",
            quiesced[5], quiesced[9], killed[5], killed[9]
        );
    }
}

/// Guards `run` on the platform: without a file there is no thread, socket or byte of it.
#[test]
fn without_a_file_there_is_nothing_of_it() {
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

// ---- 24 nodes at the usual pace ----

#[test]
#[ignore = "24 nodes at the usual pace: minutes"]
fn hard_cases_of_24_nodes() {
    let one = |n: usize| usize::from(n == 3);
    let cases: [(&str, &dyn Fn() -> Duration); 11] = [
        ("start at once, one seed", &|| {
            started(24, 500, &["n0"]).settle(MOST)
        }),
        ("start at once, a seed down", &|| seed_down(24, 500)),
        ("8 killed", &|| third_killed(24, 500)),
        ("halves, healed", &|| parted(24, 500, |n| n % 2, 2)),
        ("2:1, healed", &|| {
            parted(24, 500, |n| usize::from(n % 3 == 0), 2)
        }),
        ("in three, healed", &|| parted(24, 500, |n| n % 3, 3)),
        ("one cut off, healed", &|| parted(24, 500, one, 2)),
        ("one deaf, healed", &|| one_way(24, 500, true)),
        ("nobody hears one, healed", &|| one_way(24, 500, false)),
        ("one stopped, continued", &|| stopped(24, 500)),
        ("one restarted", &|| restarted(24, 500)),
    ];
    for (what, play) in cases {
        println!("| {what} | {:.2} |", play().as_secs_f64());
    }
    lossy(24, 500, Duration::from_secs(60));
    println!("| a fifth lost for 60 s: nobody given up | |");
    println!(
        "| rolling restart of all | {:.2} |",
        rolling(24, 500).as_secs_f64()
    );
    println!(
        "| replaced on both sides | {:.2} |",
        replaced_while_parted(24, 500).as_secs_f64()
    );
}

/// What the view costs a node in a fleet of 256: 255 views on sockets of this process, and the node with and without its own.
#[test]
#[ignore = "a measurement"]
fn what_the_view_costs_in_a_fleet_of_256() {
    use fleet_runtime as wire;
    use test_doubles::{Node, ScratchFile};
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let config = |name: usize, seed: std::net::SocketAddr| {
        let text = format!(
            "{{ version: 1, fleet: 'rig', site: 's{}', listen: '127.0.0.1:0', seeds: ['{seed}'] }}",
            name % 3
        );
        wire::Config::parse("f", &text).expect("it can be used")
    };
    let me = |name: usize| wire::LocalMember {
        name: format!("v{name}").into(),
        client_address: None,
        shared_counters: None,
    };
    let start = |name, seed| {
        let view = wire::spawn_fleet_actor(
            config(name, seed),
            me(name),
            160 * 1024,
            Box::new(|| {}),
            &log,
        )
        .expect("a socket");
        view.set_status(AdvertisedStatus::Up);
        view
    };
    let first = start(0, ([127, 0, 0, 1], 9).into());
    let views: Vec<wire::FleetHandle> = (1..255).map(|n| start(n, first.address)).collect();
    let file = ScratchFile::new(
        "own.json5",
        &format!(
            "{{ version: 1, fleet: 'rig', site: 's', listen: '127.0.0.1:0', seeds: ['{}'] }}",
            first.address
        ),
    );
    println!("| | CPU at rest, % of a core | resident MB | threads | answer, µs: median, 99th |");
    for round in 0..2 {
        for with in [false, true] {
            let node = if with {
                Node::start_in_fleet(&file)
            } else {
                Node::start()
            };
            if with {
                wait_until("all see it", || {
                    views.iter().all(|v| v.snapshot().present == 256)
                });
            }
            std::thread::sleep(Duration::from_secs(10));
            let before = (Instant::now(), node.usage());
            std::thread::sleep(Duration::from_secs(20));
            let (rest, after) = (before.0.elapsed(), node.usage());
            let cpu =
                (after.processor_ms - before.1.processor_ms) as f64 / rest.as_secs_f64() / 10.0;
            let mut front = node.connect();
            let mut took: Vec<u128> = (0..20_000)
                .map(|_| {
                    let asked = Instant::now();
                    front.request("statement-read", "serve:cost");
                    asked.elapsed().as_micros()
                })
                .collect();
            took.sort_unstable();
            println!(
                "| {round}, {} | {cpu:.2} | {:.1} | {} | {}, {} |",
                if with { "with" } else { "without" },
                after.resident_kb as f64 / 1024.0,
                after.threads,
                took[took.len() / 2],
                took[took.len() * 99 / 100]
            );
        }
    }
}

/// The play of the deploy folder on streams: cut ones cost nobody an answer, a node whose streams stall costs a few until the
/// router passes it over, though the view holds it to be up all the time.
#[test]
fn a_play_from_a_file_cuts_and_stalls_streams() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/plays/streams.json5");
    let play = fault_testbed::script::Script::read(&file).expect("it can be used");
    let rig = play.play(false).unwrap_or_else(|e| panic!("{e}"));
    let timeline = rig.timeline();
    for event in ["\"cut\"", "\"stall\"", "\"served\""] {
        assert!(timeline.contains(event), "{event} is missing: {timeline}");
    }
    let text = std::fs::read_to_string(&file)
        .expect("readable")
        .replace("router: true", "router: false");
    let refused = fault_testbed::script::Script::parse("play", &text).expect_err("nobody to ask");
    assert!(refused.to_string().contains("steps[2]"), "{refused}");
}
