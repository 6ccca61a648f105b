//! The cells in force at a node: which tenants are its own, and which requests it must reject.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use cells::{CellMap, Epoch, Layout, LayoutError, Name, PublishedMap};
use json5_errors::{read_text, ConfigFileError, UnreadableFile};

/// Why a file of cells can't be put in force.
#[derive(Debug, thiserror::Error)]
pub enum CellGuardError {
    /// The file can't be read.
    #[error(transparent)]
    Unreadable(#[from] UnreadableFile),
    /// The file can't be used.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The file can't follow the one in force.
    #[error("{}: {source}", .path.display())]
    Layout {
        /// The file.
        path: PathBuf,
        /// Why.
        source: LayoutError,
    },
    /// This node is not in the file.
    #[error("{}: nodes: {node}, this node, is not there", .path.display())]
    NodeNotInFile {
        /// The file.
        path: PathBuf,
        /// The name of this node.
        node: String,
    },
}

/// The cells in force at a node, shared between threads: the policy's thread checks requests, the main thread reloads
/// the file.
#[derive(Clone)]
pub struct CellGuard {
    node: Name,
    file: PathBuf,
    map: Arc<PublishedMap>,
}

impl CellGuard {
    /// Reads the file of cells for the node of this name.
    ///
    /// # Errors
    /// The file can't be read or used, or does not name the node.
    pub fn read(file: &Path, node: &str) -> Result<CellGuard, CellGuardError> {
        let guard = CellGuard {
            node: node.into(),
            file: file.to_path_buf(),
            map: Arc::default(),
        };
        guard.reload()?;
        Ok(guard)
    }

    /// Reads the file again and returns the epoch in force afterwards. A file that can't be used changes nothing.
    ///
    /// # Errors
    /// The file can't be read or used, can't follow the map in force, or does not name this node.
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

    /// Checks whether this node's cell serves the tenant's requests on this subject. If not, returns the epoch as of
    /// which another cell does, or none at all.
    pub fn wrong_cell_epoch(&self, tenant: &str, subject: Option<&str>) -> Option<Epoch> {
        let map: Arc<CellMap> = self.map.load();
        let is_own_cell = map
            .cell_for(tenant, subject)
            .is_some_and(|cell| cell.nodes.iter().any(|node| node.name == self.node));
        (!is_own_cell).then(|| map.epoch())
    }
}
