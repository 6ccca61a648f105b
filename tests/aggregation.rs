//! Counts and judgements that the fleet shares, with processes of the program and faults between them.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fault_testbed::{Plan, Rig};
use shared_state::{AggregateSnapshot, DependencyHealth};
use test_doubles::TestClient;

const MOST: Duration = Duration::from_secs(40);

fn names(numbers: impl IntoIterator<Item = usize>) -> Vec<String> {
    numbers.into_iter().map(|n| format!("n{n}")).collect()
}

/// Nodes at three sites in turn that share counts and judgements, and reach the ledger over links of their own.
fn fleet(count: usize) -> Rig {
    let mut rig = Rig::new(11).expect("sockets");
    rig.ledger_by_links().expect("sockets");
    for n in 0..count {
        let fleet = "period_ms: 200, counts: true, judgements: true,".to_string();
        rig.plan(Plan {
            fleet,
            ..Plan::node(n)
        })
        .expect("sockets");
    }
    rig.seeds(&["n0", "n1"]);
    let all = rig.names();
    all.iter().for_each(|n| rig.start(n));
    rig.up(&all.iter().map(String::as_str).collect::<Vec<_>>());
    rig.settle(MOST);
    rig
}

fn look(rig: &Rig, name: &str) -> Option<AggregateSnapshot> {
    rig.look(name)?.aggregate
}
fn ledger(rig: &Rig, name: &str) -> DependencyHealth {
    look(rig, name).map_or(DependencyHealth::Unknown, |g| g.ledger.health)
}
fn state(rig: &Rig, by: &str, of: &str) -> Option<&'static str> {
    let told = rig.told(by)?;
    told.members
        .iter()
        .find(|r| *r.name == *of)
        .map(fleet_cli::state_name)
}

/// Clients at one node that send the same as fast as it is answered, until the value goes.
struct Clients(Arc<AtomicBool>);
impl Clients {
    fn at(rig: &Rig, name: &str, count: usize, body: &'static str) -> Clients {
        let end: Arc<AtomicBool> = Arc::default();
        let at = rig.node(name).address;
        for _ in 0..count {
            let end = end.clone();
            thread::spawn(move || {
                let Ok(stream) = std::net::TcpStream::connect(at) else {
                    return;
                };
                drop(stream);
                let mut front = TestClient::connect(at);
                while !end.load(Relaxed) {
                    front.send("statement-read", body);
                    if front.read_answer().is_null() {
                        return;
                    }
                    // Each call's connection costs the switch a look at all sockets of the machine.
                    thread::sleep(Duration::from_millis(60));
                }
            });
        }
        Clients(end)
    }
}
impl Drop for Clients {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Guards the judgements. One whose own path to the ledger breaks knows that it is its own, is passed over by routers, and
/// nobody else holds back; then one whole site; then all, which is the ledger's. Each time all goes on once that is mended.
#[test]
fn a_broken_path_is_told_from_a_ledger_that_is_down() {
    let mut rig = fleet(6);
    let all = names(0..6);
    let _clients: Vec<Clients> = all
        .iter()
        .map(|n| Clients::at(&rig, n, 3, "call:hold#5"))
        .collect();
    // A machine at work may make it slow for everybody, which holds nobody back.
    let serves = |j| matches!(j, DependencyHealth::Sound | DependencyHealth::Slow);
    let sound = |rig: &Rig, whose: &[String]| whose.iter().all(|n| serves(ledger(rig, n)));
    rig.wait("all find it sound", MOST, |rig| sound(rig, &all))
        .expect("it is");
    let to = ["ledger".to_string()];
    for broken in [names([1]), names([1, 4])] {
        let others: Vec<String> = all
            .iter()
            .filter(|n| !broken.contains(n))
            .cloned()
            .collect();
        rig.silence(&broken, &to);
        let wrong = Arc::new(AtomicBool::new(false));
        let told = |rig: &Rig| {
            wrong.fetch_or(
                others.iter().any(|n| ledger(rig, n).should_limit_calls()),
                Relaxed,
            );
            wrong.fetch_or(
                broken
                    .iter()
                    .any(|n| ledger(rig, n) == DependencyHealth::Down),
                Relaxed,
            );
            broken
                .iter()
                .all(|n| ledger(rig, n) == DependencyHealth::OnlyHere)
        };
        rig.wait("those that can't reach it know", MOST, told)
            .expect("they do");
        rig.wait("they are passed over", MOST, |rig| {
            broken
                .iter()
                .all(|n| state(rig, "n0", n) == Some("quiesced"))
                && told(rig)
        })
        .expect("they are");
        assert!(
            !wrong.load(Relaxed),
            "somebody else held back, or the ledger was said to be down"
        );
        rig.heal();
        rig.wait("all go on", MOST, |rig| {
            sound(rig, &all) && all.iter().all(|n| state(rig, "n0", n) == Some("up"))
        })
        .expect("they do");
    }
    rig.silence(&all, &to);
    rig.wait("all know that it is down", MOST, |rig| {
        all.iter().all(|n| ledger(rig, n) == DependencyHealth::Down)
    })
    .expect("they do");
    assert!(
        all.iter().all(|n| state(&rig, "n0", n) == Some("up")),
        "nobody steps back for that"
    );
    rig.heal();
    rig.wait("all go on", MOST, |rig| sound(rig, &all))
        .expect("they do");
}

/// Guards a node that holds back as its file loses `judgements`: the field changes with a restart only. Taken at the reload, the
/// judge stopped where it stood, and the node went on holding back for good.
#[test]
fn a_reload_without_judgements_leaves_no_node_holding_back() {
    let mut rig = fleet(3);
    let all = names(0..3);
    let _clients: Vec<Clients> = all
        .iter()
        .map(|n| Clients::at(&rig, n, 3, "call:hold#5"))
        .collect();
    let serves = |rig: &Rig| {
        matches!(
            ledger(rig, "n1"),
            DependencyHealth::Sound | DependencyHealth::Slow
        )
    };
    rig.wait("it finds the ledger sound", MOST, serves)
        .expect("it does");
    rig.silence(&names([1]), &["ledger".to_string()]);
    rig.wait("it knows that the path is its own", MOST, |rig| {
        ledger(rig, "n1") == DependencyHealth::OnlyHere
    })
    .expect("it does");
    let file = rig.fleet_file_of("n1");
    let text = std::fs::read_to_string(&file).expect("a file");
    assert!(text.contains("judgements: true,"));
    std::fs::write(&file, text.replace("judgements: true,", "")).expect("written");
    rig.hangup("n1");
    rig.wait("it has read the file", MOST, |rig| {
        rig.node("n1").log().contains("with a restart only")
    })
    .expect("it has");
    rig.heal();
    rig.wait("it goes on", MOST, |rig| {
        serves(rig) && state(rig, "n0", "n1") == Some("up")
    })
    .expect("it does");
}

/// Guards the counts: what each node has in flight of a tenant is known at all of them, though a fifth of the datagrams is
/// lost; a dead node's counts go stale; each side of a cut counts its own; and after the healing all are counted again.
#[test]
fn each_node_knows_what_the_others_have_in_flight() {
    let mut rig = fleet(4);
    // Calls of 700 ms, one after the other: mostly as many in flight at each node as it has clients.
    let mut clients: Vec<Clients> = names(0..4)
        .iter()
        .map(|n| Clients::at(&rig, n, 4, "call:hold#700"))
        .collect();
    let knows = |rig: &Rig, name: &str, nodes: u32, least: u32, most: u32| {
        look(rig, name).is_some_and(|g| {
            g.aggregator.is_some()
                && g.coverage.covered == nodes
                && (least..=most).contains(&g.max_in_flight)
                && g.age_ms < 3000
        })
    };
    let all_know = |rig: &Rig, whose: &[String], nodes, least, most| {
        whose.iter().all(|n| knows(rig, n, nodes, least, most))
    };
    let all = names(0..4);
    rig.wait("all are counted", MOST, |rig| all_know(rig, &all, 4, 9, 12))
        .expect("they are");
    rig.weather(serde_json::json!({"loss": 0.2}), |link| link.loss = 0.2);
    rig.wait("all are counted though some is lost", MOST, |rig| {
        all_know(rig, &all, 4, 9, 12)
    })
    .expect("they are");
    rig.heal();
    rig.kill("n3");
    let left = names(0..3);
    rig.wait("the dead one's counts are gone", MOST, |rig| {
        all_know(rig, &left, 3, 6, 8)
    })
    .expect("they go");
    rig.partition(&[names([0, 1]), names([2])]);
    rig.wait("each side counts its own", MOST, |rig| {
        all_know(rig, &names([0, 1]), 2, 3, 4) && knows(rig, "n2", 1, 0, 0)
    })
    .expect("they do");
    rig.heal();
    rig.start("n3");
    rig.up(&["n3"]);
    clients.push(Clients::at(&rig, "n3", 4, "call:hold#700"));
    rig.wait("all are counted again", MOST, |rig| {
        all_know(rig, &all, 4, 9, 12)
    })
    .expect("they are");
    drop(clients);
    rig.wait("nothing is in flight", MOST, |rig| {
        all_know(rig, &all, 4, 0, 0)
    })
    .expect("all were answered");
}
