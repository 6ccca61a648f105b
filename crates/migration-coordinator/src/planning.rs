//! Plans the migration of each queued job on the current map.

use std::collections::{BTreeMap, BTreeSet};

use cells::migration::{Epoch, MigrationError, MigrationId, NodeId};
use cells::{AssignedCells, CellMap, LayoutError, Migration, Name};

use crate::entry::MigrationEntry;

/// The reason why a migration can't be started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// A migration of this tenant is running or queued.
    #[error("a migration of this tenant is running or queued")]
    AlreadyMigrating,
    /// The tenant is not declared.
    #[error("the tenant is not declared")]
    UnknownTenant,
    /// These cells serve the tenant already.
    #[error("the tenant is already assigned to these cells")]
    AlreadyAssigned,
    /// One of the cells does not exist.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// The sources and targets can't take part in one migration.
    #[error(transparent)]
    Nodes(#[from] MigrationError),
}

/// A job that waits until no other migration of its tenant is running.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum QueuedJob {
    /// Migrate the tenant.
    Migrate {
        tenant: Name,
        to: AssignedCells,
        is_manual: bool,
    },
    /// Let a restarted node adopt the tenant again.
    Adopt { tenant: Name, node: Name },
}

impl QueuedJob {
    pub(crate) fn tenant(&self) -> &Name {
        match self {
            QueuedJob::Migrate { tenant, .. } | QueuedJob::Adopt { tenant, .. } => tenant,
        }
    }

    /// Returns true if this is a migration of the tenant, not an adoption.
    pub(crate) fn migrates(&self, tenant: &str) -> bool {
        matches!(self, QueuedJob::Migrate { tenant: name, .. } if **name == *tenant)
    }

    /// Returns the migration that carries out the job, or none if the job no longer applies to the
    /// map.
    pub(crate) fn plan(
        &self,
        map: &CellMap,
        id: MigrationId,
        epoch: Epoch,
    ) -> Option<MigrationEntry> {
        match self {
            QueuedJob::Migrate {
                tenant,
                to,
                is_manual,
            } => {
                let mut entry = plan_migration(map, tenant, to, id, epoch).ok()?;
                entry.is_manual = *is_manual;
                Some(entry)
            }
            QueuedJob::Adopt { tenant, node } => plan_adoption(map, tenant, node, id, epoch),
        }
    }
}

/// Plans a migration of a tenant from the nodes of its current cells to those of other cells.
pub(crate) fn plan_migration(
    map: &CellMap,
    tenant: &str,
    to: &AssignedCells,
    id: MigrationId,
    epoch: Epoch,
) -> Result<MigrationEntry, StartError> {
    let assignment = map.assignment(tenant).ok_or(StartError::UnknownTenant)?;
    let sources = nodes_of_cells(map, &assignment.cells)?;
    let targets = nodes_of_cells(map, to)?;
    let nodes = assign_node_ids(sources.union(&targets));
    let migration = Migration::new(
        id,
        epoch,
        ids_of_nodes(&nodes, &sources),
        ids_of_nodes(&nodes, &targets),
    )?;
    Ok(MigrationEntry {
        tenant: tenant.into(),
        to: to.clone(),
        is_manual: false,
        is_adoption: false,
        migration,
        nodes,
    })
}

/// Plans the adoption of a tenant by a restarted node; none if the node's cell no longer serves the
/// tenant.
fn plan_adoption(
    map: &CellMap,
    tenant: &str,
    node: &str,
    id: MigrationId,
    epoch: Epoch,
) -> Option<MigrationEntry> {
    const ADOPTING_NODE: NodeId = 0;
    let assignment = map.assignment(tenant)?;
    let node = map.node(node)?;
    if !assignment.cells.names().contains(&node.cell) {
        return None;
    }
    Some(MigrationEntry {
        tenant: tenant.into(),
        to: assignment.cells.clone(),
        is_manual: assignment.is_manual,
        is_adoption: true,
        migration: Migration::adoption(id, epoch, ADOPTING_NODE),
        nodes: BTreeMap::from([(ADOPTING_NODE, node.name.clone())]),
    })
}

fn nodes_of_cells(map: &CellMap, cells: &AssignedCells) -> Result<BTreeSet<Name>, LayoutError> {
    let mut nodes = BTreeSet::new();
    for name in cells.names() {
        let cell = map.cell(name).ok_or_else(|| LayoutError::UnknownCell {
            referrer: "the migration".into(),
            cell: name.clone(),
        })?;
        nodes.extend(cell.nodes.iter().map(|node| node.name.clone()));
    }
    Ok(nodes)
}

fn assign_node_ids<'a>(names: impl Iterator<Item = &'a Name>) -> BTreeMap<NodeId, Name> {
    (0..).zip(names.cloned()).collect()
}

fn ids_of_nodes(nodes: &BTreeMap<NodeId, Name>, names: &BTreeSet<Name>) -> BTreeSet<NodeId> {
    nodes
        .iter()
        .filter(|(_, name)| names.contains(*name))
        .map(|(id, _)| *id)
        .collect()
}
