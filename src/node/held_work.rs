//! The resources of the node that the work of an ended process still uses. Another process of the
//! node continues to count them.

use lifecycle::TOTAL_SHARES;
use serde::{Deserialize, Serialize};

/// The fraction of its resource shares that a process uses for runs.
const USED_FRACTION: f64 = 0.9;

/// Upper bounds of the work that a process has in progress at the executor and the database.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldWork {
    /// Number of runs that may be on the cores.
    pub runs: u32,
    /// Number of calls that the database may have in progress.
    pub calls: u32,
    /// Kilobytes that the platform counts for runs, both on the cores and waiting for a call.
    pub memory_kb: u64,
}

/// The known extent of the work that a process left running when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemainingWork {
    /// The process recorded it before it ended.
    Recorded(HeldWork),
    /// There is no record, for example because the process was killed.
    Killed {
        /// Number of shares of the node's concurrency, out of [`TOTAL_SHARES`], that the runs of
        /// the process did not exceed.
        shares: u32,
        /// Number of calls that the process had in progress, if the database did not respond.
        calls: u32,
    },
}

/// The capacity of a whole node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct NodeCapacity {
    /// Number of concurrent runs on the cores that the machine can sustain.
    pub(super) runs: f64,
    /// Memory in kilobytes.
    pub(super) memory_kb: f64,
}

/// An upper bound of the memory that the platform counts for runs of processes that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct InheritedMemory {
    /// Kilobytes that the processes recorded.
    recorded_kb: f64,
    /// Number of runs of processes without a record.
    unrecorded_runs: f64,
    /// Kilobytes of the resource shares of the processes without a record.
    unrecorded_share_kb: f64,
}

impl InheritedMemory {
    /// Returns true if there are no runs that may use memory.
    pub(super) fn is_empty(&self) -> bool {
        *self == InheritedMemory::default()
    }

    /// Returns the bound in kilobytes, where `largest_run_kb` is the memory of the largest run that
    /// this process has seen. Runs without a record are assumed to be as large as that, but
    /// together to be within the fraction of its shares that a process uses. The bound leaves
    /// memory for one more run; otherwise nothing would ever show that the inherited runs have
    /// ended.
    pub(super) fn kilobytes(&self, largest_run_kb: f64) -> f64 {
        let by_runs = self.unrecorded_runs * largest_run_kb;
        let used = self.unrecorded_share_kb * USED_FRACTION;
        let all_but_one_run = self.unrecorded_share_kb - largest_run_kb;
        self.recorded_kb + by_runs.min(used).min(all_but_one_run).max(0.0)
    }

    /// Adds the memory of another process.
    pub(super) fn add(&mut self, other: InheritedMemory) {
        self.recorded_kb += other.recorded_kb;
        self.unrecorded_runs += other.unrecorded_runs;
        self.unrecorded_share_kb += other.unrecorded_share_kb;
    }
}

impl RemainingWork {
    /// Returns the upper bound of the number of runs on a node of this capacity.
    pub(super) fn runs(self, node: NodeCapacity) -> u32 {
        match self {
            RemainingWork::Recorded(work) => work.runs,
            RemainingWork::Killed { shares, .. } => {
                (node.runs * fraction_of_shares(shares)).floor() as u32
            }
        }
    }

    /// Returns the number of calls. Those of a killed process count only if the database did not
    /// respond; a database that responds notices that their connections have ended.
    pub(super) fn calls(self) -> u32 {
        match self {
            RemainingWork::Recorded(work) => work.calls,
            RemainingWork::Killed { calls, .. } => calls,
        }
    }

    /// Returns the memory of the runs on a node of this capacity. Runs of a killed process that
    /// wait for a call are not counted, as they end with their requests.
    pub(super) fn memory(self, node: NodeCapacity) -> InheritedMemory {
        match self {
            RemainingWork::Recorded(work) => InheritedMemory {
                recorded_kb: work.memory_kb as f64,
                ..InheritedMemory::default()
            },
            RemainingWork::Killed { shares, .. } => InheritedMemory {
                unrecorded_runs: f64::from(self.runs(node)),
                unrecorded_share_kb: node.memory_kb * fraction_of_shares(shares),
                ..InheritedMemory::default()
            },
        }
    }
}

fn fraction_of_shares(shares: u32) -> f64 {
    f64::from(shares) / f64::from(TOTAL_SHARES)
}
