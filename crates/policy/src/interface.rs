//! The face of the module: what it is told, what it answers, and the units of both.

use std::fmt;
use std::ops::{Add, Sub};

/// An instant on the caller's clock, in microseconds; the zero point means nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Span {
    /// A span of so many milliseconds, rounded to the microsecond.
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1e3).round() as i64)
    }
    /// The span in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }
}
impl Add<Span> for Time {
    type Output = Time;
    fn add(self, s: Span) -> Time {
        Time(self.0.saturating_add(s.0))
    }
}
impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, s: Span) -> Time {
        Time(self.0.saturating_sub(s.0))
    }
}
impl Sub for Time {
    type Output = Span;
    fn sub(self, t: Time) -> Span {
        Span(self.0.saturating_sub(t.0))
    }
}

/// One try of a request; never repeats within a server's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// Index into [`Settings::classes`]; a number past its end is a class nobody told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Index into [`Settings::tenants`]; a number past its end is a tenant nobody told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u64);
/// Who sent the request: one caller process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// As often as anyone likes.
    Repeatable,
    /// Once for each key within the class's window.
    ByKey,
    /// Once at most.
    #[default]
    Once,
}

/// What is known of a class of requests; by default one of no worth or patience that may run once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Full worth goes to answers within this of the first try.
    pub aim: Span,
    /// The client's patience over all tries.
    pub deadline: Span,
    /// How often it may run.
    pub effect: Effect,
    /// Share of the worth left after the aim.
    pub late_worth: f64,
    /// How long after its arrival a keyed request may come back.
    pub window: Span,
    /// Worth of a request.
    pub worth: f64,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// Whether its requests may call what lies below.
    pub calls: bool,
    /// Share of the worth kept when a call is left out; 0 means it must not be.
    pub skip_worth: f64,
}

/// What is known of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over the whole fleet.
    pub allowance_per_s: f64,
}

/// What lies below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Below {
    /// Nothing.
    Nothing,
    /// One dependency shared by the fleet.
    Shared,
    /// A tier of servers that decide as this one does.
    Tier,
}

/// What stopping a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    /// Runs can't be stopped.
    Off,
    /// What was done is lost.
    Discard,
    /// The run can be taken up again.
    Freeze,
}

/// What callers take the free value to mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeValue {
    /// It must not be set.
    Off,
    /// They send nothing of a lower rank.
    Floor,
    /// No caller has more requests out here.
    Allowance,
    /// The chance of not being passed over.
    Weight,
}

/// All that bears on decisions, told once at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Cores of this server.
    pub cores: u32,
    /// Least time between two calls of [`crate::Policy::handle`].
    pub round: Span,
    /// Servers of this tier at the start.
    pub servers: u32,
    /// Callers of this tier at the start.
    pub callers: u32,
    /// Classes, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's share, as a share of its class's.
    pub over_share_worth: f64,
    /// Whether worth is counted for each unit of work.
    pub worth_by_work: bool,
    /// Memory in kilobytes.
    pub memory_kb: f64,
    /// A running request's memory over a held one's.
    pub run_factor: f64,
    /// Kilobytes for each remembered key.
    pub key_kb: f64,
    /// What lies below.
    pub below: Below,
    /// This server's part of the calls that the shared dependency survives, as a mean number.
    pub calls_out: f64,
    /// The span of that mean.
    pub calls_span: Span,
    /// How long a given-up call may stay in the dependency's hands.
    pub linger: Span,
    /// How long a read's answer may serve others; zero means never.
    pub share_for: Span,
    /// What stopping does.
    pub stopping: Stopping,
    /// The meaning of the free value.
    pub free_value: FreeValue,
    /// How long callers keep the free value in mind.
    pub heard_for: Span,
    /// Whether callers' lists follow what health checks hear.
    pub lists_follow_health: bool,
    /// The server was just started.
    pub cold: bool,
    /// Least share of full speed of a cold server.
    pub start_capacity: f64,
    /// Longest time until it is warm.
    pub warm_up: Span,
    /// Grace after a request's due time.
    pub answer_slack: Span,
    /// Arrivals later than this after the notice to leave never run.
    pub drain_grace: Span,
    /// Requests on the cores, for each core, that a warm server survives.
    pub crowd_per_core: f64,
    /// The span over which that is a mean.
    pub crowd_span: Span,
    /// Longest advice to stay away that callers follow.
    pub max_retry_after: Span,
    /// How long callers keep a connection that carries nothing.
    pub caller_idle: Span,
}

impl Settings {
    /// Whether they can be used at all: no figure out of its range, nothing essential missing.
    pub fn check(&self) -> Result<(), SettingsError> {
        let s = self;
        if s.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if s.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let times = [
            ("round", s.round),
            ("calls_span", s.calls_span),
            ("linger", s.linger),
            ("share_for", s.share_for),
            ("warm_up", s.warm_up),
            ("answer_slack", s.answer_slack),
            ("drain_grace", s.drain_grace),
            ("crowd_span", s.crowd_span),
            ("max_retry_after", s.max_retry_after),
            ("heard_for", s.heard_for),
            ("caller_idle", s.caller_idle),
        ];
        let of_class =
            s.classes.iter().flat_map(|c| [("aim", c.aim), ("deadline", c.deadline), ("window", c.window)]);
        if let Some((name, _)) = times.into_iter().chain(of_class).find(|(_, t)| t.0 < 0) {
            return Err(SettingsError::NegativeTime(name));
        }
        let figures = [
            ("memory_kb", s.memory_kb),
            ("run_factor", s.run_factor),
            ("key_kb", s.key_kb),
            ("calls_out", s.calls_out),
            ("start_capacity", s.start_capacity),
            ("crowd_per_core", s.crowd_per_core),
            ("over_share_worth", s.over_share_worth),
        ];
        let of_class = s.classes.iter().flat_map(|c| [("worth", c.worth), ("late_worth", c.late_worth)]);
        match figures.into_iter().chain(of_class).find(|(_, f)| !f.is_finite() || *f < 0.0) {
            Some((name, _)) => Err(SettingsError::BadFigure(name)),
            None => Ok(()),
        }
    }
}

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// No cores.
    NoCores,
    /// No classes.
    NoClasses,
    /// A length of time is negative; the name says which.
    NegativeTime(&'static str),
    /// A figure is negative, missing or not a number; the name says which.
    BadFigure(&'static str),
}
impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoCores => f.write_str("settings name no cores"),
            SettingsError::NoClasses => f.write_str("settings name no classes"),
            SettingsError::NegativeTime(n) => write!(f, "settings hold a negative time: {n}"),
            SettingsError::BadFigure(n) => write!(f, "settings hold an unusable figure: {n}"),
        }
    }
}
impl std::error::Error for SettingsError {}

/// A request as read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// This try.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where the site has any.
    pub tenant: Option<TenantId>,
    /// Whether it carries a key that repeats can be matched by.
    pub has_key: bool,
    /// How long its caller still waits, where told.
    pub wait_left: Option<Span>,
    /// Expected work on a standard core, where told.
    pub hint: Option<Span>,
    /// Kilobytes while held.
    pub held_kb: f64,
    /// Known to be a further try or a copy.
    pub resent: bool,
    /// It writes.
    pub write: bool,
    /// Its sender.
    pub caller: CallerId,
    /// Time since it reached the machine.
    pub age: Span,
    /// The remembered request that it repeats.
    pub repeats: Option<RequestId>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Served; the answer is out.
    Served,
    /// Failed; the answer is out.
    Failed,
    /// Stopped, or ended at a call once nobody waited.
    Stopped,
    /// It was over before it began.
    Moot,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It succeeded; the request goes on by itself.
    Good,
    /// It failed and may have taken effect.
    Failed,
    /// It certainly never ran.
    NeverRan,
}

/// Readings of the machine; a gauge that the site lacks is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy share of the cores of late.
    pub cores_busy: Option<f64>,
    /// All that wants a core at this moment.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory_used: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read and is now held.
    Read(Request),
    /// A run or a join ended.
    Finished(RequestId, RunEnd),
    /// A running request waits for leave to call.
    NeedsCall(RequestId),
    /// A call ended.
    CallEnded(RequestId, CallEnd, Span),
    /// The caller stopped waiting.
    CallerLeft(RequestId),
    /// The process will be stopped after this long.
    Leaving(Span),
    /// Another process takes over; this one, which goes on with what it has and what still comes, ends after this long.
    Replaced(Span),
    /// This server's part of the calls at once from now on, where servers share them by parts that change.
    CallsOut(f64),
    /// What of the server is this process's from now on, where two live for a while.
    Part {
        /// Memory in kilobytes.
        memory_kb: f64,
        /// Requests on the cores, for each core.
        crowd_per_core: f64,
        /// Its part of the calls at once, where that is not told otherwise.
        calls_out: Option<f64>,
    },
    /// How many servers' counts are known, this one's among them, and by tenant what the others have in flight, where servers
    /// tell each other; 0 and nothing where that is not known any more.
    Others(f64, Vec<f64>),
    /// A wake-up asked for.
    Wake(Gauges),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a held request, or take up a paused one.
    Run(RequestId),
    /// Stop a run.
    Stop(RequestId),
    /// Final answer: turned away. It never ran, or may run again safely.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the caller should stay away.
        stay_away: Span,
        /// Whether it should not try another server either.
        give_up: bool,
    },
    /// Final answer: failed, no promise.
    Fail(RequestId),
    /// Make the call that a request waits for, for so long at most.
    Call(RequestId, Span),
    /// Go on without the call.
    SkipCall(RequestId),
    /// Remember the request for so long, so that repeats are known.
    Remember(RequestId, Span),
    /// Forget it.
    Forget(RequestId),
    /// Serve it from the request that it repeats.
    Join(RequestId),
    /// What health checks hear from now on, from store.
    Health(bool),
    /// Set the free value.
    FreeValue(f64),
    /// Close connections that have carried nothing for this long.
    CloseIdle(Span),
    /// Send [`Event::Wake`] after this long.
    WakeIn(Span),
    /// A line for the log.
    Log(String),
}
