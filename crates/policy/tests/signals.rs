//! Health, capacity hints, retry-after and idle connections as callers see them.

mod common;

use common::*;
use policy::*;

#[test]
fn signals_that_the_site_does_not_support_are_never_sent() {
    let mut set = settings();
    (set.capacity_hint, set.preemption) = (CapacityHint::Off, Preemption::Unsupported);
    let mut s = Server::new(set);
    let mut out = s.read_requests(1..9, 0);
    for k in 0..400 {
        out.extend(s.handle_at(1000.0 + 20.0 * f64::from(k), &[Event::Wake(Gauges::default())]));
    }
    assert_eq!(failed(&out).len() + rejected(&out).len(), 8);
    assert!(!out
        .iter()
        .any(|a| matches!(a, Action::SetCapacityHint(_) | Action::Stop(_) | Action::SkipCall(_))));
}

#[test]
fn a_long_read_delay_makes_a_server_unhealthy_for_one_period() {
    let mut s = Server::new(settings());
    assert_eq!(health_changes(&serve_stream(&mut s, 1..60, 5.0, false)), [true]);
    // Requests are read after 1.5 s, with an objective of 2 s: the server is unhealthy for 2 s, and
    // then healthy for longer than that.
    assert_eq!(health_changes(&serve_stream(&mut s, 100..140, 1500.0, false)), [false]);
    assert_eq!(health_changes(&serve_stream(&mut s, 140..240, 1500.0, false)), [true]);
}

#[test]
fn while_other_servers_reject_too_callers_are_asked_to_give_up_and_health_stays() {
    let mut s = Server::new(settings());
    let mut out = serve_stream(&mut s, 1..60, 5.0, true);
    out.extend(serve_stream(&mut s, 300..360, 1500.0, true));
    let burst = |is_retry| -> Vec<Event> {
        (400..700).map(|id| Event::RequestRead(Request { is_retry, ..request(id, 0) })).collect()
    };
    out.extend(s.handle_at(s.now, &burst(true)));
    assert_eq!(health_changes(&out), [true]);
    assert!(out.iter().any(|a| matches!(a, Action::Reject { give_up: true, .. })));
    let mut server_without_retries = Server::new(settings());
    let out = server_without_retries.handle_at(1000.0, &burst(false));
    assert!(out.iter().any(|a| matches!(a, Action::Reject { .. })));
    assert!(!out.iter().any(|a| matches!(a, Action::Reject { give_up: true, .. })));
}

#[test]
fn runs_that_exceed_their_objectives_make_a_server_unhealthy_until_they_end() {
    let mut s = Server::new(settings());
    serve_stream(&mut s, 1..60, 5.0, false);
    s.handle_at(s.now, &[Event::RequestRead(request(100, 0)), Event::RequestRead(request(101, 0))]);
    // No run ends for seconds: the server is unhealthy.
    let out: Vec<Action> =
        (1..100).flat_map(|_| s.handle_at(s.now + 100.0, &[Event::Wake(Gauges::default())])).collect();
    assert_eq!(health_changes(&out), [false]);
    // The runs end; once their core time has decayed the server is healthy again.
    let ends = [100, 101].map(|id| Event::RunEnded(RequestId(id), RunOutcome::Served));
    let mut out = s.handle_at(s.now + 1.0, &ends);
    out.extend((1..80).flat_map(|_| s.handle_at(s.now + 100.0, &[Event::Wake(Gauges::default())])));
    assert_eq!(health_changes(&out), [true]);
}

#[test]
fn idle_connections_are_closed_early_only_if_there_are_many_callers() {
    let idle = |callers| {
        let mut set = settings();
        set.callers = callers;
        let mut s = Server::new(set);
        let mut last = None;
        for id in 1..200 {
            let out = s.handle_at(1000.0 + 50.0 * id as f64, &[Event::RequestRead(request(id, 0))]);
            last = out
                .iter()
                .rev()
                .find_map(|a| if let Action::CloseIdleConnections(t) = a { Some(*t) } else { None })
                .or(last);
        }
        last.expect("the idle time is set at the start").ms()
    };
    // The server can sustain ten requests: up to twice as many callers keep their connections.
    assert_eq!((idle(20), idle(21), idle(1000)), (30_000.0, 10.0, 10.0));
}

#[test]
fn a_cold_server_is_unhealthy_for_its_read_delay_repeatedly_others_a_fifth_of_the_time() {
    let unhealthy_periods = |is_cold: bool, is_retry: bool| {
        let mut set = settings();
        (set.starts_cold, set.warm_up) = (is_cold, Span::from_ms(60_000.0));
        let mut s = Server::new(set);
        let mut off = 0;
        let mut since = f64::MIN;
        for id in 1..400_u64 {
            // While the server is unhealthy callers avoid it, so its read delay is short for 2.5 s.
            let age = if s.now + 100.0 - since > 2500.0 { 1200.0 } else { 1.0 };
            let read = Event::RequestRead(Request { age: Span::from_ms(age), is_retry, ..request(id, 0) });
            let out = s.handle_at(s.now + 100.0, &[read]);
            let ends: Vec<Event> =
                started(&out).iter().map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served)).collect();
            s.handle_at(s.now + 40.0, &ends);
            if health_changes(&out).contains(&false) {
                (off, since) = (off + 1, s.now);
            }
        }
        off
    };
    assert!(
        unhealthy_periods(true, false) > unhealthy_periods(false, false) + 3,
        "{} {}",
        unhealthy_periods(true, false),
        unhealthy_periods(false, false)
    );
    assert!(unhealthy_periods(false, false) >= 1);
    // If most requests are retries the whole fleet is overloaded, and a slow server stays healthy
    // except at first.
    assert!(unhealthy_periods(true, true) <= 2, "{}", unhealthy_periods(true, true));
}

#[test]
fn callers_are_asked_to_wait_while_runs_exceed_the_objective_although_the_queue_is_empty() {
    let retry_after_ms = |s: &mut Server, id| {
        s.handle_at(s.now + 1.0, &[Event::RequestRead(request(id, 0))]).iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(retry_after.ms()),
            _ => None,
        })
    };
    // A healthy server rejects a request that is too long for its objective without asking the
    // caller to wait.
    let mut s = Server::new(settings());
    serve_stream(&mut s, 1..60, 5.0, false);
    let long = Request { work_hint: Some(Span::from_ms(9000.0)), ..request(90, 0) };
    let out = s.handle_at(s.now + 1.0, &[Event::RequestRead(long)]);
    assert!(out.iter().any(|a| matches!(a, Action::Reject { retry_after: Span(0), .. })), "{out:?}");
    let mut s = Server::new(settings());
    serve_stream(&mut s, 1..60, 5.0, false);
    // In a hang two requests run and neither ends. New requests are rejected at once, and the
    // callers are asked to wait.
    s.handle_at(s.now + 1.0, &[Event::RequestRead(request(100, 0)), Event::RequestRead(request(101, 0))]);
    s.now += 5000.0;
    assert_eq!(retry_after_ms(&mut s, 102), Some(1000.0));
}

fn last_capacity_hint(actions: &[Action]) -> Option<f64> {
    actions.iter().rev().find_map(|a| if let Action::SetCapacityHint(v) = a { Some(*v) } else { None })
}

#[test]
fn the_priority_floor_rises_with_rejections_up_to_the_classes_below_the_mean_and_falls_again() {
    for (weights, highest) in [([1.0, 3.0, 3.0], 1.0 / 3.0), ([1.0, 1.0, 1.0], 0.0)] {
        let mut set = Settings { capacity_hint: CapacityHint::PriorityFloor, memory_kb: 300.0, ..settings() };
        set.classes.iter_mut().zip(weights).for_each(|(c, w)| c.priority_weight = w);
        let mut s = Server::new(set);
        let mut last = 0.0;
        let mut running: Vec<u64> = Vec::new();
        let mut load = |s: &mut Server, steps: u64, each: u64, first: u64| {
            for k in 0..steps {
                let end = |id: &u64| Event::RunEnded(RequestId(*id), RunOutcome::Served);
                let mut events: Vec<Event> = running.iter().map(end).collect();
                let ids = first + k * each..first + (k + 1) * each;
                events.extend(ids.map(|id| Event::RequestRead(request(id, 0))));
                let out = s.handle_at(s.now + 100.0, &events);
                running = started(&out);
                last = last_capacity_hint(&out).unwrap_or(last);
            }
            last
        };
        assert_eq!(load(&mut s, 20, 1, 1), 0.0);
        let high = load(&mut s, 200, 12, 1000);
        assert!((high - highest).abs() < 0.04, "{high} of {highest}");
        assert!(load(&mut s, 300, 1, 10_000) < 0.02);
    }
}

#[test]
fn the_capacity_hint_keeps_callers_away_if_endpoint_lists_do_not_follow_health() {
    for (capacity_hint, hint_without_capacity) in
        [(CapacityHint::PriorityFloor, 1.0), (CapacityHint::Weight, 0.0), (CapacityHint::Allowance, 0.0)]
    {
        for endpoint_lists_follow_health in [false, true] {
            let mut s = Server::new(Settings { capacity_hint, endpoint_lists_follow_health, ..settings() });
            serve_stream(&mut s, 1..60, 5.0, false);
            let congested = serve_stream(&mut s, 100..140, 1500.0, false);
            assert_eq!(health_changes(&congested), [false]);
            let keeps_away = congested.contains(&Action::SetCapacityHint(hint_without_capacity));
            assert_eq!(keeps_away, !endpoint_lists_follow_health, "{capacity_hint:?}");
            let mut s = Server::new(Settings { capacity_hint, endpoint_lists_follow_health, ..settings() });
            assert_ne!(last_capacity_hint(&s.handle_at(1000.0, &[])), Some(hint_without_capacity));
            assert_eq!(
                last_capacity_hint(&s.handle_at(1010.0, &[Event::ShutdownNotice(Span::from_ms(2500.0))])),
                Some(hint_without_capacity)
            );
        }
    }
}
