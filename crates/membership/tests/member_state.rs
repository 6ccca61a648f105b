//! Precedence of member states, received in any order and any number of times.

use membership::member_state::{
    declare_dead, evaluate_self_claim, merge, new_incarnation, suspect, MergeOutcome, SelfClaim,
};
use membership::{AdvertisedStatus, Liveness, MemberState};
use proptest::prelude::*;

fn any_liveness() -> impl Strategy<Value = Liveness> {
    prop_oneof![
        Just(Liveness::Alive),
        Just(Liveness::Suspect),
        Just(Liveness::Dead)
    ]
}

fn any_state() -> impl Strategy<Value = MemberState> {
    // Incarnation and version determine what the member advertised.
    (0u64..3, 0u32..3, any_liveness()).prop_map(|(incarnation, version, liveness)| MemberState {
        incarnation,
        version,
        status: if version == 2 && incarnation == 1 {
            AdvertisedStatus::Left
        } else {
            AdvertisedStatus::Up
        },
        liveness,
    })
}

/// Received states, each with a flag that is true if the suspicion of the member expires
/// afterwards.
fn any_receptions(
    count: std::ops::Range<usize>,
) -> impl Strategy<Value = Vec<(MemberState, bool)>> {
    prop::collection::vec((any_state(), any::<bool>()), count)
}

/// Returns the state that is known after these receptions.
fn known_after(receptions: &[(MemberState, bool)]) -> Option<MemberState> {
    let mut known: Option<MemberState> = None;
    for (state, suspicion_expires) in receptions {
        match merge(known.as_ref(), state) {
            MergeOutcome::Ignore => {}
            MergeOutcome::Accept => known = Some(*state),
            MergeOutcome::Suspect => {
                known = Some(MemberState {
                    liveness: Liveness::Suspect,
                    ..*state
                });
            }
        }
        if *suspicion_expires {
            known = known.and_then(|state| declare_dead(&state)).or(known);
        }
    }
    known
}

proptest! {
    /// A state of an earlier incarnation may arrive late: the known incarnation and version never
    /// decrease.
    #[test]
    fn an_older_state_never_replaces_a_newer_one(receptions in any_receptions(1..20)) {
        for count in 1..receptions.len() {
            let before = known_after(&receptions[..count]).expect("a state was received");
            let after = known_after(&receptions[..=count]).expect("a state was received");
            prop_assert!((after.incarnation, after.version) >= (before.incarnation, before.version));
        }
    }

    /// A member's newest refutation is accepted, whatever was received before.
    #[test]
    fn the_newest_refutation_is_accepted(before in any_receptions(0..10)) {
        let mut own = MemberState {
            incarnation: 2,
            version: 0,
            status: AdvertisedStatus::Up,
            liveness: Liveness::Alive,
        };
        if let Some(known) = known_after(&before) {
            if let SelfClaim::Refute(state) = evaluate_self_claim(&own, &known) {
                own = state;
            }
        }
        let mut receptions = before.clone();
        receptions.push((own, false));
        let known = known_after(&receptions).expect("a state was received");
        prop_assert!(known.is_present(), "{known:?}");
        prop_assert_eq!((known.incarnation, known.version), (own.incarnation, own.version));
    }
}

#[test]
fn an_alive_member_is_suspected_before_it_is_declared_dead() {
    let alive = MemberState {
        incarnation: 1,
        version: 0,
        status: AdvertisedStatus::Up,
        liveness: Liveness::Alive,
    };
    let dead = MemberState {
        liveness: Liveness::Dead,
        ..alive
    };
    assert_eq!(merge(Some(&alive), &dead), MergeOutcome::Suspect);
    let suspected = suspect(&alive).expect("an alive member can be suspected");
    assert_eq!(
        merge(Some(&suspected), &dead),
        MergeOutcome::Ignore,
        "the time to refute continues"
    );
    assert_eq!(declare_dead(&suspected), Some(dead));
    assert_eq!(suspect(&suspected), None);
    assert_eq!(suspect(&dead), None);
    assert_eq!(declare_dead(&alive), None);
    assert_eq!(declare_dead(&dead), None);
    // An announcement that a member leaves is accepted at once.
    let left = MemberState {
        version: 1,
        status: AdvertisedStatus::Left,
        ..alive
    };
    assert_eq!(merge(Some(&alive), &left), MergeOutcome::Accept);
}

/// The clock went back before a process started. The new process takes an incarnation above the
/// existing one of its name, and a process that is already serving gives way to the later one.
#[test]
fn the_newer_process_keeps_the_name() {
    let state = |incarnation, status| MemberState {
        incarnation,
        version: 0,
        status,
        liveness: Liveness::Alive,
    };
    let joining =
        |unix_ms, random| state(new_incarnation(unix_ms, random), AdvertisedStatus::Joining);
    let refutation = |own: &MemberState, claim: &MemberState| match evaluate_self_claim(own, claim)
    {
        SelfClaim::Refute(state) => state,
        other => panic!("{own:?} does not refute {claim:?}: {other:?}"),
    };
    let serving = state(new_incarnation(9, 5), AdvertisedStatus::Up);
    let raised = refutation(&joining(3, 7), &serving);
    assert_eq!(
        (raised.incarnation, raised.version),
        (new_incarnation(10, 7), 0)
    );
    assert_eq!(
        evaluate_self_claim(&serving, &raised),
        SelfClaim::Superseded
    );
    let ended = MemberState {
        liveness: Liveness::Dead,
        ..raised
    };
    assert_eq!(
        evaluate_self_claim(&serving, &ended),
        SelfClaim::Refute(state(new_incarnation(11, 5), AdvertisedStatus::Up)),
        "the serving process takes the name back"
    );
    assert_eq!(
        evaluate_self_claim(&raised, &serving),
        SelfClaim::Ignore,
        "a state of an earlier incarnation arrives late"
    );
    // Two processes that choose an incarnation above the same one choose different ones.
    let other = refutation(&joining(3, 8), &serving);
    assert_ne!(other.incarnation, raised.incarnation);
}
