//! The policy's state, and its handling of events and elapsed time.

use std::collections::BTreeMap;

use crate::dependency_calls::CALL_QUOTA_FRACTION;
use crate::estimates::{ClassEstimates, Observations};
use crate::request::{Phase, RequestState};
use crate::statistics::{decay_factor, CallStatistics, Sketch, TrafficStatistics};
use crate::{Action, Class, Event, RequestId, Settings, SettingsError, Span, Time};

/// Shortest timeout in ms after which idle connections are closed.
const MIN_IDLE_TIMEOUT_MS: f64 = 10.0;

/// Makes the decisions of one server. Times and work are in ms, memory is in kB; see the crate's
/// documentation.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) in_flight_by_tenant: Sketch,
    pub(crate) observed: Observations,
    pub(crate) calls: CallStatistics,
    pub(crate) estimates: Vec<ClassEstimates>,
    /// Number of requests rejected so far because of their tenants' requests in flight on other
    /// servers.
    pub fleet_limit_rejections: u64,
    /// Maximum number of runs on the cores at the same time; never raised beyond what the server
    /// can sustain.
    pub(crate) run_limit: f64,
}

impl Policy {
    /// Creates the policy of a newly started server. The seed determines how tenants hash to the
    /// cells of the sketch.
    /// # Errors
    /// Returns a [`SettingsError`] if the settings are invalid.
    pub fn new(mut settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        settings.check()?;
        settings.classes.push(unlisted_class(&settings.classes));
        let traffic = TrafficStatistics::new(&settings);
        Ok(Policy {
            now: Time(0),
            requests: BTreeMap::new(),
            in_flight_by_tenant: Sketch::new(seed),
            observed: Observations { traffic, concurrency_share: 1.0, ..Observations::default() },
            calls: CallStatistics::default(),
            estimates: settings.classes.iter().map(ClassEstimates::new).collect(),
            fleet_limit_rejections: 0,
            run_limit: f64::from(settings.cores),
            settings,
        })
    }

    /// Handles the events up to `now` and appends the resulting actions. Without events, only time
    /// advances.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        if self.observed.started_at.is_none() {
            self.start(now, out);
        }
        self.advance_to(now);
        for event in events {
            self.handle_event(event, out);
        }
        self.answer_overdue(out);
        self.shed_for_memory(out);
        self.schedule(out);
        self.make_calls(out);
        self.publish_signals(out);
    }

    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::RequestRead(request) => self.receive(request, out),
            Event::RunEnded(id, outcome) => self.end_run(*id, *outcome),
            Event::CallRequested(id) => {
                if self.requests.get(id).is_some_and(|request| request.phase == Phase::OnCore) {
                    self.set_phase(*id, Phase::WaitingToCall(self.now));
                }
            }
            Event::CallEnded(id, outcome, took) => self.end_call(*id, *outcome, *took, out),
            Event::CallerStoppedWaiting(id) => self.cancel_request(*id, out),
            Event::ShutdownNotice(time_left) => {
                self.observed.drains_from = Some(self.now);
                self.observed.stops_at = Some(self.now + *time_left);
                out.push(Action::SetHealth(false));
            }
            Event::ReplacementNotice(time_left) => {
                self.observed.drains_from = None;
                self.observed.stops_at = Some(self.now + *time_left);
            }
            // In the settings 0 means no limit, so a quota of 0 becomes a small one. The quota
            // already includes the headroom, so dividing by the fraction that `call_limit` applies
            // cancels it.
            Event::CallQuotaChanged(quota) => self.settings.call_quota = quota.max(0.1) / CALL_QUOTA_FRACTION,
            Event::ResourceShareChanged { memory_kb, concurrency_share, call_quota } => {
                self.settings.memory_kb = *memory_kb;
                self.observed.concurrency_share = *concurrency_share;
                self.settings.call_quota = call_quota.unwrap_or(self.settings.call_quota);
            }
            Event::RunsInDoubt(runs) => {
                self.observed.runs_in_doubt = *runs;
                self.observed.is_schedule_stale = true;
            }
            Event::RunsInherited(runs) => self.observed.inherited_runs = *runs,
            Event::UnconfirmedCalls(calls) => self.calls.unconfirmed = *calls,
            Event::FleetLoad { servers, in_flight_elsewhere } => {
                self.observed.servers_counted = *servers;
                self.observed.in_flight_elsewhere.clone_from(in_flight_elsewhere);
            }
            Event::Wake(gauges) => self.adjust_run_limit(gauges),
        }
    }

    fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.now = now;
        self.observed.started_at = Some(now);
        out.push(Action::SetHealth(true));
        // Open connections take capacity, and new ones cost work. If callers are few for the
        // requests that the server can sustain, each soon sends its next request and keeps its
        // connection. If callers are many, closing idle connections is cheaper.
        let sustained = self.settings.concurrency_per_core * self.cores();
        let has_few_callers = f64::from(self.settings.callers) <= 2.0 * sustained;
        let longest_ms = if has_few_callers { f64::MAX } else { MIN_IDLE_TIMEOUT_MS };
        let idle_ms = self.settings.caller_idle_timeout.ms().min(longest_ms);
        out.push(Action::CloseIdleConnections(Span::from_ms(idle_ms)));
    }

    /// Advances clocks, decaying sums and expiry times to `now`.
    fn advance_to(&mut self, now: Time) {
        let elapsed_ms = (now - self.now).ms().max(0.0);
        self.now = now;
        // The time of runs that may not exist is left out: it would make the machine look slow, and
        // then nothing would be run.
        let (running, cores) = (self.certain_runs() as f64, self.cores());
        // Statistics decay as fast as the server itself distinguishes a brief overload from a
        // lasting one.
        let keep = decay_factor(elapsed_ms, self.settings.concurrency_window.ms());
        self.observed.cores.advance(elapsed_ms, running, cores, keep);
        self.observed.traffic.advance(elapsed_ms, keep);
        self.observed.keys.retain(|_, expires_at| *expires_at > now);
        self.calls.advance(now, elapsed_ms, keep, self.settings.call_quota_window.ms());
        self.adjust_priority_floor(elapsed_ms);
    }
}

/// Returns the class of requests whose class is not listed: they run at most once, with the lowest
/// weight and the shortest objective and deadline of all classes.
fn unlisted_class(classes: &[Class]) -> Class {
    let least = |span: fn(&Class) -> Span| classes.iter().map(span).min().unwrap_or_default();
    Class {
        latency_objective: least(|class| class.latency_objective),
        deadline: least(|class| class.deadline),
        priority_weight: classes.iter().map(|class| class.priority_weight).fold(f64::MAX, f64::min),
        may_call: true,
        ..Class::default()
    }
}
