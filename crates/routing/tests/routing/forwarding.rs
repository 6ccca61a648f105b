//! Where requests are forwarded, queued and retried.

use std::collections::BTreeMap;

use routing::{
    AttemptOutcome, Availability, HealthChecks, Rejection, Request, RetryDecision, RouteDecision,
    Router, RoutingSettings, Ticket,
};

use crate::fixtures::{all_available, forwarded_node, map, ms, post, read, router_with};

/// A request never leaves its tenant's cell, and one without a cell is rejected.
#[test]
fn request_is_forwarded_to_a_node_of_its_cell() {
    let (map, mut router) = (map(), router_with(|_| {}));
    for n in 0..300 {
        let (ticket, decision) =
            router.route_request(read("alpenergia"), &map, all_available, ms(n));
        let node = forwarded_node(decision);
        assert!(node.starts_with('a'), "{node}");
        assert_eq!(
            router.finish_attempt(
                ticket,
                AttemptOutcome::Served,
                None,
                &map,
                all_available,
                ms(n)
            ),
            RetryDecision::ReturnAnswer
        );
    }
    let (_, decision) = router.route_request(read("nobody"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Reject(Rejection::NoCell));
    let (_, decision) =
        router.route_request(read("alpenergia"), &map, |n| n.starts_with('b'), ms(0));
    assert_eq!(
        decision,
        RouteDecision::Reject(Rejection::NoNode {
            retry_after: ms(200)
        })
    );
    let late = Request {
        deadline: ms(10),
        ..read("alpenergia")
    };
    assert_eq!(
        router.route_request(late, &map, all_available, ms(0)).1,
        RouteDecision::Reject(Rejection::DeadlinePassed)
    );
    assert_eq!(router.open_requests(), 0);
}

/// A settlement that may have run is never sent again; a rejected one and one that was not sent are retried elsewhere.
#[test]
fn settlement_that_may_have_run_is_never_retried() {
    let map = map();
    for (outcome, again) in [
        (AttemptOutcome::Lost, false),
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::Rejected { is_final: true }, false),
        (AttemptOutcome::Rejected { is_final: false }, true),
        (AttemptOutcome::NotSent, true),
    ] {
        let mut router = router_with(|_| {});
        let (ticket, decision) =
            router.route_request(post("alpenergia"), &map, all_available, ms(0));
        let first = forwarded_node(decision);
        match router.finish_attempt(ticket, outcome, None, &map, all_available, ms(5)) {
            RetryDecision::Retry(node) => {
                assert!(
                    again && *node != *first,
                    "{outcome:?}: {first}, then {node}"
                );
            }
            other => {
                assert!(!again, "{outcome:?}: {other:?}");
                assert_eq!(
                    other == RetryDecision::MayHaveRun,
                    outcome == AttemptOutcome::Lost
                );
                assert_eq!(router.open_requests(), 0);
            }
        }
    }
    // A read that was lost is retried at another node.
    let mut router = router_with(|_| {});
    let (ticket, _) = router.route_request(read("alpenergia"), &map, all_available, ms(0));
    assert!(matches!(
        router.finish_attempt(
            ticket,
            AttemptOutcome::Lost,
            None,
            &map,
            all_available,
            ms(5)
        ),
        RetryDecision::Retry(_)
    ));
}

/// The queue of a busy cell is bounded; its requests are forwarded in order as nodes become free, or rejected in time.
#[test]
fn queue_is_bounded_and_in_order() {
    let (map, mut router) = (
        map(),
        router_with(|s| (s.max_in_flight_per_node, s.max_queued_per_cell) = (1, 2)),
    );
    let mut at: Vec<Ticket> = Vec::new();
    for _ in 0..3 {
        let (ticket, decision) =
            router.route_request(read("alpenergia"), &map, all_available, ms(0));
        forwarded_node(decision);
        at.push(ticket);
    }
    let (first, decision) = router.route_request(
        Request {
            deadline: ms(500),
            ..read("alpenergia")
        },
        &map,
        all_available,
        ms(0),
    );
    assert_eq!(decision, RouteDecision::Queue);
    let (second, decision) = router.route_request(read("alpenergia"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Queue);
    assert_eq!(
        router
            .route_request(read("alpenergia"), &map, all_available, ms(0))
            .1,
        RouteDecision::Reject(Rejection::QueueFull {
            retry_after: ms(200)
        })
    );
    // The other cell is not busy.
    forwarded_node(
        router
            .route_request(read("solpiana"), &map, all_available, ms(0))
            .1,
    );
    assert_eq!(router.route_next_queued(&map, all_available, ms(10)), None);
    router.finish_attempt(
        at[0],
        AttemptOutcome::Served,
        None,
        &map,
        all_available,
        ms(600),
    );
    assert_eq!(
        router.route_next_queued(&map, all_available, ms(600)),
        Some((first, RouteDecision::Reject(Rejection::DeadlinePassed)))
    );
    let (ticket, decision) = router
        .route_next_queued(&map, all_available, ms(600))
        .expect("a decision");
    assert_eq!(ticket, second);
    forwarded_node(decision);
    assert_eq!(router.route_next_queued(&map, all_available, ms(600)), None);
}

/// A queued request is rejected at its own deadline, also behind others that have more time.
#[test]
fn queued_request_can_be_removed_from_the_middle() {
    let (map, mut router) = (
        map(),
        router_with(|s| (s.max_in_flight_per_node, s.max_queued_per_cell) = (1, 2)),
    );
    let at: Vec<Ticket> = (0..3)
        .map(|_| {
            router
                .route_request(read("alpenergia"), &map, all_available, ms(0))
                .0
        })
        .collect();
    let waits: Vec<Ticket> = (0..2)
        .map(|_| {
            router
                .route_request(read("alpenergia"), &map, all_available, ms(0))
                .0
        })
        .collect();
    assert!(
        router.remove_queued(waits[1])
            && !router.remove_queued(waits[1])
            && !router.remove_queued(at[0])
    );
    assert_eq!(router.open_requests(), 4);
    // Its place in the queue is free, and the others keep their order.
    let (last, decision) = router.route_request(read("alpenergia"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Queue);
    for (done, next) in at.iter().zip([waits[0], last]) {
        router.finish_attempt(
            *done,
            AttemptOutcome::Served,
            None,
            &map,
            all_available,
            ms(1),
        );
        assert_eq!(
            router
                .route_next_queued(&map, all_available, ms(1))
                .map(|(ticket, _)| ticket),
            Some(next)
        );
    }
}

/// A node whose capacity hint is low gets fewer requests.
#[test]
fn hints_and_load_decide_the_node() {
    let (map, mut router) = (map(), router_with(|s| s.max_in_flight_per_node = 1000));
    let mut got: BTreeMap<String, usize> = BTreeMap::new();
    let mut open = Vec::new();
    for n in 0..600 {
        let (ticket, decision) =
            router.route_request(read("alpenergia"), &map, all_available, ms(n));
        let node = forwarded_node(decision);
        *got.entry(node.clone()).or_default() += 1;
        open.push((ticket, node));
        if open.len() > 60 {
            let (ticket, node) = open.remove(0);
            let hint = if node == "a0" { 0.25 } else { 1.0 };
            router.finish_attempt(
                ticket,
                AttemptOutcome::Served,
                Some(hint),
                &map,
                all_available,
                ms(n),
            );
        }
    }
    assert!(
        got["a0"] * 2 < got["a1"] && got["a0"] * 2 < got["a2"],
        "{got:?}"
    );
    assert!(got["a1"].abs_diff(got["a2"]) < 60, "{got:?}");
}

/// A suspect node gets requests only while no node of its cell is available.
#[test]
fn suspect_node_is_used_only_without_available_ones() {
    let map = map();
    let mut router = Router::new(RoutingSettings::default(), 1);
    let doubt = |nodes: &'static [&'static str]| {
        move |n: &str| {
            if nodes.contains(&n) {
                Availability::Suspect
            } else {
                Availability::Available
            }
        }
    };
    for _ in 0..50 {
        let (ticket, decision) =
            router.route_request(read("alpenergia"), &map, doubt(&["a0", "a1"]), ms(0));
        assert_eq!(decision, RouteDecision::Forward("a2".into()));
        router.finish_attempt(
            ticket,
            AttemptOutcome::Served,
            None,
            &map,
            doubt(&["a0", "a1"]),
            ms(0),
        );
    }
    let (_, decision) =
        router.route_request(read("alpenergia"), &map, doubt(&["a0", "a1", "a2"]), ms(0));
    assert!(
        matches!(decision, RouteDecision::Forward(_)),
        "{decision:?}"
    );
    let (_, decision) = router.route_request(
        read("alpenergia"),
        &map,
        |_: &str| Availability::Unavailable,
        ms(0),
    );
    assert!(matches!(decision, RouteDecision::Reject(_)), "{decision:?}");
}

#[test]
fn good_check_expires_and_a_bad_one_revokes_it() {
    let mut checks = HealthChecks::new(ms(1000));
    let name = "a0".into();
    assert_eq!(checks.availability("a0", ms(0)), Availability::Unavailable);
    checks.record(&name, true, ms(100));
    assert_eq!(
        (
            checks.availability("a0", ms(1099)),
            checks.availability("a0", ms(1100))
        ),
        (Availability::Available, Availability::Unavailable)
    );
    checks.record(&name, true, ms(1200));
    checks.record(&name, false, ms(1300));
    assert_eq!(
        checks.availability("a0", ms(1300)),
        Availability::Unavailable
    );
}
