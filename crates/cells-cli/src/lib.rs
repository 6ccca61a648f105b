//! The `protocol-gateway cells` commands, with which operators check a layout file and preview its
//! effects before they deploy it.

mod plan;
mod show;

use std::path::{Path, PathBuf};

use cells::{AppliedLayout, CellMap, Layout, LayoutError};
use clap::{Args, Subcommand};
use json5_errors::{read_text, ConfigFileError, UnreadableFile};

/// The commands. Their documentation and that of their arguments is the program's help text.
#[derive(Debug, Subcommand)]
pub enum CellsCommand {
    /// Tell whether a file can be used: one line, or none, and a non-zero exit.
    Check(FileArgs),
    /// Show the cells, their nodes and their part of the tenants.
    Show {
        /// The file of cells.
        #[command(flatten)]
        file: FileArgs,
        /// Only where this tenant lives, and which nodes serve it.
        #[arg(long)]
        tenant: Option<String>,
        /// Of a tenant that is split, where this subject lives.
        #[arg(long, requires = "tenant")]
        subject: Option<String>,
    },
    /// Show what would move if a changed file took the place of the one in force. Nothing is
    /// changed by it.
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
pub struct FileArgs {
    /// The file of cells, in JSON5.
    #[arg(value_name = "FILE", default_value = "deploy/cells.json5")]
    path: PathBuf,
}

/// An error of a `cells` command.
#[derive(Debug, thiserror::Error)]
pub enum CellsCommandError {
    /// The layout file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The layout file is invalid.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// A valid layout can't be applied to the map in use, for example because it removes a cell
    /// that has tenants.
    #[error("{}: {source}", .path.display())]
    Layout {
        /// Path of the layout file.
        path: PathBuf,
        /// Cause of the failure.
        source: LayoutError,
    },
    /// No cell serves the requested tenant.
    #[error("no cell serves {0}")]
    UnknownTenant(String),
}

/// Runs a command and returns its output.
///
/// # Errors
/// Returns an error if a file can't be read, a layout is invalid, or no cell serves the requested
/// tenant.
pub fn run(command: &CellsCommand) -> Result<String, CellsCommandError> {
    match command {
        CellsCommand::Check(file) => {
            read_layout(&file.path)?;
            Ok(String::new())
        }
        CellsCommand::Show {
            file,
            tenant,
            subject,
        } => {
            let map = read_map(&file.path)?;
            match tenant {
                None => Ok(show::format_map(&map)),
                Some(tenant) => show::format_tenant(&map, tenant, subject.as_deref())
                    .ok_or_else(|| CellsCommandError::UnknownTenant(tenant.clone())),
            }
        }
        CellsCommand::Plan { now, changed, all } => {
            let before = read_map(now)?;
            let after = apply_file(&before, changed)?;
            Ok(plan::format_plan(
                &before,
                &after.map,
                &after.migrations,
                *all,
            ))
        }
    }
}

fn read_layout(path: &Path) -> Result<Layout, CellsCommandError> {
    let text = read_text(path)?;
    Ok(Layout::parse(&path.display().to_string(), &text)?)
}

fn read_map(path: &Path) -> Result<CellMap, CellsCommandError> {
    Ok(apply_file(&CellMap::default(), path)?.map)
}

/// Applies the layout of a file to a map.
fn apply_file(map: &CellMap, path: &Path) -> Result<AppliedLayout, CellsCommandError> {
    let layout = read_layout(path)?;
    map.apply_layout(&layout)
        .map_err(|source| CellsCommandError::Layout {
            path: path.to_path_buf(),
            source,
        })
}
