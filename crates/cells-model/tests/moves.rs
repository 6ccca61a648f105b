//! The check itself: the protocol holds under everything the model can do to it, and each flaw put into it is found.

use cells::moves::Step;
use cells_model::{every_move_can_end, Flaw, Moving};
use stateright::{Checker, Model};

/// One settlement tried three times, a crash anywhere, any message lost, doubled or late.
fn moving() -> Moving {
    Moving {
        tries: 2,
        clients: 1,
        crashes: 1,
        flaw: None,
    }
}

#[test]
fn no_settlement_runs_twice_and_none_acknowledged_is_lost() {
    let checker = moving().checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn every_move_ends() {
    let (states, stuck) = every_move_can_end(&Moving {
        tries: 0,
        clients: 0,
        crashes: 2,
        flaw: None,
    });
    println!("{states} states");
    assert!(states > 1000, "{states} states");
    assert!(stuck.is_none(), "stuck: {stuck:#?}");
}

/// Guards the second check as well: a target that started anew and is not told again would never serve.
#[test]
fn a_move_that_can_not_end_is_found() {
    let flawed = Moving {
        tries: 0,
        clients: 0,
        crashes: 1,
        flaw: Some(Flaw::SkipRetelling),
    };
    let (_, stuck) = every_move_can_end(&flawed);
    assert!(stuck.is_some_and(|state| state.work.step == Step::Commit));
}

/// Guards the check: it must be able to fail. Each flaw makes a settlement run twice, or both sides serve.
#[test]
fn each_flaw_is_found() {
    for flaw in [
        Flaw::SkipHandOver,
        Flaw::SkipFreeze,
        Flaw::ForgetDoubt,
        Flaw::IgnoreLife,
        Flaw::FenceTooSoon,
    ] {
        let model = Moving {
            flaw: Some(flaw),
            ..moving()
        };
        let checker = model
            .checker()
            .threads(4)
            .finish_when(stateright::HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let found =
            ["no settlement runs twice", "one side serves"].map(|name| checker.discovery(name));
        let steps = found
            .iter()
            .flatten()
            .map(|path| path.clone().into_actions().len())
            .min();
        println!("{flaw:?}: found after {steps:?} steps");
        assert!(steps.is_some(), "{flaw:?} was not found");
    }
}
