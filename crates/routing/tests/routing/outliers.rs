//! Ejection of failing nodes.

use std::collections::BTreeMap;

use routing::{AttemptOutcome, EjectionState, Request, RetryDecision, Router};

use crate::fixtures::{all_available, forwarded_node, map, ms, post, read, router_with};

/// A node that fails its requests is ejected, probed with idempotent requests, and readmitted by degrees; when most of a
/// cell fails, no node is an outlier.
#[test]
fn failing_node_is_ejected_probed_and_readmitted() {
    let (map, mut router) = (map(), router_with(|s| s.retry_budget_burst = 1e9));
    let share = |router: &mut Router,
                 from: u64,
                 broken: &dyn Fn(&str) -> bool,
                 kind: fn(&str) -> Request| {
        let mut got: BTreeMap<String, usize> = BTreeMap::new();
        for n in 0..300 {
            let (ticket, decision) =
                router.route_request(kind("alpenergia"), &map, all_available, ms(from + n));
            let mut node = forwarded_node(decision);
            loop {
                *got.entry(node.clone()).or_default() += 1;
                let outcome = if broken(&node) {
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
        got
    };
    let a0 = |node: &str| node == "a0";
    let got = share(&mut router, 0, &a0, read);
    assert!(got["a0"] <= 6, "{got:?}");
    assert_eq!(router.ejection_state("a0", ms(299)), EjectionState::Ejected);
    // After the ejection it is probed with reads, and gets no settlements.
    assert_eq!(
        router.ejection_state("a0", ms(2000)),
        EjectionState::Probing
    );
    assert_eq!(share(&mut router, 2000, &a0, post).get("a0"), None);
    assert_eq!(share(&mut router, 2400, &a0, read)["a0"], 1);
    assert_eq!(
        router.ejection_state("a0", ms(2400 + 1900)),
        EjectionState::Ejected,
        "ejected for twice as long"
    );
    // Healthy again: few requests at first, then its share.
    let well = |_: &str| false;
    let first = share(&mut router, 5000, &well, read)["a0"];
    let later = share(&mut router, 11_000, &well, read)["a0"];
    assert!(first < 40 && later > 60, "{first} at first, {later} later");
    // All three fail: there is no better one, so all are used.
    share(&mut router, 20_000, &|_| true, read);
    assert!(share(&mut router, 21_000, &well, read).len() == 3);
}
