//! Assigns the nodes of a layout to its cells.

use std::collections::{BTreeMap, BTreeSet};

use super::{Cell, CellMap, Node};
use crate::layout::{Layout, LayoutError, NodeSpec};
use crate::Name;

/// Nodes without a declared or current cell, by site.
type UnassignedNodes<'a> = BTreeMap<&'a Name, Vec<(&'a Name, &'a NodeSpec)>>;

/// Returns the cells of a layout with their nodes. A node is assigned to the cell that it names,
/// otherwise to its cell in `current`, otherwise to the cell with the lowest weight.
pub(super) fn assign_nodes(
    current: &CellMap,
    layout: &Layout,
) -> Result<BTreeMap<Name, Cell>, LayoutError> {
    let mut cells = empty_cells(layout)?;
    let unassigned = assign_fixed_nodes(current, layout, &mut cells)?;
    assign_free_nodes(&unassigned, &mut cells);
    for cell in cells.values_mut() {
        cell.nodes.sort_by(|a, b| a.name.cmp(&b.name));
    }
    check_cells(layout, &cells)?;
    Ok(cells)
}

fn empty_cells(layout: &Layout) -> Result<BTreeMap<Name, Cell>, LayoutError> {
    let mut cells = BTreeMap::new();
    for (name, spec) in &layout.cells {
        let unknown = spec
            .neighbours
            .iter()
            .find(|neighbour| !layout.cells.contains_key(*neighbour));
        if let Some(unknown) = unknown {
            return Err(LayoutError::UnknownCell {
                referrer: name.clone(),
                cell: unknown.clone(),
            });
        }
        let cell = Cell {
            name: name.clone(),
            nodes: Vec::new(),
            neighbours: spec.neighbours.clone(),
        };
        cells.insert(name.clone(), cell);
    }
    Ok(cells)
}

/// Assigns the nodes that name a cell or already have one, and returns the others.
fn assign_fixed_nodes<'a>(
    current: &CellMap,
    layout: &'a Layout,
    cells: &mut BTreeMap<Name, Cell>,
) -> Result<UnassignedNodes<'a>, LayoutError> {
    let mut unassigned = UnassignedNodes::new();
    for (name, spec) in &layout.nodes {
        let current_cell = || {
            let node = current.node(name)?;
            layout
                .cells
                .contains_key(&node.cell)
                .then(|| node.cell.clone())
        };
        let Some(cell_name) = spec.cell.clone().or_else(current_cell) else {
            unassigned.entry(&spec.site).or_default().push((name, spec));
            continue;
        };
        let Some(cell) = cells.get_mut(&cell_name) else {
            return Err(LayoutError::UnknownCell {
                referrer: name.clone(),
                cell: cell_name,
            });
        };
        cell.nodes.push(node_from_spec(name, spec, &cell_name));
    }
    Ok(unassigned)
}

/// Assigns each node to the cell with the lowest weight; among equals, to the one with the fewest
/// nodes at its site.
fn assign_free_nodes(unassigned: &UnassignedNodes, cells: &mut BTreeMap<Name, Cell>) {
    // Nodes of different sites alternate, so that nodes assigned in succession are spread over the
    // sites.
    let rounds = unassigned.values().map(Vec::len).max().unwrap_or(0);
    let interleaved =
        (0..rounds).flat_map(|round| unassigned.values().filter_map(move |site| site.get(round)));
    for (name, spec) in interleaved {
        let nodes_of_site = |cell: &Cell| cell.nodes.iter().filter(|n| n.site == spec.site).count();
        let lightest = cells.values_mut().min_by(|a, b| {
            a.weight()
                .total_cmp(&b.weight())
                .then_with(|| nodes_of_site(a).cmp(&nodes_of_site(b)))
        });
        if let Some(cell) = lightest {
            let node = node_from_spec(name, spec, &cell.name);
            cell.nodes.push(node);
        }
    }
}

/// Checks that every cell has a node, and that a cell with several nodes spans at least two sites
/// if the layout has more than one.
fn check_cells(layout: &Layout, cells: &BTreeMap<Name, Cell>) -> Result<(), LayoutError> {
    let sites: BTreeSet<&Name> = layout.nodes.values().map(|node| &node.site).collect();
    for cell in cells.values() {
        let Some(first) = cell.nodes.first() else {
            return Err(LayoutError::NoNodes(cell.name.clone()));
        };
        if sites.len() > 1 && cell.nodes.len() > 1 && cell.site_count() == 1 {
            return Err(LayoutError::OneSite {
                cell: cell.name.clone(),
                site: first.site.clone(),
            });
        }
    }
    Ok(())
}

fn node_from_spec(name: &Name, spec: &NodeSpec, cell: &Name) -> Node {
    Node {
        name: name.clone(),
        site: spec.site.clone(),
        weight: spec.weight,
        address: spec.address,
        cell: cell.clone(),
    }
}
