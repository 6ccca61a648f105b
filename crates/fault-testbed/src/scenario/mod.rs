//! Scenarios from files in JSON5: processes, faults and expectations, one step after the other. No address can be named:
//! all is on loopback.

mod error;
mod parsing;
mod running;

use serde::Deserialize;

pub use error::{ScenarioError, StepError};

/// The most nodes of a scenario: each is a process.
const MAX_NODES: usize = 64;
/// The router's name in a scenario.
const ROUTER: &str = "r0";
/// Stands for all processes in a list of names.
const ALL: &str = "*";

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The version of the file's format: 1.
    pub version: u32,
    /// The seed that faults are drawn from.
    #[serde(default)]
    pub seed: u64,
    /// The number of nodes, called `n0`, `n1`, ...
    pub nodes: usize,
    /// Whether there is a router that takes its nodes from the membership, called `r0`.
    #[serde(default, rename = "router")]
    pub has_router: bool,
    /// The names of the seeds; one that is no node stands for a seed that is down.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<String>,
    /// What happens.
    pub steps: Vec<ScenarioStep>,
}

fn default_seeds() -> Vec<String> {
    vec!["n0".into()]
}

/// One step, with names of processes; `*` stands for all of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ScenarioStep {
    /// Starts these, and waits until they are up.
    Start(Vec<String>),
    /// Kills these with SIGKILL.
    Kill(Vec<String>),
    /// Shuts these down with SIGTERM, and waits for their end.
    #[serde(rename = "end")]
    ShutDown(Vec<String>),
    /// Pauses these with SIGSTOP.
    #[serde(rename = "stop")]
    Pause(Vec<String>),
    /// Lets paused ones continue.
    #[serde(rename = "continue")]
    Unpause(Vec<String>),
    /// Sends these the admin command `quiesce`.
    Quiesce(Vec<String>),
    /// Sends these the admin command `resume`.
    Resume(Vec<String>),
    /// Partitions the network into these parts.
    Partition(Vec<Vec<String>>),
    /// Blocks the links from the first to the second.
    #[serde(rename = "silence")]
    Block(Vec<String>, Vec<String>),
    /// Stalls streams from the first to the second without closing them; datagrams pass.
    #[serde(rename = "stall")]
    StallStreams(Vec<String>, Vec<String>),
    /// Closes the open streams from the first to the second; later ones pass.
    #[serde(rename = "cut")]
    CutStreams(Vec<String>, Vec<String>),
    /// Sets the faults of all links.
    Links {
        /// The fraction of datagrams that is lost.
        #[serde(default)]
        loss: f64,
        /// The fraction of datagrams that arrives twice.
        #[serde(default, rename = "double")]
        duplication: f64,
        /// The fraction of datagrams that is changed on the way.
        #[serde(default, rename = "garble")]
        corruption: f64,
        /// The shortest and the longest time on the way, in milliseconds.
        #[serde(default)]
        delay_ms: (u64, u64),
    },
    /// Removes all faults.
    Heal,
    /// Waits until the members of each part agree; fails if they do not within so many milliseconds.
    #[serde(rename = "settled")]
    WaitUntilConverged(u64),
    /// Waits until the first sees the second in this state; fails if it does not within so many milliseconds.
    #[serde(rename = "sees")]
    WaitUntilSeen(String, String, String, u64),
    /// Sends requests to the router, one after the other; fails if more than so many have no result, or are late.
    #[serde(rename = "served")]
    SendRequests {
        /// The number of requests.
        #[serde(rename = "asked")]
        count: usize,
        /// The number of requests that may have no result, or be late.
        #[serde(rename = "failed")]
        max_failures: usize,
        /// The longest that one may take, in milliseconds.
        #[serde(rename = "ms")]
        timeout_ms: u64,
    },
    /// Lets so many milliseconds pass, for faults that are to last.
    #[serde(rename = "last")]
    Sleep(u64),
}
