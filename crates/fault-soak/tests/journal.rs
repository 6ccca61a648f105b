//! Which sequences of events the journal reports as rule violations.

use std::time::Duration;

use fault_soak::{ClassPlan, Journal, RequestEnd, SentRequest};

const CLASS: ClassPlan = ClassPlan {
    name: "settlement-post",
    deadline: Duration::from_secs(60),
    may_run_again: false,
    may_call: true,
    is_keyed: false,
};

/// Guards against a false report of a second answer (seed 1061, in 5 soak runs): a process was
/// killed just after it had written the only answer, and the client read it after the kill was
/// recorded. An actual second answer is still a violation.
#[test]
fn answer_written_before_a_kill_counts_as_the_first_one() {
    let journal = Journal::new();
    journal.request_sent(&SentRequest {
        uid: "first",
        class: CLASS,
        key: None,
        body: "body",
        generation: 1,
    });
    journal.process_killed(1);
    journal.request_answered("first", RequestEnd::Failed, None);
    assert!(journal.violations().is_empty());
    journal.request_answered("first", RequestEnd::Failed, None);
    let violations = journal.violations();
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].text, "duplicate: first was answered twice");
}
