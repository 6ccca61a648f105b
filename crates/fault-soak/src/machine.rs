//! The simulated machine of a node's executor: its cores, and the runs on them.
//!
//! All runs share the cores evenly. The machine checks the load from the node: the mean number of
//! runs on its cores must not exceed what it can sustain according to the settings.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::journal::Journal;
use crate::plan::{
    Plan, SitePlan, Stops, REQUEST_KB, RUNS_WINDOW, RUN_MEMORY_FACTOR, START_CAPACITY, WARM_UP,
};
use crate::request_record::RunPermit;
use crate::site_settings::CLASSES;
use crate::window::MeanWindow;

/// Factor of the speed of a slow machine.
const SLOW_MACHINE_SPEED: f64 = 0.2;
/// Largest number of calls of a run, for classes whose runs call the database.
const MAX_CALLS_PER_RUN: u32 = 2;
/// Largest share of the limit that the mean may reach, which allows for the inaccuracy of the
/// machine's own clock.
const LIMIT_TOLERANCE: f64 = 1.001;

/// Identifies a port of the machine, through which one process of the node has its runs.
pub(crate) type PortId = usize;

/// A message to a process about a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Notice {
    /// The run has ended.
    Exit {
        uid: String,
        code: &'static str,
        wall_ms: f64,
        content: Option<String>,
    },
    /// The run waits for a call with this body.
    Callout { uid: String, content: String },
}

struct Run {
    port: PortId,
    started_at: Instant,
    /// Remaining processor time until its next call or its end, in milliseconds on one core.
    remaining_ms: f64,
    calls_left: u32,
    waits_for_call: bool,
}

/// The fault of a machine's gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum GaugeFault {
    /// The readings are correct.
    #[default]
    None,
    /// The readings show idle cores.
    ShowIdle,
    /// The readings are those from before the fault.
    Stale,
}

/// The current faults of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineFaults {
    /// True if no run makes progress and none can be stopped.
    pub(crate) stands_still: bool,
    /// The fault of the gauges.
    pub(crate) gauges: GaugeFault,
    /// True if the machine is slow.
    pub(crate) is_slow: bool,
}

struct MachineState {
    runs: HashMap<String, Run>,
    faults: MachineFaults,
    last_gauges: [f64; 4],
    window: MeanWindow,
    peak_share: f64,
    has_reported_overload: bool,
    peak_memory_share: f64,
    has_reported_memory_shortage: bool,
    started_at: Instant,
    is_cold: bool,
    ticked_at: Instant,
    rng: ChaCha8Rng,
}

/// The machine of a node.
pub(crate) struct Machine {
    site: SitePlan,
    memory_kb: f64,
    journal: Arc<Journal>,
    state: Mutex<MachineState>,
}

impl Machine {
    /// Creates a machine that has just been started.
    pub(crate) fn new(plan: &Plan, seed: u64, is_cold: bool, journal: Arc<Journal>) -> Machine {
        let now = Instant::now();
        Machine {
            site: plan.site.clone(),
            memory_kb: plan.memory_kb(),
            journal,
            state: Mutex::new(MachineState {
                runs: HashMap::new(),
                faults: MachineFaults::default(),
                last_gauges: [0.0; 4],
                window: MeanWindow::new(RUNS_WINDOW),
                peak_share: 0.0,
                has_reported_overload: false,
                peak_memory_share: 0.0,
                has_reported_memory_shortage: false,
                started_at: now,
                is_cold,
                ticked_at: now,
                rng: ChaCha8Rng::seed_from_u64(seed),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, MachineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults.
    pub(crate) fn set_faults(&self, change: impl FnOnce(&mut MachineFaults)) {
        change(&mut self.state().faults);
    }

    /// Returns whether the machine started cold, and its age.
    pub(crate) fn cold_start_and_age(&self) -> (bool, Duration) {
        let state = self.state();
        (state.is_cold, state.started_at.elapsed())
    }

    /// Returns the highest mean number of runs on the cores so far, as a share of what the machine
    /// can sustain.
    pub(crate) fn peak_share(&self) -> f64 {
        self.state().peak_share
    }

    /// Returns the highest booked memory so far, as a share of the machine's memory.
    pub(crate) fn peak_memory_share(&self) -> f64 {
        self.state().peak_memory_share
    }

    /// Returns the gauges: busy share of the cores, runnable runs, used memory, connections.
    pub(crate) fn gauges(&self) -> [f64; 4] {
        let mut state = self.state();
        if state.faults.gauges == GaugeFault::ShowIdle {
            return [0.0; 4];
        }
        if state.faults.gauges != GaugeFault::Stale {
            let on_cores = state.on_cores();
            let busy = (on_cores / f64::from(self.site.cores)).min(1.0);
            state.last_gauges = [busy, on_cores, 0.1, 5.0];
        }
        state.last_gauges
    }

    /// Handles the command of a process to run a request. Returns the immediate notice to the
    /// process, if any, or an error if the request is unknown.
    pub(crate) fn run(
        &self,
        port: PortId,
        uid: &str,
        class: &str,
        body: &str,
    ) -> Result<Option<Notice>, RejectedCommand> {
        if self.state().runs.contains_key(uid) {
            return Ok(None);
        }
        match self.journal.run_commanded(uid, class, body) {
            RunPermit::Unknown => Err(RejectedCommand),
            RunPermit::Ended => Ok(Some(exit(uid, "MOOT", 0.0, None))),
            RunPermit::Run => {
                self.state().start_run(&self.site, port, uid, class);
                Ok(None)
            }
        }
    }

    /// Handles the command of a process to stop a run.
    pub(crate) fn stop(&self, uid: &str) -> Result<Option<Notice>, RejectedCommand> {
        if self.site.stops == Stops::Rejected {
            return Err(RejectedCommand);
        }
        let mut state = self.state();
        if state.faults.stands_still {
            return Ok(None);
        }
        let stopped = state.runs.remove(uid);
        Ok(stopped.map(|run| exit(uid, "STOPPED", run.wall_ms(), None)))
    }

    /// Passes the reply to the call that a run waits for, and checks it.
    pub(crate) fn reply(&self, uid: &str, content: &str) {
        let is_awaited = {
            let mut state = self.state();
            let run = state.runs.get_mut(uid).filter(|run| run.waits_for_call);
            run.map(|run| run.waits_for_call = false).is_some()
        };
        if is_awaited {
            self.journal.check_reply(uid, content);
        }
    }

    /// Returns true if the run of this request waits for a call.
    pub(crate) fn waits_for_call(&self, uid: &str) -> bool {
        self.state()
            .runs
            .get(uid)
            .is_some_and(|run| run.waits_for_call)
    }

    /// Advances the machine by the time since the last tick. Returns the notices for the ports.
    pub(crate) fn tick(&self) -> Vec<(PortId, Notice)> {
        let mut state = self.state();
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(state.ticked_at);
        state.ticked_at = now;
        self.check_overload(&mut state, elapsed);
        let stands_still = state.faults.stands_still;
        let notices = if stands_still {
            Vec::new()
        } else {
            self.advance(&mut state, elapsed)
        };
        drop(state);
        for (_, notice) in &notices {
            if let Notice::Exit {
                uid,
                content: Some(content),
                ..
            } = notice
            {
                self.journal.set_result(uid, content);
            }
        }
        notices
    }

    /// Checks that the memory booked for requests and runs fits into the machine.
    pub(crate) fn check_memory(&self) {
        let mut state = self.state();
        let runs_kb = state.runs.len() as f64 * REQUEST_KB * RUN_MEMORY_FACTOR;
        let booked_kb = runs_kb + self.journal.waiting_kb(|uid| state.runs.contains_key(uid));
        state.peak_memory_share = state.peak_memory_share.max(booked_kb / self.memory_kb);
        if booked_kb > self.memory_kb && !state.has_reported_memory_shortage {
            state.has_reported_memory_shortage = true;
            self.journal.record_violation(format!(
                "memory: {booked_kb:.0} kB are booked, {} of them for runs, of {:.0}",
                runs_kb, self.memory_kb
            ));
        }
    }

    fn check_overload(&self, state: &mut MachineState, elapsed: Duration) {
        let on_cores = state.on_cores();
        state.window.add(elapsed, on_cores);
        let speed = state.speed();
        let limit = f64::from(self.site.cores) * (1.0 + (self.site.runs_per_core - 1.0) * speed);
        let share = state.window.mean() / limit;
        state.peak_share = state.peak_share.max(share);
        if share > LIMIT_TOLERANCE && !state.has_reported_overload {
            state.has_reported_overload = true;
            self.journal.record_violation(format!(
                "overload: {:.2} runs on the cores on average, the limit is {limit:.2}",
                state.window.mean()
            ));
        }
    }

    fn advance(&self, state: &mut MachineState, elapsed: Duration) -> Vec<(PortId, Notice)> {
        let share = (f64::from(self.site.cores) / state.on_cores().max(1.0)).min(1.0);
        let fault_speed = if state.faults.is_slow {
            SLOW_MACHINE_SPEED
        } else {
            1.0
        };
        let progress_ms = elapsed.as_secs_f64() * 1e3 * share * state.speed() * fault_speed;
        let mut notices = Vec::new();
        let mut ended = Vec::new();
        for (uid, run) in &mut state.runs {
            if run.waits_for_call {
                if self.journal.has_ended(uid) {
                    notices.push((run.port, exit(uid, "STOPPED", run.wall_ms(), None)));
                    ended.push(uid.clone());
                }
                continue;
            }
            run.remaining_ms -= progress_ms;
            if run.remaining_ms > 0.0 {
                continue;
            }
            if run.calls_left > 0 {
                run.calls_left -= 1;
                run.waits_for_call = true;
                run.remaining_ms = self.site.work_ms / 2.0;
                let content = format!("call {} of {uid}", run.calls_left);
                let uid = uid.clone();
                notices.push((run.port, Notice::Callout { uid, content }));
            } else {
                let result = format!("result of {uid}");
                notices.push((run.port, exit(uid, "OK", run.wall_ms(), Some(result))));
                ended.push(uid.clone());
            }
        }
        for uid in ended {
            state.runs.remove(&uid);
        }
        notices
    }
}

/// A command that names an unknown request, or that the site does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RejectedCommand;

impl MachineState {
    fn on_cores(&self) -> f64 {
        let on_cores = self.runs.values().filter(|run| !run.waits_for_call);
        on_cores.count() as f64
    }

    /// Returns the current speed as a share of the full speed.
    fn speed(&self) -> f64 {
        if !self.is_cold {
            return 1.0;
        }
        let age = self.started_at.elapsed().as_secs_f64() / WARM_UP.as_secs_f64();
        (START_CAPACITY + (1.0 - START_CAPACITY) * age).min(1.0)
    }

    fn start_run(&mut self, site: &SitePlan, port: PortId, uid: &str, class: &str) {
        let may_call = CLASSES.iter().any(|c| c.name == class && c.may_call);
        let calls_left = if may_call {
            self.rng.random_range(0..=MAX_CALLS_PER_RUN)
        } else {
            0
        };
        let work_ms = site.work_ms * self.rng.random_range(0.5..1.5);
        let run = Run {
            port,
            started_at: Instant::now(),
            remaining_ms: work_ms / f64::from(calls_left + 1),
            calls_left,
            waits_for_call: false,
        };
        self.runs.insert(uid.to_string(), run);
    }
}

impl Run {
    fn wall_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }
}

fn exit(uid: &str, code: &'static str, wall_ms: f64, content: Option<String>) -> Notice {
    Notice::Exit {
        uid: uid.to_string(),
        code,
        wall_ms,
        content,
    }
}
