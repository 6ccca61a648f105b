//! Calls to the dependency: how many are made, for which requests, and their timeouts.

mod common;

use common::*;
use policy::*;

#[test]
fn a_call_that_may_have_taken_effect_is_never_retried() {
    for (end, again) in [(CallOutcome::Failed, false), (CallOutcome::NotExecuted, true)] {
        let mut s = Server::new(settings());
        s.read_requests(1..2, 2);
        assert_eq!(called(&s.handle_at(1010.0, &[Event::CallRequested(RequestId(1))])), [1]);
        let mut out = s.handle_at(1020.0, &[Event::CallEnded(RequestId(1), end, Span::from_ms(10.0))]);
        out.extend(s.handle_at(1500.0, &[Event::Wake(Gauges::default())]));
        assert_eq!(!called(&out).is_empty(), again);
        assert_eq!(!failed(&out).is_empty(), !again);
        assert!(started(&out).is_empty());
    }
}

/// Guards against a duplicate that fails although the run it has joined could serve it: after the
/// first caller had stopped waiting, the run got no call, or one that timed out at once.
#[test]
fn a_run_gets_its_call_as_long_as_a_duplicate_waits_for_it() {
    let (original, duplicate) = (RequestId(1), RequestId(2));
    for duplicate_waits in [true, false] {
        let mut s = Server::new(settings());
        assert_eq!(started(&s.read_requests(1..2, 1)), [1]);
        let again = Request { duplicate_of: Some(original), ..request(2, 1) };
        s.handle_at(5000.0, &[Event::RequestRead(again)]);
        if !duplicate_waits {
            s.handle_at(5010.0, &[Event::CallerStoppedWaiting(duplicate)]);
        }
        // The original's deadline ends at 7000 ms, the duplicate's at 11 000.
        s.handle_at(6990.0, &[Event::CallerStoppedWaiting(original)]);
        let out = s.handle_at(7100.0, &[Event::CallRequested(original)]);
        let timeout_ms =
            out.iter().find_map(|a| if let Action::Call(_, span) = a { Some(span.ms()) } else { None });
        assert_eq!(timeout_ms.is_some(), duplicate_waits, "{out:?}");
        assert!(timeout_ms.is_none_or(|ms| ms > 1000.0), "{out:?}");
    }
}

#[test]
fn a_call_that_may_have_taken_effect_is_not_retried_for_a_duplicate() {
    let original = RequestId(1);
    let mut s = Server::new(settings());
    s.read_requests(1..2, 1);
    assert_eq!(called(&s.handle_at(1010.0, &[Event::CallRequested(original)])), [1]);
    let read = |id| Event::RequestRead(Request { duplicate_of: Some(original), ..request(id, 1) });
    s.handle_at(1015.0, &[read(2)]);
    let lost = Event::CallEnded(original, CallOutcome::Failed, Span::from_ms(10.0));
    let mut out = s.handle_at(1020.0, &[lost]);
    out.extend(s.handle_at(1500.0, &[read(3)]));
    out.extend(s.handle_at(2000.0, &[Event::Wake(Gauges::default())]));
    assert!(called(&out).is_empty(), "{out:?}");
}

/// Guards against a call whose answer never arrives occupying its slot until its request's
/// deadline, and against its time making the dependency look slow.
#[test]
fn a_lost_call_times_out_early_and_does_not_count_as_slow() {
    let mut s = Server::new(settings());
    s.read_requests(1..3, 0);
    let limit = |out: &[Action]| {
        out.iter().find_map(|a| if let Action::Call(_, l) = a { Some(l.ms()) } else { None })
    };
    let (one, two) = (RequestId(1), RequestId(2));
    // No call durations are known yet: only the deadline bounds the first call.
    assert!(limit(&s.handle_at(1010.0, &[Event::CallRequested(one)])) > Some(5000.0));
    s.handle_at(1020.0, &[Event::CallEnded(one, CallOutcome::Succeeded, Span::from_ms(10.0))]);
    let least = limit(&s.handle_at(1030.0, &[Event::CallRequested(two)])).expect("a call");
    assert!((500.0..1000.0).contains(&least), "{least} ms");
    s.handle_at(1030.0 + least, &[Event::CallEnded(two, CallOutcome::Failed, Span::from_ms(least))]);
    // The call is retried with nearly the same timeout.
    let next = limit(&s.handle_at(1100.0 + 2.0 * least, &[Event::Wake(Gauges::default())])).expect("a call");
    assert!(next < 2.0 * least, "{next} ms after {least}");
}

#[test]
fn calls_in_flight_stay_under_the_quota() {
    let mut set = settings();
    set.cores = 8;
    let mut s = Server::new(set);
    let ran = started(&s.read_requests(1..9, 0));
    assert_eq!(ran.len(), 8);
    let events: Vec<Event> = ran.iter().map(|id| Event::CallRequested(RequestId(*id))).collect();
    // Nine tenths of a quota of 4 allow three calls at the same time, and a failed one lingers.
    assert_eq!(called(&s.handle_at(1010.0, &events)).len(), 3);
    let first = RequestId(ran[0]);
    let out = s.handle_at(1020.0, &[Event::CallEnded(first, CallOutcome::Failed, Span::from_ms(10.0))]);
    assert!(called(&out).is_empty());
    assert_eq!(called(&s.handle_at(1300.0, &[Event::Wake(Gauges::default())])).len(), 1);
}

/// An abandoned call keeps occupying its slot until it is known to have ended. It does not block a
/// retry of its own request, which ends it at the dependency, but the retry waits for the linger,
/// so that it does not run into the same fault at once: without the linger, the score of a day with
/// a slow dependency was lower by 0.006.
#[test]
fn unconfirmed_call_keeps_its_slot_from_other_requests_and_lingers_before_a_retry() {
    let mut set = settings();
    set.call_quota = 1.2;
    let mut s = Server::new(set);
    assert_eq!(started(&s.read_requests(1..3, 0)), [1, 2]);
    let call_requests = [1, 2].map(|id| Event::CallRequested(RequestId(id)));
    assert_eq!(called(&s.handle_at(1010.0, &call_requests)), [1]);
    let failed = Event::CallEnded(RequestId(1), CallOutcome::Failed, Span::from_ms(10.0));
    assert!(called(&s.handle_at(1020.0, &[failed, Event::UnconfirmedCalls(1)])).is_empty());
    // The backoff after the failed call, 125 ms, has ended, but the call lingers for 200 ms.
    let wake = [Event::Wake(Gauges::default())];
    assert!(called(&s.handle_at(1160.0, &wake)).is_empty());
    assert_eq!(called(&s.handle_at(1230.0, &wake)), [1]);
}

#[test]
fn a_quota_below_one_call_holds_in_the_mean() {
    let mut set = settings();
    set.call_quota = 0.6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(60_000.0);
    let mut s = Server::new(set);
    assert_eq!(started(&s.read_requests(1..3, 0)).len(), 2);
    assert_eq!(called(&s.handle_at(1000.0, &[Event::CallRequested(RequestId(1))])), [1]);
    // That call took six seconds: a quota of 0.6 over five seconds is exhausted for a while, then
    // available again.
    let slow = Event::CallEnded(RequestId(1), CallOutcome::Succeeded, Span::from_ms(6000.0));
    assert!(called(&s.handle_at(7000.0, &[slow, Event::CallRequested(RequestId(2))])).is_empty());
    assert!(called(&s.handle_at(7300.0, &[Event::Wake(Gauges::default())])).is_empty());
    assert_eq!(called(&s.handle_at(9000.0, &[Event::Wake(Gauges::default())])), [2]);
}

#[test]
fn limited_calls_are_given_to_the_requests_of_highest_weight() {
    let mut set = settings();
    set.call_quota = 1.0;
    set.classes[1] = Class { priority_weight: 3.0, ..class(Idempotency::Idempotent) };
    let mut s = Server::new(set);
    s.handle_at(1000.0, &[Event::RequestRead(request(1, 0)), Event::RequestRead(request(2, 1))]);
    let out = s.handle_at(1100.0, &[Event::CallRequested(RequestId(1)), Event::CallRequested(RequestId(2))]);
    assert_eq!(called(&out), [2]);
    // Both requests are in time: the one with more weight makes the one call, and the other makes
    // its call once that has ended.
    let out =
        s.handle_at(1200.0, &[Event::CallEnded(RequestId(2), CallOutcome::Succeeded, Span::from_ms(100.0))]);
    assert_eq!(called(&out), [1]);
}

/// Makes calls of 40 ms, one request after another.
fn make_calls_of_40_ms(server: &mut Server, rounds: u64) -> Vec<Action> {
    make_calls(server, rounds, 40.0)
}

fn make_calls(server: &mut Server, rounds: u64, ms: f64) -> Vec<Action> {
    let mut last = Vec::new();
    for id in 1000..1000 + rounds {
        let started_ms = server.now + 1.0;
        assert_eq!(started(&server.handle_at(started_ms, &[Event::RequestRead(request(id, 0))])), [id]);
        last = server.handle_at(started_ms + 5.0, &[Event::CallRequested(RequestId(id))]);
        assert_eq!(called(&last), [id]);
        server.handle_at(
            started_ms + 5.0 + ms,
            &[Event::CallEnded(RequestId(id), CallOutcome::Succeeded, Span::from_ms(ms))],
        );
        server.handle_at(started_ms + 10.0 + ms, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    last
}

fn start_call_without_answer(server: &mut Server) -> f64 {
    server.read_requests(0..1, 0);
    assert_eq!(called(&server.handle_at(server.now + 5.0, &[Event::CallRequested(RequestId(0))])), [0]);
    server.now
}

/// Guards against subtracting the whole time of a lost call from a sum that has decayed since. This
/// removed the time of other calls as well and left a best mean that no dependency could reach.
#[test]
fn a_lost_call_leaves_the_mean_of_the_others_unchanged() {
    let mut server = Server::new(settings());
    make_calls_of_40_ms(&mut server, 20);
    let best_before = server.policy.dependency_call_stats().best_ms;
    let started_ms = start_call_without_answer(&mut server);
    make_calls_of_40_ms(&mut server, 40);
    let took = Span::from_ms(server.now - started_ms);
    server.handle_at(server.now, &[Event::CallEnded(RequestId(0), CallOutcome::Failed, took)]);
    make_calls_of_40_ms(&mut server, 1);
    let DependencyCallStats { recent_ms, best_ms, .. } = server.policy.dependency_call_stats();
    assert!((30.0..60.0).contains(&recent_ms), "{recent_ms} ms");
    assert!(best_ms > 0.9 * best_before.min(40.0), "{best_ms} ms at best, {best_before} before");
}

/// Guards against a lost call adding to the mean for as long as its request exists. A few of them
/// made a healthy dependency look slow, which cost this server three quarters of its calls.
#[test]
fn a_lost_call_is_excluded_from_the_mean_before_it_ends() {
    let mut server = Server::new(settings());
    make_calls_of_40_ms(&mut server, 20);
    let started_ms = start_call_without_answer(&mut server);
    make_calls_of_40_ms(&mut server, 40);
    let DependencyCallStats { in_flight, recent_ms, .. } = server.policy.dependency_call_stats();
    assert_eq!(in_flight, 1.0);
    assert!((30.0..60.0).contains(&recent_ms), "{recent_ms} ms");
    // An overdue call that is answered after all counts with its duration.
    let took = Span::from_ms(server.now - started_ms);
    server.handle_at(server.now, &[Event::CallEnded(RequestId(0), CallOutcome::Succeeded, took)]);
    let DependencyCallStats { in_flight, recent_ms: after, .. } = server.policy.dependency_call_stats();
    assert!(in_flight == 0.0 && after > 1.2 * recent_ms, "{after} ms, {recent_ms} ms before");
}

/// If all calls take longer, the dependency is slow and loses none: late calls are not overtaken by
/// others.
#[test]
fn a_slow_dependency_is_not_treated_as_one_that_loses_answers() {
    let mut server = Server::new(settings());
    make_calls(&mut server, 20, 40.0);
    let last = make_calls(&mut server, 10, 480.0);
    let timeout =
        last.iter().find_map(|a| if let Action::Call(_, limit) = a { Some(limit.ms()) } else { None });
    assert!(timeout.is_some_and(|ms| ms > 2500.0), "{timeout:?}");
    assert!(
        server.policy.dependency_call_stats().recent_ms > 300.0,
        "{:?}",
        server.policy.dependency_call_stats()
    );
}

/// Once so many calls have overtaken one that it cannot merely be slow, the timeout of the next
/// calls is no longer than a long call takes at the highest slowdown observed.
#[test]
fn calls_time_out_earlier_while_answers_are_being_lost() {
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Call(_, limit) = a { Some(limit.ms()) } else { None })
    };
    let mut server = Server::new(settings());
    let before = timeout(&make_calls_of_40_ms(&mut server, 20)).expect("a call");
    start_call_without_answer(&mut server);
    let after = timeout(&make_calls_of_40_ms(&mut server, 40)).expect("a call");
    // The timeout is 80 times the best mean of 40 ms, then 8 times that plus the deviation, but
    // never less than a quarter of the objective.
    assert!(before > 2500.0, "{before} ms");
    assert!((500.0..1000.0).contains(&after), "{after} ms after, {before} ms before");
}
