//! Addresses and availability of the nodes: from the fleet's membership if the router is a member,
//! otherwise from health checks. While the router is isolated in the fleet, its membership view
//! says nothing about the nodes, so health checks are used then too.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cells::map::CellMap;
use cells::Name;
use fleet_runtime::{FleetHandle, MembershipSnapshot};
use membership::{Liveness, PartitionStatus};
use routing::{Availability, HealthChecks};

/// Duration for which a good answer to a health check is valid.
const HEALTH_CHECK_VALIDITY: Duration = Duration::from_secs(1);

/// The router's membership in the fleet, and the latest snapshot that is in use.
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
    /// Addresses from the cells file.
    configured_addresses: HashMap<Name, SocketAddr>,
    /// Addresses in use: an address that a member advertises takes precedence over that of the
    /// cells file.
    addresses: HashMap<Name, SocketAddr>,
    /// Availability of each node as of the last [`NodeDirectory::take_changes`].
    reported_availability: BTreeMap<Name, Availability>,
}

impl NodeDirectory {
    pub(crate) fn new() -> NodeDirectory {
        NodeDirectory {
            health_checks: HealthChecks::new(HEALTH_CHECK_VALIDITY),
            fleet: None,
            configured_addresses: HashMap::new(),
            addresses: HashMap::new(),
            reported_availability: BTreeMap::new(),
        }
    }

    /// Uses the membership of the fleet that the router has joined.
    pub(crate) fn use_fleet(&mut self, handle: FleetHandle) {
        let snapshot = handle.snapshot();
        self.fleet = Some(FleetMembership { handle, snapshot });
    }

    /// Returns the handle of the fleet if the router is a member.
    pub(crate) fn fleet(&self) -> Option<&FleetHandle> {
        self.fleet.as_ref().map(|fleet| &fleet.handle)
    }

    /// Replaces the nodes by those of a cell map.
    pub(crate) fn set_map(&mut self, map: &CellMap) {
        self.configured_addresses = map
            .cells()
            .flat_map(|cell| &cell.nodes)
            .filter_map(|node| Some((node.name.clone(), node.address?)))
            .collect();
        self.update_addresses();
    }

    /// Recomputes the addresses in use from the cells file and the membership.
    fn update_addresses(&mut self) {
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

    /// Updates to the fleet's current membership.
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
        self.update_addresses();
    }

    /// Treats the nodes that accepted requests before the router became isolated as healthy, until
    /// a health check shows otherwise or the validity of a health check expires.
    fn assume_healthy(&mut self, previous: &MembershipSnapshot, now: Duration) {
        for name in self.configured_addresses.keys() {
            let record = previous.member(name);
            if record.is_some_and(membership::MemberRecord::accepts_requests) {
                self.health_checks.record(name, true, now);
            }
        }
    }

    /// Returns the fleet's membership unless the router is isolated or not a member.
    fn usable_membership(&self) -> Option<&MembershipSnapshot> {
        self.fleet
            .as_ref()
            .map(|fleet| &*fleet.snapshot)
            .filter(|snapshot| snapshot.partition_status != PartitionStatus::Isolated)
    }

    /// Returns true if the availability of nodes comes from health checks.
    pub(crate) fn needs_health_checks(&self) -> bool {
        self.usable_membership().is_none()
    }

    /// Records the answer to a health check.
    pub(crate) fn record_health_check(&mut self, node: &Name, is_ready: bool, now: Duration) {
        self.health_checks.record(node, is_ready, now);
    }

    /// Returns the address of a node, if the cell map has one.
    pub(crate) fn address(&self, node: &Name) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// Returns the nodes of the cell map that have an address.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &Name> {
        self.addresses.keys()
    }

    /// Returns the availability of a node at `now`.
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

    /// Returns true if any node is available or suspect.
    pub(crate) fn has_available_node(&self, now: Duration) -> bool {
        self.nodes()
            .any(|node| self.availability(node, now) != Availability::Unavailable)
    }

    /// Returns the nodes whose availability has changed since the last call.
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
                    .reported_availability
                    .insert(change.node.clone(), change.availability);
                previous != Some(change.availability)
            })
            .collect()
    }
}
