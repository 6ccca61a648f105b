//! Which tenants are this node's, where cells are in force.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use cells::map::{CellMap, Name, Published};
use cells::{FileError, Layout};

/// Why cells can't be put in force.
#[derive(Debug)]
pub enum CellsError {
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file can't be used.
    File(FileError),
    /// The file can't follow the one in force.
    Layout(PathBuf, cells::LayoutError),
    /// This node is not in the file.
    NotInFile(PathBuf, String),
}

impl std::fmt::Display for CellsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CellsError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            CellsError::File(e) => write!(f, "{e}"),
            CellsError::Layout(path, e) => write!(f, "{}: {e}", path.display()),
            CellsError::NotInFile(path, node) => {
                write!(
                    f,
                    "{}: nodes: {node}, this node, is not there",
                    path.display()
                )
            }
        }
    }
}
impl std::error::Error for CellsError {}

/// The cells in force, as a node sees them: the core asks, the main thread puts a newer map in force.
#[derive(Clone)]
pub struct Confinement {
    node: Name,
    file: PathBuf,
    map: Arc<Published>,
}

impl Confinement {
    /// Reads the file of cells for the node of this name.
    pub fn read(file: &Path, node: &str) -> Result<Confinement, CellsError> {
        let own = Confinement {
            node: node.into(),
            file: file.to_path_buf(),
            map: Arc::default(),
        };
        own.reload()?;
        Ok(own)
    }

    /// Reads the file again; one that can't be used changes nothing. The epoch that is in force then.
    pub fn reload(&self) -> Result<u64, CellsError> {
        let text = std::fs::read_to_string(&self.file)
            .map_err(|e| CellsError::Unreadable(self.file.clone(), e))?;
        let layout =
            Layout::parse(&self.file.display().to_string(), &text).map_err(CellsError::File)?;
        let before = self.map.load();
        let (map, _) = before
            .next(&layout)
            .map_err(|e| CellsError::Layout(self.file.clone(), e))?;
        if map.node(&self.node).is_none() {
            return Err(CellsError::NotInFile(
                self.file.clone(),
                self.node.to_string(),
            ));
        }
        self.map.publish(map);
        Ok(self.map.load().epoch())
    }

    /// The epoch as of which this tenant's requests on this subject belong to another cell, or to none; nothing where they
    /// are this node's.
    pub fn elsewhere(&self, tenant: &str, subject: Option<&str>) -> Option<u64> {
        let map: Arc<CellMap> = self.map.load();
        let cell = map.cell_of(tenant, subject);
        let ours = cell.is_some_and(|cell| cell.nodes.iter().any(|n| n.name == self.node));
        (!ours).then(|| map.epoch())
    }
}
