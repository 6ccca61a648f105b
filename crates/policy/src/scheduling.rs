//! Scheduling: which queued requests get a slot in time, in which order they run, and which are
//! rejected.

use crate::admission::USABLE_FRACTION;
use crate::request::{Phase, RequestState};
use crate::{Action, Policy, RequestId};

/// Fraction of its latency objective after which a queued request has waited too long.
pub(crate) const TARGET_WAIT_FRACTION: f64 = 0.25;
/// Further fraction of the latency objective after which the queued request is rejected.
const LATE_WAIT_FRACTION: f64 = 0.5;
/// A request is beyond its tenant's share if its weight is below this fraction of the mean weight.
const OVER_SHARE_WEIGHT_FRACTION: f64 = 0.5;
/// A slot is assigned only if a run that exceeds its mean by this many mean deviations still ends
/// in time.
const LONG_RUN_DEVIATIONS: f64 = 2.0;
/// Reading is behind if the read delay exceeds this fraction of the mean latency objective.
const READING_BEHIND_FRACTION: f64 = 0.2;

/// Rank of a queued request. Requests of the first rank get slots first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    WithinShare,
    OverShare,
    TooLateForObjective,
}

struct QueuedCandidate {
    id: RequestId,
    rank: Rank,
    /// Priority weight per ms of work; the weight itself if weights apply to each unit of work.
    value: f64,
    /// Latest start that meets the objective, in ms from now.
    latest_start_ms: f64,
    /// Excess of a long run over the mean in ms. A first slot needs this slack, unless it starts at
    /// once.
    margin_ms: f64,
    work_ms: f64,
    calls: f64,
}

#[derive(Default)]
struct Backlog {
    /// Work in ms, and calls, that started requests still need.
    started_work_ms: f64,
    calls: f64,
    candidates: Vec<QueuedCandidate>,
    /// True if some request has waited too long, and the requests to be rejected for that.
    is_late: bool,
    to_reject: Vec<RequestId>,
}

impl Policy {
    /// Assigns slots to queued requests in order of their value, rejects the others, and starts the
    /// runs that the limits allow.
    pub(crate) fn schedule(&mut self, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.observed.is_schedule_stale) {
            return;
        }
        let mut backlog = self.collect_backlog();
        self.observed.is_queue_late = backlog.is_late;
        for id in std::mem::take(&mut backlog.to_reject) {
            self.reject(id, out);
        }
        let slots = self.assign_slots(backlog, out);
        // If reading is behind, half the cores are reserved for it: requests that are read late run
        // late, and callers retry. This costs throughput if reading is late for another reason, as
        // in a hang.
        let limit = self.run_limit.floor();
        let traffic = &self.observed.traffic;
        let is_behind = traffic.read_delay_ms > READING_BEHIND_FRACTION * traffic.mean_objective_ms;
        let limit = if is_behind { limit.min(self.cores()) - self.cores() / 2.0 } else { limit };
        for slot in slots {
            if self.certain_runs() as f64 >= limit {
                break;
            }
            self.start_run(slot.id, out);
        }
    }

    fn collect_backlog(&self) -> Backlog {
        let (slowdown, clock_ms) = (self.slowdown(), self.observed.cores.clock_ms());
        let mut backlog = Backlog { calls: self.calls.in_flight(), ..Backlog::default() };
        for (id, request) in &self.requests {
            let runs = &self.estimates[request.class].runs;
            let work_ms = runs.work_ms(request.size) * slowdown;
            let remaining_ms = request.core_time.remaining_ms(work_ms, clock_ms).max(work_ms / 3.0);
            match request.phase {
                Phase::OnCore => {
                    backlog.started_work_ms += remaining_ms;
                    backlog.calls += runs.calls * remaining_ms / work_ms;
                }
                Phase::WaitingToCall(_) => {
                    backlog.started_work_ms += remaining_ms / 2.0;
                    backlog.calls += 1.0;
                }
                Phase::Calling => backlog.started_work_ms += remaining_ms / 2.0,
                Phase::Joined => {}
                Phase::Queued => {
                    let class = &self.settings.classes[request.class];
                    let wait = (self.now - request.arrived_at).ms() / class.latency_objective.ms().max(1.0);
                    backlog.is_late |= wait > TARGET_WAIT_FRACTION;
                    if wait > TARGET_WAIT_FRACTION + LATE_WAIT_FRACTION {
                        backlog.to_reject.push(*id);
                    } else {
                        backlog.candidates.push(self.new_candidate(*id, request, work_ms));
                    }
                }
            }
        }
        backlog
    }

    fn new_candidate(&self, id: RequestId, request: &RequestState, work_ms: f64) -> QueuedCandidate {
        let class = &self.settings.classes[request.class];
        let runs = &self.estimates[request.class].runs;
        let observed = &self.observed;
        let run_ms = work_ms + runs.calls * self.calls.durations.mean_ms();
        let mut weight = class.priority_weight * self.tenant_weight_fraction(request.tenant);
        let is_over_share = weight < OVER_SHARE_WEIGHT_FRACTION * observed.traffic.mean_weight;
        let mut rank = if is_over_share { Rank::OverShare } else { Rank::WithinShare };
        // The margin is smaller in proportion for a request of more than the mean weight, which may
        // take more risk.
        let margin_factor =
            observed.cores.saturation() * (observed.traffic.mean_weight / weight.max(1e-9)).min(1.0);
        let margin_ms = work_ms * LONG_RUN_DEVIATIONS * runs.work_deviation * margin_factor;
        let last_end = observed.stops_at.map(|stops_at| stops_at - self.decision_period());
        let latest_end = last_end.map_or(request.deadline, |last| last.min(request.deadline));
        let mut latest_start_ms = (request.objective_at.min(latest_end) - self.now).ms() - run_ms;
        if latest_start_ms < 0.0 && class.late_weight_fraction > 0.0 {
            weight *= class.late_weight_fraction;
            rank = Rank::TooLateForObjective;
            latest_start_ms = (latest_end - self.now).ms() - run_ms;
        }
        QueuedCandidate {
            id,
            rank,
            value: if self.settings.weight_per_work { weight } else { weight / work_ms },
            latest_start_ms,
            margin_ms: if request.had_slot { 0.0 } else { margin_ms },
            work_ms,
            calls: runs.calls,
        }
    }

    /// Assigns a slot to each candidate, the most valuable first, if all candidates with slots
    /// still start in time, and rejects the others. Returns the slots in the order in which they
    /// run.
    fn assign_slots(&mut self, backlog: Backlog, out: &mut Vec<Action>) -> Vec<QueuedCandidate> {
        let cores = self.cores();
        let running = (self.certain_runs() as f64).max(1.0);
        let busy_ms = backlog.started_work_ms / cores * (1.0 - (cores - 1.0) / running);
        let first_start_ms = if running < cores { 0.0 } else { busy_ms };
        let mut calls_ahead = backlog.calls;
        let mut slots: Vec<QueuedCandidate> = Vec::new();
        let mut queue = backlog.candidates;
        queue.sort_by(|a, b| a.rank.cmp(&b.rank).then(b.value.total_cmp(&a.value)).then(a.id.cmp(&b.id)));
        for mut candidate in queue {
            if candidate.calls > 0.0 {
                candidate.latest_start_ms -= self.call_wait_ms(calls_ahead);
            }
            let start = (candidate.rank, candidate.latest_start_ms);
            let position = slots.partition_point(|slot| (slot.rank, slot.latest_start_ms) <= start);
            let is_probe = slots.is_empty() && self.is_probe(&candidate);
            if !is_probe && !self.fits(&candidate, &slots, position, first_start_ms) {
                self.reject(candidate.id, out);
                continue;
            }
            calls_ahead += candidate.calls;
            if let Some(request) = self.requests.get_mut(&candidate.id) {
                request.had_slot = true;
            }
            slots.insert(position, candidate);
        }
        slots
    }

    /// Returns true if a candidate should run as a probe of the server's current speed: nothing
    /// else is known to run, and at full speed the candidate would end in time. Without probes, the
    /// core time spent in a hang would keep the server from running anything until it has decayed.
    fn is_probe(&self, candidate: &QueuedCandidate) -> bool {
        let excess_ms = candidate.work_ms * (1.0 - 1.0 / self.slowdown()).max(0.0);
        self.concurrency() <= self.uncertain_runs() && candidate.latest_start_ms + excess_ms >= 0.0
    }

    /// Returns true if a candidate that gets a slot at this index, and all candidates in later
    /// slots, start in time.
    fn fits(&self, new: &QueuedCandidate, slots: &[QueuedCandidate], index: usize, first_ms: f64) -> bool {
        let work_before_ms = slots[..index].iter().map(|slot| slot.work_ms).sum::<f64>();
        let mut start_ms = first_ms + work_before_ms / self.cores();
        let latest_ms = new.latest_start_ms;
        let mut fits = start_ms <= 0.0f64.max(latest_ms - new.margin_ms) && start_ms <= latest_ms;
        for slot in &slots[index..] {
            fits &= start_ms + new.work_ms / self.cores() <= slot.latest_start_ms;
            start_ms += slot.work_ms / self.cores();
        }
        fits
    }

    fn start_run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let run_kb = request.queued_kb * (self.settings.run_memory_factor - 1.0).max(0.0);
        let has_memory = self.memory_in_use_kb() + run_kb <= USABLE_FRACTION * self.settings.memory_kb;
        if request.phase == Phase::Queued && has_memory && self.can_sustain_another_run() {
            self.observed.traffic.record_run();
            self.set_phase(id, Phase::OnCore);
            out.push(Action::Run(id));
        }
    }
}
