//! Checks the policy's four guarantees under arbitrary valid sequences of events, from its actions
//! alone: each request is answered once and in time, runs no more often than it may, and the limits
//! on memory and on concurrency hold. Seeds are fixed.

mod common;

use std::collections::BTreeMap;

use common::*;
use policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Queued,
    Joined,
    OnCore,
    WaitingToCall,
    Calling,
    Ended,
}

struct ObservedRequest {
    class: usize,
    phase: Phase,
    arrived_ms: f64,
    deadline_ms: f64,
    has_run: bool,
    is_answered: bool,
    may_call: bool,
    /// The request whose run this one joins.
    duplicate_of: Option<u64>,
}

/// The time of a shutdown notice, and the time at which the process is stopped, in ms.
#[derive(Clone, Copy)]
struct Shutdown {
    announced_ms: f64,
    stops_ms: f64,
}

/// The state that the events and actions so far have led to, as far as the guarantees depend on it.
struct Checker {
    settings: Settings,
    requests: BTreeMap<u64, ObservedRequest>,
    /// Remembered idempotency keys and their expiry times in ms.
    keys: BTreeMap<u64, f64>,
    shutdown: Option<Shutdown>,
}

impl Checker {
    fn new(settings: Settings) -> Checker {
        Checker { settings, requests: BTreeMap::new(), keys: BTreeMap::new(), shutdown: None }
    }

    /// Returns one of the requests in these phases, selected by an arbitrary number.
    fn pick(&self, number: usize, phases: &[Phase]) -> Option<u64> {
        let candidates = self.requests.iter().filter(|(_, request)| phases.contains(&request.phase));
        let ids: Vec<u64> = candidates.map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[number % ids.len()])
    }

    /// Returns true if any caller waits for the end of a request's run.
    fn is_run_awaited(&self, id: u64) -> bool {
        let is_unanswered = |request: &ObservedRequest| !request.is_answered;
        let has_joined = |request: &ObservedRequest| {
            request.duplicate_of == Some(id) && request.phase == Phase::Joined && !request.is_answered
        };
        self.requests.get(&id).is_some_and(is_unanswered) || self.requests.values().any(has_joined)
    }

    fn request(&mut self, id: u64) -> &mut ObservedRequest {
        self.requests.get_mut(&id).expect("a known request")
    }

    /// Applies the actions of one decision, and returns an error if they violate a guarantee.
    fn check(&mut self, now_ms: f64, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            self.check_action(now_ms, action)?;
        }
        self.keys.retain(|_, expires_ms| *expires_ms > now_ms);
        self.check_answers(now_ms)?;
        self.check_limits()
    }

    fn check_action(&mut self, now_ms: f64, action: &Action) -> Result<(), String> {
        match action {
            Action::Run(id) => self.check_run(id.0),
            Action::Reject { id, .. } => self.check_answer(now_ms, id.0, true),
            Action::Fail(id) => self.check_answer(now_ms, id.0, false),
            Action::Call(id, _) => {
                let is_awaited = self.is_run_awaited(id.0);
                let request = self.requests.get_mut(&id.0).ok_or("calls for an unknown request")?;
                if request.phase != Phase::WaitingToCall || !request.may_call || !is_awaited {
                    return Err(format!("{id:?} makes a call that is not allowed"));
                }
                request.phase = Phase::Calling;
                Ok(())
            }
            Action::Join(id) => {
                self.requests.get_mut(&id.0).ok_or("joins an unknown request")?.phase = Phase::Joined;
                Ok(())
            }
            Action::Stop(_) if self.settings.preemption == Preemption::Unsupported => {
                Err("stops a run".into())
            }
            Action::SkipCall(_) => Err("skips a call".into()),
            Action::SetCapacityHint(_) if self.settings.capacity_hint == CapacityHint::Off => {
                Err("sets a capacity hint".into())
            }
            Action::RememberKey(id, span) => {
                self.keys.insert(id.0, now_ms + span.ms());
                Ok(())
            }
            Action::ForgetKey(id) => {
                self.keys.remove(&id.0);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_run(&mut self, id: u64) -> Result<(), String> {
        let request = self.requests.get_mut(&id).ok_or("runs an unknown request")?;
        let idempotency = self.settings.classes[request.class].idempotency;
        let runs_again = request.has_run && idempotency != Idempotency::Idempotent;
        if runs_again || request.is_answered || request.phase != Phase::Queued {
            return Err(format!("{id} runs although it must not"));
        }
        let grace_ms = self.settings.drain_grace.ms();
        if self.shutdown.is_some_and(|shutdown| request.arrived_ms > shutdown.announced_ms + grace_ms) {
            return Err(format!("{id} runs although it arrived after the drain grace"));
        }
        if idempotency == Idempotency::ByKey && !self.keys.contains_key(&id) {
            return Err(format!("{id} runs although its key is not remembered"));
        }
        request.has_run = true;
        request.phase = Phase::OnCore;
        Ok(())
    }

    fn check_answer(&mut self, now_ms: f64, id: u64, is_rejection: bool) -> Result<(), String> {
        let request = self.requests.get_mut(&id).ok_or("answers an unknown request")?;
        if request.is_answered {
            return Err(format!("{id} is answered twice"));
        }
        let is_idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        if is_rejection && request.has_run && !is_idempotent {
            return Err(format!("{id} is rejected after its run"));
        }
        if now_ms > request.deadline_ms + self.settings.answer_slack.ms() {
            return Err(format!("{id} is answered late"));
        }
        request.is_answered = true;
        if matches!(request.phase, Phase::Queued | Phase::Joined) {
            request.phase = Phase::Ended;
        }
        Ok(())
    }

    fn check_answers(&self, now_ms: f64) -> Result<(), String> {
        let slack_ms = self.settings.answer_slack.ms();
        let has_stopped = self.shutdown.is_some_and(|shutdown| now_ms >= shutdown.stops_ms);
        let mut unanswered = self.requests.values().filter(|request| !request.is_answered);
        if unanswered.any(|request| has_stopped || now_ms > request.deadline_ms + slack_ms) {
            return Err("a request is not answered in time".into());
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), String> {
        let settings = &self.settings;
        let count = |phase: Phase| {
            let requests = self.requests.values();
            requests.filter(|request| request.phase == phase).count() as f64
        };
        let runs = count(Phase::OnCore) + count(Phase::WaitingToCall) + count(Phase::Calling);
        let waiting = count(Phase::Queued) + count(Phase::Joined);
        let requests_kb = 10.0 * (waiting + runs * settings.run_memory_factor);
        if requests_kb + self.keys.len() as f64 * settings.key_kb > settings.memory_kb {
            return Err("uses too much memory".into());
        }
        // With these settings a cold server stays cold, so only the minimum speed is guaranteed.
        let speed = if settings.starts_cold { settings.start_capacity } else { 1.0 };
        let per_core = 1.0 + (settings.concurrency_per_core - 1.0) * speed;
        if count(Phase::OnCore) > per_core * f64::from(settings.cores) {
            return Err("runs too many requests at once".into());
        }
        if count(Phase::Calling) > settings.call_quota.max(1.0) {
            return Err("makes too many calls at once".into());
        }
        Ok(())
    }
}

/// Returns one of 1944 combinations of settings.
fn settings_variant(number: u32) -> Settings {
    let mut set = settings();
    let number = number as usize;
    let preemptions = [Preemption::Unsupported, Preemption::DiscardsWork, Preemption::KeepsWork];
    let hints =
        [CapacityHint::Off, CapacityHint::PriorityFloor, CapacityHint::Allowance, CapacityHint::Weight];
    set.preemption = preemptions[number % 3];
    set.capacity_hint = hints[number / 3 % 4];
    set.dependency = [Dependency::Shared, Dependency::None, Dependency::Tier][number / 12 % 3];
    set.call_quota = [4.0, 0.4, 1.5][number / 36 % 3];
    if set.dependency != Dependency::Shared {
        set.call_quota = 1e9;
    }
    set.starts_cold = number / 108 % 2 == 1;
    set.warm_up = Span::from_ms(1e7);
    set.memory_kb = [2000.0, 120.0, 400.0][number / 216 % 3];
    set.cores = [2, 1, 4][number / 648 % 3];
    set.run_memory_factor = [4.0, 16.0][number % 2];
    set.answer_slack = Span::from_ms(60.0);
    set.drain_grace = Span::from_ms([1000.0, 0.0][number % 2]);
    set
}

/// A server, and the checker of its actions.
struct Scenario {
    server: Server,
    checker: Checker,
    last_id: u64,
}

impl Scenario {
    /// Returns the events that a random operation stands for, if they are possible now.
    fn events(&mut self, operation: u8, number: usize) -> Vec<Event> {
        match operation % 16 {
            0..=6 => (0..=number % 4).map(|offset| self.read_request(number, offset)).collect(),
            7..=9 => self.end_run(number).into_iter().collect(),
            10 | 11 => self.request_call(number).into_iter().collect(),
            12 | 13 => self.end_call(number).into_iter().collect(),
            14 => self.cancel_request(number).into_iter().collect(),
            _ => self.announce_shutdown(number).into_iter().collect(),
        }
    }

    fn read_request(&mut self, number: usize, offset: usize) -> Event {
        self.last_id += 1;
        let now_ms = self.server.now;
        let class = (number + offset) % 3;
        let age_ms = [0.0, 3.0, 400.0][number % 3];
        let wait_ms = (!number.is_multiple_of(5)).then_some(20.0 + (number % 997) as f64 * 3.0);
        let key = self.checker.keys.keys().copied().nth(number % 7);
        let duplicate_of = key.filter(|_| class == 1 && number.is_multiple_of(2)).map(RequestId);
        let observed = ObservedRequest {
            class,
            phase: Phase::Queued,
            arrived_ms: now_ms - age_ms,
            deadline_ms: wait_ms.map_or((now_ms - age_ms + 6000.0).max(now_ms), |wait_ms| now_ms + wait_ms),
            // A duplicate of a run must never run itself.
            has_run: duplicate_of.is_some(),
            is_answered: false,
            may_call: true,
            duplicate_of: duplicate_of.map(|original| original.0),
        };
        self.checker.requests.insert(self.last_id, observed);
        Event::RequestRead(Request {
            age: Span::from_ms(age_ms),
            remaining_wait: wait_ms.map(Span::from_ms),
            is_retry: number.is_multiple_of(6),
            duplicate_of,
            ..request(self.last_id, class)
        })
    }

    fn end_run(&mut self, number: usize) -> Option<Event> {
        let id = self.checker.pick(number, &[Phase::OnCore, Phase::Joined])?;
        let request = self.checker.request(id);
        request.phase = Phase::Ended;
        request.is_answered = true;
        let outcome = if number.is_multiple_of(8) { RunOutcome::Failed } else { RunOutcome::Served };
        Some(Event::RunEnded(RequestId(id), outcome))
    }

    fn request_call(&mut self, number: usize) -> Option<Event> {
        let id = self.checker.pick(number, &[Phase::OnCore])?;
        if !self.checker.is_run_awaited(id) {
            return None;
        }
        self.checker.request(id).phase = Phase::WaitingToCall;
        Some(Event::CallRequested(RequestId(id)))
    }

    fn end_call(&mut self, number: usize) -> Option<Event> {
        let id = self.checker.pick(number, &[Phase::Calling])?;
        let outcomes = [CallOutcome::Succeeded, CallOutcome::Failed, CallOutcome::NotExecuted];
        let outcome = outcomes[number % 3];
        let class = self.checker.request(id).class;
        let is_idempotent = self.checker.settings.classes[class].idempotency == Idempotency::Idempotent;
        let request = self.checker.request(id);
        let has_succeeded = outcome == CallOutcome::Succeeded;
        request.phase = if has_succeeded { Phase::OnCore } else { Phase::WaitingToCall };
        request.may_call &= outcome != CallOutcome::Failed || is_idempotent;
        Some(Event::CallEnded(RequestId(id), outcome, Span::from_ms(30.0)))
    }

    fn cancel_request(&mut self, number: usize) -> Option<Event> {
        let id = self.checker.pick(number, &[Phase::Queued, Phase::OnCore, Phase::Joined])?;
        let request = self.checker.request(id);
        if request.phase != Phase::OnCore {
            request.phase = Phase::Ended;
        }
        request.is_answered = true;
        Some(Event::CallerStoppedWaiting(RequestId(id)))
    }

    fn announce_shutdown(&mut self, number: usize) -> Option<Event> {
        if !number.is_multiple_of(50) || self.checker.shutdown.is_some() {
            return None;
        }
        let now_ms = self.server.now;
        self.checker.shutdown = Some(Shutdown { announced_ms: now_ms, stops_ms: now_ms + 2500.0 });
        Some(Event::ShutdownNotice(Span::from_ms(2500.0)))
    }

    fn handle(&mut self, now_ms: f64, events: &[Event]) -> Result<(), String> {
        let actions = self.server.handle_at(now_ms, events);
        self.checker.check(now_ms, &actions).map_err(|error| format!("at {now_ms}: {error}"))
    }

    /// Returns true if the process is stopped before the next step.
    fn stops_before_next_step(&self) -> bool {
        self.checker.shutdown.is_some_and(|shutdown| self.server.now + 20.0 >= shutdown.stops_ms)
    }
}

fn run_scenario(variant: u32, steps: &[(u8, u16)]) -> Result<(), String> {
    let settings = settings_variant(variant);
    let server = Server::new(settings.clone());
    let mut scenario = Scenario { server, checker: Checker::new(settings), last_id: 0 };
    for (operation, number) in steps.iter().copied() {
        let number = usize::from(number);
        if scenario.stops_before_next_step() {
            break;
        }
        scenario.server.now += 2.0 + (number % 9) as f64 * 2.0;
        let gauges = Gauges { runnable: Some((number % 4) as f64), ..Gauges::default() };
        let mut events = vec![Event::Wake(gauges)];
        events.extend(scenario.events(operation, number));
        scenario.handle(scenario.server.now, &events)?;
    }
    // Without further events, all requests are still answered in time.
    let has_shutdown = scenario.checker.shutdown.is_some();
    while !scenario.stops_before_next_step() && (has_shutdown || scenario.server.now < 14_000.0) {
        scenario.handle(scenario.server.now + 20.0, &[Event::Wake(Gauges::default())])?;
    }
    let mut requests = scenario.checker.requests.iter();
    match requests.find(|(_, request)| !request.is_answered && has_shutdown) {
        Some((id, _)) => Err(format!("{id} has no answer when the process stops")),
        None => Ok(()),
    }
}

#[test]
fn the_four_guarantees_hold_under_arbitrary_events() {
    let config = Config { cases: 300, failure_persistence: None, max_shrink_iters: 300, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let input = (0u32..1944, prop::collection::vec((any::<u8>(), any::<u16>()), 1..250));
    let result = runner.run(&input, |(variant, steps)| {
        let result = run_scenario(variant, &steps);
        result.map_err(|error| TestCaseError::fail(format!("variant {variant} {error}")))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn the_checker_finds_each_violation() {
    let id = RequestId(1);
    let is_violation = |class, phase, has_run, now_ms, actions: &[Action]| {
        let mut checker = Checker::new(settings());
        let request = ObservedRequest {
            class,
            phase,
            arrived_ms: 0.0,
            deadline_ms: 100.0,
            has_run,
            is_answered: false,
            may_call: !has_run,
            duplicate_of: None,
        };
        checker.requests.insert(1, request);
        checker.shutdown = Some(Shutdown { announced_ms: -5000.0, stops_ms: 1e9 });
        checker.check(now_ms, actions).is_err()
    };
    let reject = Action::Reject { id, retry_after: Span(0), give_up: false };
    assert!(is_violation(2, Phase::Queued, true, 1.0, &[Action::Run(id)]));
    assert!(is_violation(0, Phase::Queued, false, 1.0, &[Action::Run(id)]));
    assert!(is_violation(2, Phase::OnCore, true, 1.0, std::slice::from_ref(&reject)));
    assert!(is_violation(2, Phase::WaitingToCall, true, 1.0, &[Action::Call(id, Span(1))]));
    // Nobody waits for the run any more.
    let failed_and_calls = [Action::Fail(id), Action::Call(id, Span(1))];
    assert!(is_violation(0, Phase::WaitingToCall, false, 1.0, &failed_and_calls));
    assert!(is_violation(0, Phase::Queued, false, 1.0, &[reject.clone(), Action::Fail(id)]));
    assert!(is_violation(0, Phase::Queued, false, 161.0, &[]));
    assert!(!is_violation(0, Phase::Queued, false, 1.0, &[reject]));
}
