//! Inventories in YAML: groups with `hosts`, `vars` and `children`; each host is a record.

use std::collections::HashSet;

use saphyr::{LoadableYamlNode, MarkedYamlOwned, ScalarOwned, ScanError, YamlDataOwned};

use super::error::{ContentError, InventoryProblem};
use super::record::{Record, Variable, Variables};

/// The variables for which a YAML number is accepted; others need a string.
const NUMERIC_VARIABLES: [&str; 3] = ["port", "prefetch", "held_kb"];

/// Reads the records of an inventory in YAML.
pub(super) fn read_records(text: &str) -> Result<Vec<Record>, ContentError> {
    let documents = MarkedYamlOwned::load_from_str(text).map_err(malformed)?;
    let mut reader = GroupReader::default();
    for document in &documents {
        for (name, group) in mapping_entries(document, "inventory")? {
            reader.read_group(&name, group, &Variables::new())?;
        }
    }
    Ok(reader.records)
}

/// Collects the hosts of groups.
#[derive(Default)]
struct GroupReader {
    host_names: HashSet<String>,
    records: Vec<Record>,
}

impl GroupReader {
    /// Reads the hosts of a group and of its children. The group's own variables override those
    /// that it inherits.
    fn read_group(
        &mut self,
        name: &str,
        group: &MarkedYamlOwned,
        inherited: &Variables,
    ) -> Result<(), ContentError> {
        let sections = mapping_entries(group, name)?;
        let find_section = |wanted: &str| {
            let section = sections.iter().find(|(section, _)| section == wanted);
            section.map(|(_, node)| *node)
        };
        let mut variables = inherited.clone();
        if let Some(vars) = find_section("vars") {
            add_variables(&mut variables, vars, "vars")?;
        }
        if let Some(hosts) = find_section("hosts") {
            self.read_hosts(hosts, &variables)?;
        }
        if let Some(children) = find_section("children") {
            for (child, group) in mapping_entries(children, "children")? {
                self.read_group(&child, group, &variables)?;
            }
        }
        Ok(())
    }

    /// Reads the hosts of a group. A host's own variables override those of the group.
    fn read_hosts(
        &mut self,
        hosts: &MarkedYamlOwned,
        group_variables: &Variables,
    ) -> Result<(), ContentError> {
        for (host_name, host) in mapping_entries(hosts, "hosts")? {
            let line = line_number(host);
            if !self.host_names.insert(host_name.clone()) {
                let problem = InventoryProblem::Duplicate;
                return Err(ContentError::new(line, &host_name, problem));
            }
            let mut variables = group_variables.clone();
            add_variables(&mut variables, host, &host_name)?;
            self.records.push(Record {
                line,
                host_name,
                variables,
            });
        }
        Ok(())
    }
}

/// Adds the variables of a mapping, replacing existing ones. Errors name `field`.
fn add_variables(
    variables: &mut Variables,
    node: &MarkedYamlOwned,
    field: &str,
) -> Result<(), ContentError> {
    for (name, value) in mapping_entries(node, field)? {
        let variable = Variable {
            line: line_number(value),
            text: scalar_text(&name, value),
        };
        variables.insert(name, variable);
    }
    Ok(())
}

/// Returns the text of a scalar: a string, or a number if the variable accepts one.
fn scalar_text(variable: &str, value: &MarkedYamlOwned) -> Option<String> {
    let YamlDataOwned::Value(scalar) = &value.data else {
        return None;
    };
    match scalar {
        ScalarOwned::String(text) => Some(text.clone()),
        ScalarOwned::Integer(number) if NUMERIC_VARIABLES.contains(&variable) => {
            Some(number.to_string())
        }
        _ => None,
    }
}

/// Returns the keys and values of a mapping; an empty node has none. Errors name `field`.
fn mapping_entries<'a>(
    node: &'a MarkedYamlOwned,
    field: &str,
) -> Result<Vec<(String, &'a MarkedYamlOwned)>, ContentError> {
    let error =
        |node: &MarkedYamlOwned, problem| ContentError::new(line_number(node), field, problem);
    let mapping = match &node.data {
        YamlDataOwned::Mapping(mapping) => mapping,
        YamlDataOwned::Value(ScalarOwned::Null) => return Ok(Vec::new()),
        _ => return Err(error(node, InventoryProblem::NotAMapping)),
    };
    let mut entries = Vec::with_capacity(mapping.len());
    for (key, value) in mapping {
        let YamlDataOwned::Value(ScalarOwned::String(name)) = &key.data else {
            return Err(error(key, InventoryProblem::KeyNotString));
        };
        entries.push((name.clone(), value));
    }
    Ok(entries)
}

fn malformed(error: ScanError) -> ContentError {
    let line = error.marker().line();
    ContentError::new(line, "", InventoryProblem::MalformedYaml(error))
}

/// Returns the line at which a node begins, counted from 1.
fn line_number(node: &MarkedYamlOwned) -> usize {
    node.span.start.line()
}
