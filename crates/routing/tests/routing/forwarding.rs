//! Forwarding, queueing and retrying of requests.

use std::collections::BTreeMap;

use routing::{
    AttemptOutcome, Availability, HealthChecks, Rejection, Request, RetryDecision, RouteDecision,
    Router, RoutingSettings, Ticket,
};

use crate::fixtures::{
    all_available, expect_forwarded, map, ms, read_request, router_with, settlement_request,
};

/// A request never leaves its tenant's cell, and one without a cell is rejected.
#[test]
fn request_is_forwarded_to_a_node_of_its_cell() {
    let (map, mut router) = (map(), router_with(|_| {}));
    for n in 0..300 {
        let (ticket, decision) =
            router.route_request(read_request("alpenergia"), &map, all_available, ms(n));
        let node = expect_forwarded(decision);
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
    let (_, decision) = router.route_request(read_request("nobody"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Reject(Rejection::NoCell));
    let (_, decision) = router.route_request(
        read_request("alpenergia"),
        &map,
        |n| n.starts_with('b'),
        ms(0),
    );
    assert_eq!(
        decision,
        RouteDecision::Reject(Rejection::NoNode {
            retry_after: ms(200)
        })
    );
    let late = Request {
        deadline: ms(10),
        ..read_request("alpenergia")
    };
    assert_eq!(
        router.route_request(late, &map, all_available, ms(0)).1,
        RouteDecision::Reject(Rejection::DeadlinePassed)
    );
    assert_eq!(router.open_requests(), 0);
}

/// A settlement that may have run is never retried; one that was rejected or not sent is retried at
/// another node.
#[test]
fn settlement_that_may_have_run_is_never_retried() {
    let map = map();
    for (outcome, is_retried) in [
        (AttemptOutcome::Lost, false),
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::Rejected { is_final: true }, false),
        (AttemptOutcome::Rejected { is_final: false }, true),
        (AttemptOutcome::NotSent, true),
    ] {
        let mut router = router_with(|_| {});
        let (ticket, decision) =
            router.route_request(settlement_request("alpenergia"), &map, all_available, ms(0));
        let first = expect_forwarded(decision);
        match router.finish_attempt(ticket, outcome, None, &map, all_available, ms(5)) {
            RetryDecision::Retry(node) => {
                assert!(
                    is_retried && *node != *first,
                    "{outcome:?}: {first}, then {node}"
                );
            }
            other => {
                assert!(!is_retried, "{outcome:?}: {other:?}");
                assert_eq!(
                    other == RetryDecision::MayHaveRun,
                    outcome == AttemptOutcome::Lost
                );
                assert_eq!(router.open_requests(), 0);
            }
        }
    }
    // A read whose attempt was lost is retried.
    let mut router = router_with(|_| {});
    let (ticket, _) = router.route_request(read_request("alpenergia"), &map, all_available, ms(0));
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

/// The queue of a busy cell is bounded. Its requests are forwarded in order as nodes become free,
/// or rejected once their deadline has passed.
#[test]
fn queue_is_bounded_and_in_order() {
    let (map, mut router) = (
        map(),
        router_with(|s| (s.max_in_flight_per_node, s.max_queued_per_cell) = (1, 2)),
    );
    let mut in_flight: Vec<Ticket> = Vec::new();
    for _ in 0..3 {
        let (ticket, decision) =
            router.route_request(read_request("alpenergia"), &map, all_available, ms(0));
        expect_forwarded(decision);
        in_flight.push(ticket);
    }
    let (first, decision) = router.route_request(
        Request {
            deadline: ms(500),
            ..read_request("alpenergia")
        },
        &map,
        all_available,
        ms(0),
    );
    assert_eq!(decision, RouteDecision::Queue);
    let (second, decision) =
        router.route_request(read_request("alpenergia"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Queue);
    assert_eq!(
        router
            .route_request(read_request("alpenergia"), &map, all_available, ms(0))
            .1,
        RouteDecision::Reject(Rejection::QueueFull {
            retry_after: ms(200)
        })
    );
    // The other cell is not busy.
    expect_forwarded(
        router
            .route_request(read_request("solpiana"), &map, all_available, ms(0))
            .1,
    );
    assert_eq!(router.route_next_queued(&map, all_available, ms(10)), None);
    router.finish_attempt(
        in_flight[0],
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
        .expect("the second request is decided on");
    assert_eq!(ticket, second);
    expect_forwarded(decision);
    assert_eq!(router.route_next_queued(&map, all_available, ms(600)), None);
}

/// A queued request can be removed at its own deadline, even if requests before it in the queue
/// have later deadlines.
#[test]
fn queued_request_can_be_removed_from_the_middle() {
    let (map, mut router) = (
        map(),
        router_with(|s| (s.max_in_flight_per_node, s.max_queued_per_cell) = (1, 2)),
    );
    let in_flight: Vec<Ticket> = (0..3)
        .map(|_| {
            router
                .route_request(read_request("alpenergia"), &map, all_available, ms(0))
                .0
        })
        .collect();
    let queued: Vec<Ticket> = (0..2)
        .map(|_| {
            router
                .route_request(read_request("alpenergia"), &map, all_available, ms(0))
                .0
        })
        .collect();
    assert!(
        router.remove_queued(queued[1])
            && !router.remove_queued(queued[1])
            && !router.remove_queued(in_flight[0])
    );
    assert_eq!(router.open_requests(), 4);
    // Its slot in the queue is free, and the remaining requests keep their order.
    let (last, decision) =
        router.route_request(read_request("alpenergia"), &map, all_available, ms(0));
    assert_eq!(decision, RouteDecision::Queue);
    for (finished, next) in in_flight.iter().zip([queued[0], last]) {
        router.finish_attempt(
            *finished,
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

/// A node that reports a low capacity hint gets fewer requests.
#[test]
fn hints_and_load_decide_the_node() {
    let (map, mut router) = (map(), router_with(|s| s.max_in_flight_per_node = 1000));
    let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
    let mut open = Vec::new();
    for n in 0..600 {
        let (ticket, decision) =
            router.route_request(read_request("alpenergia"), &map, all_available, ms(n));
        let node = expect_forwarded(decision);
        *attempts.entry(node.clone()).or_default() += 1;
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
        attempts["a0"] * 2 < attempts["a1"] && attempts["a0"] * 2 < attempts["a2"],
        "{attempts:?}"
    );
    assert!(attempts["a1"].abs_diff(attempts["a2"]) < 60, "{attempts:?}");
}

/// A suspect node gets requests only while no node of its cell is available.
#[test]
fn suspect_node_is_used_only_without_available_ones() {
    let map = map();
    let mut router = Router::new(RoutingSettings::default(), 1);
    let with_suspects = |nodes: &'static [&'static str]| {
        move |n: &str| {
            if nodes.contains(&n) {
                Availability::Suspect
            } else {
                Availability::Available
            }
        }
    };
    for _ in 0..50 {
        let (ticket, decision) = router.route_request(
            read_request("alpenergia"),
            &map,
            with_suspects(&["a0", "a1"]),
            ms(0),
        );
        assert_eq!(decision, RouteDecision::Forward("a2".into()));
        router.finish_attempt(
            ticket,
            AttemptOutcome::Served,
            None,
            &map,
            with_suspects(&["a0", "a1"]),
            ms(0),
        );
    }
    let (_, decision) = router.route_request(
        read_request("alpenergia"),
        &map,
        with_suspects(&["a0", "a1", "a2"]),
        ms(0),
    );
    assert!(
        matches!(decision, RouteDecision::Forward(_)),
        "{decision:?}"
    );
    let (_, decision) = router.route_request(
        read_request("alpenergia"),
        &map,
        |_: &str| Availability::Unavailable,
        ms(0),
    );
    assert!(matches!(decision, RouteDecision::Reject(_)), "{decision:?}");
}

#[test]
fn good_health_check_expires_and_a_bad_one_revokes_it() {
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
