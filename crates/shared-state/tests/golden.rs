//! Golden bytes of the messages about shared state. `postcard` writes by position: the order of fields and variants is the
//! format, and old and new programs of a fleet exchange it. The files under `golden/` never change.

use shared_state::evidence::Found;
use shared_state::{
    cells_of, Answer, BudgetLook, Change, Condition, GatheredLook, Judgement, Look, Message,
    Report, Said, Tally, Term, Vote, LEDGER,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
fn tally(n: u32) -> Tally {
    let found = |n| Found {
        sound: n,
        slow: n + 1,
        failing: n + 2,
    };
    Tally {
        here: found(n),
        elsewhere: found(n + 10),
        sites: found(n + 20),
    }
}
fn gathered(judgement: Judgement) -> Message {
    let gathered = GatheredLook {
        gatherers: vec!["g1".into(), "g2".into()],
        by: Some("g2".into()),
        age_ms: 1_234,
        covered: (41, 42),
        most: 43,
        ledger: (judgement, 5_678),
        calls: (44, 45),
        others: tally(60),
    };
    Message::Looked(
        46,
        Look {
            granter: None,
            budgets: vec![],
            gathered: Some(gathered),
        },
    )
}

/// Every message, and every variant of what is inside.
fn cases() -> Vec<(&'static str, Message)> {
    let term = Term {
        number: 0x0102_0304_0506_0708,
        keeper: 2,
    };
    let budget = |name: &str, counts: bool| BudgetLook {
        name: name.into(),
        total: 1_001,
        floor: (102, counts),
        leased: (203, 304),
        in_use: (405, 506),
        holders: vec![("h1".into(), 607, 708), ("h2".into(), 809, 910)],
        counted: 1_011,
    };
    let report = Report {
        life: 0x0012_3456_789a_bcde,
        seq: 1_002,
        base: 1_001,
        echo: Some((0x00fe_dcba, 77)),
        holds: (0x0021_4365, 88),
        cells: vec![Change(3, 4), Change(255, 2_097_151)],
        found: vec![
            (LEDGER, Condition::Sound),
            (1, Condition::Slow),
            (2, Condition::Failing),
        ],
        site: "north".into(),
    };
    let bare = Report {
        echo: None,
        cells: vec![],
        found: vec![],
        ..report.clone()
    };
    let answer = Answer {
        life: 0x0012_3456_789a_bcdf,
        seq: 2_001,
        held: 2_002,
        stamp: 2_003,
        base: 2_004,
        version: 2_005,
        cells: vec![Change(5, 6), Change(7, 8)],
        covered: (2_006, 2_007),
        there: 2_008,
        tallies: vec![(LEDGER, tally(1)), (3, tally(100))],
    };
    let look = Look {
        granter: Some("granter".into()),
        budgets: vec![budget("calls", true), budget("tries", false)],
        gathered: None,
    };
    vec![
        ("vote-prepare", Message::Vote(Vote::Prepare(term))),
        (
            "vote-promise-free",
            Message::Vote(Vote::Promise(term, None)),
        ),
        (
            "vote-promise-given",
            Message::Vote(Vote::Promise(term, Some("keeper".into()))),
        ),
        ("vote-promised", Message::Vote(Vote::Promised(term))),
        ("vote-propose", Message::Vote(Vote::Propose(term))),
        ("vote-accept", Message::Vote(Vote::Accept(term))),
        (
            "ask",
            Message::Ask {
                term,
                life: 301,
                seq: 402,
                applied: 503,
                parts: vec![(604, 705), (806, 907)],
            },
        ),
        (
            "grant",
            Message::Grant {
                term,
                seq: 11,
                units: vec![0, 127, 128, u64::MAX],
            },
        ),
        ("reigns", Message::Reigns("granter".into(), term)),
        ("look", Message::Look(0x0a0b_0c0d)),
        ("looked-empty", Message::Looked(1, Look::default())),
        ("looked-budgets", Message::Looked(45, look)),
        ("looked-ledger-unknown", gathered(Judgement::Unknown)),
        ("looked-ledger-sound", gathered(Judgement::Sound)),
        ("looked-ledger-slow", gathered(Judgement::Slow)),
        ("looked-ledger-unsure", gathered(Judgement::Unsure)),
        ("looked-ledger-only-here", gathered(Judgement::OnlyHere)),
        ("looked-ledger-down", gathered(Judgement::Down)),
        ("gather-report", Message::Gather(Said::Report(report))),
        ("gather-report-bare", Message::Gather(Said::Report(bare))),
        ("gather-answer", Message::Gather(Said::Answer(answer))),
    ]
}

#[test]
fn message_bytes_are_stable() {
    let lines = |(name, message): &(&str, Message)| format!("{name} {}\n", hex(&message.encode()));
    let written: String = cases().iter().map(lines).collect();
    assert_eq!(written, include_str!("golden/messages.txt"));
}

#[test]
fn golden_messages_are_understood() {
    let golden = include_str!("golden/messages.txt");
    assert_eq!(golden.lines().count(), cases().len());
    for (line, (name, message)) in golden.lines().zip(cases()) {
        let (_, text) = line.split_once(' ').expect("a name and bytes");
        let byte = |n| u8::from_str_radix(&text[n..n + 2], 16).expect("hex");
        let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
        assert_eq!(Message::decode(&bytes), Some(message), "{name}");
    }
}

/// Nodes count a tenant in the same cells, or their sums mean nothing.
#[test]
fn cells_of_a_key_are_stable() {
    let keys = [0, 1, 0x0123_4567_89ab_cdef, u64::MAX];
    let written: String = keys
        .iter()
        .map(|key| format!("{key:016x} {:?}\n", cells_of(*key)))
        .collect();
    assert_eq!(written, include_str!("golden/cells.txt"));
}
