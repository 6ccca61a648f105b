//! Which nodes are available and where: from the fleet's membership where the router is a member, else from health
//! checks. A membership in which the router is isolated tells nothing of the nodes; then they are checked as without one.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cells::map::CellMap;
use cells::Name;
use fleet_runtime::{FleetHandle, MembershipSnapshot};
use membership::{Liveness, PartitionStatus};
use routing::{Availability, HealthChecks};

/// How long a good answer to a health check counts.
const HEALTH_CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// The router's place in the fleet, and the latest membership it has taken over.
struct FleetMembership {
    handle: FleetHandle,
    snapshot: Arc<MembershipSnapshot>,
}

/// A node whose availability has changed.
pub(crate) struct AvailabilityChange {
    pub(crate) node: Name,
    pub(crate) availability: Availability,
}

/// The nodes of the cell map with their addresses and availability.
pub(crate) struct NodeDirectory {
    health_checks: HealthChecks,
    fleet: Option<FleetMembership>,
    /// Addresses in the cells file.
    configured_addresses: HashMap<Name, SocketAddr>,
    /// Addresses in use: those that members advertise come before those of the file.
    addresses: HashMap<Name, SocketAddr>,
    /// The availability that was reported last.
    reported: BTreeMap<Name, Availability>,
}

impl NodeDirectory {
    pub(crate) fn new() -> NodeDirectory {
        NodeDirectory {
            health_checks: HealthChecks::new(HEALTH_CHECK_VALIDITY),
            fleet: None,
            configured_addresses: HashMap::new(),
            addresses: HashMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Uses the membership of a fleet that the router has joined.
    pub(crate) fn use_fleet(&mut self, handle: FleetHandle) {
        let snapshot = handle.snapshot();
        self.fleet = Some(FleetMembership { handle, snapshot });
    }

    /// The router's place in the fleet, if it is a member.
    pub(crate) fn fleet(&self) -> Option<&FleetHandle> {
        self.fleet.as_ref().map(|fleet| &fleet.handle)
    }

    /// Takes over the nodes of a map.
    pub(crate) fn set_map(&mut self, map: &CellMap) {
        self.configured_addresses = map
            .cells()
            .flat_map(|cell| &cell.nodes)
            .filter_map(|node| Some((node.name.clone(), node.address?)))
            .collect();
        self.resolve_addresses();
    }

    /// An address that a member advertises is used instead of that of the file.
    fn resolve_addresses(&mut self) {
        self.addresses = self
            .configured_addresses
            .iter()
            .map(|(name, configured)| {
                let address = self.advertised_address(name).unwrap_or(*configured);
                (name.clone(), address)
            })
            .collect();
    }

    fn advertised_address(&self, name: &Name) -> Option<SocketAddr> {
        let record = self.fleet.as_ref()?.snapshot.member(name)?;
        record.client_address.filter(|_| record.state.is_present())
    }

    /// Takes over the fleet's current membership.
    pub(crate) fn refresh(&mut self, now: Duration) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let snapshot = fleet.handle.snapshot();
        if Arc::ptr_eq(&fleet.snapshot, &snapshot) {
            return;
        }
        let previous = std::mem::replace(&mut fleet.snapshot, snapshot);
        let became_isolated = self.usable_membership().is_none()
            && previous.partition_status != PartitionStatus::Isolated;
        if became_isolated {
            self.assume_healthy(&previous, now);
        }
        self.resolve_addresses();
    }

    /// The router is isolated from now on: nodes that took requests before count as healthy until a health check says
    /// otherwise.
    fn assume_healthy(&mut self, previous: &MembershipSnapshot, now: Duration) {
        for name in self.configured_addresses.keys() {
            let record = previous.member(name);
            if record.is_some_and(membership::MemberRecord::accepts_requests) {
                self.health_checks.record(name, true, now);
            }
        }
    }

    /// The fleet's membership, unless the router is isolated in it.
    fn usable_membership(&self) -> Option<&MembershipSnapshot> {
        self.fleet
            .as_ref()
            .map(|fleet| &*fleet.snapshot)
            .filter(|snapshot| snapshot.partition_status != PartitionStatus::Isolated)
    }

    /// Whether the nodes have to be checked one by one.
    pub(crate) fn needs_health_checks(&self) -> bool {
        self.usable_membership().is_none()
    }

    /// Records the answer to a health check.
    pub(crate) fn record_health_check(&mut self, node: &Name, is_ready: bool, now: Duration) {
        self.health_checks.record(node, is_ready, now);
    }

    /// The address of a node, if the map has it.
    pub(crate) fn address(&self, node: &Name) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// The nodes of the map.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &Name> {
        self.addresses.keys()
    }

    /// The availability of a node.
    pub(crate) fn availability(&self, node: &str, now: Duration) -> Availability {
        let Some(membership) = self.usable_membership() else {
            return self.health_checks.availability(node, now);
        };
        match membership.member(node).filter(|r| r.accepts_requests()) {
            Some(record) if record.state.liveness == Liveness::Suspect => Availability::Suspect,
            Some(_) => Availability::Available,
            None => Availability::Unavailable,
        }
    }

    /// Whether any node is available.
    pub(crate) fn has_available_node(&self, now: Duration) -> bool {
        self.nodes()
            .any(|node| self.availability(node, now) != Availability::Unavailable)
    }

    /// Nodes whose availability has changed since this was last called.
    pub(crate) fn take_changes(&mut self, now: Duration) -> Vec<AvailabilityChange> {
        let current: Vec<AvailabilityChange> = self
            .configured_addresses
            .keys()
            .map(|node| AvailabilityChange {
                node: node.clone(),
                availability: self.availability(node, now),
            })
            .collect();
        current
            .into_iter()
            .filter(|change| {
                let previous = self
                    .reported
                    .insert(change.node.clone(), change.availability);
                previous != Some(change.availability)
            })
            .collect()
    }
}
