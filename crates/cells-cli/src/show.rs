//! The output of `cells show`.

use std::collections::BTreeMap;

use cells::{Cell, CellMap, Node};

/// Lists all cells with their nodes.
pub(crate) fn format_map(map: &CellMap) -> String {
    let mut tenants: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, assignment) in map.assignments() {
        for cell in assignment.cells.names() {
            *tenants.entry(cell).or_default() += 1;
        }
    }
    let mut text = String::new();
    for cell in map.cells() {
        let tenants = tenants.get(&*cell.name).copied().unwrap_or(0);
        text += &format_cell(cell, tenants);
        for node in &cell.nodes {
            text += &format_node(node);
        }
    }
    text
}

fn format_cell(cell: &Cell, tenants: usize) -> String {
    let neighbours = if cell.neighbours.is_empty() {
        "none".to_string()
    } else {
        cell.neighbours.join(" ")
    };
    format!(
        "{}: weight {}, tenants {tenants}, neighbours {neighbours}\n",
        cell.name,
        cell.weight()
    )
}

fn format_node(node: &Node) -> String {
    let address = node
        .address
        .map(|address| format!(" at {address}"))
        .unwrap_or_default();
    format!(
        "  {}: site {}, weight {}{address}\n",
        node.name, node.site, node.weight
    )
}

/// Describes the cell and the nodes that serve a tenant; none if no cell serves it.
pub(crate) fn format_tenant(map: &CellMap, tenant: &str, subject: Option<&str>) -> Option<String> {
    let cell = map.cell_for(tenant, subject)?;
    let nodes: Vec<&str> = map
        .shard_nodes(cell, tenant)
        .iter()
        .map(|node| &*node.name)
        .collect();
    Some(format!(
        "{tenant}: cell {}, nodes {}\n",
        cell.name,
        nodes.join(" ")
    ))
}
