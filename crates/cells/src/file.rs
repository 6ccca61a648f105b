//! The operators' file of cells, nodes and tenants, in JSON5. What can't be used is told with file, line and field.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::map::{LayoutError, Name, Node};

/// What the operators ask for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Nodes of a cell that serve one tenant; 0 for all.
    pub shard: usize,
    /// How far above its part by weight a cell may be filled with declared shares: 0.25 is a quarter.
    pub slack: f64,
    /// Whether tenants that are not declared have a place, by their hash alone.
    pub strangers: bool,
    /// The cells.
    pub cells: BTreeMap<Name, CellSpec>,
    /// The nodes.
    pub nodes: BTreeMap<Name, NodeSpec>,
    /// The tenants.
    pub tenants: BTreeMap<Name, TenantSpec>,
}

/// A cell as declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSpec {
    /// Cells that take over reads while it is degraded, the first first.
    pub neighbours: Vec<Name>,
}

/// A node as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Where it stands.
    pub site: Name,
    /// What it can do beside others.
    pub weight: f64,
    /// Where it takes requests.
    pub address: Option<SocketAddr>,
    /// The cell it is to live in; where it lives already, or the lightest, if none is named.
    pub cell: Option<Name>,
}

impl NodeSpec {
    pub(crate) fn node(&self, name: &Name, cell: &Name) -> Node {
        let (site, cell) = (self.site.clone(), cell.clone());
        Node {
            name: name.clone(),
            site,
            weight: self.weight,
            address: self.address,
            cell,
        }
    }
}

/// A tenant as declared.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Its part of all that is declared.
    pub share: f64,
    /// Where it is to live.
    pub placement: Placement,
}

/// Where a tenant is to live.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Wherever its hash and the room say.
    Free,
    /// In this cell.
    Cell(Name),
    /// In so many cells, by subject.
    Split(usize),
}

/// Why a file can't be used: one line, with where.
#[derive(Clone, Debug, PartialEq)]
pub struct FileError {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1; none where the file is at fault as a whole.
    pub line: Option<usize>,
    /// The field, with dots between its names; empty where none is.
    pub field: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.what)
    }
}
impl std::error::Error for FileError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    #[serde(default)]
    shard: usize,
    #[serde(default = "quarter")]
    slack: f64,
    #[serde(default)]
    strangers: bool,
    cells: BTreeMap<Name, FileCell>,
    nodes: BTreeMap<Name, FileNode>,
    #[serde(default)]
    tenants: BTreeMap<Name, FileTenant>,
}
fn quarter() -> f64 {
    0.25
}
fn one() -> f64 {
    1.0
}
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct FileCell {
    #[serde(default)]
    neighbours: Vec<Name>,
}
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileNode {
    site: Name,
    #[serde(default = "one")]
    weight: f64,
    address: Option<SocketAddr>,
    cell: Option<Name>,
}
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileTenant {
    #[serde(default = "one")]
    share: f64,
    cell: Option<Name>,
    split: Option<usize>,
}

impl Layout {
    /// Reads the text of a file, under the name that errors give it.
    pub fn parse(file: &str, text: &str) -> Result<Layout, FileError> {
        let lines = Lines::of(text);
        let error = |field: &[&str], what: String| FileError {
            file: file.to_string(),
            line: lines.at(field),
            field: field.join("."),
            what,
        };
        let read: File = json5::from_str(text).map_err(|e| {
            let line = e.position().map(|at| at.line + 1);
            let what = e.to_string();
            // The position is told apart from the words.
            let what = what.split(" at line ").next().unwrap_or(&what).to_string();
            FileError {
                file: file.to_string(),
                line,
                field: line.map_or(String::new(), |l| lines.field(l)),
                what,
            }
        })?;
        if let Some((first, second)) = &lines.twice {
            return Err(FileError {
                file: file.to_string(),
                line: Some(*second),
                field: first.clone(),
                what: "stands here a second time".into(),
            });
        }
        if read.version != 1 {
            return Err(error(
                &["version"],
                format!("{} is not known here: 1 is", read.version),
            ));
        }
        if !(0.0..=10.0).contains(&read.slack) {
            return Err(error(&["slack"], "is not from 0 to 10".into()));
        }
        let name_of_cell = |path: &[&str], cell: &Name| {
            if read.cells.contains_key(cell) {
                Ok(())
            } else {
                Err(error(path, format!("there is no cell {cell}")))
            }
        };
        for (name, cell) in &read.cells {
            for neighbour in &cell.neighbours {
                name_of_cell(&["cells", name, "neighbours"], neighbour)?;
                if neighbour == name {
                    return Err(error(
                        &["cells", name, "neighbours"],
                        "a cell is no neighbour of its own".into(),
                    ));
                }
            }
        }
        let mut addresses = BTreeMap::new();
        for (name, node) in &read.nodes {
            if !(node.weight > 0.0 && node.weight <= 1000.0) {
                return Err(error(
                    &["nodes", name, "weight"],
                    "is not above 0 and at most 1000".into(),
                ));
            }
            if node.site.is_empty() {
                return Err(error(&["nodes", name, "site"], "is empty".into()));
            }
            if let Some(cell) = &node.cell {
                name_of_cell(&["nodes", name, "cell"], cell)?;
            }
            if let Some(other) = node.address.and_then(|at| addresses.insert(at, name)) {
                return Err(error(
                    &["nodes", name, "address"],
                    format!("is that of {other} too"),
                ));
            }
        }
        let mut tenants = BTreeMap::new();
        for (name, tenant) in &read.tenants {
            if !(tenant.share > 0.0 && tenant.share.is_finite()) {
                return Err(error(&["tenants", name, "share"], "is not above 0".into()));
            }
            let placement = match (&tenant.cell, tenant.split) {
                (Some(_), Some(_)) => {
                    return Err(error(
                        &["tenants", name, "split"],
                        "stands beside a cell: one of the two".into(),
                    ));
                }
                (Some(cell), None) => {
                    name_of_cell(&["tenants", name, "cell"], cell)?;
                    Placement::Cell(cell.clone())
                }
                (None, Some(shards)) if shards < 2 || shards > read.cells.len() => {
                    let most = read.cells.len();
                    return Err(error(
                        &["tenants", name, "split"],
                        format!("is not from 2 to {most}, the cells there are"),
                    ));
                }
                (None, Some(shards)) => Placement::Split(shards),
                (None, None) => Placement::Free,
            };
            tenants.insert(
                name.clone(),
                TenantSpec {
                    share: tenant.share,
                    placement,
                },
            );
        }
        let cells = read.cells.into_iter().map(|(name, c)| {
            (
                name,
                CellSpec {
                    neighbours: c.neighbours,
                },
            )
        });
        let spec = |n: FileNode| NodeSpec {
            site: n.site,
            weight: n.weight,
            address: n.address,
            cell: n.cell,
        };
        let layout = Layout {
            shard: read.shard,
            slack: read.slack,
            strangers: read.strangers,
            cells: cells.collect(),
            nodes: read
                .nodes
                .into_iter()
                .map(|(name, node)| (name, spec(node)))
                .collect(),
            tenants,
        };
        // What only shows when all is put together.
        layout.check().map_err(|e| {
            let field = match &e {
                LayoutError::NoCells => vec!["cells".to_string()],
                LayoutError::NoNodes(cell) | LayoutError::OneSite(cell, _) => {
                    vec!["cells".into(), cell.to_string()]
                }
                LayoutError::NoSuchCell(who, _)
                | LayoutError::TooManyShards(who, ..)
                | LayoutError::NoRoom(who)
                | LayoutError::Inhabited(_, who) => vec!["tenants".into(), who.to_string()],
            };
            let field: Vec<&str> = field.iter().map(String::as_str).collect();
            error(&field, e.to_string())
        })?;
        Ok(layout)
    }

    /// Whether a map can be made of it from nothing.
    pub fn check(&self) -> Result<(), LayoutError> {
        crate::map::CellMap::default().next(self).map(drop)
    }
}

/// On which line each field of a JSON5 text stands. It looks at names and brackets alone: whether the text is right is
/// for the parser to say.
struct Lines {
    fields: BTreeMap<String, usize>,
    /// A field that stands twice in its object, and the line of the second: the parser would let the later one win.
    twice: Option<(String, usize)>,
}

impl Lines {
    fn of(text: &str) -> Lines {
        let mut lines = Lines {
            fields: BTreeMap::new(),
            twice: None,
        };
        // The names of the objects that are open, and the name that was read last; a list has no names.
        let mut path: Vec<Option<String>> = Vec::new();
        let mut name = String::new();
        let mut named_on = 1;
        let mut line = 1;
        let mut chars = text.chars().peekable();
        while let Some(c) = chars.next() {
            match c {
                '\n' => line += 1,
                '/' if chars.peek() == Some(&'/') => {
                    while chars.next_if(|c| *c != '\n').is_some() {}
                }
                '/' if chars.peek() == Some(&'*') => {
                    let mut before = ' ';
                    chars.next();
                    for c in chars.by_ref() {
                        line += usize::from(c == '\n');
                        if before == '*' && c == '/' {
                            break;
                        }
                        before = c;
                    }
                }
                '"' | '\'' => {
                    name.clear();
                    named_on = line;
                    while let Some(inner) = chars.next() {
                        match inner {
                            '\\' => {
                                line += usize::from(chars.next() == Some('\n'));
                            }
                            end if end == c => break,
                            other => {
                                line += usize::from(other == '\n');
                                name.push(other);
                            }
                        }
                    }
                }
                ':' => {
                    let field = Lines::join(&path, &name);
                    if lines.fields.insert(field.clone(), named_on).is_some()
                        && lines.twice.is_none()
                    {
                        lines.twice = Some((field, named_on));
                    }
                }
                '{' | '[' => {
                    path.push(
                        Some(std::mem::take(&mut name)).filter(|_| c == '{' || !path.is_empty()),
                    );
                }
                '}' | ']' => {
                    path.pop();
                    name.clear();
                }
                ',' => name.clear(),
                c if c.is_whitespace() => {}
                c => {
                    name.clear();
                    named_on = line;
                    name.push(c);
                    while let Some(c) =
                        chars.next_if(|c| !c.is_whitespace() && !",:{}[]/\"'".contains(*c))
                    {
                        name.push(c);
                    }
                }
            }
        }
        lines
    }
    fn join(path: &[Option<String>], name: &str) -> String {
        let outer = path
            .iter()
            .flatten()
            .map(String::as_str)
            .filter(|name| !name.is_empty());
        outer.chain([name]).collect::<Vec<_>>().join(".")
    }
    /// The line of a field, or of the nearest that holds it.
    fn at(&self, field: &[&str]) -> Option<usize> {
        (1..=field.len())
            .rev()
            .find_map(|n| self.fields.get(&field[..n].join(".")))
            .copied()
    }
    /// The last field that begins on this line or before it.
    fn field(&self, line: usize) -> String {
        let before = self.fields.iter().filter(|(_, on)| **on <= line);
        before
            .max_by_key(|(field, on)| (**on, field.len()))
            .map_or(String::new(), |(field, _)| field.clone())
    }
}
