//! The report of the work that this process holds when it ends, for the process of the node that
//! continues.

use crossbeam_channel::Sender;

use super::{PolicyActor, ShutdownProgress};
use crate::node::held_work::HeldWork;

impl PolicyActor {
    /// Reports the work that the executor and the database may continue after this process has
    /// ended. Nothing is started after the report, so that it stays an upper bound.
    pub(super) fn report_held_work(&mut self, report_sender: &Sender<HeldWork>) {
        self.shutdown = ShutdownProgress::WorkReported;
        // A receiver that no longer waits is ending the process already.
        let _ = report_sender.try_send(self.held_work());
    }

    /// Returns true if the held work was reported, after which nothing may be started.
    pub(super) fn has_reported_work(&self) -> bool {
        self.shutdown == ShutdownProgress::WorkReported
    }

    /// Returns the number of calls that the database may have in progress. Right after the end of a
    /// run only the database actor knows of its call.
    pub(super) fn held_calls(&self) -> usize {
        let calls = self.requests.calls_in_progress() + self.unconfirmed_calls;
        calls.max((self.peers.calls_in_flight)())
    }

    fn held_work(&self) -> HeldWork {
        let run_factor = self.site.settings.run_memory_factor;
        HeldWork {
            runs: self.requests.runs_on_cores() as u32 + self.inherited.on_cores,
            calls: self.held_calls() as u32,
            memory_kb: (self.requests.run_memory_kb(run_factor) + self.inherited_memory_kb()).ceil()
                as u64,
        }
    }
}
