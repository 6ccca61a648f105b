//! A node on a small machine with hung runs.

use serde_json::{json, Value};
use test_doubles::{wait_until, Node};

use crate::load::under_load;

/// Number of cores of the machine, and of hung runs: a process runs as many at once as there are
/// cores.
pub(crate) const HUNG_RUNS: usize = 9;

/// Configures an admin server and a machine that can sustain this number of concurrent runs.
pub(crate) fn small_machine(sustained_runs: f64) -> impl Fn(&mut Value) {
    move |config| {
        config["admin"] = json!("127.0.0.1:0");
        config["settings"]["specifics"]["cores"] = json!(HUNG_RUNS);
        let sustained_per_core = sustained_runs / HUNG_RUNS as f64;
        config["settings"]["invariants"]["fallMultiple"] = json!(sustained_per_core);
    }
}

/// Starts a node with one run for each core, on cores that make no progress.
pub(crate) fn start_with_hung_runs(change: impl FnOnce(&mut Value)) -> Node {
    let node = Node::start_with(None, change);
    node.executor.stand_still();
    // If the gauges showed idle cores, the node would start further runs.
    node.executor.set_gauges([1.0, HUNG_RUNS as f64, 0.1, 5.0]);
    under_load(&node, "serve:hung", || {
        wait_until("the node has a run for each core", || {
            node.executor.on_cores() == HUNG_RUNS
        });
    });
    node
}
