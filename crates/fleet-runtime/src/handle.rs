//! The handle by which the rest of the process reads the fleet's state and sends commands to the
//! fleet actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::{bounded, Sender};
use membership::{AdvertisedStatus, Name};
use mio::Waker;

use crate::config::Config;
use crate::quota_handle::QuotaHandle;
use crate::snapshot::MembershipSnapshot;

/// Maximum time that [`FleetHandle::leave`] and [`FleetHandle::stop_silently`] wait for the actor.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// A command to the fleet actor.
pub(crate) enum ActorCommand {
    /// Advertises this status of the process.
    SetStatus(AdvertisedStatus),
    /// Advertises this address to which clients connect.
    SetClientAddress(SocketAddr),
    /// Applies this reloaded configuration.
    ReloadConfig(Box<Config>),
    /// Records whether another process with the same name is running.
    SetSiblingRunning(bool),
    /// Ends the actor.
    Stop {
        /// True if the other members are notified.
        announces: bool,
        /// Receives a message when the actor is about to end.
        done: Sender<()>,
    },
}

/// A running fleet member. Clones refer to the same member.
#[derive(Clone)]
pub struct FleetHandle {
    /// The UDP address of the member.
    pub address: SocketAddr,
    pub(crate) snapshot: Arc<ArcSwap<MembershipSnapshot>>,
    pub(crate) commands: Sender<ActorCommand>,
    pub(crate) waker: Arc<Waker>,
    pub(crate) quotas: Vec<(Name, QuotaHandle)>,
}

impl FleetHandle {
    /// Returns this node's share of the budget of this name, if the fleet file has that budget.
    pub fn quota(&self, budget: &str) -> Option<QuotaHandle> {
        self.quotas
            .iter()
            .find(|(name, _)| **name == *budget)
            .map(|(_, quota)| quota.clone())
    }

    /// Returns the last published state of the membership, without blocking.
    pub fn snapshot(&self) -> Arc<MembershipSnapshot> {
        self.snapshot.load_full()
    }

    /// Advertises a new status of the process.
    pub fn set_status(&self, status: AdvertisedStatus) {
        self.send(ActorCommand::SetStatus(status));
    }

    /// Advertises the address to which clients connect, unless the fleet file sets one.
    pub fn set_client_address(&self, address: SocketAddr) {
        self.send(ActorCommand::SetClientAddress(address));
    }

    /// Applies the seeds, the timing and the totals of budgets of a new configuration.
    pub fn reload(&self, config: Config) {
        self.send(ActorCommand::ReloadConfig(Box::new(config)));
    }

    /// Notifies the actor whether another process with the same name is running, so that the
    /// guaranteed quota of the name is not spent by both.
    pub fn set_sibling_running(&self, is_running: bool) {
        self.send(ActorCommand::SetSiblingRunning(is_running));
    }

    /// Announces that the member leaves the fleet, and ends the actor.
    pub fn leave(&self) {
        self.stop(true);
    }

    /// Ends the actor without an announcement, as another process continues under the same name.
    pub fn stop_silently(&self) {
        self.stop(false);
    }

    fn stop(&self, announces: bool) {
        let (done, stopped) = bounded(1);
        self.send(ActorCommand::Stop { announces, done });
        // After a time-out the process ends without waiting for the actor.
        let _ = stopped.recv_timeout(STOP_TIMEOUT);
    }

    fn send(&self, command: ActorCommand) {
        // The actor reads its commands promptly, so this blocks briefly at most. An actor that has
        // ended needs no commands.
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }
}
