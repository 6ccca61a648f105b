//! Ejection of failing nodes.

use std::collections::BTreeMap;

use routing::{AttemptOutcome, EjectionState, Request, RetryDecision, Router};

use crate::fixtures::{
    all_available, expect_forwarded, map, ms, read_request, router_with, settlement_request,
};

/// A node that fails its requests is ejected, probed with idempotent requests, and gradually
/// readmitted. If most of a cell fails, no node is an outlier.
#[test]
fn failing_node_is_ejected_probed_and_readmitted() {
    let (map, mut router) = (map(), router_with(|s| s.retry_budget_burst = 1e9));
    // Sends 300 requests and returns the number of attempts at each node.
    let attempts_per_node = |router: &mut Router,
                             from: u64,
                             is_failing: &dyn Fn(&str) -> bool,
                             request_for: fn(&str) -> Request| {
        let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
        for n in 0..300 {
            let (ticket, decision) =
                router.route_request(request_for("alpenergia"), &map, all_available, ms(from + n));
            let mut node = expect_forwarded(decision);
            loop {
                *attempts.entry(node.clone()).or_default() += 1;
                let outcome = if is_failing(&node) {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::Served
                };
                match router.finish_attempt(
                    ticket,
                    outcome,
                    None,
                    &map,
                    all_available,
                    ms(from + n),
                ) {
                    RetryDecision::Retry(next) => node = next.to_string(),
                    _ => break,
                }
            }
        }
        attempts
    };
    let only_a0 = |node: &str| node == "a0";
    let attempts = attempts_per_node(&mut router, 0, &only_a0, read_request);
    assert!(attempts["a0"] <= 6, "{attempts:?}");
    assert_eq!(router.ejection_state("a0", ms(299)), EjectionState::Ejected);
    // Once the ejection has expired, the node is probed with reads and gets no settlements.
    assert_eq!(
        router.ejection_state("a0", ms(2000)),
        EjectionState::Probing
    );
    assert_eq!(
        attempts_per_node(&mut router, 2000, &only_a0, settlement_request).get("a0"),
        None
    );
    assert_eq!(
        attempts_per_node(&mut router, 2400, &only_a0, read_request)["a0"],
        1
    );
    assert_eq!(
        router.ejection_state("a0", ms(2400 + 1900)),
        EjectionState::Ejected,
        "ejected for twice as long"
    );
    // The node is healthy again: it gets few requests at first, then its usual share.
    let none = |_: &str| false;
    let first = attempts_per_node(&mut router, 5000, &none, read_request)["a0"];
    let later = attempts_per_node(&mut router, 11_000, &none, read_request)["a0"];
    assert!(first < 40 && later > 60, "{first} at first, {later} later");
    // All three fail: no node is better than the others, so all are used.
    attempts_per_node(&mut router, 20_000, &|_| true, read_request);
    assert!(attempts_per_node(&mut router, 21_000, &none, read_request).len() == 3);
}
