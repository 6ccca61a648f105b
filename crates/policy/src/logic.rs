//! Every decision of the server: what it admits, runs and rejects.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI32, Ordering::Relaxed};

use crate::interface::{
    Action, CallOutcome, CallerId, CapacityHint, Class, Dependency, DependencyCallStats, Event, Gauges,
    Idempotency, Preemption, Request, RequestId, RunOutcome, Settings, SettingsError, Span, TenantId, Time,
};
use crate::statistics::{decay_factor, decayed_duration, RecurringValues, RunningRegression};

/// Rows and columns of the sketch: two tenants share every cell once in 2^50 pairs.
const ROWS: usize = 5;
const COLUMNS: usize = 1024;
/// A held request has waited too long past this share of its aim (the hold's target) ...
const TARGET: f64 = 0.25;
/// ... and is refused after a further such share (the hold's interval).
const INTERVAL: f64 = 0.5;
/// Wait, as a share of the mean aim, that the free value lets callers build up here.
const COMFORT: f64 = 0.1;
/// Part of each bound of the fourth rule that we use.
const HEADROOM: f64 = 0.9;
/// Where more than this share of what is read are further tries, others refuse as well: no server is left to
/// walk on to, nor to leave the lists for.
const WALKERS: f64 = 0.125;
/// The level crosses its range in this many times the span that callers remember it.
const LEVEL_PACE: f64 = 4.0;
/// Waits this close are the same, and common from this part of all on.
const SAME_WAIT: f64 = 0.01;
const HABIT: f64 = 0.1;
/// Weight of the newest reading in the mean age at reading.
const UNREAD: f64 = 0.125;
/// The unread line is a jam past this part of the mean aim.
const JAM: f64 = 0.4;
/// Reading falls behind past this part of the mean aim.
const BEHIND: f64 = 0.2;
/// The line is the server's own where it is this much slower than its mean.
const ILL: f64 = 1.5;
/// A server crawls when its mean run takes this part of the mean aim; at 0.6 ordinary slow boxes left.
const CRAWL: f64 = 1.2;
/// Ms: the shortest time that a connection may be told to wait unused.
const SHORTEST_IDLE: f64 = 10.0;
/// Growth of the run limit at each gauge reading that shows cores idle while work waits.
const RISE: f64 = 1.25;
/// Weight of the newest run in a class's mean work, and of the newest call in calls per run.
const LEARN: f64 = 1.0 / 64.0;
/// A tenant is over its share when its mean request keeps less than this part of the worth: more of its
/// traffic lies beyond the share than within.
const OVER_SHARE: f64 = 0.5;
/// A place is given only where a run longer than its mean by this many mean deviations still ends in time.
const SPREAD: f64 = 2.0;
/// Tenant rates are means over this many of the longest aim.
const RATE_AIMS: f64 = 2.0;
/// A class's work before any run of it, as a share of its aim.
const FIRST_GUESS: f64 = 1.0 / 12.0;
/// Part of the calls it survives that a dependency is given: it slows down well before it dies.
const CALLS_SHARE: f64 = 0.9;
/// It is in trouble when its calls take this multiple of their long-run best ...
const SLOW_CALLS: f64 = 2.0;
/// ... and gets only this part: more calls in its hands would slow it further.
const CALLS_WHEN_SLOW: f64 = 0.25;
/// A call is lost past this multiple of their long-run best, well beyond what a slow dependency makes of one.
const CALL_PATIENCE: f64 = 80.0;
/// A call takes too long past what a long one takes when the dependency is this many times slower than at its
/// best, the most that its record knows ...
const SLOWEST_CALLS: f64 = 8.0;
/// ... and past so many mean deviations from what calls take of late, which hardly one in a thousand exceeds.
const CALL_TAIL: f64 = 8.0;
/// Answers go missing where such a call is overtaken by so many for each other one in hand: all calls of a
/// slow dependency are slow.
const OVERTAKEN: f64 = 4.0;
/// The long-run best is forgotten over this many of the dependency's spans.
const BEST_SPANS: f64 = 8.0;

/// A notice to leave that never takes effect.
const NEVER: Time = Time(i64::MAX / 2);

/// Counts per tenant of requests in flight: never too low, hardly ever too high, no lock.
pub struct Sketch {
    cells: Box<[AtomicI32]>,
    seed: u64,
}

impl Sketch {
    /// An empty sketch; equal seeds count alike.
    pub fn new(seed: u64) -> Sketch {
        Sketch { cells: (0..ROWS * COLUMNS).map(|_| AtomicI32::new(0)).collect(), seed }
    }
    /// Adds `by` to the count of `key` and returns the new estimate.
    pub fn add(&self, key: u64, by: i32) -> i32 {
        let cell = |row: usize| {
            let mut h = key ^ self.seed.wrapping_add((row as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
            h = (h ^ (h >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
            h = (h ^ (h >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
            row * COLUMNS + (h ^ (h >> 31)) as usize % COLUMNS
        };
        (0..ROWS).map(|r| self.cells[cell(r)].fetch_add(by, Relaxed).wrapping_add(by)).min().unwrap_or(0)
    }
}

/// Where a read request stands. Only `Held` can be refused or run, and both take it out of `Held`.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum Phase {
    #[default]
    Held,
    Joined,
    OnCore,
    /// Waits for leave to call, not before the time given.
    AtCall(Time),
    Calling,
}

#[derive(Default)]
struct Req {
    class: usize,
    tenant: Option<TenantId>,
    phase: Phase,
    /// An answer is owed; once given, what still runs is a ghost that only takes room.
    owed: bool,
    /// Still in the sketch.
    counted: bool,
    kb: f64,
    /// Reached the machine.
    arrived: Time,
    /// When its first try is taken to have begun.
    first: Time,
    aim: Time,
    due: Time,
    /// Work told by the hint in units of the class's first guess, or 1.
    size: f64,
    /// Core time taken so far, up to the last time it got onto a core, and the core clock then.
    used: f64,
    since: f64,
    calls: f64,
    /// When its last call was made, and whether that takes longer than any is expected to.
    called: Time,
    overdue: bool,
    /// How many calls had gone well then.
    called_at: u64,
    /// It was given a place in the plan.
    placed: bool,
}

/// A held request in the plan.
struct Candidate {
    /// 0 within its tenant's share, 1 beyond it, 2 too late for its aim.
    rank: u8,
    density: f64,
    /// Latest start that keeps its aim, in ms from now.
    latest: f64,
    /// By how much a long run of it exceeds the mean: room asked of a newcomer that would have to wait.
    spread: f64,
    work: f64,
    calls: f64,
    id: RequestId,
}

/// What was learned of a class.
#[derive(Default)]
struct Learned {
    /// Core ms of a run, by its size.
    work: RunningRegression,
    /// Mean deviation from the estimate, as a part of it: small where hints are good.
    spread: f64,
    runs: f64,
    /// Calls for each run.
    calls: f64,
    /// Common waits of callers in ms.
    waits: RecurringValues,
}

impl Learned {
    /// Core ms that a request of this size takes: the line through the runs so far, which leans on the mean
    /// as much as hints mislead or runs wait for disk. Harms where one class holds two kinds of work.
    fn guess(&self, size: f64) -> f64 {
        self.work.predict(size).max(self.work.mean_y / 8.0)
    }
    /// Callers of one habit wait equally long for each first try. A wait that is not among the common ones is
    /// what is left for one that was turned away elsewhere: how long ago it began, at least, by the next
    /// longer common wait, or by the whole patience. Known further tries teach nothing.
    fn begun_ago(&mut self, ms: f64, patience: f64, resent: bool) -> Option<f64> {
        if !resent {
            self.waits.record(ms, LEARN);
        }
        let least = HABIT * (f64::from(u8::from(!resent)) + self.waits.total_count());
        let common = || self.waits.values_with_count(least);
        if common().any(|wait| self.waits.is_same(wait, ms)) {
            return None;
        }
        let first = common().filter(|wait| *wait > ms).fold(patience.max(ms), f64::min);
        Some(first - ms)
    }
}

/// What starts empty and is counted or measured from then on.
#[derive(Default)]
struct Seen {
    /// Remembered keys and when they lapse.
    keys: BTreeMap<RequestId, Time>,
    born: Time,
    started: bool,
    on_core: usize,
    calling: usize,
    memory: f64,
    /// Core time that each running request has had, were it always running: the core clock.
    clock: f64,
    /// Core time spent and work done by it, both fading: their ratio is how slow this server is now.
    spent: f64,
    done: f64,
    /// Time in calls, calls ended, and how far those that went well were off the mean, all fading.
    call_time: f64,
    calls_done: f64,
    call_stray: f64,
    /// Calls in hand whose answer is taken to be lost: they tell nothing of how long calls take.
    overdue: usize,
    /// Calls that went well.
    answered: u64,
    /// Until when answers of the dependency are expected to go missing.
    lossy: Time,
    /// When the dependency lets go of calls that were given up.
    lingering: Vec<Time>,
    /// Calls in the dependency's hands, mean over its span.
    calls_mean: f64,
    callers: BTreeMap<CallerId, f64>,
    /// Means over arrivals: work in core ms and aim in ms.
    mean_work: f64,
    mean_aim: f64,
    mean_worth: f64,
    /// Age at reading, of late: the line of what is not read yet, which nothing else shows.
    unread: f64,
    /// Out of the lists because of it.
    jammed: bool,
    /// Share of further tries among those read, where they are marked.
    resent: f64,
    /// Share of refusals among refusals and runs, of late, and the level that callers are told for it.
    refusing: f64,
    /// Ms from a request's first try to a refusal, and on to where its caller may come again, of late.
    tried: f64,
    level: f64,
    late: bool,
    /// Share of the time, of late, that all cores were taken by runs.
    busy: f64,
    dirty: bool,
    /// Servers whose counts are known, and what the others have in flight of each told tenant.
    counted: f64,
    others: Vec<f64>,
    /// When it was told that the node leaves, and when the process ends.
    leaving: Option<(Time, Time)>,
}

/// Decides for one server; see the crate's head.
pub struct Policy {
    set: Settings,
    seen: Seen,
    sketch: Sketch,
    reqs: BTreeMap<RequestId, Req>,
    now: Time,
    call_best: f64,
    learned: Vec<Learned>,
    /// Arrivals a second of each told tenant, fading; the last serves for all untold.
    rates: Vec<f64>,
    /// Refused for what their tenants have in flight elsewhere, so far.
    pub fleet_limit_rejections: u64,
    turned: Time,
    limit: f64,
    said: f64,
    next_wake: Time,
}

impl Policy {
    /// A fresh server: holds nothing and knows only its settings. The seed spreads the sketch's cells.
    pub fn new(mut set: Settings, seed: u64) -> Result<Policy, SettingsError> {
        set.check()?;
        // A class that nobody told of: run at most once, worth and patience those of the least.
        let least = |f: fn(&Class) -> Span| set.classes.iter().map(f).min().unwrap_or_default();
        let cautious = Class {
            latency_objective: least(|c| c.latency_objective),
            deadline: least(|c| c.deadline),
            priority_weight: set.classes.iter().map(|c| c.priority_weight).fold(f64::MAX, f64::min),
            may_call: true,
            ..Class::default()
        };
        set.classes.push(cautious);
        let learn = |c: &Class| Learned {
            work: RunningRegression::proportional(c.latency_objective.ms() * FIRST_GUESS),
            waits: RecurringValues::new(SAME_WAIT),
            spread: 0.5,
            calls: f64::from(u8::from(c.may_call)),
            ..Learned::default()
        };
        Ok(Policy {
            seen: Seen::default(),
            sketch: Sketch::new(seed),
            reqs: BTreeMap::new(),
            now: Time(0),
            call_best: f64::MAX,
            learned: set.classes.iter().map(learn).collect(),
            rates: vec![0.0; set.tenants.len() + 1],
            fleet_limit_rejections: 0,
            turned: Time(i64::MIN / 2),
            limit: f64::from(set.cores),
            said: f64::NAN,
            next_wake: Time(i64::MIN),
            set,
        })
    }

    /// Takes what happened at `now` and appends what to do. Call it with no events for a mere look.
    pub fn handle(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.tick(now, out);
        for event in events {
            match event {
                Event::RequestRead(request) => self.read(request, out),
                Event::RunEnded(id, end) => self.finished(*id, *end),
                Event::CallRequested(id) if self.reqs.get(id).is_some_and(|r| r.phase == Phase::OnCore) => {
                    self.move_to(*id, Phase::AtCall(now));
                }
                Event::CallRequested(_) => {}
                Event::CallEnded(id, end, took) => self.call_ended(*id, *end, *took, out),
                Event::CallerStoppedWaiting(id) => self.left(*id, out),
                Event::ShutdownNotice(left) => {
                    self.seen.leaving = Some((now, now + *left));
                    out.push(Action::SetHealth(false));
                }
                // No place is a small part still: 0 stands for no limit. Nothing is kept back here.
                Event::CallQuotaChanged(part) => self.set.call_quota = part.max(0.1) / CALLS_SHARE,
                Event::ResourceShareChanged { memory_kb, concurrency_per_core, call_quota } => {
                    self.set.memory_kb = *memory_kb;
                    self.set.concurrency_per_core = *concurrency_per_core;
                    self.set.call_quota = call_quota.unwrap_or(self.set.call_quota);
                }
                Event::FleetLoad { servers, in_flight_elsewhere } => {
                    self.seen.counted = *servers;
                    self.seen.others.clone_from(in_flight_elsewhere);
                }
                Event::ReplacementNotice(left) => self.seen.leaving = Some((NEVER, now + *left)),
                Event::Wake(gauges) => self.gauge(gauges),
            }
        }
        self.overdue(out);
        self.plan(out);
        self.make_calls(out);
        self.signal(out);
    }

    /// Moves the clocks on to `now`.
    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.seen.started {
            self.seen.started = true;
            (self.now, self.seen.born) = (now, now);
            out.push(Action::SetHealth(true));
            // Every open connection takes capacity and a full table shuts callers out, yet a new one costs
            // work. Up to two crowds of callers come back before long and keep theirs; of more, each comes
            // back so rarely that keeping is the dearer. It harms where a new connection is very dear.
            let few = f64::from(self.set.callers) <= 2.0 * self.set.concurrency_per_core * self.cores();
            let idle = self.set.caller_idle_timeout.ms().min(if few { f64::MAX } else { SHORTEST_IDLE });
            out.push(Action::CloseIdleConnections(Span::from_ms(idle)));
        }
        let ms = (now - self.now).ms().max(0.0);
        self.now = now;
        let (n, cores) = (self.seen.on_core as f64, self.cores());
        self.seen.clock += ms * (cores / n.max(cores));
        // The server's own span for telling a passing crowd from a real one is the pace of forgetting.
        let keep = decay_factor(ms, self.set.concurrency_window.ms());
        self.seen.spent = self.seen.spent * keep + ms * n.min(cores);
        self.seen.call_time =
            self.seen.call_time * keep + ms * (self.seen.calling - self.seen.overdue) as f64;
        let Seen { done, call_stray, calls_done, unread, .. } = &mut self.seen;
        [done, call_stray, calls_done, unread].into_iter().for_each(|sum| *sum *= keep);
        // What is refused here anyway need not come: while many are, the level rises, slowly enough to see
        // its effect, over the classes worth less than the mean and no further: within a class all are alike.
        // It comes back as slowly. Harms where one server alone is full.
        let classes = &self.set.classes[..self.set.classes.len() - 1];
        let mean = classes.iter().map(|c| c.priority_weight).sum::<f64>() / classes.len() as f64;
        let most = classes.iter().filter(|c| c.priority_weight < mean).count() as f64 / classes.len() as f64;
        let step = ms / (LEVEL_PACE * self.set.capacity_hint_lifetime.ms()).max(1.0);
        let step = if self.seen.refusing > WALKERS { step } else { -step };
        self.seen.level = (self.seen.level + step).clamp(0.0, most);
        self.seen.busy = self.seen.busy * keep + f64::from(u8::from(n >= cores)) * (1.0 - keep);
        self.seen.lingering.retain(|until| *until > now);
        let span = self.set.call_quota_window.ms();
        self.call_best *= 1.0 + ms / (BEST_SPANS * span.max(1.0));
        self.seen.calls_mean += (self.in_hand() - self.seen.calls_mean) * (1.0 - decay_factor(ms, span));
        let keep = decay_factor(ms, self.rate_span());
        self.rates.iter_mut().for_each(|r| *r *= keep);
        self.seen.callers.values_mut().for_each(|r| *r *= keep);
        self.seen.callers.retain(|_, r| *r > 0.01);
        self.seen.keys.retain(|_, lapse| *lapse > now);
    }

    // ---- the request is read ----

    fn read(&mut self, r: &Request, out: &mut Vec<Action>) {
        let class = r.class.0.min(self.set.classes.len() - 1);
        let c = self.set.classes[class].clone();
        let arrived = self.now - r.age;
        let due = match r.remaining_wait {
            Some(left) => self.now + left,
            None => (arrived + c.deadline).max(self.now),
        };
        // Sizes are in units of the first guess, so that before any run a hint stands for itself.
        let guess = (c.latency_objective.ms() * FIRST_GUESS).max(0.001);
        let size = r.work_hint.map_or(1.0, |h| h.ms().max(0.001) / guess);
        let work = self.learned[class].guess(size);
        let stretch = Span::from_ms(c.objective_work_multiple * work);
        // A further try's aim began with the first: as far as its patience tells, or else it has been through
        // what refused requests go through here.
        let told = r.remaining_wait.map(|left| left.ms() + r.age.ms());
        let learned = &mut self.learned[class];
        let begun = told.and_then(|ms| learned.begun_ago(ms, c.deadline.ms(), r.is_retry));
        let guess = if r.is_retry { self.seen.tried.min(c.latency_objective.ms()) } else { 0.0 };
        let first = arrived - Span::from_ms(begun.unwrap_or(guess));
        let aim = (first + c.latency_objective + stretch).min(due);
        let slot = r.tenant.map_or(usize::MAX, |t| t.0 as usize).min(self.rates.len() - 1);
        *self.seen.callers.entry(r.caller).or_insert(0.0) += 1.0;
        let means = [&mut self.seen.mean_work, &mut self.seen.mean_aim, &mut self.seen.mean_worth];
        for (mean, new) in means.into_iter().zip([work, c.latency_objective.ms(), c.priority_weight]) {
            *mean += (new - *mean) * if *mean == 0.0 { 1.0 } else { LEARN * 4.0 };
        }
        let further = begun.is_some() || r.is_retry;
        // A tenant's share is of what its users ask for, however often callers try again.
        self.rates[slot] += if further { 0.0 } else { 1e3 / self.rate_span() };
        self.seen.resent += (f64::from(u8::from(further)) - self.seen.resent) * LEARN;
        self.seen.unread += (r.age.ms() - self.seen.unread) * UNREAD;
        let estimate = self.sketch.add(tenant_key(r.tenant), 1);
        let req = Req {
            class,
            tenant: r.tenant,
            owed: true,
            counted: true,
            kb: r.queued_kb,
            arrived,
            first,
            aim,
            due,
            size,
            ..Req::default()
        };
        self.seen.memory += r.queued_kb;
        self.reqs.insert(r.id, req);
        self.seen.dirty = true;
        if r.duplicate_of.is_some() {
            // It may have run here: it is served from that run or failed, and never refused.
            if c.idempotency == Idempotency::AtMostOnce {
                self.fail(r.id, out);
            } else {
                self.move_to(r.id, Phase::Joined);
                out.push(Action::Join(r.id));
            }
            return;
        }
        let too_late = self.seen.leaving.is_some_and(|(notice, _)| arrived > notice + self.set.drain_grace);
        let threshold = self.set.concurrency_per_core * self.cores();
        let (all, most) = self.over_all(slot, f64::from(estimate), threshold);
        let heavy = self.seen.late && all > most;
        self.fleet_limit_rejections += u64::from(heavy);
        if too_late || heavy || (self.seen.late && f64::from(estimate) > threshold) {
            return self.refuse(r.id, out);
        }
        // The entry that ties later tries to this one has to stand before the run, for the whole window.
        let lapse = arrived + c.idempotency_window + self.set.answer_slack;
        let room = HEADROOM * self.set.memory_kb - self.memory_now() > self.set.key_kb;
        if c.idempotency == Idempotency::ByKey {
            if !room {
                return self.refuse(r.id, out);
            }
            self.remember(r.id, lapse, out);
        } else if self.set.result_sharing_window.0 > 0
            && r.has_key
            && !r.is_write
            && c.idempotency == Idempotency::Idempotent
            && room
        {
            self.remember(r.id, due + self.set.result_sharing_window, out);
        }
    }

    /// What a tenant has in flight on all servers, and its part of what they together hold of one before they
    /// call it heavy: by its allowance, no less than on one server. Harms tenants of long requests.
    fn over_all(&self, slot: usize, here: f64, threshold: f64) -> (f64, f64) {
        let Some(others) = self.seen.others.get(slot) else { return (0.0, threshold) };
        let total = self.set.tenants.iter().map(|t| t.allowance_per_s).sum::<f64>().max(1e-9);
        let part = self.set.tenants.get(slot).map_or(1.0, |t| t.allowance_per_s / total);
        (here + others, threshold * (self.seen.counted * part).max(1.0))
    }

    fn remember(&mut self, id: RequestId, lapse: Time, out: &mut Vec<Action>) {
        if lapse > self.now {
            self.seen.keys.insert(id, lapse);
            out.push(Action::RememberKey(id, lapse - self.now));
        }
    }

    // ---- the hold: who runs next, who is refused ----

    /// How much longer work takes here now than its class's mean: a hang, a slow or crowded machine and a
    /// cold start all show as core time spent with too little done for it.
    fn slowness(&self) -> f64 {
        let one = self.seen.mean_work.max(1.0);
        ((self.seen.spent + one) / (self.seen.done + one)).max(0.1)
    }

    fn mean_run(&self) -> f64 {
        self.seen.mean_work * self.slowness()
    }

    fn call_ms(&self) -> f64 {
        if self.seen.calls_done > 0.0 {
            self.seen.call_time.max(0.0) / self.seen.calls_done.max(0.5)
        } else {
            0.0
        }
    }

    /// Worth of a request of this tenant, as a part of its class's: what is past the share is worth little
    /// and not marked, so each request stands for the mean of its tenant.
    fn share_worth(&self, tenant: Option<TenantId>) -> f64 {
        let Some(TenantId(t)) = tenant else { return 1.0 };
        let Some(told) = self.set.tenants.get(t as usize) else { return self.set.over_share_weight_fraction };
        let mine = told.allowance_per_s / f64::from(self.set.servers.max(1));
        let within = (mine / self.rates[t as usize].max(1e-9)).min(1.0);
        within + (1.0 - within) * self.set.over_share_weight_fraction
    }

    fn plan(&mut self, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.seen.dirty) {
            return;
        }
        let (slow, cores, call_ms) = (self.slowness(), self.cores(), self.call_ms());
        let mut rest = 0.0;
        // Calls are a second thing to queue for: those in hand, waiting, and to come from what runs.
        let call_limit = self.call_limit().min(1e9);
        let call_room = (call_limit - self.seen.calls_mean) * self.set.call_quota_window.ms();
        let mut calls_ahead = self.in_hand();
        let mut line: Vec<Candidate> = Vec::new();
        self.seen.late = false;
        let mut stale = Vec::new();
        for (id, r) in &self.reqs {
            let c = &self.set.classes[r.class];
            let work = self.learned[r.class].guess(r.size) * slow;
            let since = if r.phase == Phase::OnCore { r.since } else { self.seen.clock };
            let left = (work - r.used - (self.seen.clock - since)).max(work / 3.0);
            match r.phase {
                Phase::OnCore => {
                    rest += left;
                    calls_ahead += self.learned[r.class].calls * left / work;
                }
                Phase::AtCall(_) => {
                    rest += left / 2.0;
                    calls_ahead += 1.0;
                }
                Phase::Calling => rest += left / 2.0,
                Phase::Joined => {}
                Phase::Held => {
                    let waited = (self.now - r.arrived).ms() / c.latency_objective.ms().max(1.0);
                    self.seen.late |= waited > TARGET;
                    if waited > TARGET + INTERVAL {
                        stale.push(*id);
                        continue;
                    }
                    let l = &self.learned[r.class];
                    let run = work + l.calls * call_ms;
                    let share = self.share_worth(r.tenant);
                    let mut worth = c.priority_weight * share;
                    let mut rank = u8::from(worth < OVER_SHARE * self.seen.mean_worth);
                    // Worth more than the mean, it may be that much more of a risk.
                    let risk = self.seen.busy * (self.seen.mean_worth / worth.max(1e-9)).min(1.0);
                    let spread = work * SPREAD * l.spread * risk;
                    let end = self.seen.leaving.map_or(r.due, |(_, kill)| r.due.min(kill - self.period()));
                    let mut latest = (r.aim.min(end) - self.now).ms() - run;
                    if latest < 0.0 && c.late_weight_fraction > 0.0 {
                        worth *= c.late_weight_fraction;
                        rank = 2;
                        latest = (end - self.now).ms() - run;
                    }
                    let density = if self.set.weight_per_work { worth } else { worth / work };
                    line.push(Candidate {
                        rank,
                        density,
                        latest,
                        spread: if r.placed { 0.0 } else { spread },
                        work,
                        calls: self.learned[r.class].calls,
                        id: *id,
                    });
                }
            }
        }
        stale.into_iter().for_each(|id| self.refuse(id, out));
        line.sort_by(|a, b| a.rank.cmp(&b.rank).then(b.density.total_cmp(&a.density)).then(a.id.cmp(&b.id)));
        let n = (self.seen.on_core as f64).max(1.0);
        let base = if n < cores { 0.0 } else { rest / cores * (1.0 - (cores - 1.0) / n) };
        // Worth for work decides who gets a place; a place is given only where all with one stay in time.
        let mut places: Vec<Candidate> = Vec::new();
        for mut new in line {
            if new.calls > 0.0 {
                let at_once = call_limit.max(1.0);
                let turn = (calls_ahead - at_once) * call_ms / at_once;
                new.latest -= turn.max((calls_ahead * call_ms - call_room) / call_limit).max(0.0);
            }
            let at = places.partition_point(|p| (p.rank, p.latest) <= (new.rank, new.latest));
            let mut ahead = base + places[..at].iter().map(|p| p.work).sum::<f64>() / cores;
            let mut fits = ahead <= 0.0f64.max(new.latest - new.spread) && ahead <= new.latest;
            for p in &places[at..] {
                fits &= ahead + new.work / cores <= p.latest;
                ahead += p.work / cores;
            }
            if fits {
                calls_ahead += new.calls;
                if let Some(r) = self.reqs.get_mut(&new.id) {
                    r.placed = true;
                }
                places.insert(at, new);
            } else {
                self.refuse(new.id, out);
            }
        }
        // Once reading falls behind, half the cores are left to it: what is read late is run late, and
        // callers come again. It costs throughput where, as at a hang, reading late has another cause.
        let behind = self.seen.unread > BEHIND * self.seen.mean_aim;
        let limit = if behind { self.limit.floor().min(cores) - cores / 2.0 } else { self.limit.floor() };
        for Candidate { id, .. } in places {
            if self.seen.on_core as f64 >= limit {
                break;
            }
            self.run(id, out);
        }
    }

    fn run(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.reqs.get(&id) else { return };
        let more = r.kb * (self.set.run_memory_factor - 1.0).max(0.0);
        let fits = self.memory_now() + more <= HEADROOM * self.set.memory_kb;
        if r.phase == Phase::Held && fits && ((self.seen.on_core + self.seen.calling) as f64) < self.crowd() {
            self.seen.refusing *= 1.0 - LEARN;
            self.move_to(id, Phase::OnCore);
            out.push(Action::Run(id));
        }
    }

    // ---- on the cores and at calls ----

    /// The one place where a request changes phase: counts, memory and core time follow.
    fn move_to(&mut self, id: RequestId, to: Phase) {
        let (clock, factor) = (self.seen.clock, self.set.run_memory_factor);
        let Some(r) = self.reqs.get_mut(&id) else { return };
        let runs = |p: Phase| !matches!(p, Phase::Held | Phase::Joined);
        if r.phase == Phase::OnCore {
            r.used += clock - r.since;
            self.seen.on_core -= 1;
        }
        self.seen.calling -= usize::from(r.phase == Phase::Calling);
        self.seen.overdue -= usize::from(std::mem::take(&mut r.overdue));
        if to == Phase::OnCore {
            r.since = clock;
            self.seen.on_core += 1;
        }
        self.seen.calling += usize::from(matches!(to, Phase::Calling));
        self.seen.memory +=
            r.kb * (factor - 1.0) * (f64::from(u8::from(runs(to))) - f64::from(u8::from(runs(r.phase))));
        r.phase = to;
        self.seen.dirty = true;
    }

    fn call_ended(&mut self, id: RequestId, end: CallOutcome, took: Span, out: &mut Vec<Action>) {
        let overdue = self.reqs.get(&id).is_some_and(|r| r.overdue);
        // A call that failed tells nothing of how long calls take; one that was late after all does.
        let known = end != CallOutcome::Failed;
        self.seen.calls_done += f64::from(u8::from(known));
        if known == overdue {
            let added = decayed_duration(took.ms(), self.set.concurrency_window.ms());
            self.seen.call_time += if known { added } else { -added };
        }
        if !known {
            self.seen.lingering.push(self.now + self.set.abandoned_call_linger);
        }
        let Some(r) = self.reqs.get(&id) else { return };
        if end == CallOutcome::Succeeded {
            self.seen.answered += 1;
            self.seen.call_stray += (took.ms() - self.call_ms()).abs();
            self.call_best = self.call_best.min(self.call_ms());
            return self.move_to(id, Phase::OnCore);
        }
        // A call that failed is made again only where that is safe, and later by as long as it took: a
        // dependency that turns calls away at once is not asked again at once.
        let safe = end == CallOutcome::NotExecuted
            || self.set.classes[r.class].idempotency == Idempotency::Idempotent;
        let wait = took.ms().max(self.set.classes[r.class].latency_objective.ms() / 16.0);
        self.move_to(id, Phase::AtCall(self.now + Span::from_ms(wait)));
        if !safe {
            self.fail(id, out);
        }
    }

    /// Takes calls whose answer must be lost out of what is known of how long calls take.
    fn watch_calls(&mut self) {
        let (now, answered, longest) = (self.now, self.seen.answered, self.longest_call());
        let calling = self.reqs.values_mut().filter(|r| r.phase == Phase::Calling && !r.overdue);
        let (late, prompt): (Vec<_>, Vec<_>) = calling.partition(|r| (now - r.called).ms() > longest);
        let overtaken = OVERTAKEN * (prompt.len() + 1) as f64;
        if late.iter().any(|r| (answered - r.called_at) as f64 >= overtaken) {
            self.seen.lossy = now + Span::from_ms(BEST_SPANS * self.set.call_quota_window.ms());
        }
        for r in late.into_iter().filter(|_| now < self.seen.lossy) {
            r.overdue = true;
            self.seen.overdue += 1;
            self.seen.call_time -= decayed_duration((now - r.called).ms(), self.set.concurrency_window.ms());
        }
    }

    fn make_calls(&mut self, out: &mut Vec<Action>) {
        self.watch_calls();
        // Calls are scarce when it matters: those that still bring most come first, late ones last.
        let may = |r: &Req| r.owed && matches!(r.phase, Phase::AtCall(not_before) if not_before <= self.now);
        let worth = |(id, r): (&RequestId, &Req)| {
            let c = &self.set.classes[r.class];
            let part = if r.aim > self.now { 1.0 } else { c.late_weight_fraction };
            (c.priority_weight * part * self.share_worth(r.tenant), r.aim, *id)
        };
        let mut waiting: Vec<_> = self.reqs.iter().filter(|(_, r)| may(r)).map(worth).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let slow = self.slowness();
        for (_, aim, id) in waiting {
            let r = &self.reqs[&id];
            let c = &self.set.classes[r.class];
            let rest = (self.learned[r.class].guess(r.size) * slow / 3.0).max(1.0);
            let left = (aim - self.now).ms() - rest;
            let to_due = (r.due - self.now).ms();
            let can_skip = c.skipped_call_weight_fraction > c.late_weight_fraction && left > 0.0;
            if (self.seen.on_core + self.seen.calling) as f64 >= self.crowd() {
                break;
            }
            if can_skip && left <= self.call_ms() {
                // The answer without the call is worth more than the whole one late.
                out.push(Action::SkipCall(id));
                self.move_to(id, Phase::OnCore);
            } else if self.may_call() {
                let limit = if can_skip { left } else { to_due.min(self.call_patience(r.class)) };
                out.push(Action::Call(id, Span::from_ms(limit.max(1.0))));
                if let Some(r) = self.reqs.get_mut(&id) {
                    r.calls += 1.0;
                    (r.called, r.called_at) = (self.now, self.seen.answered);
                }
                self.move_to(id, Phase::Calling);
            }
        }
    }

    /// Calls in the dependency's hands, given-up ones included.
    fn in_hand(&self) -> f64 {
        (self.seen.calling + self.seen.lingering.len()) as f64
    }

    /// Calls that this server may have in hand on average, a share that may be under one: kept by every
    /// server it means no fall, whatever the others do, and no dependency crowded far past its best. It harms
    /// where a healthy dependency would take more while other servers rest.
    fn call_limit(&self) -> f64 {
        if self.set.dependency != Dependency::Shared || self.set.call_quota <= 0.0 {
            return f64::MAX;
        }
        self.set.call_quota * if self.slow_calls() { CALLS_WHEN_SLOW } else { CALLS_SHARE }
    }

    fn slow_calls(&self) -> bool {
        // The mean of few calls strays: ask for more the fewer there were, and for calls that pile up here.
        let doubt = 1.0 + 1.0 / self.seen.calls_done.max(0.1).sqrt();
        let crowded = self.seen.calls_mean > CALLS_WHEN_SLOW / 2.0 * self.set.call_quota;
        crowded
            && self.set.dependency == Dependency::Shared
            && self.call_ms() > SLOW_CALLS * doubt * self.call_best
    }

    /// The dependency as this server sees it, for the log: calls in hand, their mean over the span and its
    /// limit, ms of a call of late and at best.
    pub fn dependency_call_stats(&self) -> DependencyCallStats {
        DependencyCallStats {
            in_flight: self.in_hand(),
            mean_in_flight: self.seen.calls_mean,
            limit: self.call_limit(),
            recent_ms: self.call_ms(),
            best_ms: self.call_best,
        }
    }

    /// Ms after which no answer to a call is expected any more.
    fn longest_call(&self) -> f64 {
        let stray = self.seen.call_stray / self.seen.call_time.max(1e-9);
        let at_worst = SLOWEST_CALLS * self.call_best * (1.0 + SPREAD * stray);
        at_worst.max(self.call_ms() * (1.0 + CALL_TAIL * stray))
    }

    /// Ms that a call is waited for: one whose answer is lost would keep its place until its request is due.
    /// Longer where it can't be made again.
    fn call_patience(&self, class: usize) -> f64 {
        let c = &self.set.classes[class];
        let again = if c.idempotency == Idempotency::Idempotent { 1.0 } else { 2.0 };
        let lossy = self.now < self.seen.lossy;
        let patience = if lossy { self.longest_call() } else { CALL_PATIENCE * self.call_best };
        patience.max(c.latency_objective.ms() / 4.0) * again
    }

    /// In the mean over the told span, and never more at once than that, or one.
    fn may_call(&self) -> bool {
        let limit = self.call_limit();
        self.seen.calls_mean < limit && self.in_hand() + 1.0 <= limit.max(1.0)
    }

    // ---- ends: each takes the request out of the table, or leaves a ghost that owes nothing ----

    fn uncount(&mut self, id: RequestId) {
        if let Some(r) = self.reqs.get_mut(&id) {
            if std::mem::take(&mut r.counted) {
                self.sketch.add(tenant_key(r.tenant), -1);
            }
        }
    }

    fn drop_req(&mut self, id: RequestId) -> Option<Req> {
        self.move_to(id, Phase::Held);
        self.uncount(id);
        let r = self.reqs.remove(&id)?;
        self.seen.memory -= r.kb;
        self.seen.dirty = true;
        Some(r)
    }

    /// The entry of a keyed request that never ran has nothing to guard.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.seen.keys.remove(&id).is_some() {
            out.push(Action::ForgetKey(id));
        }
    }

    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.reqs.get(&id).is_some_and(|r| r.phase == Phase::Held) {
            let Some(r) = self.drop_req(id) else { return };
            // A slow dependency is everyone's: no other server would serve what has to call it.
            let no_calls = self.learned[r.class].calls > 0.0 && self.slow_calls();
            let give_up = r.aim <= self.now || no_calls || self.seen.resent > WALKERS;
            let stay_away = self.stay_away();
            let spent = (self.now - r.first).ms() + if give_up { stay_away.ms() } else { 0.0 };
            self.seen.tried += (spent - self.seen.tried) * LEARN * 4.0;
            self.seen.refusing += (1.0 - self.seen.refusing) * LEARN;
            out.push(Action::Reject { id, retry_after: stay_away, give_up });
            self.forget(id, out);
        }
    }

    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let stay_away = self.stay_away();
        let Some(r) = self.reqs.get_mut(&id) else { return };
        if !std::mem::take(&mut r.owed) {
            return;
        }
        // Where it is safe to run again, the answer may say more: no server serves it in time any more.
        let c = &self.set.classes[r.class];
        let over =
            r.aim <= self.now && c.late_weight_fraction == 0.0 && c.idempotency == Idempotency::Idempotent;
        out.push(if over {
            Action::Reject { id, retry_after: stay_away, give_up: true }
        } else {
            Action::Fail(id)
        });
        self.let_go(id, out);
    }

    fn left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.reqs.get_mut(&id).is_some_and(|r| std::mem::take(&mut r.owed)) {
            self.let_go(id, out);
        }
    }

    /// Nobody waits for it any more: what has not run is dropped, what runs is stopped where it can be.
    fn let_go(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.reqs[&id].phase {
            Phase::Held | Phase::Joined => {
                self.drop_req(id);
                self.forget(id, out);
            }
            Phase::OnCore if self.set.preemption != Preemption::Unsupported => {
                self.uncount(id);
                out.push(Action::Stop(id));
            }
            _ => self.uncount(id),
        }
    }

    fn finished(&mut self, id: RequestId, end: RunOutcome) {
        let phase = self.reqs.get(&id).map(|r| r.phase);
        if phase == Some(Phase::Calling) {
            self.seen.lingering.push(self.now + self.set.abandoned_call_linger);
        }
        let Some(r) = self.drop_req(id) else { return };
        if end == RunOutcome::NeverStarted {
            // It took no core time after all, and must not pass for slowness.
            self.seen.spent = (self.seen.spent - r.used).max(0.0);
        }
        if matches!(end, RunOutcome::Served) && phase == Some(Phase::OnCore) {
            let l = &mut self.learned[r.class];
            let guess = l.guess(r.size);
            self.seen.done += guess;
            l.runs += 1.0;
            let rate = LEARN.max(1.0 / (l.runs + 1.0));
            l.spread += ((r.used / guess.max(1e-9) - 1.0).abs().min(2.0) - l.spread) * rate.min(0.25);
            l.work.add(r.size, r.used, rate);
            l.calls += (r.calls - l.calls) * rate;
        }
    }

    // ---- guards ----

    fn cores(&self) -> f64 {
        f64::from(self.set.cores)
    }

    fn rate_span(&self) -> f64 {
        RATE_AIMS * self.set.classes.iter().map(|c| c.latency_objective.ms()).fold(1.0, f64::max)
    }

    fn memory_now(&self) -> f64 {
        self.seen.memory + self.seen.keys.len() as f64 * self.set.key_kb
    }

    /// The node leaves, and is to be avoided; where the process alone ends, it is not.
    fn going(&self) -> bool {
        self.seen.leaving.is_some_and(|(notice, _)| notice <= self.now)
    }

    /// Least share of the full speed that this server has reached.
    fn warmth(&self) -> f64 {
        let age = (self.now - self.seen.born).ms() / self.set.warm_up.ms().max(1.0);
        let from = if self.set.starts_cold { self.set.start_capacity } else { 1.0 };
        (from + (1.0 - from) * age).min(1.0)
    }

    /// Requests on the cores that this server survives now: fewer while cold, as its speed rises at least
    /// evenly. Those at calls count too, since all of them may come back at once.
    fn crowd(&self) -> f64 {
        let warm = self.warmth();
        (HEADROOM * self.cores() * (1.0 + (self.set.concurrency_per_core - 1.0).max(0.0) * warm))
            .floor()
            .max(1.0)
    }

    /// Time between looks at the gauges and due times.
    fn period(&self) -> Span {
        Span((self.set.answer_slack.0 / 3).max(2 * self.set.decision_interval.0).max(1000))
    }

    /// Rule 1 and the stop of a drain: whatever is owed is answered before it is too late, run or not.
    fn overdue(&mut self, out: &mut Vec<Action>) {
        let ahead = self.now + self.period() + self.set.decision_interval + self.set.decision_interval;
        let kill = self.seen.leaving.map_or(Time(i64::MAX), |(_, kill)| kill);
        let slack = self.set.answer_slack;
        let is_over = |r: &Req| r.owed && ((r.due + slack) < ahead || kill < ahead);
        // Past the aim where late answers bring nothing: given up, so answered now, and stopped where it can
        // be. A run that can't be stopped is not given up, as its answer costs no more.
        let given_up = |r: &Req| {
            let c = &self.set.classes[r.class];
            let over = r.owed
                && c.late_weight_fraction == 0.0
                && r.aim.max(r.arrived + c.latency_objective) <= self.now;
            let ends = self.set.preemption != Preemption::Unsupported && r.phase == Phase::OnCore;
            over && (ends || matches!(r.phase, Phase::AtCall(_) | Phase::Calling))
        };
        let over = self.reqs.iter().filter(|(_, r)| is_over(r) || given_up(r));
        let over: Vec<RequestId> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.fail(id, out));
        // Memory: the newest held go first, so that idle cores have room to run; then what joined.
        loop {
            let of = |p: Phase| self.reqs.iter().rev().find(|(_, r)| r.phase == p).map(|(id, r)| (*id, r.kb));
            let held = of(Phase::Held);
            let Some((id, kb)) = held.or_else(|| of(Phase::Joined)) else { break };
            let idle = held.map_or(0.0, |_| (self.cores() - self.seen.on_core as f64).max(0.0));
            let runs = idle * kb * (self.set.run_memory_factor - 1.0).max(0.0);
            if self.memory_now() + runs <= HEADROOM * self.set.memory_kb {
                break;
            }
            self.refuse(id, out);
            self.fail(id, out);
        }
    }

    // ---- signals ----

    fn gauge(&mut self, g: &Gauges) {
        self.seen.dirty = true;
        let held = self.reqs.values().any(|r| r.phase == Phase::Held);
        let idle = g.runnable.is_some_and(|n| n < self.cores() - 0.5);
        // Cores that idle although as many run as may: some of those wait off the cores unseen.
        if idle && held && self.seen.on_core as f64 >= self.limit.floor() {
            self.limit = (self.limit * RISE).min(self.crowd());
        } else if !idle {
            self.limit = (self.limit / RISE).max(self.cores());
        }
    }

    /// How long callers should keep away after a refusal: until the line is back at its comfort.
    fn stay_away(&self) -> Span {
        let ahead: f64 = self.reqs.values().filter(|r| r.phase == Phase::Held).map(|_| self.mean_run()).sum();
        let over = ahead / self.cores() + self.seen.unread - TARGET * self.seen.mean_aim;
        // Where a mean run outlasts the aim, as at a hang, quick refusals draw callers that go by times.
        let hopeless = self.going() || self.mean_run() > self.seen.mean_aim;
        let ms = if hopeless { f64::MAX } else { over.max(0.0) };
        Span::from_ms(ms.min(self.set.max_retry_after.ms()))
    }

    fn signal(&mut self, out: &mut Vec<Action>) {
        if self.now >= self.next_wake {
            self.next_wake = self.now + self.period();
            out.push(Action::WakeIn(self.period()));
        }
        // An unread line as long as the aims kills what is in it: leave the lists until it has gone, one
        // spell in five at most, as it may be everyone's, and not where further tries show that others refuse
        // too. A cold server, or one slower than its own mean, knows it for its own and leaves as long as the
        // line stands, until further tries are so many that the whole fleet must be slow.
        let spell = self.set.concurrency_window.0;
        let since = (self.now - self.turned).0;
        let ill = self.warmth() < 1.0 || self.slowness() > ILL;
        let may = ill || if self.seen.jammed { since < spell } else { since > 4 * spell };
        let (line, run) = if self.seen.jammed { (COMFORT, CRAWL / 2.0) } else { (JAM, CRAWL) };
        // A hang stops the work but not the reading, so it shows as runs that outlast their aims alone.
        let crawls = self.mean_run() > run * self.seen.mean_aim;
        let room = self.seen.resent < if ill { 3.0 * WALKERS } else { WALKERS };
        let jammed = room && (may && self.seen.unread > line * self.seen.mean_aim || crawls);
        if jammed != self.seen.jammed && !self.going() {
            (self.seen.jammed, self.turned) = (jammed, self.now);
            out.push(Action::SetHealth(!jammed));
        }
        let value = match self.set.capacity_hint {
            CapacityHint::Off => return,
            CapacityHint::PriorityFloor => self.seen.level,
            CapacityHint::Allowance => {
                let (sum, squares) =
                    self.seen.callers.values().fold((0.0, 0.0), |(s, q), r| (s + r, q + r * r));
                let callers = if squares > 0.0 { sum * sum / squares } else { f64::from(self.set.callers) };
                self.room() / callers.max(1.0)
            }
            CapacityHint::Weight => (self.room() / (self.reqs.len() as f64).max(1.0)).min(1.0),
        };
        // Where no list follows health, the value stands in for it.
        let away = self.going() || self.seen.jammed && !self.set.endpoint_lists_follow_health;
        let none = if self.set.capacity_hint == CapacityHint::PriorityFloor { 1.0 } else { 0.0 };
        let value = if away { none } else { value };
        if self.said.is_nan() || (value - self.said).abs() > 0.1 * self.said.max(0.1) {
            self.said = value;
            out.push(Action::SetCapacityHint(value));
        }
    }

    /// Requests that this server can have in hand with no more than a comfortable wait.
    fn room(&self) -> f64 {
        let work = self.mean_run().max(1.0);
        self.cores() * (1.0 + (COMFORT * self.seen.mean_aim + self.call_ms()) / work)
    }
}

fn tenant_key(tenant: Option<TenantId>) -> u64 {
    tenant.map_or(0, |t| t.0.wrapping_add(1))
}
