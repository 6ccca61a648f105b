//! The check itself: the total holds under everything the model can do, and each flaw put into it is found.

use shared_state_model::{Flaw, Sharing};
use stateright::{Checker, HasDiscoveries, Model};

fn sharing() -> Sharing {
    Sharing {
        steps: 5,
        asks: 3,
        crashes: 0,
        reigns: 1,
        flaw: None,
    }
}

fn holds(model: Sharing) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn the_total_holds_through_a_change_of_granter() {
    holds(sharing());
}

#[test]
fn the_total_holds_through_a_crash_with_a_part_in_hand() {
    holds(Sharing {
        steps: 4,
        asks: 2,
        crashes: 1,
        reigns: 0,
        flaw: None,
    });
}

/// Guards the check: it must be able to fail.
#[test]
fn each_flaw_is_found() {
    for flaw in [
        Flaw::NoWait,
        Flaw::AnyTerm,
        Flaw::FromAnswer,
        Flaw::LongCalls,
    ] {
        let flawed = Sharing {
            flaw: Some(flaw),
            ..sharing()
        };
        let checker = flawed
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_bfs()
            .join();
        let found = [
            "what is in hand never exceeds the total",
            "what may be spent never exceeds the total",
        ];
        assert!(
            found.iter().any(|p| checker.discovery(p).is_some()),
            "{flaw:?} is not found"
        );
    }
}
