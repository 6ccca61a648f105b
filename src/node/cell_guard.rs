//! The cell layout in force at a node, which determines the requests that the node must reject
//! because their tenant belongs to another cell.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use cells::{CellMap, Epoch, Layout, LayoutError, Name, PublishedMap};
use json5_errors::{read_text, ConfigFileError, UnreadableFile};

/// Why a cells file can't be put in force.
#[derive(Debug, thiserror::Error)]
pub enum CellGuardError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The file can't be used.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The file is not a valid successor of the one in force.
    #[error("{}: {source}", .path.display())]
    Layout {
        /// The path of the file.
        path: PathBuf,
        /// Why the layout was rejected.
        source: LayoutError,
    },
    /// This node is not in the file.
    #[error("{}: nodes: this node, {node}, is not listed", .path.display())]
    NodeNotInFile {
        /// The path of the file.
        path: PathBuf,
        /// The name of this node.
        node: String,
    },
}

/// The cell layout in force at a node. It is shared between threads: the policy's thread checks
/// requests against it, and the main thread reloads the file.
#[derive(Clone)]
pub struct CellGuard {
    node: Name,
    file: PathBuf,
    map: Arc<PublishedMap>,
}

impl CellGuard {
    /// Reads the cells file for the node of this name.
    ///
    /// # Errors
    /// The file can't be read, is invalid or does not list the node.
    pub fn read(file: &Path, node: &str) -> Result<CellGuard, CellGuardError> {
        let guard = CellGuard {
            node: node.into(),
            file: file.to_path_buf(),
            map: Arc::default(),
        };
        guard.reload()?;
        Ok(guard)
    }

    /// Reads the file again and returns the epoch in force afterwards. After an error the previous
    /// layout stays in force.
    ///
    /// # Errors
    /// The file can't be read, is invalid, is not a valid successor of the map in force, or does
    /// not list this node.
    pub fn reload(&self) -> Result<Epoch, CellGuardError> {
        let text = read_text(&self.file)?;
        let layout = Layout::parse(&self.file.display().to_string(), &text)?;
        let map = self
            .map
            .load()
            .apply_layout(&layout)
            .map_err(|source| CellGuardError::Layout {
                path: self.file.clone(),
                source,
            })?
            .map;
        if map.node(&self.node).is_none() {
            return Err(CellGuardError::NodeNotInFile {
                path: self.file.clone(),
                node: self.node.to_string(),
            });
        }
        self.map.publish(map);
        Ok(self.map.load().epoch())
    }

    /// Checks whether this node's cell serves the tenant's requests on this subject. Returns `None`
    /// if it does, and the epoch of the map in force if another cell or no cell does.
    pub fn wrong_cell_epoch(&self, tenant: &str, subject: Option<&str>) -> Option<Epoch> {
        let map: Arc<CellMap> = self.map.load();
        let is_own_cell = map
            .cell_for(tenant, subject)
            .is_some_and(|cell| cell.nodes.iter().any(|node| node.name == self.node));
        (!is_own_cell).then(|| map.epoch())
    }
}
