//! Parses a layout from the operators' JSON5 file. An invalid file is rejected with a one-line
//! error that names the file, the line and the field.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use json5_errors::{ConfigFileError, FieldPositions};
use serde::Deserialize;

use crate::layout::{CellSpec, Layout, LayoutError, NodeSpec, Placement, TenantSpec};
use crate::{CellMap, Name};

/// Supported version of the file format.
const FORMAT_VERSION: u32 = 1;
/// Slack of a file that does not set it.
const DEFAULT_SLACK: f64 = 0.25;
/// Largest valid slack.
const MAX_SLACK: f64 = 10.0;
/// Largest valid weight of a node.
const MAX_WEIGHT: f64 = 1000.0;

// `expecting` keeps the type names in deserialization errors as operators know them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
struct RawLayout {
    version: u32,
    #[serde(default, rename = "shard")]
    shard_size: usize,
    #[serde(default = "default_slack")]
    slack: f64,
    #[serde(default, rename = "strangers")]
    accepts_undeclared_tenants: bool,
    cells: BTreeMap<Name, RawCell>,
    nodes: BTreeMap<Name, RawNode>,
    #[serde(default)]
    tenants: BTreeMap<Name, RawTenant>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, expecting = "struct FileCell")]
struct RawCell {
    #[serde(default)]
    neighbours: Vec<Name>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct FileNode")]
struct RawNode {
    site: Name,
    #[serde(default = "default_weight")]
    weight: f64,
    address: Option<SocketAddr>,
    cell: Option<Name>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct FileTenant")]
struct RawTenant {
    #[serde(default = "default_weight")]
    share: f64,
    cell: Option<Name>,
    split: Option<usize>,
}

fn default_slack() -> f64 {
    DEFAULT_SLACK
}

fn default_weight() -> f64 {
    1.0
}

impl Layout {
    /// Parses the text of a file. `file` is the file's name in errors.
    ///
    /// # Errors
    /// Returns an error for the first invalid field, or if nodes and tenants can't be assigned to
    /// cells under this layout.
    pub fn parse(file: &str, text: &str) -> Result<Layout, ConfigFileError> {
        let source = Source {
            file,
            positions: FieldPositions::scan(text),
        };
        let raw = source.deserialize(text)?;
        source.check(&raw)?;
        let layout = raw.into_layout();
        // Some errors are only detected when nodes and tenants are assigned.
        CellMap::from_layout(&layout).map_err(|error| source.layout_error(&error))?;
        Ok(layout)
    }
}

/// The file being parsed: its name and the line of each field, for error messages.
struct Source<'a> {
    file: &'a str,
    positions: FieldPositions,
}

impl Source<'_> {
    fn error(&self, path: &[&str], message: impl Into<String>) -> ConfigFileError {
        ConfigFileError {
            file: self.file.to_string(),
            line: self.positions.line(path),
            field: path.join("."),
            message: message.into(),
        }
    }

    fn deserialize(&self, text: &str) -> Result<RawLayout, ConfigFileError> {
        json5::from_str(text).map_err(|error| {
            ConfigFileError::from_json5_with_field(self.file, &error, &self.positions)
        })
    }

    fn check(&self, raw: &RawLayout) -> Result<(), ConfigFileError> {
        if let Some(duplicate) = self.positions.duplicate() {
            return Err(ConfigFileError {
                file: self.file.to_string(),
                line: Some(duplicate.line),
                field: duplicate.field.clone(),
                message: "is defined more than once".into(),
            });
        }
        if raw.version != FORMAT_VERSION {
            let message = format!(
                "{} is not supported, expected {FORMAT_VERSION}",
                raw.version
            );
            return Err(self.error(&["version"], message));
        }
        if !(0.0..=MAX_SLACK).contains(&raw.slack) {
            return Err(self.error(&["slack"], format!("is not from 0 to {MAX_SLACK}")));
        }
        self.check_cells(raw)?;
        self.check_nodes(raw)?;
        self.check_tenants(raw)
    }

    fn check_cell_exists(
        &self,
        raw: &RawLayout,
        path: &[&str],
        cell: &Name,
    ) -> Result<(), ConfigFileError> {
        if raw.cells.contains_key(cell) {
            return Ok(());
        }
        Err(self.error(path, format!("there is no cell {cell}")))
    }

    fn check_cells(&self, raw: &RawLayout) -> Result<(), ConfigFileError> {
        for (name, cell) in &raw.cells {
            let path = ["cells", name, "neighbours"];
            for neighbour in &cell.neighbours {
                self.check_cell_exists(raw, &path, neighbour)?;
                if neighbour == name {
                    return Err(self.error(&path, "a cell can't be its own neighbour"));
                }
            }
        }
        Ok(())
    }

    fn check_nodes(&self, raw: &RawLayout) -> Result<(), ConfigFileError> {
        let mut addresses = BTreeMap::new();
        for (name, node) in &raw.nodes {
            if !(node.weight > 0.0 && node.weight <= MAX_WEIGHT) {
                let message = format!("is not above 0 and at most {MAX_WEIGHT}");
                return Err(self.error(&["nodes", name, "weight"], message));
            }
            if node.site.is_empty() {
                return Err(self.error(&["nodes", name, "site"], "is empty"));
            }
            if let Some(cell) = &node.cell {
                self.check_cell_exists(raw, &["nodes", name, "cell"], cell)?;
            }
            let other = node
                .address
                .and_then(|address| addresses.insert(address, name));
            if let Some(other) = other {
                let message = format!("is also the address of node {other}");
                return Err(self.error(&["nodes", name, "address"], message));
            }
        }
        Ok(())
    }

    fn check_tenants(&self, raw: &RawLayout) -> Result<(), ConfigFileError> {
        for (name, tenant) in &raw.tenants {
            if !(tenant.share > 0.0 && tenant.share.is_finite()) {
                return Err(self.error(&["tenants", name, "share"], "is not above 0"));
            }
            let split_path = ["tenants", name, "split"];
            if tenant.cell.is_some() && tenant.split.is_some() {
                return Err(self.error(&split_path, "can't be combined with `cell`"));
            }
            if let Some(cell) = &tenant.cell {
                self.check_cell_exists(raw, &["tenants", name, "cell"], cell)?;
            }
            let cells = raw.cells.len();
            if tenant.split.is_some_and(|split| split < 2 || split > cells) {
                let message = format!("is not from 2 to {cells}, the number of cells");
                return Err(self.error(&split_path, message));
            }
        }
        Ok(())
    }

    /// Locates an error of the whole layout at the cell or tenant that it concerns.
    fn layout_error(&self, error: &LayoutError) -> ConfigFileError {
        let message = error.to_string();
        match error {
            LayoutError::NoCells => self.error(&["cells"], message),
            LayoutError::NoNodes(cell) | LayoutError::OneSite { cell, .. } => {
                self.error(&["cells", cell], message)
            }
            LayoutError::UnknownCell {
                referrer: tenant, ..
            }
            | LayoutError::TooManyShards { tenant, .. }
            | LayoutError::NoCapacity(tenant)
            | LayoutError::CellInUse { tenant, .. } => self.error(&["tenants", tenant], message),
        }
    }
}

impl RawLayout {
    fn into_layout(self) -> Layout {
        Layout {
            shard_size: self.shard_size,
            slack: self.slack,
            accepts_undeclared_tenants: self.accepts_undeclared_tenants,
            cells: convert_values(self.cells),
            nodes: convert_values(self.nodes),
            tenants: convert_values(self.tenants),
        }
    }
}

fn convert_values<Raw, Spec: From<Raw>>(raw: BTreeMap<Name, Raw>) -> BTreeMap<Name, Spec> {
    raw.into_iter()
        .map(|(name, value)| (name, value.into()))
        .collect()
}

impl From<RawCell> for CellSpec {
    fn from(raw: RawCell) -> CellSpec {
        CellSpec {
            neighbours: raw.neighbours,
        }
    }
}

impl From<RawNode> for NodeSpec {
    fn from(raw: RawNode) -> NodeSpec {
        NodeSpec {
            site: raw.site,
            weight: raw.weight,
            address: raw.address,
            cell: raw.cell,
        }
    }
}

impl From<RawTenant> for TenantSpec {
    fn from(raw: RawTenant) -> TenantSpec {
        let placement = match (raw.cell, raw.split) {
            (Some(cell), _) => Placement::Cell(cell),
            (None, Some(shards)) => Placement::Split(shards),
            (None, None) => Placement::Free,
        };
        TenantSpec {
            share: raw.share,
            placement,
        }
    }
}
