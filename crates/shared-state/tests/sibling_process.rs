//! Tests the replacement of a voter's process: two processes of one name have one vote.

use std::collections::BTreeMap;
use std::time::Duration;

use membership::Name;
use shared_state::{Budgets, LeaseTimings, Message, Outgoing, QuotaConfig, Term, Vote};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn voters() -> Vec<Name> {
    ["n0", "n1", "n2"].map(Into::into).to_vec()
}

fn process_of_n0() -> Budgets {
    let config = QuotaConfig {
        name: "ledger".into(),
        total: 10,
        guaranteed: BTreeMap::default(),
    };
    Budgets::new(
        LeaseTimings::default(),
        "n0".into(),
        2,
        voters(),
        vec![config],
        ms(0),
    )
}

/// Returns true if the process promises a term to the voter n1.
fn promises(process: &mut Budgets, number: u64, now: Duration) -> bool {
    let mut out = Vec::new();
    let prepare = Message::Vote(Vote::Prepare(Term { number, voter: 1 }));
    process.handle_message(&voters()[1], prepare, now, &mut out);
    out.iter()
        .any(|outgoing| matches!(outgoing.message, Message::Vote(Vote::Promise(..))))
}

/// A voter whose earlier process is still running must promise nothing, however long it has been
/// running itself. It must promise again once everything that the earlier process promised has
/// expired. Otherwise there could be two leaders.
#[test]
fn voter_abstains_while_its_earlier_process_is_running() {
    let mut second = process_of_n0();
    second.yield_to_sibling();
    assert!(!promises(&mut second, 1, ms(60_000)));
    let mut out: Vec<Outgoing> = Vec::new();
    second.handle_timeout(ms(60_000), 0.5, &[], &mut out);
    assert!(
        !out.iter()
            .any(|outgoing| matches!(outgoing.message, Message::Vote(_))),
        "it must not become a candidate either: {out:?}"
    );
    second.resume_after_sibling(ms(61_000));
    assert!(!promises(&mut second, 2, ms(62_900)));
    assert!(promises(&mut second, 3, ms(63_100)));
}
