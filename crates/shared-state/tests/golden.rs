//! Golden bytes of the messages about shared state. `postcard` encodes by position: the order of
//! fields and variants is the format, and old and new versions of the program in a fleet exchange
//! it. The files under `golden/` never change.

use shared_state::aggregation::{
    AggregateReply, Coverage, EchoedStamp, Report, ServiceObservationCounts,
};
use shared_state::health::HealthCounts;
use shared_state::{
    counter_indices, AggregateSnapshot, AggregationMessage, BudgetSnapshot, CallCounts,
    CounterChange, CoverageSnapshot, DependencyHealth, GuaranteedSnapshot, HealthState,
    HolderRequest, HolderSnapshot, LeaseSnapshot, Message, ObservationCounts, ObservedHealth,
    QuotaUsage, ServiceObservation, SharedStateSnapshot, SumVersion, Term, Vote, LEDGER,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
fn observation_counts(n: u32) -> ObservationCounts {
    let counts = |n| HealthCounts {
        sound: n,
        slow: n + 1,
        failing: n + 2,
    };
    ObservationCounts {
        here: counts(n),
        elsewhere: counts(n + 10),
        sites: counts(n + 20),
    }
}
fn ledger_reply(health: DependencyHealth) -> Message {
    let aggregate = AggregateSnapshot {
        aggregators: vec!["g1".into(), "g2".into()],
        aggregator: Some("g2".into()),
        age_ms: 1_234,
        coverage: CoverageSnapshot {
            covered: 41,
            present: 42,
        },
        max_in_flight: 43,
        ledger: HealthState {
            health,
            for_ms: 5_678,
        },
        calls: CallCounts {
            total: 44,
            failed: 45,
        },
        others: observation_counts(60),
    };
    Message::SnapshotReply(
        46,
        SharedStateSnapshot {
            leader: None,
            budgets: vec![],
            aggregate: Some(aggregate),
        },
    )
}

fn usage(in_use: u64, demand: u64) -> QuotaUsage {
    QuotaUsage { in_use, demand }
}
fn holder(name: &str, reserved: u64, demand: u64) -> HolderSnapshot {
    HolderSnapshot {
        name: name.into(),
        reserved,
        demand,
    }
}
fn change(index: u8, count: u32) -> CounterChange {
    CounterChange { index, count }
}
fn observation(service: u8, health: ObservedHealth) -> ServiceObservation {
    ServiceObservation { service, health }
}
fn service_observation_counts(service: u8, n: u32) -> ServiceObservationCounts {
    ServiceObservationCounts {
        service,
        counts: observation_counts(n),
    }
}

const TERM: Term = Term {
    number: 0x0102_0304_0506_0708,
    voter: 2,
};

/// A message and the name of its line in the golden file.
type Case = (&'static str, Message);

/// Returns every message, and every variant of its contents.
fn cases() -> Vec<Case> {
    let mut cases = vote_cases();
    cases.extend(lease_cases());
    cases.extend(snapshot_cases());
    cases.extend(aggregation_cases());
    cases
}

fn vote_cases() -> Vec<Case> {
    vec![
        ("vote-prepare", Message::Vote(Vote::Prepare(TERM))),
        (
            "vote-promise-free",
            Message::Vote(Vote::Promise(TERM, None)),
        ),
        (
            "vote-promise-given",
            Message::Vote(Vote::Promise(TERM, Some("keeper".into()))),
        ),
        ("vote-promised", Message::Vote(Vote::AlreadyPromised(TERM))),
        ("vote-propose", Message::Vote(Vote::Propose(TERM))),
        ("vote-accept", Message::Vote(Vote::Accept(TERM))),
    ]
}

fn lease_cases() -> Vec<Case> {
    let term = TERM;
    vec![
        (
            "ask",
            Message::LeaseRequest(HolderRequest {
                term,
                incarnation: 301,
                seq: 402,
                applied_seq: 503,
                usage: vec![usage(604, 705), usage(806, 907)],
            }),
        ),
        (
            "grant",
            Message::LeaseGrant {
                term,
                seq: 11,
                units: vec![0, 127, 128, u64::MAX],
            },
        ),
        ("reigns", Message::Leader("granter".into(), term)),
    ]
}

fn snapshot_cases() -> Vec<Case> {
    let budget = |name: &str, is_available: bool| BudgetSnapshot {
        name: name.into(),
        total: 1_001,
        guaranteed: GuaranteedSnapshot {
            units: 102,
            is_available,
        },
        leased: LeaseSnapshot {
            units: 203,
            remaining_ms: 304,
        },
        usage: usage(405, 506),
        holders: vec![holder("h1", 607, 708), holder("h2", 809, 910)],
        reserved: 1_011,
    };
    let snapshot = SharedStateSnapshot {
        leader: Some("granter".into()),
        budgets: vec![budget("calls", true), budget("tries", false)],
        aggregate: None,
    };
    vec![
        ("look", Message::SnapshotRequest(0x0a0b_0c0d)),
        (
            "looked-empty",
            Message::SnapshotReply(1, SharedStateSnapshot::default()),
        ),
        ("looked-budgets", Message::SnapshotReply(45, snapshot)),
        (
            "looked-ledger-unknown",
            ledger_reply(DependencyHealth::Unknown),
        ),
        ("looked-ledger-sound", ledger_reply(DependencyHealth::Sound)),
        ("looked-ledger-slow", ledger_reply(DependencyHealth::Slow)),
        (
            "looked-ledger-unsure",
            ledger_reply(DependencyHealth::Unsure),
        ),
        (
            "looked-ledger-only-here",
            ledger_reply(DependencyHealth::OnlyHere),
        ),
        ("looked-ledger-down", ledger_reply(DependencyHealth::Down)),
    ]
}

fn report() -> Report {
    Report {
        incarnation: 0x0012_3456_789a_bcde,
        seq: 1_002,
        base_seq: 1_001,
        echo: Some(EchoedStamp {
            stamp: 0x00fe_dcba,
            elapsed_ms: 77,
        }),
        known_sum: SumVersion {
            incarnation: 0x0021_4365,
            version: 88,
        },
        counters: vec![change(3, 4), change(255, 2_097_151)],
        observations: vec![
            observation(LEDGER, ObservedHealth::Sound),
            observation(1, ObservedHealth::Slow),
            observation(2, ObservedHealth::Failing),
        ],
        site: "north".into(),
    }
}

fn reply() -> AggregateReply {
    AggregateReply {
        incarnation: 0x0012_3456_789a_bcdf,
        seq: 2_001,
        held_seq: 2_002,
        stamp: 2_003,
        base_version: 2_004,
        version: 2_005,
        counters: vec![change(5, 6), change(7, 8)],
        coverage: Coverage {
            nodes: 2_006,
            oldest_age_ms: 2_007,
        },
        present_nodes: 2_008,
        observation_counts: vec![
            service_observation_counts(LEDGER, 1),
            service_observation_counts(3, 100),
        ],
    }
}

fn aggregation_cases() -> Vec<Case> {
    let bare_report = Report {
        echo: None,
        counters: vec![],
        observations: vec![],
        ..report()
    };
    vec![
        (
            "gather-report",
            Message::Aggregation(AggregationMessage::Report(report())),
        ),
        (
            "gather-report-bare",
            Message::Aggregation(AggregationMessage::Report(bare_report)),
        ),
        (
            "gather-answer",
            Message::Aggregation(AggregationMessage::Reply(reply())),
        ),
    ]
}

#[test]
fn message_bytes_are_stable() {
    let lines = |(name, message): &(&str, Message)| format!("{name} {}\n", hex(&message.encode()));
    let written: String = cases().iter().map(lines).collect();
    assert_eq!(written, include_str!("golden/messages.txt"));
}

#[test]
fn golden_messages_are_decoded() {
    let golden = include_str!("golden/messages.txt");
    assert_eq!(golden.lines().count(), cases().len());
    for (line, (name, message)) in golden.lines().zip(cases()) {
        let (_, text) = line.split_once(' ').expect("a name and bytes");
        let byte = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex");
        let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
        assert_eq!(Message::decode(&bytes), Some(message), "{name}");
    }
}

/// All nodes must count a tenant in the same counters; otherwise their sums mean nothing.
#[test]
fn counter_indices_of_a_key_are_stable() {
    let keys = [0, 1, 0x0123_4567_89ab_cdef, u64::MAX];
    let written: String = keys
        .iter()
        .map(|key| format!("{key:016x} {:?}\n", counter_indices(*key)))
        .collect();
    assert_eq!(written, include_str!("golden/cells.txt"));
}

/// Tools print snapshots as JSON: the names, order and shapes of the fields must not change.
#[test]
fn snapshot_json_is_stable() {
    let mut written = String::new();
    for (name, message) in cases() {
        if let Message::SnapshotReply(_, snapshot) = message {
            let json = serde_json::to_string(&snapshot).expect("JSON");
            let read: SharedStateSnapshot = serde_json::from_str(&json).expect("a snapshot");
            assert_eq!(read, snapshot, "{name}");
            written += &format!("{name} {json}\n");
        }
    }
    assert_eq!(written, include_str!("golden/snapshots.txt"));
}
