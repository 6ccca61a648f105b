//! The core of the node. It knows no wire: fronts hand it [`Arrival`]s, peers hand it [`Msg`]s, and it speaks to
//! them through mailboxes.

pub mod cell_guard;
pub mod config;
pub mod limits;
mod module;
mod request;
mod request_table;

use std::sync::atomic::{
    AtomicBool, AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering::Relaxed,
};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{bounded, Receiver, Sender};
use lifecycle::{Refused, State, Step, PARTS};
use shared_state::Live;

pub use cell_guard::CellGuard;
pub use limits::Limits;
pub use module::Module;
use policy::{RequestId, Time};
pub use request::{Answer, Arrival, Body, Failure, Outcome, Reply, Rid};

/// The system's Unix clock, which all due times are told in.
pub fn unix_now() -> Time {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Time(i64::try_from(since.as_micros()).unwrap_or(i64::MAX))
}

/// What reaches the module's mailbox.
pub enum Msg {
    /// A front has read a request.
    Arrived(Box<Arrival>),
    /// The executor's link is up; the first time this tells how it started.
    ExecutorUp {
        /// Cold at its start.
        cold: bool,
        /// How long ago that start was.
        age: Duration,
    },
    /// The link broke: what was sent of late may or may not have arrived.
    ExecutorDown,
    /// A run ended.
    Exit(Rid, RunExit),
    /// A run waits for a call with this body; the notice had this number.
    Callout(Rid, u64, Body),
    /// The gauges asked for under this tag.
    Meters(u64, Vec<f64>),
    /// A command to run was not carried out.
    NotCarriedOut(Rid),
    /// The caller of a request waits no more.
    CallerLeft(Rid),
    /// A call ended.
    CallDone(RequestId, CallResult, Duration),
    /// So many calls at once are this node's part of the fleet's budget from now on.
    CallsOut(usize),
    /// This process's parts of what the node may have are others from now on.
    Parts(u32),
    /// The notice to leave.
    Drain,
    /// Another process of the node has taken over; this one is ended after this long.
    Replaced(Duration),
}

/// How the executor says that a run ended.
pub enum RunExit {
    /// Well, with the result.
    Done(Body),
    /// With an error.
    Error,
    /// Stopped.
    Stopped,
    /// Nothing was started.
    Moot,
}

/// How a call ended.
pub enum CallResult {
    /// Well, with the reply's body.
    Reply(Body),
    /// It certainly never ran.
    NeverRan,
    /// It may have had its effect.
    Unknown,
}

/// What the module tells the executor's actor.
pub enum ToExecutor {
    /// Run a request of the class of this name.
    Exec(Rid, String, Body),
    /// Stop a run.
    Kill(Rid),
    /// Hand a run the reply it waits for.
    Return(Rid, Body),
    /// Have a run go on without the call that the notice of this number asked for.
    Bypass(Rid, u64),
    /// Ask for the gauges.
    Meter(u64),
}

/// A call that the module wants made.
pub struct Call {
    /// Who it is for, as the module counts.
    pub id: RequestId,
    /// Who it is for, as the peers know it.
    pub rid: Rid,
    /// The body the executor gave.
    pub body: Body,
    /// How long the node waits for it.
    pub limit: Duration,
}

/// What the fronts read without asking the module: health, the free value, idle time, and the count of what is
/// owed. Health is answered from here, so it costs no batch and tells the same on every front.
pub struct Board {
    ready: AtomicBool,
    hint: AtomicU64,
    idle_us: AtomicI64,
    owed: AtomicUsize,
    /// Parts of what the node may have that are this process's, and those that what the module has in hand takes.
    parts: AtomicU32,
    used: AtomicU32,
    /// Where this process stands: health, the list's reports, the fronts and the door all read it here.
    state: Mutex<State>,
    /// The executor has come up, which is said once.
    up: (Sender<()>, Receiver<()>),
}

impl Default for Board {
    fn default() -> Board {
        Board {
            ready: AtomicBool::new(false),
            hint: AtomicU64::new(f64::NAN.to_bits()),
            idle_us: AtomicI64::new(0),
            owed: AtomicUsize::new(0),
            parts: AtomicU32::new(PARTS),
            used: AtomicU32::new(0),
            state: Mutex::default(),
            up: bounded(1),
        }
    }
}

impl Board {
    /// Whether health checks hear that all is well.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed) && self.state().healthy()
    }
    /// The free value, once the module has set one.
    pub fn hint(&self) -> Option<f64> {
        Some(f64::from_bits(self.hint.load(Relaxed))).filter(|h| h.is_finite() && *h >= 0.0)
    }
    /// How long a connection may carry nothing, once the module has said so.
    pub fn idle(&self) -> Option<Duration> {
        u64::try_from(self.idle_us.load(Relaxed))
            .ok()
            .filter(|us| *us > 0)
            .map(Duration::from_micros)
    }
    /// So many parts of what the node may have are this process's from now on.
    pub fn set_parts(&self, parts: u32) {
        self.parts.store(parts, Relaxed);
    }
    /// See [`Board::set_parts`].
    pub fn parts(&self) -> u32 {
        self.parts.load(Relaxed)
    }
    /// Parts that what the module has in hand takes.
    pub fn used(&self) -> u32 {
        self.used.load(Relaxed)
    }
    /// Requests whose answer the module still owes.
    pub fn owed(&self) -> usize {
        self.owed.load(Relaxed)
    }
    /// Where this process stands.
    pub fn state(&self) -> State {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Moves it: whoever reads it from now on reads the new state.
    pub fn step(&self, step: Step) -> Result<State, Refused> {
        self.with_state(|state| {
            *state = state.step(step)?;
            Ok(*state)
        })
    }
    /// The same for a change that answers something else.
    pub fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
    /// Heard from once the executor has come up and requests can be taken.
    pub fn up(&self) -> &Receiver<()> {
        &self.up.1
    }
}

/// For log lines that any peer can cause as often as it likes: one in so long, which tells how many were left out.
pub struct Seldom {
    pause: Duration,
    /// When one was written, and those left out since.
    last: Mutex<(Option<Instant>, u64)>,
}

impl Seldom {
    /// At most one in `pause`.
    pub fn new(pause: Duration) -> Seldom {
        Seldom {
            pause,
            last: Mutex::new((None, 0)),
        }
    }
    /// Has the line written, if it is time, with the number of those left out before it.
    pub fn log(&self, write: impl FnOnce(u64)) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.0.is_some_and(|at| at.elapsed() < self.pause) {
            last.1 += 1;
            return;
        }
        let (_, more) = std::mem::replace(&mut *last, (Some(Instant::now()), 0));
        drop(last);
        write(more);
    }
}

/// Counts of requests in flight by tenant, where the fleet shares them.
pub struct Fleet {
    /// This node's own.
    pub live: Arc<Live>,
    /// How many nodes are counted, and what the others have in flight of each key, while that is known.
    #[allow(clippy::type_complexity)] // It is one closure, told in full.
    pub others: Box<dyn Fn(&[u64]) -> Option<(u32, Vec<u32>)> + Send>,
}

/// The module's two peers, as mailboxes.
pub struct Peers {
    /// The executor's actor.
    pub executor: Sender<ToExecutor>,
    /// The database's actor: takes a call, or says that it has no room.
    pub database: Box<dyn Fn(Call) -> bool + Send>,
    /// Hears how many requests wait for leave to call, where the fleet shares its calls.
    pub waiting: Option<Box<dyn Fn(usize) + Send>>,
    /// Counts that the fleet shares.
    pub fleet: Option<Fleet>,
}
