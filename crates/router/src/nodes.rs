//! Which nodes are there: by the fleet's view where the router is a member, else by health checks. A view that sees nobody
//! tells nothing of the nodes; then they are asked, as without one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cells::map::{CellMap, Name};
use fleet_runtime::{Handle, Seen};
use membership::{Liveness, PartitionStatus};
use routing::{Availability, HealthChecks};

/// Between two health checks of a node.
pub(crate) const BEAT: Duration = Duration::from_millis(200);
/// How long a good answer to one holds.
const HOLDS: Duration = Duration::from_secs(1);

pub(crate) struct Nodes {
    checks: HealthChecks,
    view: Option<(Handle, Arc<Seen>)>,
    /// Where they are by the file of cells, and where they are now.
    by_file: HashMap<Name, SocketAddr>,
    pub addresses: HashMap<Name, SocketAddr>,
    logged: BTreeMap<Name, Availability>,
}

impl Nodes {
    pub(crate) fn new() -> Nodes {
        Nodes {
            checks: HealthChecks::new(HOLDS),
            view: None,
            by_file: HashMap::new(),
            addresses: HashMap::new(),
            logged: BTreeMap::new(),
        }
    }
    pub(crate) fn join(&mut self, handle: Handle) {
        let seen = handle.snapshot();
        self.view = Some((handle, seen));
    }
    pub(crate) fn view(&self) -> Option<&Handle> {
        self.view.as_ref().map(|(handle, _)| handle)
    }
    /// The nodes of a map.
    pub(crate) fn take_map(&mut self, map: &CellMap) {
        self.by_file = map
            .cells()
            .flat_map(|c| &c.nodes)
            .filter_map(|n| Some((n.name.clone(), n.address?)))
            .collect();
        self.resolve();
    }
    /// Where a member says that it serves goes before the file.
    fn resolve(&mut self) {
        let seen = self.view.as_ref().map(|(_, seen)| seen);
        let says = |name: &Name| {
            seen.and_then(|s| s.member(name))
                .filter(|r| r.state.is_present())?
                .client_address
        };
        self.addresses = self
            .by_file
            .iter()
            .map(|(name, at)| (name.clone(), says(name).unwrap_or(*at)))
            .collect();
    }
    /// Takes what the view sees now.
    pub(crate) fn look(&mut self, now: Duration) {
        let Some((handle, before)) = &mut self.view else {
            return;
        };
        let seen = handle.snapshot();
        if Arc::ptr_eq(before, &seen) {
            return;
        }
        let was = std::mem::replace(before, seen);
        if self.by_view().is_none() && was.partition_status != PartitionStatus::Isolated {
            // It hears nobody from now on. Who was there before goes on until a check says otherwise.
            for name in self.by_file.keys() {
                if was
                    .member(name)
                    .is_some_and(membership::MemberRecord::accepts_requests)
                {
                    self.checks.record(name, true, now);
                }
            }
        }
        self.resolve();
    }
    fn by_view(&self) -> Option<&Seen> {
        self.view
            .as_ref()
            .map(|(_, seen)| &**seen)
            .filter(|seen| seen.partition_status != PartitionStatus::Isolated)
    }
    /// Whether nodes have to be asked one by one.
    pub(crate) fn asks(&self) -> bool {
        self.by_view().is_none()
    }
    /// A health check was answered.
    pub(crate) fn checked(&mut self, node: &Name, ready: bool, now: Duration) {
        self.checks.record(node, ready, now);
    }
    /// How a node stands.
    pub(crate) fn presence(&self, node: &str, now: Duration) -> Availability {
        let Some(seen) = self.by_view() else {
            return self.checks.availability(node, now);
        };
        match seen.member(node).filter(|r| r.accepts_requests()) {
            Some(r) if r.state.liveness == Liveness::Suspect => Availability::Suspect,
            Some(_) => Availability::Available,
            None => Availability::Unavailable,
        }
    }
    /// Nodes that stand otherwise than when this was last asked.
    pub(crate) fn changed(&mut self, now: Duration) -> Vec<(Name, Availability)> {
        let names: Vec<Name> = self.by_file.keys().cloned().collect();
        let is: Vec<(Name, Availability)> = names
            .into_iter()
            .map(|n| (n.clone(), self.presence(&n, now)))
            .collect();
        is.into_iter()
            .filter(|(name, presence)| {
                self.logged.insert(name.clone(), *presence) != Some(*presence)
            })
            .collect()
    }
}
