//! Admission: which requests are admitted, rejected, joined to a run or abandoned.

mod common;

use common::*;
use policy::*;

#[test]
fn every_request_is_answered_by_its_deadline() {
    let mut s = Server::new(settings());
    let mut answered = s.read_requests(1..9, 2);
    let mut now = s.now;
    while now < 1000.0 + 6000.0 + 60.0 - 4.0 {
        now += 20.0;
        answered.extend(s.handle_at(now, &[Event::Wake(Gauges::default())]));
    }
    let mut ids = [failed(&answered), rejected(&answered)].concat();
    ids.sort_unstable();
    assert_eq!(ids, (1..9).collect::<Vec<_>>());
    // Requests that ran are failed, not rejected: they may have taken effect.
    assert!(started(&answered).iter().all(|id| failed(&answered).contains(id)));
}

#[test]
fn a_tenant_over_its_limit_is_rejected_only_while_requests_wait_too_long() {
    let mut set = settings();
    set.memory_kb = 1e6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(90_000.0);
    let old = Span::from_ms(16_000.0);
    let read = |id, tenant, age| {
        Event::RequestRead(Request { tenant: Some(TenantId(tenant)), age, ..request(id, 0) })
    };
    let mut s = Server::new(set);
    // The limit is 5 for each of 2 cores. No request has waited too long yet, so the eleventh is
    // admitted.
    let first: Vec<Event> = (1..13).map(|id| read(id, 0, old)).collect();
    assert!(rejected(&s.handle_at(1000.0, &first)).is_empty());
    // The queued requests have waited for more than a quarter of their objective, so the limit now
    // applies, to that tenant alone.
    let out = rejected(&s.handle_at(1001.0, &[read(13, 0, Span(0)), read(14, 1, Span(0))]));
    assert_eq!(out, [13]);
}

/// A tenant with few requests here and many elsewhere is rejected beyond the part of all servers'
/// limits that its allowance gives it. It is not rejected once the other servers' counts are no
/// longer known, and no other tenant is rejected.
#[test]
fn a_tenant_over_its_fleet_limit_is_rejected_while_the_other_servers_counts_are_known() {
    let mut set = settings();
    set.memory_kb = 1e6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(90_000.0);
    set.tenants[1].allowance_per_s = 24.0;
    let read = |id, tenant, age| {
        let age = Span::from_ms(age);
        Event::RequestRead(Request { tenant: Some(TenantId(tenant)), age, ..request(id, 0) })
    };
    let mut s = Server::new(set);
    // The limit of one server is ten. Tenant 0 has a quarter of the allowances: 20 on eight
    // servers.
    let others = Event::FleetLoad { servers: 8.0, in_flight_elsewhere: vec![16.0, 40.0] };
    let first = [others, read(1, 0, 16_000.0), read(2, 0, 16_000.0), read(3, 0, 16_000.0)];
    assert!(rejected(&s.handle_at(1000.0, &first)).is_empty());
    let out = s.handle_at(1001.0, &[read(4, 0, 0.0), read(5, 0, 0.0), read(6, 1, 0.0)]);
    assert_eq!(
        (rejected(&out), s.policy.fleet_limit_rejections),
        (vec![5], 1),
        "16 elsewhere and 4 here are its limit"
    );
    let out = s.handle_at(
        1002.0,
        &[Event::FleetLoad { servers: 0.0, in_flight_elsewhere: vec![] }, read(7, 0, 0.0), read(8, 0, 0.0)],
    );
    assert!(rejected(&out).is_empty(), "by this server's counts it is under the limit: {out:?}");
}

#[test]
fn a_key_is_remembered_before_the_run_and_a_duplicate_joins_it() {
    let mut s = Server::new(settings());
    let out = s.read_requests(1..2, 1);
    let kept = out.iter().position(|a| matches!(a, Action::RememberKey(RequestId(1), _)));
    let run = out.iter().position(|a| *a == Action::Run(RequestId(1)));
    assert!(kept.is_some() && kept < run, "{out:?}");
    let again = Request { duplicate_of: Some(RequestId(1)), ..request(2, 1) };
    let out = s.handle_at(1010.0, &[Event::RequestRead(again)]);
    assert!(
        out.contains(&Action::Join(RequestId(2))) && started(&out).is_empty() && rejected(&out).is_empty()
    );
}

/// Guards against the stop of a run for which another caller waits.
#[test]
fn a_run_is_stopped_once_neither_its_caller_nor_a_duplicate_waits() {
    for last in [RequestId(1), RequestId(2)] {
        let mut s = Server::new(settings());
        s.read_requests(1..2, 1);
        let again = Request { duplicate_of: Some(RequestId(1)), ..request(2, 1) };
        s.handle_at(1010.0, &[Event::RequestRead(again)]);
        let first = RequestId(3 - last.0);
        let out = s.handle_at(1020.0, &[Event::CallerStoppedWaiting(first)]);
        assert!(!out.contains(&Action::Stop(RequestId(1))), "{out:?}");
        let out = s.handle_at(1030.0, &[Event::CallerStoppedWaiting(last)]);
        assert!(out.contains(&Action::Stop(RequestId(1))), "{out:?}");
    }
}

#[test]
fn a_draining_server_answers_all_and_runs_nothing_that_arrives_after_the_grace() {
    let mut s = Server::new(settings());
    let mut out = s.read_requests(1..7, 0);
    out.extend(s.handle_at(1000.0, &[Event::ShutdownNotice(Span::from_ms(2500.0))]));
    assert!(out.contains(&Action::SetHealth(false)));
    let late = s.handle_at(2100.0, &[Event::RequestRead(request(9, 0))]);
    assert!(rejected(&late).contains(&9) && started(&late).is_empty());
    out.extend(late);
    let mut now = 2100.0;
    while now < 3490.0 {
        now += 20.0;
        out.extend(s.handle_at(now, &[Event::Wake(Gauges::default())]));
    }
    let mut ids = [failed(&out), rejected(&out)].concat();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3, 4, 5, 6, 9]);
}

/// Guards against rejecting every request while memory is short, as happened next to inherited
/// runs: the server had memory for one run, but not for one on each idle core.
#[test]
fn a_request_runs_although_memory_is_too_short_for_a_run_on_each_core() {
    // A run takes 40 kB, on two cores.
    let mut s = Server::new(Settings { memory_kb: 60.0, ..settings() });
    let out = s.read_requests(1..2, 0);
    assert_eq!((started(&out), rejected(&out)), (vec![1], vec![]));
}

#[test]
fn the_newest_queued_requests_are_rejected_while_memory_is_short() {
    let mut set = settings();
    set.memory_kb = 300.0;
    let mut s = Server::new(set);
    let out = s.read_requests(1..100, 0);
    // Two requests run at 40 kB each; under 270 kB there is memory for 19 queued ones.
    assert!(99 - rejected(&out).len() <= 21);
    assert!(!rejected(&out).contains(&started(&out)[0]));
}

#[test]
fn events_for_ended_requests_have_no_effect() {
    let mut s = Server::new(settings());
    s.read_requests(1..3, 0);
    s.handle_at(1010.0, &[Event::RunEnded(RequestId(1), RunOutcome::Served)]);
    let ended = RequestId(1);
    let events = [
        Event::RunEnded(ended, RunOutcome::NeverStarted),
        Event::CallRequested(ended),
        Event::CallEnded(ended, CallOutcome::Succeeded, Span(1)),
        Event::CallerStoppedWaiting(ended),
        Event::CallerStoppedWaiting(RequestId(999)),
    ];
    let out = s.handle_at(1020.0, &events);
    assert!(started(&out).is_empty() && failed(&out).is_empty() && called(&out).is_empty());
}

/// Returns a server whose calls took 20 ms each, and which then has had one call in flight for 1900
/// ms.
fn server_with_slow_dependency(dependency: Dependency) -> Server {
    let mut s = Server::new(Settings { dependency, call_quota: 1.0, ..settings() });
    let mut now = 1000.0;
    for id in 1..40 {
        s.handle_at(now, &[Event::RequestRead(request(id, 0))]);
        s.handle_at(now, &[Event::CallRequested(RequestId(id))]);
        now += 20.0;
        s.handle_at(now, &[Event::CallEnded(RequestId(id), CallOutcome::Succeeded, Span::from_ms(20.0))]);
        s.handle_at(now, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    s.handle_at(now, &[Event::RequestRead(request(100, 0))]);
    s.handle_at(now, &[Event::CallRequested(RequestId(100))]);
    s.now = now + 1900.0;
    s
}

#[test]
fn callers_are_asked_to_give_up_while_the_shared_dependency_is_slow() {
    for (dependency, gives_up) in [(Dependency::Shared, true), (Dependency::Tier, false)] {
        let mut s = server_with_slow_dependency(dependency);
        let mut out = s.read_requests(200..600, 0);
        out.retain(|a| matches!(a, Action::Reject { .. }));
        assert!(!out.is_empty());
        assert!(
            out.iter().all(|a| matches!(a, Action::Reject { give_up, .. } if *give_up == gives_up)),
            "{out:?}"
        );
    }
}

#[test]
fn retries_that_are_not_marked_are_recognised_by_an_uncommon_wait() {
    for (has_retries, gives_up) in [(false, false), (true, true)] {
        let mut set = settings();
        set.memory_kb = 50.0;
        let mut s = Server::new(set);
        let mut out = Vec::new();
        for id in 1..200_u64 {
            // First attempts announce one of two waits; one request in three may be a retry that
            // announces the rest of one.
            let wait = if id % 3 == 0 && has_retries {
                900 + (id as i64 * 211) % 1400
            } else {
                [4000, 2500][id as usize % 2]
            };
            let read = Request { remaining_wait: Some(Span(wait * 1000)), ..request(id, 0) };
            out = s.handle_at(1000.0 + 50.0 * id as f64, &[Event::RequestRead(read)]);
        }
        let is_give_up = |a: &Action| matches!(a, Action::Reject { give_up: true, .. });
        assert_eq!(out.iter().any(is_give_up), gives_up, "{out:?}");
    }
}

#[test]
fn a_retry_has_only_the_rest_of_the_first_attempts_objective() {
    let waiting = |id, ms: f64, is_retry| {
        Event::RequestRead(Request { remaining_wait: Some(Span::from_ms(ms)), is_retry, ..request(id, 0) })
    };
    // Callers announce a wait of four seconds with a first attempt, so a request with half of that
    // left is two seconds old, whether it is marked as a retry or not.
    for is_retry in [false, true] {
        let mut s = Server::new(settings());
        for id in 1..60 {
            s.handle_at(s.now + 100.0, &[waiting(id, 4000.0, false)]);
            s.handle_at(s.now + 100.0, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
        }
        assert_eq!(started(&s.handle_at(s.now + 10.0, &[waiting(100, 3900.0, is_retry)])), [100]);
        assert_eq!(rejected(&s.handle_at(s.now + 10.0, &[waiting(101, 2050.0, is_retry)])), [101]);
        // A request that announces the wait of a first attempt counts as one.
        assert_eq!(started(&s.handle_at(s.now + 10.0, &[waiting(102, 4000.0, is_retry)])), [102]);
    }
}

#[test]
fn requests_without_late_weight_are_answered_at_their_objective_and_stopped_if_possible() {
    // In each case one request runs, one is in its call, and one waits to call.
    for (class, preemption) in [
        (0, Preemption::DiscardsWork),
        (1, Preemption::DiscardsWork),
        (2, Preemption::KeepsWork),
        (0, Preemption::Unsupported),
    ] {
        let mut set = Settings { preemption, cores: 4, call_quota: 1.0, ..settings() };
        set.classes.iter_mut().for_each(|c| c.deadline = Span::from_ms(9000.0));
        let mut s = Server::new(set);
        assert_eq!(started(&s.read_requests(1..4, class)), [1, 2, 3]);
        s.handle_at(1100.0, &[Event::CallRequested(RequestId(2))]);
        assert!(called(&s.handle_at(1110.0, &[Event::CallRequested(RequestId(3))])).is_empty());
        let mut out = Vec::new();
        while s.now < 3060.0 {
            out.extend(s.handle_at(s.now + 20.0, &[Event::Wake(Gauges::default())]));
        }
        // The objective is two seconds: the requests are answered shortly after it, although the
        // deadline is nine seconds.
        let answers = [failed(&out), rejected(&out)].concat();
        if preemption == Preemption::Unsupported {
            assert_eq!(answers, [2, 3], "{out:?}");
            continue;
        }
        assert_eq!(answers, [1, 2, 3], "{out:?}");
        assert!(out.contains(&Action::Stop(RequestId(1))));
        // Only requests that may run again are rejected, and they must not be retried elsewhere.
        let gives_up = |a: &Action| matches!(a, Action::Reject { give_up: true, .. });
        assert_eq!(out.iter().filter(|a| gives_up(a)).count(), if class == 0 { 3 } else { 0 });
        assert_eq!(rejected(&out).is_empty(), class != 0);
    }
}

#[test]
fn a_marked_retry_is_assumed_to_be_as_old_as_rejected_requests() {
    // No waits are announced. Requests wait long to be read and are rejected; a retry is assumed to
    // have waited as long.
    let mut s = Server::new(settings());
    let old = |id, age, is_retry| {
        Event::RequestRead(Request { age: Span::from_ms(age), is_retry, ..request(id, 0) })
    };
    assert_eq!(started(&s.handle_at(1000.0, &[old(1, 0.0, true), old(2, 0.0, false)])), [1, 2]);
    let ends = [1, 2].map(|id| Event::RunEnded(RequestId(id), RunOutcome::Served));
    s.handle_at(1100.0, &ends);
    for k in 10..60 {
        assert_eq!(rejected(&s.handle_at(s.now + 10.0, &[old(k, 1990.0, false)])), [k]);
    }
    // The read delay has ended since then; first attempts are served.
    s.now += 8000.0;
    assert_eq!(started(&s.handle_at(s.now, &[old(100, 0.0, false)])), [100]);
    assert_eq!(rejected(&s.handle_at(s.now, &[old(101, 0.0, true)])), [101]);
}

#[test]
fn a_run_abandoned_at_its_objective_asks_no_caller_to_wait() {
    let mut s = Server::new(settings());
    serve_stream(&mut s, 1..60, 100.0, false);
    s.handle_at(s.now + 10.0, &[Event::RequestRead(request(100, 0))]);
    let mut out = Vec::new();
    for id in 200..230 {
        // One run is long; the others end in the usual time.
        out.extend(s.handle_at(s.now + 40.0, &[Event::RequestRead(request(id, 0))]));
        out.extend(s.handle_at(s.now + 40.0, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]));
    }
    let long = out.iter().find(|a| matches!(a, Action::Reject { id: RequestId(100), .. }));
    assert_eq!(long, Some(&Action::Reject { id: RequestId(100), retry_after: Span(0), give_up: true }));
}

#[test]
fn duplicates_that_joined_a_run_do_not_fill_the_memory() {
    let mut s = Server::new(Settings { memory_kb: 300.0, ..settings() });
    let mut out = s.read_requests(1..2, 1);
    let again = |id| Event::RequestRead(Request { duplicate_of: Some(RequestId(1)), ..request(id, 1) });
    out.extend(s.handle_at(1010.0, &(2..60).map(again).collect::<Vec<_>>()));
    // Of nine tenths of 300 kB the run takes 40 and its key 5: at most 22 wait, and none is
    // rejected.
    assert!(failed(&out).len() >= 36 && rejected(&out).is_empty(), "{}", failed(&out).len());
}
