//! What is open on a connection to a node.
use router::upstream::Upstream;

/// Guards the single effect: what was not handed to the machine never ran, what was may have.
#[test]
fn only_what_was_taken_may_have_arrived() {
    let mut up = Upstream::default();
    for ticket in [10, 11, 12] {
        let number = up.number();
        up.ask(number, ticket, "four");
    }
    // All of the first, and one byte of the second.
    up.sent(5);
    assert_eq!(up.answered(1), Some(10));
    assert_eq!((up.answered(1), up.answered(9)), (None, None));
    assert_eq!(up.ended(), [(11, true), (12, false)]);
    assert_eq!(up.open(), 0);
}

#[test]
fn lines_are_whole_and_bounded() {
    let mut up = Upstream::default();
    assert_eq!(up.feed(b"a\nb", 4), Some(vec![b"a".to_vec()]));
    assert_eq!(up.feed(b"c\n", 4), Some(vec![b"bc".to_vec()]));
    assert_eq!(up.feed(b"too long", 4), None);
}
