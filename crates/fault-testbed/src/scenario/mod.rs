//! Scenarios from files in JSON5: processes, faults and expectations as a sequence of steps. A
//! scenario can't contain addresses; all processes run on loopback.

mod error;
mod parsing;
mod running;

use serde::Deserialize;

pub use error::{ScenarioError, StepError};

/// Maximum number of nodes of a scenario. Each is a process.
const MAX_NODES: usize = 64;
/// The router's name in a scenario.
const ROUTER_NAME: &str = "r0";
/// Wildcard for all processes in a list of names.
const ALL_PROCESSES: &str = "*";

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file format; 1.
    pub version: u32,
    /// The seed that faults are drawn from.
    #[serde(default)]
    pub seed: u64,
    /// The number of nodes, which are called `n0`, `n1`, ...
    pub nodes: usize,
    /// True if there is a router, called `r0`, which takes its nodes from the membership.
    #[serde(default, rename = "router")]
    pub has_router: bool,
    /// The names of the seeds. A name that is not a node stands for a seed that is down.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<String>,
    /// The steps, in their order.
    pub steps: Vec<ScenarioStep>,
}

fn default_seeds() -> Vec<String> {
    vec!["n0".into()]
}

/// A step of a scenario. In its lists of process names, `*` stands for all processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioStep {
    /// Starts these processes, and waits until they are up.
    Start(Vec<String>),
    /// Kills these processes with SIGKILL.
    Kill(Vec<String>),
    /// Shuts these processes down with SIGTERM, and waits until they have exited.
    #[serde(rename = "end")]
    ShutDown(Vec<String>),
    /// Pauses these processes with SIGSTOP.
    #[serde(rename = "stop")]
    Pause(Vec<String>),
    /// Continues these paused processes.
    #[serde(rename = "continue")]
    Unpause(Vec<String>),
    /// Sends the admin command `quiesce` to these nodes.
    Quiesce(Vec<String>),
    /// Sends the admin command `resume` to these nodes.
    Resume(Vec<String>),
    /// Partitions the network into these groups of processes.
    Partition(Vec<Vec<String>>),
    /// Blocks the links from the first processes to the second ones.
    #[serde(rename = "silence")]
    Block(Vec<String>, Vec<String>),
    /// Stalls streams from the first processes to the second ones without closing them. Datagrams
    /// are still delivered.
    #[serde(rename = "stall")]
    StallStreams(Vec<String>, Vec<String>),
    /// Closes the open streams from the first processes to the second ones. Streams that are opened
    /// later are not affected.
    #[serde(rename = "cut")]
    CutStreams(Vec<String>, Vec<String>),
    /// Sets the faults of all links.
    Links {
        /// Fraction of datagrams that are lost.
        #[serde(default)]
        loss: f64,
        /// Fraction of datagrams that are delivered twice.
        #[serde(default, rename = "double")]
        duplication: f64,
        /// Fraction of datagrams in which one byte is changed.
        #[serde(default, rename = "garble")]
        corruption: f64,
        /// Minimum and maximum delay, in milliseconds.
        #[serde(default)]
        delay_ms: (u64, u64),
    },
    /// Removes all faults.
    Heal,
    /// Waits until the members of each partition agree. Fails if they do not within this time, in
    /// milliseconds.
    #[serde(rename = "settled")]
    WaitUntilConverged(u64),
    /// Waits until the first process sees the second one in this state. Fails if it does not within
    /// this time, in milliseconds.
    #[serde(rename = "sees")]
    WaitUntilSeen(String, String, String, u64),
    /// Sends requests to the router, one after the other. Fails if too many of them have no result
    /// or are late.
    #[serde(rename = "served")]
    SendRequests {
        /// The number of requests.
        #[serde(rename = "asked")]
        count: usize,
        /// Maximum number of requests that may have no result or be late.
        #[serde(rename = "failed")]
        max_failures: usize,
        /// Time after which an answer is late, in milliseconds.
        #[serde(rename = "ms")]
        timeout_ms: u64,
    },
    /// Waits for this time, in milliseconds, while the faults last.
    #[serde(rename = "last")]
    Sleep(u64),
}
