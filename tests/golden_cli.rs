//! The command lines, the JSON that commands print, and the admin commands with their answers.

#[path = "common/golden.rs"]
mod golden;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use fault_testbed::{ProcessPlan, Testbed};
use fleet_cli::{state_name, FleetReport, MemberReport, ViewReport};
use golden::{data, run, shape, Folder};
use lifecycle::{AdminCommand, AdminRequestError, AdminResponse, ProcessState};
use membership::{AdvertisedStatus, Liveness, MemberRecord, MemberState, PartitionStatus};
use serde_json::{json, Value};
use shared_state::{DependencyHealth, SharedStateSnapshot};
use test_doubles::Node;

/// Returns the names in a help text by section, with their defaults, and its usage line.
/// Descriptions are omitted.
fn parse_help(help: &str) -> BTreeMap<String, Vec<String>> {
    let mut sections: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut section = String::new();
    for line in help.lines() {
        if let Some(usage) = line.strip_prefix("Usage: ") {
            let own = usage.split_once(' ').map_or(usage, |(_, rest)| rest);
            sections.insert("usage".into(), vec![own.into()]);
        } else if let Some(title) = line.strip_suffix(':').filter(|_| !line.starts_with(' ')) {
            section = title.to_lowercase();
        } else if line.starts_with(' ') && !section.is_empty() {
            let line = line.trim();
            let name = line.split("  ").next().unwrap_or(line);
            let default = line
                .rfind("[default: ")
                .map_or(String::new(), |at| format!(" {}", &line[at..]));
            sections
                .entry(section.clone())
                .or_default()
                .push(format!("{name}{default}"));
        }
    }
    sections
}

/// Collects the names of a command and of all its subcommands, by the words that invoke them.
fn collect_commands(words: &[String], into: &mut BTreeMap<String, BTreeMap<String, Vec<String>>>) {
    let args: Vec<String> = words.iter().cloned().chain(["-h".to_string()]).collect();
    let outcome = run(&Folder::new().0, &args, &BTreeMap::new());
    assert_eq!(outcome.code, Some(0), "{words:?}: {}", outcome.err);
    let found = parse_help(&outcome.out);
    for command in found
        .get("commands")
        .into_iter()
        .flatten()
        .filter(|c| *c != "help")
    {
        let subcommand_words: Vec<String> = words.iter().chain([command]).cloned().collect();
        collect_commands(&subcommand_words, into);
    }
    into.insert(words.join(" "), found);
}

#[test]
fn every_command_has_its_arguments_flags_and_defaults() {
    let mut found = BTreeMap::new();
    collect_commands(&[], &mut found);
    let found = json!(found);
    assert_eq!(found, data::<Value>("command_lines.json"), "found {found}");
}

/// Three members that share a budget, counts and outlier reports. The commands query the leader,
/// which grants the budget.
#[test]
fn the_json_of_the_fleet_commands_has_its_fields_and_types() {
    const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
    let mut testbed = Testbed::new(3).expect("sockets");
    for n in 0..3 {
        let fleet = "period_ms: 200, keepers: ['n0', 'n1', 'n2'], counts: true, judgements: true, \
                     budgets: { ledger: { total: 18, floors: { n0: 1, n1: 1, n2: 1 } } },";
        testbed
            .add_process(ProcessPlan {
                fleet_fields: fleet.into(),
                bypasses_proxy: true,
                ..ProcessPlan::node(n)
            })
            .expect("sockets");
    }
    testbed.set_seeds(&["n0"]);
    testbed.names().iter().for_each(|name| testbed.start(name));
    testbed.wait_until_up(&["n0", "n1", "n2"]);
    testbed.wait_until_converged(CONVERGENCE_TIMEOUT);
    let want: BTreeMap<String, Value> = data("fleet_json.json");
    for (words, want) in &want {
        let found = |testbed: &Testbed| {
            // The leader knows the lease holders of the budget.
            let name = testbed.leader("n0")?;
            let at = testbed.node(&name).logged_address("fleet")?.to_string();
            let file = testbed.fleet_file_path(&name).display().to_string();
            let args = words
                .split(' ')
                .map(String::from)
                .chain(["--at".into(), at, file])
                .collect::<Vec<_>>();
            let outcome = run(&Folder::new().0, &args, &BTreeMap::new());
            serde_json::from_str(&outcome.out)
                .ok()
                .map(|value: Value| shape(&value))
        };
        let fits = testbed.wait_for(words, CONVERGENCE_TIMEOUT, |testbed| {
            found(testbed).as_ref() == Some(want)
        });
        assert!(
            fits.is_some(),
            "{words}: found {:?}",
            found(&testbed).map(|v| v.to_string())
        );
    }
}

/// Report entries that a converged fleet does not have: a member without an answer, a member
/// without a client address, and differing views.
#[test]
fn missing_answers_and_differences_have_their_fields_in_the_json() {
    let member = MemberReport {
        state: "up",
        site: "milano".into(),
        incarnation: 7,
        version: 2,
        address: SocketAddr::from(([127, 0, 0, 1], 7946)),
        client_address: None,
    };
    let status = ViewReport {
        observer: "n0".into(),
        partition_status: "part".into(),
        for_ms: 5,
        digest: "00ff".into(),
        present: 1,
        lost: 2,
        health: 3,
        dropped: 4,
        members: BTreeMap::from([("n0".into(), member)]),
    };
    let holders = BTreeMap::from([("gone".to_string(), vec!["n0".to_string()])]);
    let found = json!({
        "status": FleetReport {
            views: BTreeMap::from([("n0".into(), Some(status)), ("n1".into(), None)]),
            is_consistent: false,
            differences: BTreeMap::from([("n1".into(), holders)]),
        },
        "state": SharedStateSnapshot::default(),
    });
    assert_eq!(
        found,
        data::<Value>("fleet_json_gaps.json"),
        "found {found}"
    );
}

#[test]
fn states_and_partition_statuses_have_their_names_in_the_json() {
    let state = |advertised_status, observed_liveness| {
        let member_state = MemberState {
            incarnation: 1,
            version: 0,
            status: advertised_status,
            liveness: observed_liveness,
        };
        let at = SocketAddr::from(([127, 0, 0, 1], 7946));
        state_name(&MemberRecord {
            name: "n0".into(),
            site: "milano".into(),
            address: at,
            client_address: None,
            state: member_state,
            suspected_by: 0,
        })
    };
    let mut states = Vec::new();
    for advertised_status in [
        AdvertisedStatus::Joining,
        AdvertisedStatus::Up,
        AdvertisedStatus::Quiesced,
        AdvertisedStatus::Leaving,
        AdvertisedStatus::Left,
    ] {
        states.push(
            [Liveness::Alive, Liveness::Suspect, Liveness::Dead]
                .map(|liveness| state(advertised_status, liveness)),
        );
    }
    let conclusions = [
        PartitionStatus::Majority,
        PartitionStatus::Minority,
        PartitionStatus::Isolated,
    ]
    .map(PartitionStatus::as_str);
    let dependency = [
        DependencyHealth::Unknown,
        DependencyHealth::Sound,
        DependencyHealth::Slow,
        DependencyHealth::Unsure,
        DependencyHealth::OnlyHere,
        DependencyHealth::Down,
    ];
    let found = json!({"states": states, "conclusions": conclusions, "dependency": dependency});
    assert_eq!(found, data::<Value>("fleet_names.json"), "found {found}");
}

/// Sends each line on a connection of its own to one serving node. Each character stands for the
/// byte with the same value.
#[test]
fn each_admin_command_has_its_answer_to_the_byte() {
    let node = Node::start_with(None, |config| config["admin"] = json!("127.0.0.1:0"));
    for (line, want) in data::<Vec<(String, String)>>("admin.json") {
        assert_eq!(send_line(node.admin_address(), &line), want, "{line:?}");
    }
}

fn send_line(admin: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("it listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(15)))
        .expect("a timeout");
    stream
        .write_all(&line.chars().map(|c| c as u8).collect::<Vec<_>>())
        .expect("written");
    if !line.ends_with('\n') {
        stream.shutdown(Shutdown::Write).expect("ended");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn each_admin_command_has_its_answer_in_each_state() {
    let states = [
        ("starting", ProcessState::Starting { quiesced: false }),
        (
            "starting, quiesced",
            ProcessState::Starting { quiesced: true },
        ),
        ("serving", ProcessState::Serving),
        ("quiesced", ProcessState::Quiesced),
        (
            "leaving",
            ProcessState::ShuttingDown {
                replaced: false,
                quiesced: false,
            },
        ),
        (
            "leaving, quiesced",
            ProcessState::ShuttingDown {
                replaced: false,
                quiesced: true,
            },
        ),
        (
            "replaced",
            ProcessState::ShuttingDown {
                replaced: true,
                quiesced: false,
            },
        ),
        (
            "replaced, quiesced",
            ProcessState::ShuttingDown {
                replaced: true,
                quiesced: true,
            },
        ),
    ];
    let mut found: BTreeMap<&str, BTreeMap<&str, [String; 2]>> = BTreeMap::new();
    for (name, before) in states {
        for line in ["health", "quiesce", "resume"] {
            let mut state = before;
            let answer = AdminCommand::parse(line.as_bytes())
                .expect("a command")
                .execute(&mut state);
            found
                .entry(name)
                .or_default()
                .insert(line, [answer.to_string(), state.to_string()]);
        }
    }
    let found = json!(found);
    assert_eq!(found, data::<Value>("admin_states.json"), "found {found}");
}

#[test]
fn each_reason_for_which_a_line_is_no_admin_command_has_its_answer() {
    use AdminRequestError::{LineTooLong, TimedOut, TooManyClients, Truncated, UnknownCommand};
    let found = [
        UnknownCommand,
        LineTooLong,
        Truncated,
        TimedOut,
        TooManyClients,
    ]
    .map(|error| AdminResponse::InvalidRequest(error).to_string());
    assert_eq!(found.to_vec(), data::<Vec<String>>("admin_errors.json"));
}
