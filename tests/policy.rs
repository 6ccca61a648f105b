//! The mechanism and its guards, each through the module's face.
mod common;
use common::*;
use protocol_gateway::*;

#[test]
fn settings_that_contradict_themselves_are_told_apart() {
    let broken = |f: fn(&mut Settings)| {
        let mut s = settings();
        f(&mut s);
        Policy::new(s, 1).err()
    };
    assert_eq!(broken(|s| s.cores = 0), Some(SettingsError::NoCores));
    assert_eq!(
        broken(|s| s.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        broken(|s| s.drain_grace = Span(-1)),
        Some(SettingsError::NegativeTime("drain_grace"))
    );
    assert_eq!(
        broken(|s| s.classes[1].latency_objective = Span(-1)),
        Some(SettingsError::NegativeTime("aim"))
    );
    assert_eq!(
        broken(|s| s.memory_kb = f64::NAN),
        Some(SettingsError::BadFigure("memory_kb"))
    );
    assert_eq!(broken(|_| ()), None);
}

#[test]
fn runs_no_more_than_the_cores_and_holds_the_rest() {
    let mut s = Server::new(settings());
    assert_eq!(runs(&s.read(1..6, 0)).len(), 2);
    let next = s.at(1100.0, &[Event::RunEnded(RequestId(1), RunOutcome::Served)]);
    assert_eq!(runs(&next).len(), 1);
}

#[test]
fn everything_read_is_answered_by_its_due_time() {
    let mut s = Server::new(settings());
    let mut answered = s.read(1..9, 2);
    let mut now = s.now;
    while now < 1000.0 + 6000.0 + 60.0 - 4.0 {
        now += 20.0;
        answered.extend(s.at(now, &[Event::Wake(Gauges::default())]));
    }
    let mut ids = [failed(&answered), refused(&answered)].concat();
    ids.sort_unstable();
    assert_eq!(ids, (1..9).collect::<Vec<_>>());
    // What ran was failed, not refused: it may have taken effect.
    assert!(runs(&answered)
        .iter()
        .all(|id| failed(&answered).contains(id)));
}

#[test]
fn a_tenant_over_the_threshold_is_refused_only_while_the_hold_is_late() {
    let mut set = settings();
    set.memory_kb = 1e6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(90_000.0);
    let old = Span::from_ms(16_000.0);
    let read = |id, tenant, age| {
        Event::RequestRead(Request {
            tenant: Some(TenantId(tenant)),
            age,
            ..request(id, 0)
        })
    };
    let mut s = Server::new(set);
    // Threshold 5 a core on 2 cores: ten in flight. The hold is not late yet, so the eleventh is taken.
    let first: Vec<Event> = (1..13).map(|id| read(id, 0, old)).collect();
    assert!(refused(&s.at(1000.0, &first)).is_empty());
    // Those held have waited past a quarter of the aim: now the threshold binds, for that tenant alone.
    let out = refused(&s.at(1001.0, &[read(13, 0, Span(0)), read(14, 1, Span(0))]));
    assert_eq!(out, [13]);
}

/// Guards the fleet's threshold: a tenant that is thin here and heavy over all is refused while the hold is late, up to its
/// part by allowance of what all servers hold; not once counts of the others are no longer known, and no other tenant.
#[test]
fn a_tenant_heavy_over_the_fleet_is_refused_where_its_counts_are_known() {
    let mut set = settings();
    set.memory_kb = 1e6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(90_000.0);
    set.tenants[1].allowance_per_s = 24.0;
    let read = |id, tenant, age| {
        let age = Span::from_ms(age);
        Event::RequestRead(Request {
            tenant: Some(TenantId(tenant)),
            age,
            ..request(id, 0)
        })
    };
    let mut s = Server::new(set);
    // Ten in flight are heavy on one server. A quarter of the allowances are tenant 0's: on eight servers that is 20.
    let others = Event::FleetLoad {
        servers: 8.0,
        in_flight_elsewhere: vec![16.0, 40.0],
    };
    let first = [
        others,
        read(1, 0, 16_000.0),
        read(2, 0, 16_000.0),
        read(3, 0, 16_000.0),
    ];
    assert!(refused(&s.at(1000.0, &first)).is_empty());
    let out = s.at(1001.0, &[read(4, 0, 0.0), read(5, 0, 0.0), read(6, 1, 0.0)]);
    assert_eq!(
        (refused(&out), s.policy.fleet_limit_rejections),
        (vec![5], 1),
        "16 elsewhere and 4 here are its part"
    );
    let out = s.at(
        1002.0,
        &[
            Event::FleetLoad {
                servers: 0.0,
                in_flight_elsewhere: vec![],
            },
            read(7, 0, 0.0),
            read(8, 0, 0.0),
        ],
    );
    assert!(
        refused(&out).is_empty(),
        "by its own counts it is thin: {out:?}"
    );
}

#[test]
fn tenants_within_their_share_run_before_one_far_beyond_it() {
    let mut s = Server::new(settings());
    let mut events: Vec<Event> = Vec::new();
    for id in 1..20 {
        events.push(Event::RequestRead(Request {
            tenant: Some(TenantId(0)),
            ..request(id, 0)
        }));
    }
    events.push(Event::RequestRead(Request {
        tenant: Some(TenantId(1)),
        ..request(50, 0)
    }));
    let out = s.at(1000.0, &events);
    assert!(runs(&out).contains(&50), "{out:?}");
}

#[test]
fn a_keyed_request_is_remembered_before_its_run_and_its_repeat_joins() {
    let mut s = Server::new(settings());
    let out = s.read(1..2, 1);
    let kept = out
        .iter()
        .position(|a| matches!(a, Action::RememberKey(RequestId(1), _)));
    let run = out.iter().position(|a| *a == Action::Run(RequestId(1)));
    assert!(kept.is_some() && kept < run, "{out:?}");
    let again = Request {
        duplicate_of: Some(RequestId(1)),
        ..request(2, 1)
    };
    let out = s.at(1010.0, &[Event::RequestRead(again)]);
    assert!(
        out.contains(&Action::Join(RequestId(2)))
            && runs(&out).is_empty()
            && refused(&out).is_empty()
    );
}

#[test]
fn an_effect_is_never_called_again_unless_the_call_never_ran() {
    for (end, again) in [
        (CallOutcome::Failed, false),
        (CallOutcome::NotExecuted, true),
    ] {
        let mut s = Server::new(settings());
        s.read(1..2, 2);
        assert_eq!(
            calls(&s.at(1010.0, &[Event::CallRequested(RequestId(1))])),
            [1]
        );
        let mut out = s.at(
            1020.0,
            &[Event::CallEnded(RequestId(1), end, Span::from_ms(10.0))],
        );
        out.extend(s.at(1500.0, &[Event::Wake(Gauges::default())]));
        assert_eq!(!calls(&out).is_empty(), again);
        assert_eq!(!failed(&out).is_empty(), !again);
        assert!(runs(&out).is_empty());
    }
}

/// Guards the places among the calls, and the view of the dependency, against calls whose answer never comes: each used to
/// keep its place until its request was due, and its time made the dependency look slow.
#[test]
fn a_call_whose_answer_never_comes_is_given_up_early_and_does_not_count_as_slow() {
    let mut s = Server::new(settings());
    s.read(1..3, 0);
    let limit = |out: &[Action]| {
        out.iter().find_map(|a| {
            if let Action::Call(_, l) = a {
                Some(l.ms())
            } else {
                None
            }
        })
    };
    let (one, two) = (RequestId(1), RequestId(2));
    // Nothing is known of calls yet: only the due time bounds the first.
    assert!(limit(&s.at(1010.0, &[Event::CallRequested(one)])) > Some(5000.0));
    s.at(
        1020.0,
        &[Event::CallEnded(
            one,
            CallOutcome::Succeeded,
            Span::from_ms(10.0),
        )],
    );
    let least = limit(&s.at(1030.0, &[Event::CallRequested(two)])).expect("a call");
    assert!((500.0..1000.0).contains(&least), "{least} ms");
    s.at(
        1030.0 + least,
        &[Event::CallEnded(
            two,
            CallOutcome::Failed,
            Span::from_ms(least),
        )],
    );
    // It is made again, under much the same limit.
    let next =
        limit(&s.at(1100.0 + 2.0 * least, &[Event::Wake(Gauges::default())])).expect("a call");
    assert!(next < 2.0 * least, "{next} ms after {least}");
}

#[test]
fn calls_in_hand_stay_under_the_told_share() {
    let mut set = settings();
    set.cores = 8;
    let mut s = Server::new(set);
    let ran = runs(&s.read(1..9, 0));
    assert_eq!(ran.len(), 8);
    let events: Vec<Event> = ran
        .iter()
        .map(|id| Event::CallRequested(RequestId(*id)))
        .collect();
    // Share 4, of which nine tenths: three at once, and a failed one lingers.
    assert_eq!(calls(&s.at(1010.0, &events)).len(), 3);
    let first = RequestId(ran[0]);
    let out = s.at(
        1020.0,
        &[Event::CallEnded(
            first,
            CallOutcome::Failed,
            Span::from_ms(10.0),
        )],
    );
    assert!(calls(&out).is_empty());
    assert_eq!(
        calls(&s.at(1300.0, &[Event::Wake(Gauges::default())])).len(),
        1
    );
}

#[test]
fn a_share_under_one_call_is_kept_in_the_mean() {
    let mut set = settings();
    set.call_quota = 0.6;
    set.classes[0].latency_objective = Span::from_ms(60_000.0);
    set.classes[0].deadline = Span::from_ms(60_000.0);
    let mut s = Server::new(set);
    assert_eq!(runs(&s.read(1..3, 0)).len(), 2);
    assert_eq!(
        calls(&s.at(1000.0, &[Event::CallRequested(RequestId(1))])),
        [1]
    );
    // That call took six seconds: a share of 0.6 over five of them is used up for a while, then free again.
    let slow = Event::CallEnded(RequestId(1), CallOutcome::Succeeded, Span::from_ms(6000.0));
    assert!(calls(&s.at(7000.0, &[slow, Event::CallRequested(RequestId(2))])).is_empty());
    assert!(calls(&s.at(7300.0, &[Event::Wake(Gauges::default())])).is_empty());
    assert_eq!(calls(&s.at(9000.0, &[Event::Wake(Gauges::default())])), [2]);
}

#[test]
fn a_drain_runs_nothing_that_came_after_the_grace_and_answers_all() {
    let mut s = Server::new(settings());
    let mut out = s.read(1..7, 0);
    out.extend(s.at(1000.0, &[Event::ShutdownNotice(Span::from_ms(2500.0))]));
    assert!(out.contains(&Action::SetHealth(false)));
    let late = s.at(2100.0, &[Event::RequestRead(request(9, 0))]);
    assert!(refused(&late).contains(&9) && runs(&late).is_empty());
    out.extend(late);
    let mut now = 2100.0;
    while now < 3490.0 {
        now += 20.0;
        out.extend(s.at(now, &[Event::Wake(Gauges::default())]));
    }
    let mut ids = [failed(&out), refused(&out)].concat();
    ids.sort_unstable();
    assert_eq!(ids, [1, 2, 3, 4, 5, 6, 9]);
}

#[test]
fn memory_is_kept_by_refusing_the_newest_held() {
    let mut set = settings();
    set.memory_kb = 300.0;
    let mut s = Server::new(set);
    let out = s.read(1..100, 0);
    // Two run at 40 kB each; under 270 kB there is room for 19 held.
    assert!(99 - refused(&out).len() <= 21);
    assert!(!refused(&out).contains(&runs(&out)[0]));
}

#[test]
fn a_cold_server_lets_fewer_onto_cores_and_calls_than_a_warm_one() {
    let crowd = |cold: bool| {
        let mut set = settings();
        (set.starts_cold, set.memory_kb, set.dependency) = (cold, 1e6, Dependency::Tier);
        let mut s = Server::new(set);
        let mut out = s.read(1..60, 0);
        let mut at = 0;
        while at < runs(&out).len() {
            let more = s.at(1000.0, &[Event::CallRequested(RequestId(runs(&out)[at]))]);
            out.extend(more);
            at += 1;
        }
        calls(&out).len()
    };
    // 0.9 x 2 cores x (1 + 4 x 0.2) and x (1 + 4): what may be on the cores if every call comes back at once.
    assert_eq!((crowd(true), crowd(false)), (3, 9));
}

#[test]
fn a_hang_shows_as_core_time_without_work_done_and_is_refused_early() {
    let mut s = Server::new(settings());
    let mut now = 1000.0;
    for id in 1..40 {
        s.at(now, &[Event::RequestRead(request(id, 0))]);
        now += 100.0;
        s.at(now, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    s.at(
        now,
        &[
            Event::RequestRead(request(100, 0)),
            Event::RequestRead(request(101, 0)),
        ],
    );
    now += 4000.0;
    // A fresh request that would have had ample time is sent on to another server at once.
    let out = s.at(now, &[Event::RequestRead(request(102, 0))]);
    assert!(refused(&out).contains(&102) && runs(&out).is_empty());
}

#[test]
fn events_about_what_is_over_are_harmless() {
    let mut s = Server::new(settings());
    s.read(1..3, 0);
    s.at(1010.0, &[Event::RunEnded(RequestId(1), RunOutcome::Served)]);
    let gone = RequestId(1);
    let events = [
        Event::RunEnded(gone, RunOutcome::NeverStarted),
        Event::CallRequested(gone),
        Event::CallEnded(gone, CallOutcome::Succeeded, Span(1)),
        Event::CallerStoppedWaiting(gone),
        Event::CallerStoppedWaiting(RequestId(999)),
    ];
    let out = s.at(1020.0, &events);
    assert!(runs(&out).is_empty() && failed(&out).is_empty() && calls(&out).is_empty());
}

#[test]
fn a_class_and_a_tenant_that_nobody_told_of_are_served_with_care() {
    let mut s = Server::new(settings());
    let odd = Request {
        class: ClassId(99),
        tenant: Some(TenantId(u64::MAX)),
        ..request(1, 0)
    };
    assert_eq!(runs(&s.at(1000.0, &[Event::RequestRead(odd)])), [1]);
}

#[test]
fn no_signal_is_set_where_it_is_a_fault() {
    let mut set = settings();
    (set.capacity_hint, set.preemption) = (CapacityHint::Off, Preemption::Unsupported);
    let mut s = Server::new(set);
    let mut out = s.read(1..9, 0);
    for k in 0..400 {
        out.extend(s.at(
            1000.0 + 20.0 * f64::from(k),
            &[Event::Wake(Gauges::default())],
        ));
    }
    assert_eq!(failed(&out).len() + refused(&out).len(), 8);
    assert!(!out.iter().any(|a| matches!(
        a,
        Action::SetCapacityHint(_) | Action::Stop(_) | Action::SkipCall(_)
    )));
}

/// Reads and refusals or runs of `n` requests of this age and mark, one every 50 ms, each served at once.
fn stream(s: &mut Server, ids: std::ops::Range<u64>, age: f64, is_retry: bool) -> Vec<Action> {
    let mut out = Vec::new();
    for id in ids {
        let now = s.now + 50.0;
        let read = Request {
            age: Span::from_ms(age),
            is_retry,
            ..request(id, 0)
        };
        out.extend(s.at(now, &[Event::RequestRead(read)]));
        out.extend(s.at(
            now + 10.0,
            &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
        ));
    }
    out
}
fn health(actions: &[Action]) -> Vec<bool> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::SetHealth(good) = a {
                Some(*good)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn a_long_unread_line_takes_a_server_off_the_lists_for_one_spell() {
    let mut s = Server::new(settings());
    assert_eq!(health(&stream(&mut s, 1..60, 5.0, false)), [true]);
    // Unread for 1.5 s against an aim of 2 s: off, back after the crowd's span of 2 s, not off again at once.
    assert_eq!(health(&stream(&mut s, 100..140, 1500.0, false)), [false]);
    assert_eq!(health(&stream(&mut s, 140..240, 1500.0, false)), [true]);
}

#[test]
fn where_others_refuse_too_callers_are_asked_to_give_up_and_health_stays() {
    let mut s = Server::new(settings());
    let mut out = stream(&mut s, 1..60, 5.0, true);
    out.extend(stream(&mut s, 300..360, 1500.0, true));
    let crowd = |is_retry| -> Vec<Event> {
        (400..700)
            .map(|id| {
                Event::RequestRead(Request {
                    is_retry,
                    ..request(id, 0)
                })
            })
            .collect()
    };
    out.extend(s.at(s.now, &crowd(true)));
    assert_eq!(health(&out), [true]);
    assert!(out
        .iter()
        .any(|a| matches!(a, Action::Reject { give_up: true, .. })));
    let mut calm = Server::new(settings());
    let out = calm.at(1000.0, &crowd(false));
    assert!(out.iter().any(|a| matches!(a, Action::Reject { .. })));
    assert!(!out
        .iter()
        .any(|a| matches!(a, Action::Reject { give_up: true, .. })));
}

#[test]
fn scarce_calls_go_to_what_still_brings_most() {
    let mut set = settings();
    set.call_quota = 1.0;
    set.classes[1] = Class {
        priority_weight: 3.0,
        ..class(Idempotency::Idempotent)
    };
    let mut s = Server::new(set);
    s.at(
        1000.0,
        &[
            Event::RequestRead(request(1, 0)),
            Event::RequestRead(request(2, 1)),
        ],
    );
    let out = s.at(
        1100.0,
        &[
            Event::CallRequested(RequestId(1)),
            Event::CallRequested(RequestId(2)),
        ],
    );
    assert_eq!(calls(&out), [2]);
    // Both in time, the worthier had the one call; once it is back the other has its turn.
    let out = s.at(
        1200.0,
        &[Event::CallEnded(
            RequestId(2),
            CallOutcome::Succeeded,
            Span::from_ms(100.0),
        )],
    );
    assert_eq!(calls(&out), [1]);
}

#[test]
fn a_server_whose_runs_outlast_their_aims_leaves_the_lists_and_comes_back() {
    let mut s = Server::new(settings());
    stream(&mut s, 1..60, 5.0, false);
    s.at(
        s.now,
        &[
            Event::RequestRead(request(100, 0)),
            Event::RequestRead(request(101, 0)),
        ],
    );
    // Nothing ends for seconds: off the lists.
    let out: Vec<Action> = (1..100)
        .flat_map(|_| s.at(s.now + 100.0, &[Event::Wake(Gauges::default())]))
        .collect();
    assert_eq!(health(&out), [false]);
    // What ran ends; once the memory of it has faded the server is back.
    let ends = [100, 101].map(|id| Event::RunEnded(RequestId(id), RunOutcome::Served));
    let mut out = s.at(s.now + 1.0, &ends);
    out.extend((1..80).flat_map(|_| s.at(s.now + 100.0, &[Event::Wake(Gauges::default())])));
    assert_eq!(health(&out), [true]);
}

#[test]
fn idle_connections_are_closed_early_only_where_callers_are_many() {
    let idle = |callers| {
        let mut set = settings();
        set.callers = callers;
        let mut s = Server::new(set);
        let mut last = None;
        for id in 1..200 {
            let out = s.at(
                1000.0 + 50.0 * id as f64,
                &[Event::RequestRead(request(id, 0))],
            );
            last = out
                .iter()
                .rev()
                .find_map(|a| {
                    if let Action::CloseIdleConnections(t) = a {
                        Some(*t)
                    } else {
                        None
                    }
                })
                .or(last);
        }
        last.expect("an idle time is said at the start").ms()
    };
    // Threshold ten: up to two crowds of callers keep theirs; of more, hardly any comes back in time.
    assert_eq!((idle(20), idle(21), idle(1000)), (30_000.0, 10.0, 10.0));
}

/// A server whose calls took 20 ms for a while, then one has been out for long.
fn slow_dependency(dependency: Dependency) -> Server {
    let mut s = Server::new(Settings {
        dependency,
        call_quota: 1.0,
        ..settings()
    });
    let mut now = 1000.0;
    for id in 1..40 {
        s.at(now, &[Event::RequestRead(request(id, 0))]);
        s.at(now, &[Event::CallRequested(RequestId(id))]);
        now += 20.0;
        s.at(
            now,
            &[Event::CallEnded(
                RequestId(id),
                CallOutcome::Succeeded,
                Span::from_ms(20.0),
            )],
        );
        s.at(now, &[Event::RunEnded(RequestId(id), RunOutcome::Served)]);
    }
    s.at(now, &[Event::RequestRead(request(100, 0))]);
    s.at(now, &[Event::CallRequested(RequestId(100))]);
    s.now = now + 1900.0;
    s
}

#[test]
fn callers_are_asked_to_give_up_where_a_dependency_of_all_is_slow() {
    for (dependency, asked) in [(Dependency::Shared, true), (Dependency::Tier, false)] {
        let mut s = slow_dependency(dependency);
        let mut out = s.read(200..600, 0);
        out.retain(|a| matches!(a, Action::Reject { .. }));
        assert!(!out.is_empty());
        assert!(
            out.iter()
                .all(|a| matches!(a, Action::Reject { give_up, .. } if *give_up == asked)),
            "{out:?}"
        );
    }
}

#[test]
fn further_tries_are_told_by_an_uncommon_wait_where_they_are_not_marked() {
    for (odd, asked) in [(0, false), (1, true)] {
        let mut set = settings();
        set.memory_kb = 50.0;
        let mut s = Server::new(set);
        let mut out = Vec::new();
        for id in 1..200_u64 {
            // Two habits; of every three reads one may come from a walk with what its caller has left.
            let wait = if id % 3 == 0 && odd == 1 {
                900 + (id as i64 * 211) % 1400
            } else {
                [4000, 2500][id as usize % 2]
            };
            let read = Request {
                remaining_wait: Some(Span(wait * 1000)),
                ..request(id, 0)
            };
            out = s.at(1000.0 + 50.0 * id as f64, &[Event::RequestRead(read)]);
        }
        let gives_up = |a: &Action| matches!(a, Action::Reject { give_up: true, .. });
        assert_eq!(out.iter().any(gives_up), asked, "{out:?}");
    }
}

#[test]
fn half_the_cores_are_left_to_reading_once_it_falls_behind() {
    let mut s = Server::new(settings());
    let aged = |id, ms| {
        Event::RequestRead(Request {
            age: Span::from_ms(ms),
            ..request(id, 0)
        })
    };
    assert_eq!(runs(&s.at(1000.0, &[aged(1, 1.0), aged(2, 1.0)])).len(), 2);
    let old: Vec<Event> = (10..30).map(|id| aged(id, 700.0)).collect();
    assert!(runs(&s.at(1010.0, &old)).is_empty());
    let end = |id| Event::RunEnded(RequestId(id), RunOutcome::Served);
    assert!(runs(&s.at(1100.0, &[end(1)])).is_empty());
    assert_eq!(runs(&s.at(1110.0, &[end(2)])).len(), 1);
}

#[test]
fn an_ill_server_leaves_the_lists_for_its_unread_line_again_and_again_a_well_one_for_one_spell_in_five(
) {
    let spells = |ill: bool, is_retry: bool| {
        let mut set = settings();
        (set.starts_cold, set.warm_up) = (ill, Span::from_ms(60_000.0));
        let mut s = Server::new(set);
        let mut off = 0;
        let mut since = f64::MIN;
        for id in 1..400_u64 {
            // Out of the lists nothing arrives and the line is gone seconds later.
            let age = if s.now + 100.0 - since > 2500.0 {
                1200.0
            } else {
                1.0
            };
            let read = Event::RequestRead(Request {
                age: Span::from_ms(age),
                is_retry,
                ..request(id, 0)
            });
            let out = s.at(s.now + 100.0, &[read]);
            let ends: Vec<Event> = runs(&out)
                .iter()
                .map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served))
                .collect();
            s.at(s.now + 40.0, &ends);
            if health(&out).contains(&false) {
                (off, since) = (off + 1, s.now);
            }
        }
        off
    };
    assert!(
        spells(true, false) > spells(false, false) + 3,
        "{} {}",
        spells(true, false),
        spells(false, false)
    );
    assert!(spells(false, false) >= 1);
    // Where most tries are further ones the whole fleet is in trouble, and a slow server stays: one spell at first.
    assert!(spells(true, true) <= 2, "{}", spells(true, true));
}

#[test]
fn a_long_request_is_refused_for_the_sake_of_others_only_where_the_cores_are_taken() {
    // Runs take 60 or 340 ms, so what would have to wait needs a wide margin, if refusing it saves anything.
    let last = |busy: bool| {
        let mut s = Server::new(settings());
        for k in 0..40 {
            let ids = if busy {
                vec![10 + 2 * k, 11 + 2 * k]
            } else {
                vec![10 + 2 * k]
            };
            s.at(
                s.now + 10.0,
                &ids.iter()
                    .map(|id| Event::RequestRead(request(*id, 0)))
                    .collect::<Vec<_>>(),
            );
            let ends: Vec<Event> = ids
                .iter()
                .map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served))
                .collect();
            s.at(s.now + if k % 2 == 0 { 60.0 } else { 340.0 }, &ends);
        }
        let long = |id| {
            Event::RequestRead(Request {
                work_hint: Some(Span::from_ms(600.0)),
                ..request(id, 0)
            })
        };
        refused(&s.at(s.now + 10.0, &[long(1), long(2), long(3)]))
    };
    assert_eq!((last(false).len(), last(true).len()), (0, 1));
}

#[test]
fn rough_hints_and_waits_that_grow_with_no_hint_do_not_swell_the_estimate() {
    // Every run takes 300 ms, whatever its hint said.
    let hint = |id, ms| {
        Event::RequestRead(Request {
            work_hint: Some(Span::from_ms(ms)),
            ..request(id, 0)
        })
    };
    let mut s = Server::new(settings());
    for id in 1..60 {
        s.at(
            s.now + 10.0,
            &[hint(id, if id % 2 == 0 { 50.0 } else { 1000.0 })],
        );
        s.at(
            s.now + 300.0,
            &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
        );
    }
    // The mean of the ratios would make over three seconds of the long one, past the aim of two.
    let out = s.at(
        s.now + 10.0,
        &[hint(100, 1000.0), hint(101, 1000.0), hint(102, 50.0)],
    );
    assert!(refused(&out).is_empty(), "{out:?}");
    // Where hints are good they are followed: a request told as ten times as long as the aim allows is refused.
    let mut s = Server::new(settings());
    for id in 1..60 {
        let ms = if id % 2 == 0 { 50.0 } else { 1000.0 };
        s.at(s.now + 10.0, &[hint(id, ms)]);
        s.at(
            s.now + ms,
            &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
        );
    }
    assert_eq!(
        refused(&s.at(s.now + 10.0, &[hint(100, 1000.0), hint(101, 3000.0)])),
        [101]
    );
}

#[test]
fn what_is_worth_most_runs_before_cheap_work_even_beyond_its_tenants_share() {
    // Class 1 brings ten times as much; one tenant sends it all, far beyond its share.
    let mut set = settings();
    set.classes[1] = Class {
        priority_weight: 10.0,
        ..class(Idempotency::Idempotent)
    };
    set.tenants[0].allowance_per_s = 1.0;
    let mut s = Server::new(set);
    let of = |id, class, tenant| {
        Event::RequestRead(Request {
            tenant: Some(TenantId(tenant)),
            ..request(id, class)
        })
    };
    for k in 0..40 {
        let ids = [10 + 2 * k, 11 + 2 * k];
        s.at(
            s.now + 10.0,
            &[of(ids[0], usize::from(k % 4 == 0), 0), of(ids[1], 0, 1)],
        );
        let ends: Vec<Event> = ids
            .iter()
            .map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served))
            .collect();
        s.at(s.now + if k % 2 == 0 { 200.0 } else { 1200.0 }, &ends);
    }
    // Two run; the worthy one goes before a cheap one that came earlier.
    let mut out = s.at(s.now + 10.0, &[of(1, 0, 1), of(2, 0, 1)]);
    out.extend(s.at(s.now + 1.0, &[of(3, 0, 1), of(4, 1, 0)]));
    assert_eq!(runs(&out), [1, 2]);
    let out = s.at(
        s.now + 300.0,
        &[Event::RunEnded(RequestId(1), RunOutcome::Served)],
    );
    assert_eq!(runs(&out), [4]);
}

#[test]
fn further_tries_do_not_make_a_tenant_look_over_its_share() {
    // Tenant 0 asks for two a second of its three, others' refusals send each of them here four times more.
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
        s.at(
            s.now + 490.0,
            &ids.iter()
                .map(|id| Event::RequestRead(read(id)))
                .collect::<Vec<_>>(),
        );
        let ends: Vec<Event> = ids
            .iter()
            .map(|id| Event::RunEnded(RequestId(*id), RunOutcome::Served))
            .collect();
        s.at(s.now + 10.0, &ends);
    }
    // So it stands behind nobody: requests of both tenants run in order of arrival.
    let of = |id, tenant| {
        Event::RequestRead(Request {
            tenant: Some(TenantId(tenant)),
            ..request(id, 0)
        })
    };
    assert_eq!(
        runs(&s.at(s.now + 10.0, &[of(1, 0), of(2, 0), of(3, 1), of(4, 1)])),
        [1, 2]
    );
}

#[test]
fn a_server_whose_runs_outlast_the_aim_asks_callers_to_wait_though_its_queue_is_empty() {
    let away = |s: &mut Server, id| {
        s.at(s.now + 1.0, &[Event::RequestRead(request(id, 0))])
            .iter()
            .find_map(|a| match a {
                Action::Reject { retry_after, .. } => Some(retry_after.ms()),
                _ => None,
            })
    };
    // Well: a request far too long for its aim is refused with no advice to speak of.
    let mut s = Server::new(settings());
    stream(&mut s, 1..60, 5.0, false);
    let long = Request {
        work_hint: Some(Span::from_ms(9000.0)),
        ..request(90, 0)
    };
    let out = s.at(s.now + 1.0, &[Event::RequestRead(long)]);
    assert!(
        out.iter().any(|a| matches!(
            a,
            Action::Reject {
                retry_after: Span(0),
                ..
            }
        )),
        "{out:?}"
    );
    let mut s = Server::new(settings());
    stream(&mut s, 1..60, 5.0, false);
    // A hang: two run and nothing ends. What comes is refused at once, and told to come back later.
    s.at(
        s.now + 1.0,
        &[
            Event::RequestRead(request(100, 0)),
            Event::RequestRead(request(101, 0)),
        ],
    );
    s.now += 5000.0;
    assert_eq!(away(&mut s, 102), Some(1000.0));
}

#[test]
fn a_further_try_has_only_what_is_left_of_the_first_ones_aim() {
    let told = |id, ms: f64, is_retry| {
        Event::RequestRead(Request {
            remaining_wait: Some(Span::from_ms(ms)),
            is_retry,
            ..request(id, 0)
        })
    };
    // Marked or not: callers wait four seconds for a first try; one with half of that left began two ago.
    for is_retry in [false, true] {
        let mut s = Server::new(settings());
        for id in 1..60 {
            s.at(s.now + 100.0, &[told(id, 4000.0, false)]);
            s.at(
                s.now + 100.0,
                &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
            );
        }
        assert_eq!(
            runs(&s.at(s.now + 10.0, &[told(100, 3900.0, is_retry)])),
            [100]
        );
        assert_eq!(
            refused(&s.at(s.now + 10.0, &[told(101, 2050.0, is_retry)])),
            [101]
        );
        // One that waits as long as a first try is taken for one.
        assert_eq!(
            runs(&s.at(s.now + 10.0, &[told(102, 4000.0, is_retry)])),
            [102]
        );
    }
}

#[test]
fn what_can_bring_nothing_any_more_is_answered_at_its_aim_and_stopped_where_it_can_be() {
    // Class by class: one runs, one waits at a call that may not be made, one is out at a call.
    for (class, preemption) in [
        (0, Preemption::DiscardsWork),
        (1, Preemption::DiscardsWork),
        (2, Preemption::KeepsWork),
        (0, Preemption::Unsupported),
    ] {
        let mut set = Settings {
            preemption,
            cores: 4,
            call_quota: 1.0,
            ..settings()
        };
        set.classes
            .iter_mut()
            .for_each(|c| c.deadline = Span::from_ms(9000.0));
        let mut s = Server::new(set);
        assert_eq!(runs(&s.read(1..4, class)), [1, 2, 3]);
        s.at(1100.0, &[Event::CallRequested(RequestId(2))]);
        assert!(calls(&s.at(1110.0, &[Event::CallRequested(RequestId(3))])).is_empty());
        let mut out = Vec::new();
        while s.now < 3060.0 {
            out.extend(s.at(s.now + 20.0, &[Event::Wake(Gauges::default())]));
        }
        // The aim is two seconds: answered a moment later, though due in nine.
        let answers = [failed(&out), refused(&out)].concat();
        if preemption == Preemption::Unsupported {
            assert_eq!(answers, [2, 3], "{out:?}");
            continue;
        }
        assert_eq!(answers, [1, 2, 3], "{out:?}");
        assert!(out.contains(&Action::Stop(RequestId(1))));
        // Only what may run again is turned away, and asked not to be tried elsewhere: nothing else may be.
        let gives_up = |a: &Action| matches!(a, Action::Reject { give_up: true, .. });
        assert_eq!(
            out.iter().filter(|a| gives_up(a)).count(),
            if class == 0 { 3 } else { 0 }
        );
        assert_eq!(refused(&out).is_empty(), class != 0);
    }
}

fn said(actions: &[Action]) -> Option<f64> {
    actions.iter().rev().find_map(|a| {
        if let Action::SetCapacityHint(v) = a {
            Some(*v)
        } else {
            None
        }
    })
}

#[test]
fn the_level_rises_with_refusals_up_to_the_classes_worth_less_than_the_mean_and_comes_back() {
    for (worth, most) in [([1.0, 3.0, 3.0], 1.0 / 3.0), ([1.0, 1.0, 1.0], 0.0)] {
        let mut set = Settings {
            capacity_hint: CapacityHint::PriorityFloor,
            memory_kb: 300.0,
            ..settings()
        };
        set.classes
            .iter_mut()
            .zip(worth)
            .for_each(|(c, w)| c.priority_weight = w);
        let mut s = Server::new(set);
        let mut last = 0.0;
        let mut running: Vec<u64> = Vec::new();
        let mut load = |s: &mut Server, steps: u64, each: u64, first: u64| {
            for k in 0..steps {
                let end = |id: &u64| Event::RunEnded(RequestId(*id), RunOutcome::Served);
                let mut events: Vec<Event> = running.iter().map(end).collect();
                let ids = first + k * each..first + (k + 1) * each;
                events.extend(ids.map(|id| Event::RequestRead(request(id, 0))));
                let out = s.at(s.now + 100.0, &events);
                running = runs(&out);
                last = said(&out).unwrap_or(last);
            }
            last
        };
        assert_eq!(load(&mut s, 20, 1, 1), 0.0);
        let high = load(&mut s, 200, 12, 1000);
        assert!((high - most).abs() < 0.04, "{high} of {most}");
        assert!(load(&mut s, 300, 1, 10_000) < 0.02);
    }
}

#[test]
fn where_no_list_follows_health_the_free_value_says_that_a_jammed_or_leaving_server_wants_nothing()
{
    for (capacity_hint, none) in [
        (CapacityHint::PriorityFloor, 1.0),
        (CapacityHint::Weight, 0.0),
        (CapacityHint::Allowance, 0.0),
    ] {
        for endpoint_lists_follow_health in [false, true] {
            let mut s = Server::new(Settings {
                capacity_hint,
                endpoint_lists_follow_health,
                ..settings()
            });
            stream(&mut s, 1..60, 5.0, false);
            let jam = stream(&mut s, 100..140, 1500.0, false);
            assert_eq!(health(&jam), [false]);
            let silent = jam.contains(&Action::SetCapacityHint(none));
            assert_eq!(silent, !endpoint_lists_follow_health, "{capacity_hint:?}");
            let mut s = Server::new(Settings {
                capacity_hint,
                endpoint_lists_follow_health,
                ..settings()
            });
            assert_ne!(said(&s.at(1000.0, &[])), Some(none));
            assert_eq!(
                said(&s.at(1010.0, &[Event::ShutdownNotice(Span::from_ms(2500.0))])),
                Some(none)
            );
        }
    }
}

#[test]
fn a_marked_further_try_is_as_old_as_what_is_refused_here_becomes() {
    // No told waits. Requests sit unread for long and are refused; a further try has been through as much.
    let mut s = Server::new(settings());
    let old = |id, age, is_retry| {
        Event::RequestRead(Request {
            age: Span::from_ms(age),
            is_retry,
            ..request(id, 0)
        })
    };
    assert_eq!(
        runs(&s.at(1000.0, &[old(1, 0.0, true), old(2, 0.0, false)])),
        [1, 2]
    );
    let ends = [1, 2].map(|id| Event::RunEnded(RequestId(id), RunOutcome::Served));
    s.at(1100.0, &ends);
    for k in 10..60 {
        assert_eq!(refused(&s.at(s.now + 10.0, &[old(k, 1990.0, false)])), [k]);
    }
    // The line of the unread has gone since; what comes for the first time is served.
    s.now += 8000.0;
    assert_eq!(runs(&s.at(s.now, &[old(100, 0.0, false)])), [100]);
    assert_eq!(refused(&s.at(s.now, &[old(101, 0.0, true)])), [101]);
}

#[test]
fn a_run_given_up_at_its_aim_does_not_keep_callers_off_a_server_that_is_well() {
    let mut s = Server::new(settings());
    stream(&mut s, 1..60, 100.0, false);
    s.at(s.now + 10.0, &[Event::RequestRead(request(100, 0))]);
    let mut out = Vec::new();
    for id in 200..230 {
        // One run is long; the others end in their usual time.
        out.extend(s.at(s.now + 40.0, &[Event::RequestRead(request(id, 0))]));
        out.extend(s.at(
            s.now + 40.0,
            &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
        ));
    }
    let long = out.iter().find(|a| {
        matches!(
            a,
            Action::Reject {
                id: RequestId(100),
                ..
            }
        )
    });
    assert_eq!(
        long,
        Some(&Action::Reject {
            id: RequestId(100),
            retry_after: Span(0),
            give_up: true
        })
    );
}

#[test]
fn a_cold_server_never_has_one_more_on_the_cores_than_it_survives() {
    // 2 cores at a fifth of the speed survive 2 x (1 + 4 x 0.2) = 3.6; four would be one too many for good.
    let mut set = settings();
    (set.starts_cold, set.warm_up, set.dependency) = (true, Span::from_ms(1e7), Dependency::Tier);
    let mut s = Server::new(set);
    let mut out = s.read(1..40, 0);
    for k in 0..60 {
        // Calls go out and come back, which makes room for others meanwhile; cores look idle.
        let on = runs(&out);
        if let Some(id) = on.get(k) {
            out.extend(s.at(s.now + 1.0, &[Event::CallRequested(RequestId(*id))]));
        }
        out.extend(s.at(
            s.now + 1.0,
            &[Event::Wake(Gauges {
                runnable: Some(0.0),
                ..Gauges::default()
            })],
        ));
    }
    assert_eq!(runs(&out).len().min(calls(&out).len()), 3);
}

#[test]
fn repeats_that_wait_for_their_first_try_do_not_fill_the_memory() {
    let mut s = Server::new(Settings {
        memory_kb: 300.0,
        ..settings()
    });
    let mut out = s.read(1..2, 1);
    let again = |id| {
        Event::RequestRead(Request {
            duplicate_of: Some(RequestId(1)),
            ..request(id, 1)
        })
    };
    out.extend(s.at(1010.0, &(2..60).map(again).collect::<Vec<_>>()));
    // Of nine tenths of 300 kB the run takes 40 and its key 5: at most 22 wait, and none is refused.
    assert!(
        failed(&out).len() >= 36 && refused(&out).is_empty(),
        "{}",
        failed(&out).len()
    );
}

/// One request after another makes a call of 40 ms, beside one whose call is never answered.
fn calls_beside_a_silent_one(server: &mut Server, rounds: u64) -> Vec<Action> {
    calls_of(server, rounds, 40.0)
}
fn calls_of(server: &mut Server, rounds: u64, ms: f64) -> Vec<Action> {
    let mut last = Vec::new();
    for id in 1000..1000 + rounds {
        let begun = server.now + 1.0;
        assert_eq!(
            runs(&server.at(begun, &[Event::RequestRead(request(id, 0))])),
            [id]
        );
        last = server.at(begun + 5.0, &[Event::CallRequested(RequestId(id))]);
        assert_eq!(calls(&last), [id]);
        server.at(
            begun + 5.0 + ms,
            &[Event::CallEnded(
                RequestId(id),
                CallOutcome::Succeeded,
                Span::from_ms(ms),
            )],
        );
        server.at(
            begun + 10.0 + ms,
            &[Event::RunEnded(RequestId(id), RunOutcome::Served)],
        );
    }
    last
}
fn silent_call(server: &mut Server) -> f64 {
    server.read(0..1, 0);
    assert_eq!(
        calls(&server.at(server.now + 5.0, &[Event::CallRequested(RequestId(0))])),
        [0]
    );
    server.now
}

/// Guards the mean and the best mean of calls against one that was never answered: it used to be taken out whole from a
/// sum that had faded since, which took the others' time with it and left a best that no dependency could reach.
#[test]
fn a_lost_call_takes_nobody_elses_time_out_of_the_mean() {
    let mut server = Server::new(settings());
    calls_beside_a_silent_one(&mut server, 20);
    let best_before = server.policy.dependency_call_stats().best_ms;
    let begun = silent_call(&mut server);
    calls_beside_a_silent_one(&mut server, 40);
    let took = Span::from_ms(server.now - begun);
    server.at(
        server.now,
        &[Event::CallEnded(RequestId(0), CallOutcome::Failed, took)],
    );
    calls_beside_a_silent_one(&mut server, 1);
    let DependencyCallStats {
        recent_ms: of_late,
        best_ms: best,
        ..
    } = server.policy.dependency_call_stats();
    assert!((30.0..60.0).contains(&of_late), "{of_late} ms of late");
    assert!(
        best > 0.9 * best_before.min(40.0),
        "{best} ms at best, {best_before} before"
    );
}

/// Guards the mean while an answer goes missing: the call in hand used to add to it for as long as its request lived, and
/// a few of them made a healthy dependency look slow, which took three quarters of this server's calls away.
#[test]
fn a_call_whose_answer_is_lost_is_out_of_the_mean_before_it_ends() {
    let mut server = Server::new(settings());
    calls_beside_a_silent_one(&mut server, 20);
    let begun = silent_call(&mut server);
    calls_beside_a_silent_one(&mut server, 40);
    let DependencyCallStats {
        in_flight: in_hand,
        recent_ms: of_late,
        ..
    } = server.policy.dependency_call_stats();
    assert_eq!(in_hand, 1.0);
    assert!((30.0..60.0).contains(&of_late), "{of_late} ms of late");
    // One that is answered after all counts as it was.
    let took = Span::from_ms(server.now - begun);
    server.at(
        server.now,
        &[Event::CallEnded(RequestId(0), CallOutcome::Succeeded, took)],
    );
    let DependencyCallStats {
        in_flight: in_hand,
        recent_ms: after,
        ..
    } = server.policy.dependency_call_stats();
    assert!(
        in_hand == 0.0 && after > 1.2 * of_late,
        "{after} ms, {of_late} ms before"
    );
}

/// A dependency whose calls all take longer is slow and loses nothing: what is late is not overtaken by others.
#[test]
fn a_slow_dependency_is_not_taken_for_one_that_loses_answers() {
    let mut server = Server::new(settings());
    calls_of(&mut server, 20, 40.0);
    let last = calls_of(&mut server, 10, 480.0);
    let patience = last.iter().find_map(|a| {
        if let Action::Call(_, limit) = a {
            Some(limit.ms())
        } else {
            None
        }
    });
    assert!(patience.is_some_and(|ms| ms > 2500.0), "{patience:?}");
    assert!(
        server.policy.dependency_call_stats().recent_ms > 300.0,
        "{:?}",
        server.policy.dependency_call_stats()
    );
}

/// Guards the places at the dependency against answers that go missing: once so many overtook a call that it can't be
/// slow, the next ones are waited for no longer than a long call takes when all are at their slowest.
#[test]
fn where_answers_go_missing_calls_are_waited_for_less_long() {
    let patience = |actions: &[Action]| {
        actions.iter().find_map(|a| {
            if let Action::Call(_, limit) = a {
                Some(limit.ms())
            } else {
                None
            }
        })
    };
    let mut server = Server::new(settings());
    let before = patience(&calls_beside_a_silent_one(&mut server, 20)).expect("a call");
    silent_call(&mut server);
    let after = patience(&calls_beside_a_silent_one(&mut server, 40)).expect("a call");
    // 80 times the best mean of 40 ms, then 8 times with what calls stray: never less than a quarter of the aim.
    assert!(before > 2500.0, "{before} ms");
    assert!(
        (500.0..1000.0).contains(&after),
        "{after} ms after, {before} ms before"
    );
}
