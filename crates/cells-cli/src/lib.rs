//! `protocol-gateway cells`: what operators ask of the file of cells before anything happens by it.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::path::{Path, PathBuf};

use cells::map::{CellMap, Migration, Place};
use cells::{FileError, Layout, LayoutError};
use clap::{Args, Subcommand};

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Cells {
    /// Tell whether a file can be used: one line, or none, and a non-zero exit.
    Check(File),
    /// Show the cells, their nodes and their part of the tenants.
    Show {
        /// The file of cells.
        #[command(flatten)]
        file: File,
        /// Only where this tenant lives, and which nodes serve it.
        #[arg(long)]
        tenant: Option<String>,
        /// Of a tenant that is split, where this subject lives.
        #[arg(long, requires = "tenant")]
        subject: Option<String>,
    },
    /// Show what would move if a changed file took the place of the one in force. Nothing is changed by it.
    Plan {
        /// The file in force.
        #[arg(value_name = "NOW")]
        now: PathBuf,
        /// The changed file.
        #[arg(value_name = "CHANGED")]
        changed: PathBuf,
        /// List every tenant that would move, not only how many.
        #[arg(long)]
        all: bool,
    },
}

/// A file of cells.
#[derive(Args, Debug)]
pub struct File {
    /// The file of cells, in JSON5.
    #[arg(value_name = "FILE", default_value = "deploy/cells.json5")]
    path: PathBuf,
}

/// Why a command has no answer.
#[derive(Debug)]
pub enum CellsError {
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file can't be used.
    File(FileError),
    /// The changed file can't follow the one in force.
    Layout(PathBuf, LayoutError),
    /// No cell serves this tenant.
    NoSuchTenant(String),
}

impl fmt::Display for CellsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CellsError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            CellsError::File(e) => write!(f, "{e}"),
            CellsError::Layout(path, e) => write!(f, "{}: {e}", path.display()),
            CellsError::NoSuchTenant(name) => write!(f, "no cell serves {name}"),
        }
    }
}
impl std::error::Error for CellsError {}

/// The layout that a file asks for.
fn read(path: &Path) -> Result<Layout, CellsError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| CellsError::Unreadable(path.to_path_buf(), e))?;
    Layout::parse(&path.display().to_string(), &text).map_err(CellsError::File)
}

fn next(map: &CellMap, path: &Path) -> Result<(CellMap, Vec<Migration>), CellsError> {
    map.next(&read(path)?)
        .map_err(|e| CellsError::Layout(path.to_path_buf(), e))
}

/// Runs a command; what it tells.
pub fn run(command: &Cells) -> Result<String, CellsError> {
    match command {
        Cells::Check(file) => read(&file.path).map(|_| String::new()),
        Cells::Show {
            file, tenant: None, ..
        } => Ok(show(&next(&CellMap::default(), &file.path)?.0)),
        Cells::Show {
            file,
            tenant: Some(tenant),
            subject,
        } => {
            let map = next(&CellMap::default(), &file.path)?.0;
            let none = || CellsError::NoSuchTenant(tenant.clone());
            let cell = map.cell_of(tenant, subject.as_deref()).ok_or_else(none)?;
            let nodes: Vec<&str> = map.shard(cell, tenant).iter().map(|n| &*n.name).collect();
            Ok(format!(
                "{tenant}: cell {}, nodes {}\n",
                cell.name,
                nodes.join(" ")
            ))
        }
        Cells::Plan { now, changed, all } => {
            let before = next(&CellMap::default(), now)?.0;
            let (after, migrations) = next(&before, changed)?;
            Ok(plan(&before, &after, &migrations, *all))
        }
    }
}

fn show(map: &CellMap) -> String {
    let mut tenants: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, home) in map.tenants() {
        home.place
            .cells()
            .iter()
            .for_each(|cell| *tenants.entry(cell).or_default() += 1);
    }
    let mut text = String::new();
    for cell in map.cells() {
        let count = tenants.get(&*cell.name).copied().unwrap_or(0);
        let neighbours = if cell.neighbours.is_empty() {
            "none".into()
        } else {
            cell.neighbours.join(" ")
        };
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{}: weight {}, tenants {count}, neighbours {neighbours}",
            cell.name,
            cell.weight()
        );
        for node in &cell.nodes {
            let at = node
                .address
                .map(|at| format!(" at {at}"))
                .unwrap_or_default();
            let _ = writeln!(
                text,
                "  {}: site {}, weight {}{at}",
                node.name, node.site, node.weight
            );
        }
    }
    text
}

fn plan(before: &CellMap, after: &CellMap, migrations: &[Migration], all: bool) -> String {
    let mut text = String::new();
    for cell in after.cells() {
        let had = |node: &str| before.node(node).map(|n| &n.cell);
        for node in &cell.nodes {
            match had(&node.name) {
                None => {
                    let _ = writeln!(text, "node {} joins cell {}", node.name, cell.name);
                }
                Some(old) if *old != cell.name => {
                    let _ = writeln!(
                        text,
                        "node {} goes from cell {old} to cell {}",
                        node.name, cell.name
                    );
                }
                Some(_) => {}
            }
        }
    }
    for node in before
        .cells()
        .flat_map(|c| &c.nodes)
        .filter(|n| after.node(&n.name).is_none())
    {
        let _ = writeln!(text, "node {} leaves cell {}", node.name, node.cell);
    }
    let mut ways: BTreeMap<(String, String), usize> = BTreeMap::new();
    let way = |place: &Place| place.to_string();
    for m in migrations {
        if all {
            let _ = writeln!(text, "tenant {}: {} to {}", m.tenant, m.from, m.to);
        }
        *ways.entry((way(&m.from), way(&m.to))).or_default() += 1;
    }
    for ((from, to), count) in &ways {
        let _ = writeln!(text, "{count} from {from} to {to}");
    }
    let tenants = after.tenants().count();
    let _ = writeln!(text, "{} of {tenants} tenants would move", migrations.len());
    text
}
