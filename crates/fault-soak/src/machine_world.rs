//! The current machine of a node with its ports, and the thread that advances its time.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::database::Database;
use crate::journal::Journal;
use crate::machine::Machine;
use crate::plan::Plan;
use crate::port::Port;

/// Time between two ticks of the machine and of the database.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// The machine of a node, and its ports.
pub(crate) struct MachineWithPorts {
    pub(crate) machine: Arc<Machine>,
    pub(crate) ports: Vec<Arc<Port>>,
}

impl MachineWithPorts {
    /// Starts a machine with one port. `start` is the number of the node's starts so far, and
    /// selects the random numbers of the machine.
    pub(crate) fn start(
        plan: &Plan,
        start: u64,
        is_cold: bool,
        journal: &Arc<Journal>,
    ) -> MachineWithPorts {
        let seed = plan.seed.wrapping_add(start << 32);
        let machine = Arc::new(Machine::new(plan, seed, is_cold, journal.clone()));
        let port = Port::new(0, machine.clone(), journal.clone());
        MachineWithPorts {
            machine,
            ports: vec![Arc::new(port)],
        }
    }
}

/// The current machine of a node, shared by the threads of its soak run.
pub(crate) struct MachineSimulation {
    machine: Mutex<MachineWithPorts>,
    has_ended: AtomicBool,
}

impl MachineSimulation {
    /// Creates the shared state with this machine. Its time does not advance until
    /// [`MachineSimulation::start_ticking`].
    pub(crate) fn new(machine: MachineWithPorts) -> Arc<MachineSimulation> {
        Arc::new(MachineSimulation {
            machine: Mutex::new(machine),
            has_ended: AtomicBool::new(false),
        })
    }

    /// Returns the current machine.
    pub(crate) fn machine(&self) -> MutexGuard<'_, MachineWithPorts> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a thread that advances the machine and the database until [`MachineSimulation::end`].
    pub(crate) fn start_ticking(self: &Arc<MachineSimulation>, database: &Arc<Database>) {
        let (simulation, database) = (self.clone(), database.clone());
        thread::spawn(move || {
            while !simulation.has_ended.load(SeqCst) {
                simulation.tick();
                database.tick();
                thread::sleep(TICK_INTERVAL);
            }
        });
    }

    /// Stops the thread that advances the time.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, SeqCst);
    }

    fn tick(&self) {
        let machine = self.machine();
        for (port, notice) in machine.machine.tick() {
            machine.ports[port].notify(&notice);
        }
        machine.machine.check_memory();
    }
}
