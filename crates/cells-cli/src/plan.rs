//! The output of `cells plan`.

use std::collections::BTreeMap;

use cells::{CellMap, PendingMigration};

/// Lists the nodes that change cells between two maps, and the number of tenants that would
/// migrate; each tenant by name if `lists_all` is set.
pub(crate) fn format_plan(
    before: &CellMap,
    after: &CellMap,
    migrations: &[PendingMigration],
    lists_all: bool,
) -> String {
    let mut text = format_node_changes(before, after);
    if lists_all {
        for PendingMigration { tenant, from, to } in migrations {
            text += &format!("tenant {tenant}: {from} to {to}\n");
        }
    }
    let mut counts: BTreeMap<(String, String), usize> = BTreeMap::new();
    for migration in migrations {
        let from_to = (migration.from.to_string(), migration.to.to_string());
        *counts.entry(from_to).or_default() += 1;
    }
    for ((from, to), count) in &counts {
        text += &format!("{count} from {from} to {to}\n");
    }
    let tenants = after.assignments().count();
    text += &format!("{} of {tenants} tenants would move\n", migrations.len());
    text
}

fn format_node_changes(before: &CellMap, after: &CellMap) -> String {
    let mut text = String::new();
    for node in after.cells().flat_map(|cell| &cell.nodes) {
        match before.node(&node.name) {
            None => text += &format!("node {} joins cell {}\n", node.name, node.cell),
            Some(old) if old.cell != node.cell => {
                text += &format!(
                    "node {} goes from cell {} to cell {}\n",
                    node.name, old.cell, node.cell
                );
            }
            Some(_) => {}
        }
    }
    for node in before.cells().flat_map(|cell| &cell.nodes) {
        if after.node(&node.name).is_none() {
            text += &format!("node {} leaves cell {}\n", node.name, node.cell);
        }
    }
    text
}
