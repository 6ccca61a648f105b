//! Which queued requests run, in which order, and how many at once.

mod common;

use common::*;
use policy::*;

#[test]
fn runs_one_request_per_core_and_queues_the_rest() {
    let mut s = Server::new(settings());
    assert_eq!(started(&s.read_requests(1..6, 0)).len(), 2);
    let next = s.handle_at(1100.0, &[Event::RunEnded(RequestId(1), RunOutcome::Served)]);
    assert_eq!(started(&next).len(), 1);
}

#[test]
fn tenants_within_their_share_run_before_one_far_beyond_it() {
    let mut s = Server::new(settings());
    let mut events: Vec<Event> = Vec::new();
    for id in 1..20 {
        events.push(Event::RequestRead(Request { tenant: Some(TenantId(0)), ..request(id, 0) }));
    }
    events.push(Event::RequestRead(Request { tenant: Some(TenantId(1)), ..request(50, 0) }));
    let out = s.handle_at(1000.0, &events);
    assert!(started(&out).contains(&50), "{out:?}");
}

#[test]
fn a_cold_server_allows_less_concurrency_than_a_warm_one() {
    let concurrency = |is_cold: bool| {
        let mut set = settings();
        (set.starts_cold, set.memory_kb, set.dependency) = (is_cold, 1e6, Dependency::Tier);
        let mut s = Server::new(set);
        let mut out = s.read_requests(1..60, 0);
        let mut at = 0;
        while at < started(&out).len() {
            let more = s.handle_at(1000.0, &[Event::CallRequested(RequestId(started(&out)[at]))]);
            out.extend(more);
            at += 1;
        }
        called(&out).len()
    };
    // 0.9 x 2 cores x (1 + 4 x 0.2) and x (1 + 4): the number that may be on the cores if all calls
    // end at once.
    assert_eq!((concurrency(true), concurrency(false)), (3, 9));
}

#[test]
fn in_a_hang_new_requests_are_rejected_at_once() {
    let mut s = Server::new(settings());
    let mut now = 1000.0;
    for id in 1..40 {
        s.handle_at(now, &[Event::RequestRead(request(id, 0))]);
        now += 100.0;
        s.handle_at(now, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    s.handle_at(now, &[Event::RequestRead(request(100, 0)), Event::RequestRead(request(101, 0))]);
    now += 4000.0;
    // A new request that would have had ample time is rejected at once, so that another server can
    // run it.
    let out = s.handle_at(now, &[Event::RequestRead(request(102, 0))]);
    assert!(rejected(&out).contains(&102) && started(&out).is_empty());
}

/// Returns a server on whose two cores runs have been stuck for 8 s.
fn hung_server() -> Server {
    let mut s = Server::new(settings());
    assert_eq!(started(&s.read_requests(1..3, 0)), [1, 2]);
    while s.now < 9000.0 {
        s.handle_at(s.now + 20.0, &[Event::Wake(Gauges::default())]);
    }
    s
}

fn ends_of_hung_runs() -> [Event; 2] {
    [1, 2].map(|id| Event::RunEnded(RequestId(id), RunOutcome::Stopped))
}

/// Guards against a node that rejects every request for seconds after a hang, although its cores
/// are idle again.
///
/// Runs that hang for longer than the window of core time are abandoned and stopped, so much core
/// time has been spent and no work done. Every request is then expected to miss its objective and
/// none is run, so nothing shows that the cores have recovered before that time has decayed. Found
/// by the fault soak: 4.6 s without a served request at 0.3 of the capacity (seed 1, in eight of
/// eight soak runs).
#[test]
fn idle_server_runs_a_request_after_a_hang() {
    let mut s = hung_server();
    let read = |id| Event::RequestRead(request(id, 0));
    // Nothing is started next to runs that are still on the cores.
    assert!(started(&s.handle_at(9010.0, &[read(3)])).is_empty());
    s.handle_at(9020.0, &ends_of_hung_runs());
    // A single run shows the current speed of the cores; a second request does not run before that
    // is known.
    let out = s.handle_at(9030.0, &[read(4), read(5)]);
    assert_eq!((started(&out), rejected(&out)), (vec![4], vec![5]));
    let out = s.handle_at(9040.0, &[Event::RunEnded(RequestId(4), RunOutcome::Served), read(6)]);
    assert_eq!(started(&out), [6]);
}

/// Guards against the same fault with runs that may be inherited from an earlier process: while no
/// run is started, nothing shows whether they still exist, and the doubt does not end. Found by the
/// fault soak: half of the requests served six seconds after a hang (seed 55, in five of five soak
/// runs).
#[test]
fn idle_server_runs_a_request_after_a_hang_next_to_inherited_runs() {
    let mut s = hung_server();
    s.handle_at(9020.0, &ends_of_hung_runs());
    let out = s.handle_at(9030.0, &[Event::RunsInherited(0.7), Event::RequestRead(request(4, 0))]);
    assert_eq!(started(&out), [4]);
}

/// Guards against releasing the slots of all inherited runs at once on a small machine, where only
/// the gauges showed whether such runs still existed: idle cores released all slots, in a hang as
/// well. Found by the fault soak: 1.06 times the sustainable number of runs (seed 95, in eight of
/// eight soak runs).
#[test]
fn inherited_runs_keep_their_slots_although_the_gauges_show_idle_cores() {
    let mut s = Server::new(settings_of_small_machine());
    let idle = Event::Wake(Gauges { runnable: Some(0.0), ..Gauges::default() });
    let mut next_id = 1;
    let mut runs_until = |s: &mut Server, end: f64| {
        let mut out = Vec::new();
        while s.now < end {
            let read = Event::RequestRead(request(next_id, 0));
            out.extend(s.handle_at(s.now + 20.0, &[idle.clone(), read]));
            next_id += 1;
        }
        started(&out)
    };
    s.handle_at(1000.0, &[Event::RunsInherited(5.0)]);
    // Five inherited runs and one more exceed the sustainable concurrency. Nothing else shows
    // whether the five still exist, so one run is started as a probe after twice the concurrency
    // window.
    assert!(runs_until(&mut s, 4900.0).is_empty());
    let probe_runs = runs_until(&mut s, 9000.0);
    assert_eq!(probe_runs.len(), 1);
    // Once the probe run has ended, the next run does not have to wait that long again.
    let end = Event::RunEnded(RequestId(probe_runs[0]), RunOutcome::Served);
    s.handle_at(9010.0, &[end]);
    assert_eq!(runs_until(&mut s, 9100.0).len(), 1);
    // If the server can sustain one more run, it is started at once, and no other next to it.
    let mut s = Server::new(settings_of_small_machine());
    s.handle_at(1000.0, &[Event::RunsInherited(4.0)]);
    assert_eq!(runs_until(&mut s, 4900.0).len(), 1);
}

fn settings_of_small_machine() -> Settings {
    Settings { cores: 1, concurrency_per_core: 5.8, dependency: Dependency::Tier, ..settings() }
}

#[test]
fn half_the_cores_are_reserved_for_reading_while_it_is_behind() {
    let mut s = Server::new(settings());
    let aged = |id, ms| Event::RequestRead(Request { age: Span::from_ms(ms), ..request(id, 0) });
    assert_eq!(started(&s.handle_at(1000.0, &[aged(1, 1.0), aged(2, 1.0)])).len(), 2);
    let old: Vec<Event> = (10..30).map(|id| aged(id, 700.0)).collect();
    assert!(started(&s.handle_at(1010.0, &old)).is_empty());
    let end = |id| Event::RunEnded(RequestId(id), RunOutcome::Served);
    assert!(started(&s.handle_at(1100.0, &[end(1)])).is_empty());
    assert_eq!(started(&s.handle_at(1110.0, &[end(2)])).len(), 1);
}

#[test]
fn a_long_request_is_rejected_to_protect_others_only_while_all_cores_are_busy() {
    // Runs take 60 or 340 ms, so a request that would have to wait needs a wide margin, if
    // rejecting it protects others.
    let last = |busy: bool| {
        let mut s = Server::new(settings());
        for k in 0..40 {
            let ids = if busy { vec![10 + 2 * k, 11 + 2 * k] } else { vec![10 + 2 * k] };
            s.handle_at(
                s.now + 10.0,
                &ids.iter().map(|id| Event::RequestRead(request(*id, 0))).collect::<Vec<_>>(),
            );
            let ends: Vec<Event> =
                ids.iter().map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served)).collect();
            s.handle_at(s.now + if k % 2 == 0 { 60.0 } else { 340.0 }, &ends);
        }
        let long =
            |id| Event::RequestRead(Request { work_hint: Some(Span::from_ms(600.0)), ..request(id, 0) });
        rejected(&s.handle_at(s.now + 10.0, &[long(1), long(2), long(3)]))
    };
    assert_eq!((last(false).len(), last(true).len()), (0, 1));
}

#[test]
fn inaccurate_hints_do_not_inflate_the_work_estimate() {
    // Every run takes 300 ms, regardless of its hint.
    let hint = |id, ms| Event::RequestRead(Request { work_hint: Some(Span::from_ms(ms)), ..request(id, 0) });
    let mut s = Server::new(settings());
    for id in 1..60 {
        s.handle_at(s.now + 10.0, &[hint(id, if id % 2 == 0 { 50.0 } else { 1000.0 })]);
        s.handle_at(s.now + 300.0, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    // By the mean of the ratios, the long request would take over three seconds, which is past the
    // objective of two.
    let out = s.handle_at(s.now + 10.0, &[hint(100, 1000.0), hint(101, 1000.0), hint(102, 50.0)]);
    assert!(rejected(&out).is_empty(), "{out:?}");
    // Accurate hints are followed: a request whose hint exceeds the objective is rejected.
    let mut s = Server::new(settings());
    for id in 1..60 {
        let ms = if id % 2 == 0 { 50.0 } else { 1000.0 };
        s.handle_at(s.now + 10.0, &[hint(id, ms)]);
        s.handle_at(s.now + ms, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    assert_eq!(rejected(&s.handle_at(s.now + 10.0, &[hint(100, 1000.0), hint(101, 3000.0)])), [101]);
}

#[test]
fn requests_of_high_weight_run_first_even_beyond_their_tenants_share() {
    // Class 1 has ten times the weight; one tenant sends all of it, far beyond its share.
    let mut set = settings();
    set.classes[1] = Class { priority_weight: 10.0, ..class(Idempotency::Idempotent) };
    set.tenants[0].allowance_per_s = 1.0;
    let mut s = Server::new(set);
    let read = |id, class, tenant| {
        Event::RequestRead(Request { tenant: Some(TenantId(tenant)), ..request(id, class) })
    };
    for k in 0..40 {
        let ids = [10 + 2 * k, 11 + 2 * k];
        s.handle_at(s.now + 10.0, &[read(ids[0], usize::from(k % 4 == 0), 0), read(ids[1], 0, 1)]);
        let ends: Vec<Event> =
            ids.iter().map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served)).collect();
        s.handle_at(s.now + if k % 2 == 0 { 200.0 } else { 1200.0 }, &ends);
    }
    // Two requests run; the one of high weight runs before another that arrived earlier.
    let mut out = s.handle_at(s.now + 10.0, &[read(1, 0, 1), read(2, 0, 1)]);
    out.extend(s.handle_at(s.now + 1.0, &[read(3, 0, 1), read(4, 1, 0)]));
    assert_eq!(started(&out), [1, 2]);
    let out = s.handle_at(s.now + 300.0, &[Event::RunEnded(RequestId(1), RunOutcome::Served)]);
    assert_eq!(started(&out), [4]);
}

#[test]
fn retries_do_not_count_against_a_tenants_share() {
    // Tenant 0 sends two requests per second of the three in its share; other servers reject each,
    // so that it is retried here four times.
    let mut set = settings();
    set.tenants[0].allowance_per_s = 12.0;
    let mut s = Server::new(set);
    for k in 0..60_u64 {
        let ids: Vec<u64> = (0..5).map(|n| 10 + 5 * k + n).collect();
        let read = |id: &u64| Request {
            tenant: Some(TenantId(0)),
            is_retry: !id.is_multiple_of(5),
            ..request(*id, 0)
        };
        s.handle_at(s.now + 490.0, &ids.iter().map(|id| Event::RequestRead(read(id))).collect::<Vec<_>>());
        let ends: Vec<Event> =
            ids.iter().map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served)).collect();
        s.handle_at(s.now + 10.0, &ends);
    }
    // Tenant 0 has no lower rank: requests of both tenants run in order of arrival.
    let read = |id, tenant| Event::RequestRead(Request { tenant: Some(TenantId(tenant)), ..request(id, 0) });
    assert_eq!(
        started(&s.handle_at(s.now + 10.0, &[read(1, 0), read(2, 0), read(3, 1), read(4, 1)])),
        [1, 2]
    );
}

#[test]
fn a_cold_server_never_exceeds_the_concurrency_that_it_can_sustain() {
    // 2 cores at a fifth of the speed can sustain 2 x (1 + 4 x 0.2) = 3.6; four would be one too
    // many.
    let mut set = settings();
    (set.starts_cold, set.warm_up, set.dependency) = (true, Span::from_ms(1e7), Dependency::Tier);
    let mut s = Server::new(set);
    let mut out = s.read_requests(1..40, 0);
    for k in 0..60 {
        // Requests leave the cores for calls, so that others may run meanwhile; cores look idle.
        let on = started(&out);
        if let Some(id) = on.get(k) {
            out.extend(s.handle_at(s.now + 1.0, &[Event::CallRequested(RequestId(*id))]));
        }
        out.extend(
            s.handle_at(s.now + 1.0, &[Event::Wake(Gauges { runnable: Some(0.0), ..Gauges::default() })]),
        );
    }
    assert_eq!(started(&out).len().min(called(&out).len()), 3);
}
