//! Signals to callers and health checks, and the limits that keep the server from failing.

use crate::admission::{OVERLOADED_FLEET_FRACTION, USABLE_FRACTION};
use crate::request::Phase;
use crate::scheduling::TARGET_WAIT_FRACTION;
use crate::{Action, CapacityHint, Gauges, Policy, Span};

/// Wait in the queue, as a fraction of the mean latency objective, that callers may cause here.
const ACCEPTABLE_WAIT_FRACTION: f64 = 0.1;
/// Number of lifetimes of a capacity hint in which the priority floor crosses its range.
const FLOOR_RANGE_LIFETIMES: f64 = 4.0;
/// The server is congested if requests wait to be read for this fraction of the mean latency
/// objective.
const CONGESTED_READ_DELAY_FRACTION: f64 = 0.4;
/// The server is also congested if its mean run takes this fraction of the mean latency objective.
/// At 0.6, servers that are merely slow were taken out of service.
const CONGESTED_RUN_FRACTION: f64 = 1.2;
/// The congestion is local to this server if its work takes longer than estimated by this factor.
const LOCAL_SLOWDOWN: f64 = 1.5;
/// Factor by which the run limit rises with each reading of the gauges that shows idle cores while
/// requests are queued, and falls with each that shows none.
const RUN_LIMIT_STEP: f64 = 1.25;

impl Policy {
    pub(crate) fn cores(&self) -> f64 {
        f64::from(self.settings.cores)
    }

    pub(crate) fn memory_in_use_kb(&self) -> f64 {
        self.observed.memory_kb + self.observed.keys.len() as f64 * self.settings.key_kb
    }

    /// Returns the number of requests on the cores and in calls, all of which may return to the
    /// cores at the same time, and of runs of an earlier process.
    pub(crate) fn concurrency(&self) -> f64 {
        (self.observed.on_core + self.calls.in_progress) as f64 + self.observed.inherited_runs
    }

    /// Returns the number of runs on the cores, without those that may never have started.
    pub(crate) fn certain_runs(&self) -> usize {
        self.observed.on_core.saturating_sub(self.observed.runs_in_doubt)
    }

    /// Returns the number of runs that may not exist: those that may never have started, and those
    /// of an earlier process.
    pub(crate) fn uncertain_runs(&self) -> f64 {
        self.observed.runs_in_doubt as f64 + self.observed.inherited_runs
    }

    /// Returns true if the server can sustain one more run. If uncertain runs occupy all
    /// concurrency, the reserve is available to a few others: if none could run, nothing would ever
    /// show what became of the uncertain ones.
    pub(crate) fn can_sustain_another_run(&self) -> bool {
        let (concurrency, limit) = (self.concurrency(), self.max_concurrency());
        let reserve = self.reserved_concurrency();
        let certain = concurrency - self.uncertain_runs();
        concurrency < limit
            || certain < reserve && concurrency < limit + reserve
            || certain <= 0.0 && limit > 0.0 && self.may_start_probe_run()
    }

    /// Returns true if one probe run may start next to uncertain runs although no whole slot is
    /// reserved for it: the machine can sustain it, or the gauges have shown no other run for a
    /// long time. They may show none in a hang, too.
    fn may_start_probe_run(&self) -> bool {
        let window = self.settings.concurrency_window;
        let is_idle = self.observed.idle_since.is_some_and(|since| since + window + window <= self.now);
        is_idle || self.uncertain_runs() + 1.0 <= self.sustainable_concurrency()
    }

    /// Returns the number of whole runs that the server can sustain beyond the limit on
    /// concurrency.
    fn reserved_concurrency(&self) -> f64 {
        (self.sustainable_concurrency().floor() - self.max_concurrency()).max(0.0)
    }

    /// Returns the limit on concurrency. It is lower while the server is cold, as its speed rises
    /// at least linearly.
    pub(crate) fn max_concurrency(&self) -> f64 {
        // Only the process with more than half of the shares always has a slot.
        let least = if self.observed.concurrency_share > 0.5 { 1.0 } else { 0.0 };
        (USABLE_FRACTION * self.sustainable_concurrency()).floor().max(least)
    }

    /// Returns this process's share of the sustainable concurrency. The share is of the whole, as
    /// shares of only what exceeds one run per core would add up to more.
    fn sustainable_concurrency(&self) -> f64 {
        let above_one = (self.settings.concurrency_per_core - 1.0).max(0.0) * self.speed_fraction();
        self.cores() * (1.0 + above_one) * self.observed.concurrency_share
    }

    /// Returns the minimum speed that the server has reached, as a fraction of its full speed.
    fn speed_fraction(&self) -> f64 {
        let age_ms = (self.now - self.observed.started_at.unwrap_or(self.now)).ms();
        let age = age_ms / self.settings.warm_up.ms().max(1.0);
        let initial = if self.settings.starts_cold { self.settings.start_capacity } else { 1.0 };
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Returns true if the node is draining and should be avoided. It is not while only the process
    /// is being replaced.
    fn is_draining(&self) -> bool {
        self.observed.drains_from.is_some_and(|from| from <= self.now)
    }

    /// Returns the time between two checks of the gauges and of deadlines.
    pub(crate) fn decision_period(&self) -> Span {
        Span((self.settings.answer_slack.0 / 3).max(2 * self.settings.decision_interval.0).max(1000))
    }

    /// Adjusts the run limit to a reading of the gauges: if cores are idle although the limit is
    /// reached, some runs are waiting for something else.
    pub(crate) fn adjust_run_limit(&mut self, gauges: &Gauges) {
        self.observed.is_schedule_stale = true;
        let own_runs = self.certain_runs() as f64;
        let is_idle = gauges.runnable.is_none_or(|runnable| runnable < own_runs + 0.5);
        self.observed.idle_since = is_idle.then(|| self.observed.idle_since.unwrap_or(self.now));
        let has_queue = self.requests.values().any(|request| request.phase == Phase::Queued);
        let has_idle_cores = gauges.runnable.is_some_and(|runnable| runnable < self.cores() - 0.5);
        if has_idle_cores && has_queue && self.observed.on_core as f64 >= self.run_limit.floor() {
            self.run_limit = (self.run_limit * RUN_LIMIT_STEP).min(self.max_concurrency());
        } else if !has_idle_cores {
            self.run_limit = (self.run_limit / RUN_LIMIT_STEP).max(self.cores());
        }
    }

    /// Returns how long callers should wait after a rejection: until the wait in the queue is back
    /// at its target.
    pub(crate) fn retry_after(&self) -> Span {
        let queued = self.requests.values().filter(|request| request.phase == Phase::Queued);
        let queued_ms: f64 = queued.map(|_| self.mean_run_ms()).sum();
        let wait_ms = queued_ms / self.cores() + self.observed.traffic.read_delay_ms;
        let excess_ms = wait_ms - TARGET_WAIT_FRACTION * self.observed.traffic.mean_objective_ms;
        // If runs exceed their objectives, quick rejections attract callers that choose servers by
        // response time.
        let cannot_serve_in_time =
            self.is_draining() || self.mean_run_ms() > self.observed.traffic.mean_objective_ms;
        let retry_after_ms = if cannot_serve_in_time { f64::MAX } else { excess_ms.max(0.0) };
        Span::from_ms(retry_after_ms.min(self.settings.max_retry_after.ms()))
    }

    /// Adjusts the priority floor, as requests that would be rejected here need not be sent. While
    /// many are rejected, the floor rises, slowly enough to see its effect. It rises over the
    /// classes that weigh less than the mean and no further, as requests of one class are alike. It
    /// falls equally slowly. The floor wastes capacity if only this server is overloaded.
    pub(crate) fn adjust_priority_floor(&mut self, elapsed_ms: f64) {
        // The last class is the one of requests whose class is not listed.
        let classes = &self.settings.classes[..self.settings.classes.len() - 1];
        let total_weight = classes.iter().map(|class| class.priority_weight).sum::<f64>();
        let mean_weight = total_weight / classes.len() as f64;
        let below_mean = classes.iter().filter(|class| class.priority_weight < mean_weight).count();
        let highest = below_mean as f64 / classes.len() as f64;
        let step = elapsed_ms / (FLOOR_RANGE_LIFETIMES * self.settings.capacity_hint_lifetime.ms()).max(1.0);
        let rises = self.observed.traffic.rejection_fraction > OVERLOADED_FLEET_FRACTION;
        let floor = self.observed.priority_floor + if rises { step } else { -step };
        self.observed.priority_floor = floor.clamp(0.0, highest);
    }

    pub(crate) fn publish_signals(&mut self, out: &mut Vec<Action>) {
        if self.observed.next_wake_at.is_none_or(|wake_at| wake_at <= self.now) {
            self.observed.next_wake_at = Some(self.now + self.decision_period());
            out.push(Action::WakeIn(self.decision_period()));
        }
        let is_congested = self.is_congested_now();
        if is_congested != self.observed.is_congested && !self.is_draining() {
            self.observed.is_congested = is_congested;
            self.observed.health_changed_at = Some(self.now);
            out.push(Action::SetHealth(!is_congested));
        }
        let Some(hint) = self.capacity_hint() else { return };
        if self.observed.published_hint.is_none_or(|last| (hint - last).abs() > 0.1 * last.max(0.1)) {
            self.observed.published_hint = Some(hint);
            out.push(Action::SetCapacityHint(hint));
        }
    }

    /// Returns true if the server should report itself unhealthy. With a read delay as long as the
    /// objectives, all waiting requests are too late to be useful, so the server leaves the
    /// endpoint lists: for a fifth of the time at most, as all servers may be congested, and not if
    /// retries show that others reject as well. If the server is cold, or slower than estimated,
    /// the congestion is local: the server stays out for as long as that lasts, unless there are so
    /// many retries that the whole fleet must be slow.
    fn is_congested_now(&self) -> bool {
        let traffic = &self.observed.traffic;
        let was_congested = self.observed.is_congested;
        let period = self.settings.concurrency_window.0;
        let since_change = self.observed.health_changed_at.map_or(i64::MAX, |at| (self.now - at).0);
        let is_local = self.speed_fraction() < 1.0 || self.slowdown() > LOCAL_SLOWDOWN;
        let may_be_unhealthy = if was_congested { since_change < period } else { since_change > 4 * period };
        let read_limit = if was_congested { ACCEPTABLE_WAIT_FRACTION } else { CONGESTED_READ_DELAY_FRACTION };
        let run_limit = if was_congested { CONGESTED_RUN_FRACTION / 2.0 } else { CONGESTED_RUN_FRACTION };
        let reads_late = traffic.read_delay_ms > read_limit * traffic.mean_objective_ms;
        // A hang stops work but not reading: it shows only in runs that exceed their objectives.
        let runs_late = self.mean_run_ms() > run_limit * traffic.mean_objective_ms;
        let retry_limit = if is_local { 3.0 * OVERLOADED_FLEET_FRACTION } else { OVERLOADED_FLEET_FRACTION };
        let others_have_capacity = traffic.retry_fraction < retry_limit;
        others_have_capacity && ((is_local || may_be_unhealthy) && reads_late || runs_late)
    }

    fn capacity_hint(&self) -> Option<f64> {
        // If endpoint lists do not follow health checks, the hint keeps callers away instead.
        let is_congested_but_listed =
            self.observed.is_congested && !self.settings.endpoint_lists_follow_health;
        let signals_no_capacity = self.is_draining() || is_congested_but_listed;
        let requests = self.acceptable_requests();
        match self.settings.capacity_hint {
            CapacityHint::Off => None,
            CapacityHint::PriorityFloor if signals_no_capacity => Some(1.0),
            CapacityHint::PriorityFloor => Some(self.observed.priority_floor),
            CapacityHint::Allowance | CapacityHint::Weight if signals_no_capacity => Some(0.0),
            CapacityHint::Allowance => {
                let callers = self.observed.traffic.effective_callers();
                Some(requests / callers.unwrap_or(f64::from(self.settings.callers)).max(1.0))
            }
            CapacityHint::Weight => Some((requests / (self.requests.len() as f64).max(1.0)).min(1.0)),
        }
    }

    fn acceptable_requests(&self) -> f64 {
        let run_ms = self.mean_run_ms().max(1.0);
        let wait_ms = ACCEPTABLE_WAIT_FRACTION * self.observed.traffic.mean_objective_ms;
        self.cores() * (1.0 + (wait_ms + self.calls.durations.mean_ms()) / run_ms)
    }
}
