//! Which of two words holds, in any order and however often they come.

use membership::word::{accuse, give_up, life, of_me, take, OfMe, Take, Word};
use membership::{Said, Standing};
use proptest::prelude::*;

fn word() -> impl Strategy<Value = Word> {
    let standing = prop_oneof![
        Just(Standing::Present),
        Just(Standing::Suspected),
        Just(Standing::Gone)
    ];
    // What a member said is settled by its life and incarnation.
    (0u64..3, 0u32..3, standing).prop_map(|(life, incarnation, standing)| Word {
        life,
        incarnation,
        said: if incarnation == 2 && life == 1 {
            Said::Left
        } else {
            Said::Up
        },
        standing,
    })
}

/// The word held after these were heard, where suspicions end in between as told.
fn held(heard: &[(Word, bool)]) -> Option<Word> {
    let mut held: Option<Word> = None;
    for (word, ends) in heard {
        match take(held.as_ref(), word) {
            Take::Nothing => {}
            Take::Held => held = Some(*word),
            Take::Suspect => {
                held = Some(Word {
                    standing: Standing::Suspected,
                    ..*word
                });
            }
        }
        if *ends {
            held = held.and_then(|h| give_up(&h)).or(held);
        }
    }
    held
}

proptest! {
    /// Guards against an older life that comes late: the life held never falls, nor the incarnation within it.
    #[test]
    fn nothing_older_holds(heard in prop::collection::vec((word(), any::<bool>()), 1..20)) {
        for i in 1..heard.len() {
            let (before, after) = (held(&heard[..i]), held(&heard[..=i]));
            let (before, after) = (before.expect("heard"), after.expect("heard"));
            prop_assert!((after.life, after.incarnation) >= (before.life, before.incarnation));
        }
    }

    /// Whatever came before and after: a member's newest objection holds once it is heard.
    #[test]
    fn the_newest_objection_wins(before in prop::collection::vec((word(), any::<bool>()), 0..10)) {
        let mut me = Word { life: 2, incarnation: 0, said: Said::Up, standing: Standing::Present };
        if let Some(held) = held(&before) {
            if let OfMe::Object(word) = of_me(&me, &held) {
                me = word;
            }
        }
        let mut all = before.clone();
        all.push((me, false));
        let is = held(&all).expect("heard");
        prop_assert!(is.present() && is.life == me.life && is.incarnation == me.incarnation, "{is:?}");
    }
}

#[test]
fn a_member_held_present_is_suspected_before_it_is_given_up() {
    let up = Word {
        life: 1,
        incarnation: 0,
        said: Said::Up,
        standing: Standing::Present,
    };
    let gone = Word {
        standing: Standing::Gone,
        ..up
    };
    assert_eq!(take(Some(&up), &gone), Take::Suspect);
    let suspected = accuse(&up).expect("it is present");
    assert_eq!(
        take(Some(&suspected), &gone),
        Take::Nothing,
        "its time to object goes on"
    );
    assert_eq!(give_up(&suspected), Some(gone));
    assert_eq!(
        (
            accuse(&suspected),
            accuse(&gone),
            give_up(&up),
            give_up(&gone)
        ),
        (None, None, None, None)
    );
    // Its own goodbye needs no time to object.
    assert_eq!(
        take(
            Some(&up),
            &Word {
                incarnation: 1,
                said: Said::Left,
                ..up
            }
        ),
        Take::Held
    );
}

/// A clock that went back before a start: the newcomer takes a life above the one that its name had, and one that serves
/// steps aside for a later one.
#[test]
fn the_younger_process_has_the_name() {
    let word = |life, said| Word {
        life,
        incarnation: 0,
        said,
        standing: Standing::Present,
    };
    let serving = word(life(9, 5), Said::Up);
    let newcomer = word(life(3, 7), Said::Joining);
    let OfMe::Object(raised) = of_me(&newcomer, &serving) else {
        panic!("it gives way")
    };
    assert_eq!((raised.life, raised.incarnation), (life(10, 7), 0));
    assert_eq!(of_me(&serving, &raised), OfMe::Succeeded);
    let ended = Word {
        standing: Standing::Gone,
        ..raised
    };
    let again = OfMe::Object(word(life(11, 5), Said::Up));
    assert_eq!(of_me(&serving, &ended), again, "the name is its again");
    assert_eq!(
        of_me(&raised, &serving),
        OfMe::Nothing,
        "late words of an earlier life"
    );
    // Two that raise theirs above the same word are two lives.
    let OfMe::Object(other) = of_me(&word(life(3, 8), Said::Joining), &serving) else {
        panic!("it gives way")
    };
    assert_ne!(other.life, raised.life);
}
