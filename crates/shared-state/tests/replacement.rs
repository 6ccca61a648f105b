//! A keeper that is replaced: two processes of one name have one voice.

use std::time::Duration;

use membership::Name;
use shared_state::{Budgets, Message, Out, Plan, Term, Terms, Vote};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards the one granter: an acceptor whose earlier process still lives promises nothing, however long it has run, and
/// promises again once what that one promised has run out.
#[test]
fn a_keeper_beside_its_earlier_process_promises_nothing() {
    let keepers: Vec<Name> = ["n0", "n1", "n2"].map(Into::into).to_vec();
    let plan = Plan {
        name: "ledger".into(),
        total: 10,
        floors: std::collections::BTreeMap::default(),
    };
    let mut second = Budgets::new(
        Terms::default(),
        "n0".into(),
        2,
        keepers.clone(),
        vec![plan],
        ms(0),
    );
    second.beside_another();
    let promises = |second: &mut Budgets, number, now| {
        let mut out = Vec::new();
        let prepare = Vote::Prepare(Term { number, keeper: 1 });
        second.hear(&keepers[1], Message::Vote(prepare), now, &mut out);
        out.iter()
            .any(|Out::Tell(_, m)| matches!(m, Message::Vote(Vote::Promise(..))))
    };
    assert!(!promises(&mut second, 1, ms(60_000)));
    let mut out = Vec::new();
    second.tick(ms(60_000), 0.5, &[], &mut out);
    assert!(
        !out.iter()
            .any(|Out::Tell(_, m)| matches!(m, Message::Vote(_))),
        "nor does it try: {out:?}"
    );
    second.alone_from(ms(61_000));
    assert!(!promises(&mut second, 2, ms(62_900)));
    assert!(promises(&mut second, 3, ms(63_100)));
}
