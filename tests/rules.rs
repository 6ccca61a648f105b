//! The four rules under arbitrary legal sequences of events, judged from the actions alone. Seeds are fixed.
mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use protocol_gateway::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Debug)]
enum At {
    Held,
    Joined,
    OnCore,
    Waiting,
    Calling,
}
struct Seen {
    class: usize,
    at: At,
    arrived: f64,
    due: f64,
    ran: bool,
    answered: bool,
    no_more_calls: bool,
    over: bool,
}
/// What has happened so far, as far as the rules ask for it.
struct Judge {
    set: Settings,
    reqs: BTreeMap<u64, Seen>,
    keys: BTreeMap<u64, f64>,
    leaving: Option<(f64, f64)>,
}

impl Judge {
    fn new(set: Settings) -> Judge {
        Judge {
            set,
            reqs: BTreeMap::new(),
            keys: BTreeMap::new(),
            leaving: None,
        }
    }
    fn pick(&self, n: usize, at: &[At]) -> Option<u64> {
        let ids: Vec<u64> = self
            .reqs
            .iter()
            .filter(|(_, r)| !r.over && at.contains(&r.at))
            .map(|(id, _)| *id)
            .collect();
        (!ids.is_empty()).then(|| ids[n % ids.len()])
    }
    /// Takes the actions of one reply and tells which rule they break.
    fn judge(&mut self, now: f64, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            match action {
                Action::Run(id) => {
                    let r = self.reqs.get_mut(&id.0).ok_or("runs a stranger")?;
                    let effect = self.set.classes[r.class].idempotency;
                    if r.ran && effect != Idempotency::Idempotent || r.answered || r.at != At::Held
                    {
                        return Err(format!("{id:?} runs though it may not"));
                    }
                    if self
                        .leaving
                        .is_some_and(|(n, _)| r.arrived > n + self.set.drain_grace.ms())
                    {
                        return Err(format!("{id:?} runs after the grace"));
                    }
                    if effect == Idempotency::ByKey && !self.keys.contains_key(&id.0) {
                        return Err(format!("{id:?} runs unremembered"));
                    }
                    (r.ran, r.at) = (true, At::OnCore);
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    let r = self.reqs.get_mut(&id.0).ok_or("answers a stranger")?;
                    let refused = matches!(action, Action::Reject { .. });
                    if r.answered {
                        return Err(format!("{id:?} is answered twice"));
                    }
                    if refused
                        && r.ran
                        && self.set.classes[r.class].idempotency != Idempotency::Idempotent
                    {
                        return Err(format!("{id:?} is refused after its run"));
                    }
                    if now > r.due + self.set.answer_slack.ms() {
                        return Err(format!("{id:?} is answered late"));
                    }
                    r.answered = true;
                    r.over |= matches!(r.at, At::Held | At::Joined);
                }
                Action::Call(id, _) => {
                    let r = self.reqs.get_mut(&id.0).ok_or("calls for a stranger")?;
                    if r.at != At::Waiting || r.no_more_calls {
                        return Err(format!("{id:?} calls though it may not"));
                    }
                    r.at = At::Calling;
                }
                Action::Join(id) => {
                    self.reqs.get_mut(&id.0).ok_or("joins a stranger")?.at = At::Joined;
                }
                Action::Stop(_) if self.set.preemption == Preemption::Unsupported => {
                    return Err("stops".into())
                }
                Action::SkipCall(_) => return Err("leaves out a call".into()),
                Action::SetCapacityHint(_) if self.set.capacity_hint == CapacityHint::Off => {
                    return Err("says".into())
                }
                Action::RememberKey(id, span) => drop(self.keys.insert(id.0, now + span.ms())),
                Action::ForgetKey(id) => drop(self.keys.remove(&id.0)),
                _ => {}
            }
        }
        self.keys.retain(|_, lapse| *lapse > now);
        let live = || self.reqs.values().filter(|r| !r.over);
        let late = live().find(|r| !r.answered && now > r.due + self.set.answer_slack.ms());
        if late.is_some()
            || self
                .leaving
                .is_some_and(|(_, kill)| now >= kill && live().any(|r| !r.answered))
        {
            return Err("something read is not answered".into());
        }
        let of = |at: At| live().filter(|r| r.at == at).count() as f64;
        let runs = of(At::OnCore) + of(At::Waiting) + of(At::Calling);
        let kb = 10.0 * (of(At::Held) + of(At::Joined) + runs * self.set.run_memory_factor);
        if kb + self.keys.len() as f64 * self.set.key_kb > self.set.memory_kb {
            return Err("memory".into());
        }
        // Cold all along, at the least that it may be sure of.
        let warm = if self.set.starts_cold {
            self.set.start_capacity
        } else {
            1.0
        };
        let crowd =
            (1.0 + (self.set.concurrency_per_core - 1.0) * warm) * f64::from(self.set.cores);
        if of(At::OnCore) > crowd || of(At::Calling) > self.set.call_quota.max(1.0) {
            return Err("crowd or calls".into());
        }
        Ok(())
    }
}

fn variant(n: u32) -> Settings {
    let mut set = settings();
    set.preemption = [
        Preemption::Unsupported,
        Preemption::DiscardsWork,
        Preemption::KeepsWork,
    ][n as usize % 3];
    set.capacity_hint = [
        CapacityHint::Off,
        CapacityHint::PriorityFloor,
        CapacityHint::Allowance,
        CapacityHint::Weight,
    ][n as usize / 3 % 4];
    set.dependency = [Dependency::Shared, Dependency::None, Dependency::Tier][n as usize / 12 % 3];
    set.call_quota = [4.0, 0.4, 1.5][n as usize / 36 % 3];
    if set.dependency != Dependency::Shared {
        set.call_quota = 1e9;
    }
    (set.starts_cold, set.warm_up) = (n / 108 % 2 == 1, Span::from_ms(1e7));
    set.memory_kb = [2000.0, 120.0, 400.0][n as usize / 216 % 3];
    set.cores = [2, 1, 4][n as usize / 648 % 3];
    set.run_memory_factor = [4.0, 16.0][n as usize % 2];
    (set.answer_slack, set.drain_grace) = (
        Span::from_ms(60.0),
        Span::from_ms([1000.0, 0.0][n as usize % 2]),
    );
    set
}

fn play(n: u32, steps: &[(u8, u16)]) -> Result<(), String> {
    let set = variant(n);
    let (mut s, mut judge, mut id) = (Server::new(set.clone()), Judge::new(set.clone()), 0);
    for (op, pick) in steps.iter().copied() {
        let pick = usize::from(pick);
        if judge.leaving.is_some_and(|(_, kill)| s.now + 20.0 >= kill) {
            break;
        }
        s.now += 2.0 + (pick % 9) as f64 * 2.0;
        let mut events = vec![Event::Wake(Gauges {
            runnable: Some((pick % 4) as f64),
            ..Gauges::default()
        })];
        match op % 16 {
            0..=6 => {
                for k in 0..=(pick % 4) {
                    id += 1;
                    let class = (pick + k) % 3;
                    let age = [0.0, 3.0, 400.0][pick % 3];
                    let wait = (pick % 5 > 0).then_some(20.0 + (pick % 997) as f64 * 3.0);
                    let key = judge.keys.keys().copied().nth(pick % 7);
                    let duplicate_of = key.filter(|_| class == 1 && pick % 2 == 0).map(RequestId);
                    let due = wait.map_or((s.now - age + 6000.0).max(s.now), |w| s.now + w);
                    events.push(Event::RequestRead(Request {
                        age: Span::from_ms(age),
                        remaining_wait: wait.map(Span::from_ms),
                        is_retry: pick % 6 == 0,
                        duplicate_of,
                        ..request(id, class)
                    }));
                    let (at, arrived) = (At::Held, s.now - age);
                    let fresh = Seen {
                        class,
                        at,
                        arrived,
                        due,
                        ran: false,
                        answered: false,
                        no_more_calls: false,
                        over: false,
                    };
                    judge.reqs.insert(id, fresh);
                    // One that duplicate_of a run must never run itself.
                    judge.reqs.get_mut(&id).expect("just put in").ran = duplicate_of.is_some();
                }
            }
            7..=9 => {
                if let Some(id) = judge.pick(pick, &[At::OnCore, At::Joined]) {
                    let r = judge.reqs.get_mut(&id).expect("picked");
                    (r.over, r.answered) = (true, true);
                    events.push(Event::RunEnded(
                        RequestId(id),
                        if pick % 8 == 0 {
                            RunOutcome::Failed
                        } else {
                            RunOutcome::Served
                        },
                    ));
                }
            }
            10 | 11 => {
                if let Some(id) = judge
                    .pick(pick, &[At::OnCore])
                    .filter(|id| !judge.reqs[id].answered)
                {
                    judge.reqs.get_mut(&id).expect("picked").at = At::Waiting;
                    events.push(Event::CallRequested(RequestId(id)));
                }
            }
            12 | 13 => {
                if let Some(id) = judge.pick(pick, &[At::Calling]) {
                    let end = [
                        CallOutcome::Succeeded,
                        CallOutcome::Failed,
                        CallOutcome::NotExecuted,
                    ][pick % 3];
                    let r = judge.reqs.get_mut(&id).expect("picked");
                    r.at = if end == CallOutcome::Succeeded {
                        At::OnCore
                    } else {
                        At::Waiting
                    };
                    r.no_more_calls |= end == CallOutcome::Failed
                        && set.classes[r.class].idempotency != Idempotency::Idempotent;
                    events.push(Event::CallEnded(RequestId(id), end, Span::from_ms(30.0)));
                }
            }
            14 => {
                if let Some(id) = judge.pick(pick, &[At::Held, At::OnCore, At::Joined]) {
                    let r = judge.reqs.get_mut(&id).expect("picked");
                    r.over |= r.at != At::OnCore;
                    r.answered = true;
                    events.push(Event::CallerStoppedWaiting(RequestId(id)));
                }
            }
            _ => {
                if pick % 50 == 0 && judge.leaving.is_none() {
                    judge.leaving = Some((s.now, s.now + 2500.0));
                    events.push(Event::ShutdownNotice(Span::from_ms(2500.0)));
                }
            }
        }
        let now = s.now;
        let actions = s.at(now, &events);
        judge
            .judge(now, &actions)
            .map_err(|e| format!("variant {n} at {now}: {e}"))?;
        // What waits at a call ends once its answer is out.
        for r in judge.reqs.values_mut() {
            r.over |= r.answered && matches!(r.at, At::Waiting);
        }
    }
    // Left alone, all is answered in time.
    while judge
        .leaving
        .map_or(s.now < 14_000.0, |(_, kill)| s.now + 20.0 < kill)
    {
        let now = s.now + 20.0;
        let actions = s.at(now, &[Event::Wake(Gauges::default())]);
        judge
            .judge(now, &actions)
            .map_err(|e| format!("variant {n} left alone at {now}: {e}"))?;
    }
    match judge
        .reqs
        .iter()
        .find(|(_, r)| !r.answered && judge.leaving.is_some())
    {
        Some((id, _)) => Err(format!("variant {n}: {id} has no answer at the stop")),
        None => Ok(()),
    }
}

#[test]
fn the_four_rules_hold_under_arbitrary_events() {
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 300,
            failure_persistence: None,
            max_shrink_iters: 300,
            ..Config::default()
        },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let input = (
        0u32..1944,
        prop::collection::vec((any::<u8>(), any::<u16>()), 1..250),
    );
    if let Err(e) = runner.run(&input, |(n, steps)| {
        play(n, &steps).map_err(TestCaseError::fail)
    }) {
        panic!("{e}");
    }
}

#[test]
fn the_judge_finds_each_break() {
    let id = RequestId(1);
    let judged = |class, at, ran, now, actions: &[Action]| {
        let mut judge = Judge::new(settings());
        let seen = Seen {
            class,
            at,
            arrived: 0.0,
            due: 100.0,
            ran,
            answered: false,
            no_more_calls: ran,
            over: false,
        };
        judge.reqs.insert(1, seen);
        judge.leaving = Some((-5000.0, 1e9));
        judge.judge(now, actions).is_err()
    };
    let refuse = Action::Reject {
        id,
        retry_after: Span(0),
        give_up: false,
    };
    assert!(judged(2, At::Held, true, 1.0, &[Action::Run(id)]));
    assert!(judged(0, At::Held, false, 1.0, &[Action::Run(id)]));
    assert!(judged(
        2,
        At::OnCore,
        true,
        1.0,
        std::slice::from_ref(&refuse)
    ));
    assert!(judged(
        2,
        At::Waiting,
        true,
        1.0,
        &[Action::Call(id, Span(1))]
    ));
    assert!(judged(
        0,
        At::Held,
        false,
        1.0,
        &[refuse.clone(), Action::Fail(id)]
    ));
    assert!(judged(0, At::Held, false, 161.0, &[]));
    assert!(!judged(0, At::Held, false, 1.0, &[refuse]));
}
