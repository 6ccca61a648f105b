//! A play from a file in JSON5: processes, faults and what is awaited, one step after the other. No address can be named:
//! all is on loopback.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use json5_errors::ConfigFileError;
use serde::Deserialize;
use serde_json::json;

use crate::rig::{Plan, Rig};

/// A play.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// 1.
    pub version: u32,
    /// What faults are drawn from.
    #[serde(default)]
    pub seed: u64,
    /// Nodes, called `n0`, `n1`, ...
    pub nodes: usize,
    /// A router on the fleet's view beside them, called `r0`.
    #[serde(default)]
    pub router: bool,
    /// Names of the seeds; one that is no node stands for a seed that is down.
    #[serde(default = "first")]
    pub seeds: Vec<String>,
    /// What happens.
    pub steps: Vec<Step>,
}
fn first() -> Vec<String> {
    vec!["n0".into()]
}

/// One step. Names of nodes; `*` stands for all of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Starts these.
    Start(Vec<String>),
    /// kill -9.
    Kill(Vec<String>),
    /// SIGTERM, awaited.
    End(Vec<String>),
    /// Stops these where they are.
    Stop(Vec<String>),
    /// Has stopped ones go on.
    Continue(Vec<String>),
    /// Empties these by a call at their doors.
    Quiesce(Vec<String>),
    /// Brings them back.
    Resume(Vec<String>),
    /// Parts between which nothing passes.
    Partition(Vec<Vec<String>>),
    /// Nothing passes from the first to the second.
    Silence(Vec<String>, Vec<String>),
    /// Streams from the first to the second stall without a close; datagrams pass.
    Stall(Vec<String>, Vec<String>),
    /// Streams that are open from the first to the second are cut; later ones pass.
    Cut(Vec<String>, Vec<String>),
    /// What all links do.
    Links {
        /// Part lost.
        #[serde(default)]
        loss: f64,
        /// Part doubled.
        #[serde(default)]
        double: f64,
        /// Part garbled.
        #[serde(default)]
        garble: f64,
        /// Least and most time on the way, in milliseconds.
        #[serde(default)]
        delay_ms: (u64, u64),
    },
    /// All links are whole.
    Heal,
    /// Waits until all views of each part are settled; the play fails if they are not in so many milliseconds.
    Settled(u64),
    /// Waits until the first holds the second in this state, in so many milliseconds.
    Sees(String, String, String, u64),
    /// Has the router asked so often, one after the other; the play fails if more answers than so many are no result or
    /// take more milliseconds.
    Served {
        /// How often.
        asked: usize,
        /// Answers that may be none, or late.
        failed: usize,
        /// The longest that one may take.
        ms: u64,
    },
    /// Lets so many milliseconds pass, for faults that are to last.
    Last(u64),
}

/// Why a play can't be played, or failed.
#[derive(Debug)]
pub enum ScriptError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It says something that can't be used.
    File(ConfigFileError),
    /// The machine refused something.
    System(std::io::Error),
    /// What was awaited at this step did not come.
    NotReached(usize, String),
    /// The testbed itself failed, so that the faults asked for were not all applied.
    Testbed(Vec<String>),
}
impl fmt::Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScriptError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            ScriptError::File(e) => write!(f, "{e}"),
            ScriptError::System(e) => write!(f, "{e}"),
            ScriptError::NotReached(step, what) => write!(f, "steps[{step}]: not reached: {what}"),
            ScriptError::Testbed(errors) => write!(f, "testbed: {}", errors.join("; ")),
        }
    }
}
impl std::error::Error for ScriptError {}

/// Nodes of a play at the most: each is a process.
const MOST: usize = 64;
/// The router's name in a play.
const ROUTER: &str = "r0";

impl Script {
    /// Reads a play.
    pub fn read(path: &Path) -> Result<Script, ScriptError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ScriptError::Unreadable(path.to_path_buf(), e))?;
        Script::parse(&path.display().to_string(), &text).map_err(ScriptError::File)
    }
    /// The same for a text, named so in errors.
    pub fn parse(name: &str, text: &str) -> Result<Script, ConfigFileError> {
        let bad = |line, field: &str, what: String| ConfigFileError {
            file: name.into(),
            line,
            field: field.into(),
            message: what,
        };
        let script: Script = json5::from_str(text)
            .map_err(|e| bad(e.position().map(|at| at.line + 1), "", e.to_string()))?;
        if script.version != 1 {
            return Err(bad(
                None,
                "version",
                format!("{} is not known here: 1 is", script.version),
            ));
        }
        if !(1..=MOST).contains(&script.nodes) {
            return Err(bad(None, "nodes", format!("is not from 1 to {MOST}")));
        }
        let router = |n: &String| script.router && n == ROUTER;
        let known =
            |n: &String| n == "*" || router(n) || (0..script.nodes).any(|i| *n == format!("n{i}"));
        for (at, step) in script.steps.iter().enumerate() {
            let field = format!("steps[{at}]");
            let names: Vec<&String> = match step {
                Step::Start(n)
                | Step::Kill(n)
                | Step::End(n)
                | Step::Stop(n)
                | Step::Continue(n) => n.iter().collect(),
                Step::Quiesce(n) | Step::Resume(n) => n.iter().collect(),
                Step::Partition(parts) => parts.iter().flatten().collect(),
                Step::Silence(a, b) | Step::Stall(a, b) | Step::Cut(a, b) => {
                    a.iter().chain(b).collect()
                }
                Step::Sees(a, b, ..) => vec![a, b],
                Step::Links {
                    loss,
                    double,
                    garble,
                    delay_ms,
                } => {
                    if [loss, double, garble]
                        .iter()
                        .any(|p| !(0.0..=1.0).contains(*p))
                    {
                        return Err(bad(None, &field, "a part is not from 0 to 1".into()));
                    }
                    if delay_ms.0 > delay_ms.1 || delay_ms.1 > 60_000 {
                        return Err(bad(
                            None,
                            &field,
                            "delay_ms is not two times, the lesser first, up to 60000".into(),
                        ));
                    }
                    vec![]
                }
                Step::Served { .. } if !script.router => {
                    return Err(bad(
                        None,
                        &field,
                        "asks a router, and the play has none".into(),
                    ));
                }
                Step::Heal | Step::Settled(_) | Step::Served { .. } | Step::Last(_) => vec![],
            };
            if let Some(name) = names.into_iter().find(|n| !known(n)) {
                return Err(bad(None, &field, format!("{name} is no node of this play")));
            }
        }
        Ok(script)
    }

    /// Plays it with processes of the program, and prints its timeline as JSON lines where wanted. The rig as it ended.
    pub fn play(&self, show: bool) -> Result<Rig, ScriptError> {
        let mut rig = Rig::new(self.seed).map_err(ScriptError::System)?;
        if show {
            rig.show();
        }
        for i in 0..self.nodes {
            rig.plan(Plan::node(i)).map_err(ScriptError::System)?;
        }
        if self.router {
            rig.plan(Plan {
                name: ROUTER.into(),
                ..Plan::node(0)
            })
            .map_err(ScriptError::System)?;
        }
        rig.seeds(&self.seeds.iter().map(String::as_str).collect::<Vec<_>>());
        for (at, step) in self.steps.iter().enumerate() {
            self.step(&mut rig, step)
                .map_err(|what| ScriptError::NotReached(at, what))?;
        }
        let errors = rig.switch().errors();
        if !errors.is_empty() {
            return Err(ScriptError::Testbed(errors));
        }
        Ok(rig)
    }

    fn step(&self, rig: &mut Rig, step: &Step) -> Result<(), String> {
        let all = rig.names();
        let these = |names: &Vec<String>| {
            if names.iter().any(|n| n == "*") {
                all.clone()
            } else {
                names.clone()
            }
        };
        match step {
            Step::Start(names) => {
                let names = these(names);
                // The router's file names the nodes, so it comes last.
                for n in names.iter().filter(|n| *n != ROUTER) {
                    rig.start(n);
                }
                if names.iter().any(|n| n == ROUTER) {
                    rig.start_router(ROUTER, true);
                }
                rig.up(&names.iter().map(String::as_str).collect::<Vec<_>>());
            }
            Step::Kill(names) => these(names).iter().for_each(|n| rig.kill(n)),
            Step::End(names) => these(names).iter().for_each(|n| rig.end(n)),
            Step::Stop(names) => these(names).iter().for_each(|n| rig.stop(n)),
            Step::Continue(names) => these(names).iter().for_each(|n| rig.resume(n)),
            Step::Quiesce(names) => these(names)
                .iter()
                .for_each(|n| drop(rig.call(n, "quiesce"))),
            Step::Resume(names) => these(names)
                .iter()
                .for_each(|n| drop(rig.call(n, "resume"))),
            Step::Partition(parts) => rig.partition(parts),
            Step::Silence(from, to) => rig.silence(&these(from), &these(to)),
            Step::Stall(from, to) => rig.stall(&these(from), &these(to)),
            Step::Cut(from, to) => rig.cut(&these(from), &these(to)),
            Step::Links {
                loss,
                double,
                garble,
                delay_ms,
            } => {
                let ms = Duration::from_millis;
                let what =
                    json!({"loss": loss, "double": double, "garble": garble, "delay_ms": delay_ms});
                rig.weather(what, |link| {
                    (link.loss, link.double, link.garble) = (*loss, *double, *garble);
                    link.delay = (ms(delay_ms.0), ms(delay_ms.1));
                });
            }
            Step::Heal => rig.heal(),
            Step::Settled(ms) => {
                let most = Duration::from_millis(*ms);
                rig.wait("settled", most, Rig::settled)
                    .ok_or(format!("settled in {ms} ms"))?;
            }
            Step::Sees(who, whom, state, ms) => {
                let what = format!("{who} sees {whom} {state} in {ms} ms");
                let sees = |rig: &Rig| {
                    let told = rig.told(who);
                    told.is_some_and(|t| {
                        t.members
                            .iter()
                            .any(|r| *r.name == **whom && fleet_cli::state_name(r) == state)
                    })
                };
                rig.wait(&what, Duration::from_millis(*ms), sees)
                    .ok_or(what.clone())?;
            }
            Step::Served { asked, failed, ms } => {
                let mut front = rig.front(ROUTER);
                let mut bad = Vec::new();
                for _ in 0..*asked {
                    let began = Instant::now();
                    let answer = front.request("statement-read", "serve:play");
                    if !answer["result"].is_object() || began.elapsed() > Duration::from_millis(*ms)
                    {
                        bad.push(answer["error"]["message"].clone());
                    }
                }
                rig.note("served", json!({"asked": asked, "failed": bad.len()}));
                if bad.len() > *failed {
                    return Err(format!(
                        "{} of {asked} failed, {failed} may: {}",
                        bad.len(),
                        json!(bad)
                    ));
                }
            }
            Step::Last(ms) => std::thread::sleep(Duration::from_millis(*ms)),
        }
        Ok(())
    }
}
