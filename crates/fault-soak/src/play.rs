//! Executes a plan: all of its nodes in parallel, with one database.

use std::sync::Arc;
use std::thread;

use crate::database::{Database, DatabaseUser};
use crate::driver::{NodeContext, NodeSoak};
use crate::error::SoakError;
use crate::journal::Journal;
use crate::machine_world::{MachineSimulation, MachineWithPorts};
use crate::plan::Plan;
use crate::report::SoakReport;

/// A node of the soak run before it is started.
struct PreparedNode {
    plan: Plan,
    journal: Arc<Journal>,
    simulation: Arc<MachineSimulation>,
}

impl PreparedNode {
    fn new(plan: Plan) -> PreparedNode {
        let journal = Arc::new(Journal::new());
        let machine = MachineWithPorts::start(&plan, 0, plan.site.is_cold, &journal);
        PreparedNode {
            plan,
            journal,
            simulation: MachineSimulation::new(machine),
        }
    }

    fn database_user(&self) -> DatabaseUser {
        let simulation = self.simulation.clone();
        DatabaseUser {
            journal: self.journal.clone(),
            waits_for_call: Box::new(move |uid| simulation.machine().machine.waits_for_call(uid)),
        }
    }
}

/// Executes a plan.
///
/// # Errors
/// [`SoakError`] if the soak run itself failed, and not a node.
pub fn run_seed(plan: &Plan) -> Result<SoakReport, SoakError> {
    let prepared: Vec<_> = plan
        .node_plans()
        .into_iter()
        .map(PreparedNode::new)
        .collect();
    let quota = plan.site.call_quota * prepared.len() as f64;
    let users = prepared.iter().map(PreparedNode::database_user).collect();
    let database = Database::new(quota, plan.seed, users);
    let database_address = database.open()?;
    // All processes of a node are started by one thread, since they share the scratch directory of
    // that thread, which holds their lock files.
    let run_node = &|number: usize, node: PreparedNode| {
        let context = NodeContext {
            number,
            plan: node.plan,
            journal: node.journal,
            simulation: node.simulation,
            database: database.clone(),
            database_address,
        };
        NodeSoak::start(context)?.run()
    };
    let reports = thread::scope(|scope| {
        let threads: Vec<_> = prepared
            .into_iter()
            .enumerate()
            .map(|(number, node)| scope.spawn(move || run_node(number, node)))
            .collect();
        let reports = threads
            .into_iter()
            .map(|handle| handle.join().map_err(|_| SoakError::Panicked)?);
        reports.collect::<Result<Vec<_>, _>>()
    })?;
    let all = reports.into_iter().reduce(SoakReport::merge);
    all.ok_or(SoakError::NoNodes)
}
