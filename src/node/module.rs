//! The module's actor: it alone owns the [`Policy`], the request table, the kept keys, the timers and the
//! answers owed. It never waits for a peer; what it sends goes into mailboxes that have room for all that the
//! protocol lets be open, and a command that finds none counts as never sent.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{at, never, select, tick, Receiver};
use idempotency::{Found, Joined, Table, NEVER};
use lifecycle::PARTS;
use slog::{debug, info, warn, Logger};

use super::request::{Answer, Arrival, Failure, Outcome, Reply, Rid};
use super::request_table::{End, Entry, RequestTable, Stage};
use super::{
    unix_now, Board, Call, CallResult, CellGuard, Limits, Msg, Peers, RunExit, Seldom, ToExecutor,
};
use crate::wire::Site;
use policy::Policy;
use policy::{
    Action, CallEnd, ClassId, Effect, Event, Gauges, Request, RequestId, RunEnd, Settings, Span,
    Time,
};

/// The module keeps a tenth of memory and places free.
const MARGIN: f64 = 1.1;
/// A part of the calls that stands for none: 0 would stand for no limit.
const NEXT_TO_NOTHING: f64 = 0.01;

/// What the module will be told with its next batch. The age of a request is told as of the batch.
enum Pending {
    Read(Request, Time),
    Other(Event),
}

/// See the file's head.
pub struct Module {
    site: Arc<Site>,
    seed: u64,
    stop: Duration,
    limits: Limits,
    peers: Peers,
    board: Arc<Board>,
    /// Where cells are in force: whose requests are this node's.
    cells: Option<CellGuard>,
    log: Logger,
    policy: Option<Policy>,
    requests: RequestTable,
    pending: Vec<Pending>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<Instant>>,
    /// The gauges asked for, and when to go on without them.
    meter: Option<(u64, Instant)>,
    /// The tag after which all notices of before a break have been read.
    barrier: Option<u64>,
    tags: u64,
    linked: bool,
    /// Told to leave.
    leaving: bool,
    /// Keys of the settings' tenants, under which the fleet counts them.
    tenant_keys: Vec<u64>,
    /// The module goes by counts of others.
    told_others: bool,
    /// This process's parts of what the node may have.
    parts: u32,
    twice: Seldom,
    heavy: Seldom,
    not_carried_out: Seldom,
    state: Seldom,
    peaks: Peaks,
    last: Instant,
}

/// The worst since the last line of the log on what is in hand.
#[derive(Default)]
struct Peaks {
    /// Kilobytes that the platform books, as seen by the sweep.
    booked_kb: f64,
    /// Age of a request when the module was told of it.
    age: Span,
}

impl Module {
    /// An actor that waits for the executor to come up.
    pub fn new(
        (site, seed, stop): (Arc<Site>, u64, Duration),
        limits: Limits,
        peers: Peers,
        (board, cells): (Arc<Board>, Option<CellGuard>),
        log: Logger,
    ) -> Module {
        // A try that lay unread for longer is refused as it is read.
        let longest = site
            .settings
            .classes
            .iter()
            .map(|c| c.deadline.0)
            .max()
            .unwrap_or(0);
        let unread = longest + site.settings.answer_slack.0;
        let requests = RequestTable::new(Table::new(limits.keys_bytes, limits.key_result, unread));
        let seldom = || Seldom::new(limits.log_seldom);
        let (twice, heavy, not_carried_out) = (seldom(), seldom(), seldom());
        let state = Seldom::new(limits.log_state);
        let tenant_keys = site.tenant_keys();
        Module {
            tenant_keys,
            told_others: false,
            parts: PARTS,
            site,
            seed,
            stop,
            limits,
            peers,
            board,
            cells,
            log,
            policy: None,
            requests,
            pending: Vec::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            meter: None,
            barrier: None,
            tags: 0,
            linked: false,
            leaving: false,
            twice,
            heavy,
            not_carried_out,
            state,
            peaks: Peaks::default(),
            last: Instant::now(),
        }
    }

    /// Serves its mailbox until every sender is gone.
    pub fn run(mut self, inbox: &Receiver<Msg>) {
        let sweep = tick(self.limits.sweep);
        loop {
            let wait = self.next_look().map_or_else(never, at);
            select! {
                recv(sweep) -> _ => self.sweep(),
                recv(inbox) -> msg => match msg {
                    Ok(msg) => self.take(msg),
                    Err(_) => return,
                },
                recv(wait) -> _ => {}
            }
            for msg in inbox.try_iter().take(self.limits.module_mailbox) {
                self.take(msg);
            }
            self.look();
        }
    }

    /// Tells the module what of memory, places and calls is this process's.
    fn told_parts(&mut self, parts: u32) {
        // Before there is a module this is told it as it starts.
        self.parts = parts;
        let set = &self.site.settings;
        let part = f64::from(parts) / f64::from(PARTS);
        // Where the fleet shares calls, its budget has both processes' in it.
        let calls_out = self
            .peers
            .waiting
            .is_none()
            .then_some(set.calls_out * part.max(NEXT_TO_NOTHING));
        let of = Event::Part {
            memory_kb: set.memory_kb * part,
            crowd_per_core: set.crowd_per_core * part,
            calls_out,
        };
        self.pending.push(Pending::Other(of));
    }
    /// Parts of what the node may have that are taken by what is in hand here, with the module's own margin.
    fn parts_used(&self, booked_kb: f64) -> u32 {
        let set = &self.site.settings;
        let crowd = set.crowd_per_core * f64::from(set.cores);
        let (_, running, ghosts) = self.requests.counts();
        let used = (booked_kb / set.memory_kb.max(1.0))
            .max((running + ghosts) as f64 / crowd.max(1.0))
            * MARGIN;
        (used * f64::from(PARTS))
            .ceil()
            .clamp(0.0, f64::from(PARTS)) as u32
    }

    /// Tells the module what the others have in flight, as long as that is known.
    fn tell_others(&mut self) {
        let Some(fleet) = &self.peers.fleet else {
            return;
        };
        let told = (fleet.others)(&self.tenant_keys);
        if told.is_none() && !self.told_others {
            return;
        }
        self.told_others = told.is_some();
        let (nodes, others) = told.unwrap_or_default();
        let others = others.into_iter().map(f64::from).collect();
        self.pending
            .push(Pending::Other(Event::Others(f64::from(nodes), others)));
    }

    /// Looks after runs that nobody waits for: their end may never be told, if a command was lost with a link. Each
    /// is stopped again, and is over when that has brought nothing for long enough.
    fn sweep(&mut self) {
        self.tell_others();
        if let Some(waiting) = &self.peers.waiting {
            waiting(
                self.requests
                    .all()
                    .filter(|e| matches!(e.stage, Stage::AtCall(..)))
                    .count(),
            );
        }
        let (again, over) = (self.limits.stop_again, self.limits.stop_given_up);
        let classes = &self.site.settings.classes;
        // One run by key goes on, as another try may come for its result.
        let grace = |class: ClassId| match classes.get(class.0) {
            Some(c) if c.effect == Effect::ByKey => {
                Duration::from_micros(c.deadline.0.unsigned_abs())
            }
            _ => Duration::ZERO,
        };
        let mut gone = Vec::new();
        for entry in self.requests.all().filter(|e| e.ran()) {
            let Some(since) = entry.answered.map(|at| at.elapsed()) else {
                continue;
            };
            if since < again + grace(entry.class) {
                continue;
            }
            if since >= over + grace(entry.class) {
                gone.push(entry.rid);
            } else {
                let _ = self.peers.executor.try_send(ToExecutor::Kill(entry.rid));
            }
        }
        for rid in gone {
            warn!(self.log, "the end of a run never came"; "rid" => %rid);
            self.over(
                rid,
                RunEnd::Moot,
                Outcome::Failed(Failure::Internal),
                Some(End::Failed),
            );
        }
        self.requests.keys.expire(unix_now().0);
        let booked_kb = self.requests.booked_kb(self.site.settings.run_factor);
        self.board.used.store(self.parts_used(booked_kb), Relaxed);
        self.peaks.booked_kb = self.peaks.booked_kb.max(booked_kb);
        self.state.log(|_| {
            let (held, running, ghosts) = self.requests.counts();
            let peaks = std::mem::take(&mut self.peaks);
            info!(self.log, "state"; "held" => held, "running" => running, "ghosts" => ghosts,
                "owed" => self.board.owed(), "keys" => self.requests.keys.len(),
                "keys_kb" => self.requests.keys.bytes() / 1024, "timers" => self.timers.len(), "pending" => self.pending.len(),
                "booked_kb" => booked_kb as u64, "most_booked_kb" => peaks.booked_kb as u64,
                "calls" => ?self.policy.as_ref().map(Policy::calls_seen),
                "memory_kb" => self.site.settings.memory_kb as u64, "oldest_read_ms" => peaks.age.ms() as u64);
        });
    }

    /// When there is something to do without a message: the next batch, a timer, or gauges that don't come.
    fn next_look(&self) -> Option<Instant> {
        let batch = if self.pending.is_empty() {
            None
        } else {
            Some(self.earliest())
        };
        let timer = self
            .timers
            .peek()
            .map(|Reverse(at)| *at)
            .filter(|_| self.meter.is_none());
        let meter = self.meter.map(|(_, late)| late);
        [batch, timer, meter].into_iter().flatten().min()
    }

    /// No batch comes sooner than a round after the last one.
    fn earliest(&self) -> Instant {
        let round = Duration::from_micros(self.site.settings.round.0.unsigned_abs());
        self.last + round
    }

    fn look(&mut self) {
        let now = Instant::now();
        if self.meter.is_none() && self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
                self.timers.pop();
            }
            let tag = self.tag();
            if self.linked && self.peers.executor.try_send(ToExecutor::Meter(tag)).is_ok() {
                self.meter = Some((tag, now + self.limits.meter));
            } else {
                self.pending
                    .push(Pending::Other(Event::Wake(Gauges::default())));
            }
        }
        if self.meter.is_some_and(|(_, late)| late <= now) {
            // Due times are watched at wake-ups, so a wake-up never waits long for an executor that is busy.
            self.meter = None;
            self.pending
                .push(Pending::Other(Event::Wake(Gauges::default())));
        }
        if !self.pending.is_empty() && self.earliest() <= now {
            self.last = now;
            self.batch();
        }
    }

    fn tag(&mut self) -> u64 {
        self.tags += 1;
        self.tags
    }

    fn batch(&mut self) {
        let Some(policy) = &mut self.policy else {
            return self.pending.clear();
        };
        let now = unix_now();
        let oldest = &mut self.peaks.age;
        let told = |p: Pending| match p {
            Pending::Read(mut request, arrived) => {
                request.age = Span((now - arrived).0.max(0));
                request.wait_left = request
                    .wait_left
                    .map(|wait| Span((wait.0 - request.age.0).max(0)));
                *oldest = request.age.max(*oldest);
                Event::Read(request)
            }
            Pending::Other(event) => event,
        };
        let events: Vec<Event> = self.pending.drain(..).map(told).collect();
        let mut actions = std::mem::take(&mut self.actions);
        let heavy = policy.heavy;
        policy.handle(now, &events, &mut actions);
        let heavy = (policy.heavy - heavy, policy.heavy);
        if heavy.0 > 0 {
            self.heavy.log(|_| {
                info!(self.log, "refused: tenants are heavy over the fleet"; "so_far" => heavy.1);
            });
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    // ---- what comes in ----

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Arrived(arrival) => self.arrived(*arrival),
            Msg::ExecutorUp { cold, age } => self.executor_up(cold, age),
            Msg::ExecutorDown => {
                self.linked = false;
                self.requests
                    .all()
                    .filter(|e| e.ran())
                    .for_each(|e| e.unsure = true);
            }
            Msg::Exit(rid, how) => self.exit(rid, how),
            Msg::Callout(rid, pos, body) => {
                let Some(id) = self.requests.find(rid) else {
                    return;
                };
                if let Some(entry) = self.requests.get(id) {
                    entry.unsure = false;
                    entry.stage = Stage::AtCall(body, pos);
                    self.pending.push(Pending::Other(Event::NeedsCall(id)));
                }
            }
            Msg::Meters(tag, values) => {
                if self.meter.is_some_and(|(asked, _)| asked == tag) {
                    self.meter = None;
                    self.pending
                        .push(Pending::Other(Event::Wake(self.site.gauges(&values))));
                }
                if self.barrier == Some(tag) {
                    self.barrier = None;
                    self.send_again();
                }
            }
            Msg::NotCarriedOut(rid) => {
                self.not_carried_out.log(|more| {
                    warn!(self.log, "the executor would not run a request"; "rid" => %rid, "more" => more);
                });
                self.over(rid, RunEnd::Moot, Outcome::Failed(Failure::Internal), None);
            }
            Msg::CallerLeft(rid) => self.caller_left(rid),
            Msg::CallDone(id, result, took) => self.call_done(id, result, took),
            Msg::CallsOut(places) => self
                .pending
                .push(Pending::Other(Event::CallsOut(places as f64))),
            Msg::Parts(parts) => self.told_parts(parts),
            Msg::Replaced(left) => {
                let left = left.saturating_sub(self.limits.stop_margin);
                self.pending
                    .push(Pending::Other(Event::Replaced(Span::from_ms(
                        left.as_secs_f64() * 1e3,
                    ))));
            }
            Msg::Drain => {
                self.leaving = true;
                let left = self.stop.saturating_sub(self.limits.stop_margin);
                info!(self.log, "notice to leave"; "left_ms" => left.as_millis() as u64, "owed" => self.board.owed());
                self.pending
                    .push(Pending::Other(Event::Leaving(Span::from_ms(
                        left.as_secs_f64() * 1e3,
                    ))));
            }
        }
    }

    fn arrived(&mut self, a: Arrival) {
        let Arrival {
            rid,
            class,
            tenant,
            at,
            wait,
            caller,
            resent,
            held_kb,
            body,
            reply,
            ..
        } = a;
        let told = self.site.settings.classes.get(class.0);
        let effect = told.map_or(Effect::Once, |c| c.effect);
        let once = effect != Effect::Repeatable;
        let hint = self.board.hint();
        let give = |reply: Reply, outcome| reply.give(Answer { outcome, hint });
        let digests = &self.requests.digests;
        let first = a.key.filter(|_| once).map(|key| {
            (
                digests.of((class, tenant, &key)),
                digests.of(body.as_base64()),
                at.0,
            )
        });
        let found = first.map_or(Found::Free, |(key, body, at)| {
            self.requests.keys.find(key, body, at)
        });
        let repeats = match found {
            Found::Repeat(owner) => Some(RequestId(owner)),
            Found::Ran => return give(reply, Outcome::Failed(Failure::MayHaveRun)),
            Found::OtherBody => return give(reply, Outcome::Failed(Failure::OtherBody)),
            Found::Free | Found::Full => None,
        };
        // An earlier try of it may have run, here in another life or elsewhere: running it could be the second. What is known
        // here of a key is the better word.
        let known_here = effect == Effect::ByKey && repeats.is_some();
        if (once && a.may_have_run && !known_here) || (repeats.is_some() && a.unwanted) {
            return give(reply, Outcome::Failed(Failure::MayHaveRun));
        }
        let named = a.named.filter(|_| repeats.is_none());
        if let Some((cells, (tenant, subject))) = self.cells.as_ref().zip(named) {
            if let Some(epoch) = cells.wrong_cell_epoch(&tenant, subject.as_deref()) {
                return give(reply, Outcome::Elsewhere { epoch });
            }
        }
        if self.policy.is_none() || found == Found::Full || a.unwanted {
            let stay_away = self.site.settings.max_retry_after;
            return give(
                reply,
                Outcome::Refused {
                    stay_away,
                    give_up: false,
                },
            );
        }
        // Nobody waits for it any more, and an age that no line here explains must not count as one: the module would
        // take the node for jammed.
        let patience = told.map_or(Span(0), |c| c.deadline);
        let patience = wait.map_or(patience, |wait| wait.min(patience));
        if at + patience + self.site.settings.answer_slack < unix_now() {
            // Turned away, one whose effect may have come about could be taken elsewhere.
            let refused = Outcome::Refused {
                stay_away: Span(0),
                give_up: true,
            };
            return give(
                reply,
                repeats.map_or(refused, |_| Outcome::Failed(Failure::MayHaveRun)),
            );
        }
        if self.requests.find(rid).is_some() {
            self.twice.log(
                |more| warn!(self.log, "a request id came twice"; "rid" => %rid, "more" => more),
            );
            return reply.give(Answer {
                outcome: Outcome::Failed(Failure::Internal),
                hint,
            });
        }
        let (stage, reply) = (Stage::Held, Some(reply));
        let counted = self
            .peers
            .fleet
            .as_ref()
            .zip(tenant)
            .map(|(fleet, tenant)| {
                let key = self
                    .tenant_keys
                    .get(tenant.0 as usize)
                    .copied()
                    .unwrap_or(tenant.0);
                fleet.live.enters(key);
                key
            });
        let entry = Entry {
            rid,
            class,
            body,
            held_kb,
            reply,
            stage,
            answered: None,
            repeats,
            unsure: false,
            keyed: first.is_some() && repeats.is_none(),
            counted,
        };
        let id = self
            .requests
            .enter(entry, first.filter(|_| repeats.is_none()));
        if effect == Effect::Once {
            self.requests.keys.keep(id.0, NEVER);
        }
        self.board.owed.fetch_add(1, Relaxed);
        let request = Request {
            id,
            class,
            tenant,
            has_key: false,
            wait_left: wait,
            hint: None,
            held_kb,
            resent,
            write: once,
            caller,
            age: Span(0),
            repeats,
        };
        self.pending.push(Pending::Read(request, at));
    }

    fn executor_up(&mut self, cold: bool, age: Duration) {
        self.linked = true;
        if self.policy.is_some() {
            let tag = self.tag();
            self.barrier =
                Some(tag).filter(|_| self.peers.executor.try_send(ToExecutor::Meter(tag)).is_ok());
            return;
        }
        // Told to leave before there was anyone to serve it: it takes nothing up any more.
        if self.leaving {
            return;
        }
        // The module counts its warming from the executor's start, which may lie before the link. A warm one may
        // have been up for hours, which would only run the module's clocks past all that they measure.
        let age = if cold { age } else { Duration::ZERO };
        let settings = Settings {
            cold,
            ..self.site.settings.clone()
        };
        let mut policy = match Policy::new(settings, self.seed) {
            Ok(policy) => policy,
            Err(e) => return warn!(self.log, "settings"; "error" => %e),
        };
        let age = Span::from_ms(age.as_secs_f64() * 1e3);
        let mut actions = Vec::new();
        policy.handle(unix_now() - age, &[], &mut actions);
        self.policy = Some(policy);
        if self.parts != PARTS {
            self.told_parts(self.parts);
        }
        info!(self.log, "executor up"; "cold" => cold, "age_ms" => age.ms());
        actions.into_iter().for_each(|action| self.act(action));
        let _ = self.board.up.0.try_send(());
    }

    /// After a break: all notices up to now are read, so what is still unsure was never heard of. What may safely
    /// run again is sent again, which does nothing if it runs; what must run once is never sent a second time
    /// and, if its command was lost, fails at its due time.
    fn send_again(&mut self) {
        let Module {
            site,
            requests,
            peers,
            ..
        } = self;
        for entry in requests.all() {
            let unsure = std::mem::take(&mut entry.unsure);
            let class = site.settings.classes.get(entry.class.0);
            let safe = class.is_some_and(|c| c.effect == Effect::Repeatable);
            if unsure && safe && entry.reply.is_some() && entry.stage == Stage::Running {
                let name = site.class_name(entry.class).to_string();
                let _ =
                    peers
                        .executor
                        .try_send(ToExecutor::Exec(entry.rid, name, entry.body.clone()));
            }
        }
    }

    fn exit(&mut self, rid: Rid, how: RunExit) {
        let failed = Some(End::Failed);
        let (end, outcome, came) = match how {
            RunExit::Done(body) => (
                RunEnd::Served,
                Outcome::Served(body.clone()),
                Some(End::Served(body)),
            ),
            RunExit::Error => (RunEnd::Failed, Outcome::Failed(Failure::Run), failed),
            RunExit::Stopped => (RunEnd::Stopped, Outcome::Failed(Failure::Run), failed),
            RunExit::Moot => (RunEnd::Moot, Outcome::Failed(Failure::Internal), None),
        };
        self.over(rid, end, outcome, came);
    }

    /// A run is over: the answer goes out at once if it is still owed, also to those that joined it, and the module hears
    /// of it. What came of it is kept under its key, if it has one; nothing came of one that certainly never ran.
    fn over(&mut self, rid: Rid, end: RunEnd, outcome: Outcome, came: Option<End>) {
        let Some(id) = self.requests.find(rid) else {
            return debug!(self.log, "end of a request that is over"; "rid" => %rid);
        };
        let waiting = match came {
            // One run once has no repeat that would be served.
            Some(End::Served(_)) if self.effect(id) != Some(Effect::ByKey) => {
                self.requests.keys.end(id.0, End::Failed, 0)
            }
            Some(came) => {
                let size = if let End::Served(body) = &came {
                    body.as_base64().len()
                } else {
                    0
                };
                self.requests.keys.end(id.0, came, size)
            }
            None => self.requests.keys.never_ran(id.0),
        };
        self.answer(id, outcome.clone());
        self.tell_waiting(waiting.into_iter().map(RequestId).collect(), &outcome);
        self.remove(id);
        self.pending.push(Pending::Other(Event::Finished(id, end)));
    }

    fn effect(&mut self, id: RequestId) -> Option<Effect> {
        let class = self.requests.get(id)?.class;
        self.site.settings.classes.get(class.0).map(|c| c.effect)
    }

    /// Takes a request out of the request table. Those that waited for one that never ran never ran either.
    fn remove(&mut self, id: RequestId) {
        let waiting = self.requests.remove(id);
        let stay_away = self.site.settings.max_retry_after;
        self.tell_waiting(
            waiting,
            &Outcome::Refused {
                stay_away,
                give_up: false,
            },
        );
    }

    /// Answers those that joined a request which is over.
    fn tell_waiting(&mut self, waiting: Vec<RequestId>, outcome: &Outcome) {
        for id in waiting {
            self.end_joined(id, outcome.clone());
        }
    }

    fn end_joined(&mut self, id: RequestId, outcome: Outcome) {
        let end = if matches!(outcome, Outcome::Served(_)) {
            RunEnd::Served
        } else {
            RunEnd::Failed
        };
        self.answer(id, outcome);
        self.remove(id);
        self.pending.push(Pending::Other(Event::Finished(id, end)));
    }

    /// Serves a request from the one that it repeats.
    fn join(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id).filter(|e| e.stage == Stage::Held) else {
            return;
        };
        let Some(original) = entry.repeats else {
            return;
        };
        entry.stage = Stage::Joined;
        let outcome = match self.requests.keys.join(id.0, original.0) {
            Joined::Waits => return,
            Joined::Over(End::Served(body)) => Outcome::Served(body),
            Joined::Over(End::Failed) => Outcome::Failed(Failure::MayHaveRun),
            Joined::NeverRan => Outcome::Refused {
                stay_away: self.site.settings.max_retry_after,
                give_up: false,
            },
        };
        self.end_joined(id, outcome);
    }

    /// Nobody waits for its answer any more. What never ran is over with that; the module decides on what runs.
    fn caller_left(&mut self, rid: Rid) {
        let Some(id) = self.requests.find(rid) else {
            return;
        };
        let Some(reply) = self.take_reply(id) else {
            return;
        };
        reply.forgo();
        self.pending.push(Pending::Other(Event::CallerLeft(id)));
        if self.requests.get(id).is_some_and(|e| !e.ran()) {
            self.remove(id);
        }
    }

    fn call_done(&mut self, id: RequestId, result: CallResult, took: Duration) {
        let Some(entry) = self.requests.get(id) else {
            return;
        };
        let Stage::Calling(body, pos) = &entry.stage else {
            return;
        };
        let end = match result {
            CallResult::Reply(reply) => {
                entry.stage = Stage::Running;
                let back = ToExecutor::Return(entry.rid, reply);
                if self.peers.executor.try_send(back).is_err() {
                    warn!(self.log, "no room for a reply"; "rid" => %entry.rid);
                }
                CallEnd::Good
            }
            CallResult::NeverRan => {
                entry.stage = Stage::AtCall(body.clone(), *pos);
                CallEnd::NeverRan
            }
            CallResult::Unknown => {
                entry.stage = Stage::AtCall(body.clone(), *pos);
                CallEnd::Failed
            }
        };
        let took = Span::from_ms(took.as_secs_f64() * 1e3);
        self.pending
            .push(Pending::Other(Event::CallEnded(id, end, took)));
    }

    // ---- what goes out ----

    /// Gives the answer if it is still owed.
    fn answer(&mut self, id: RequestId, outcome: Outcome) {
        let hint = self.board.hint();
        let Some(reply) = self.take_reply(id) else {
            return;
        };
        if let (Outcome::Failed(why), Some(entry)) = (&outcome, self.requests.get(id)) {
            let (rid, class, stage) = (entry.rid, entry.class.0, entry.stage.word());
            info!(self.log, "failed"; "rid" => %rid, "class" => class, "why" => why.word(), "at" => stage);
        }
        reply.give(Answer { outcome, hint });
    }

    /// The right to answer, if it is still there: from now on nothing is owed.
    fn take_reply(&mut self, id: RequestId) -> Option<Reply> {
        let entry = self.requests.get(id)?;
        let reply = entry.reply.take()?;
        entry.answered = Some(Instant::now());
        if let Some((fleet, key)) = self.peers.fleet.as_ref().zip(entry.counted) {
            fleet.live.leaves(key);
        }
        self.board.owed.fetch_sub(1, Relaxed);
        Some(reply)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start(id),
            Action::Stop(id) => {
                // One run by key goes on: its result is for the next try, which would find none otherwise.
                let goes_on = self.effect(id) == Some(Effect::ByKey);
                if let Some(entry) = self.requests.get(id).filter(|e| e.ran() && !goes_on) {
                    // If the command is lost, the run ends by itself and its result is dropped.
                    let _ = self.peers.executor.try_send(ToExecutor::Kill(entry.rid));
                }
            }
            Action::Refuse {
                id,
                stay_away,
                give_up,
            } => {
                let Some(entry) = self.requests.get(id) else {
                    return;
                };
                let class = self.site.settings.classes.get(entry.class.0);
                let safe = class.is_some_and(|c| c.effect == Effect::Repeatable);
                let outcome = if entry.ran() && !safe {
                    Outcome::Failed(Failure::GivenUp)
                } else {
                    Outcome::Refused { stay_away, give_up }
                };
                self.end_held(id, outcome);
            }
            Action::Fail(id) => {
                let Some(entry) = self.requests.get(id) else {
                    return;
                };
                let why = if entry.repeats.is_some() {
                    Failure::MayHaveRun
                } else {
                    Failure::GivenUp
                };
                self.end_held(id, Outcome::Failed(why));
            }
            Action::Call(id, limit) => {
                let Some(entry) = self.requests.get(id) else {
                    return;
                };
                let Stage::AtCall(body, pos) = &entry.stage else {
                    return;
                };
                let (rid, body) = (entry.rid, body.clone());
                entry.stage = Stage::Calling(body.clone(), *pos);
                let limit = Duration::from_micros(limit.0.unsigned_abs());
                if !(self.peers.database)(Call {
                    id,
                    rid,
                    body,
                    limit,
                }) {
                    self.call_done(id, CallResult::NeverRan, Duration::ZERO);
                }
            }
            Action::Health(ready) => self.board.ready.store(ready, Relaxed),
            Action::FreeValue(value) => self.board.hint.store(value.to_bits(), Relaxed),
            Action::CloseIdle(span) => self.board.idle_us.store(span.0, Relaxed),
            Action::WakeIn(span) => {
                let at = Instant::now() + Duration::from_micros(span.0.unsigned_abs());
                self.timers.push(Reverse(at));
            }
            Action::Log(text) => info!(self.log, "{}", text),
            Action::SkipCall(id) => {
                let Some(entry) = self.requests.get(id) else {
                    return;
                };
                let Stage::AtCall(_, pos) = entry.stage else {
                    return;
                };
                entry.stage = Stage::Running;
                let _ = self
                    .peers
                    .executor
                    .try_send(ToExecutor::Bypass(entry.rid, pos));
            }
            Action::Remember(id, span) => self.requests.keys.keep(id.0, (unix_now() + span).0),
            // The key of what never ran goes with it, in the same batch.
            Action::Forget(_) => {}
            Action::Join(id) => self.join(id),
        }
    }

    fn start(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(id).filter(|e| e.stage == Stage::Held) else {
            return;
        };
        let name = self.site.class_name(entry.class).to_string();
        let exec = ToExecutor::Exec(entry.rid, name, entry.body.clone());
        if self.peers.executor.try_send(exec).is_ok() {
            entry.stage = Stage::Running;
            self.requests.keys.ran(id.0);
        } else {
            let stay_away = self.site.settings.max_retry_after;
            self.end_held(
                id,
                Outcome::Refused {
                    stay_away,
                    give_up: false,
                },
            );
            self.pending
                .push(Pending::Other(Event::Finished(id, RunEnd::Moot)));
        }
    }

    /// Answers a request; one that never ran is over with that, one that runs stays in the request table until its end.
    fn end_held(&mut self, id: RequestId, outcome: Outcome) {
        self.answer(id, outcome);
        if self.requests.get(id).is_some_and(|e| !e.ran()) {
            self.remove(id);
        }
    }
}
