//! Temporary files of a test.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Weak};

use tempfile::TempDir;

use crate::error::{expect_ok, TestDoubleError};

thread_local! {
    /// The folder of the test that runs on this thread, as long as the test has files.
    static FOLDER: RefCell<Weak<TempDir>> = const { RefCell::new(Weak::new()) };
}

/// A file in a temporary folder that all files of the same thread share, and therefore of the
/// same test. The file is removed when the value is dropped, the folder with the last file.
///
/// The nodes of a test have this folder as their `TMPDIR`, so that they share their lock files.
pub struct ScratchFile {
    path: PathBuf,
    folder: Arc<TempDir>,
}

impl ScratchFile {
    /// Writes a file; panics if that fails.
    pub fn new(name: &str, text: &str) -> ScratchFile {
        expect_ok(ScratchFile::try_new(name, text))
    }

    /// Writes a file.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the folder or the file can't be written.
    pub fn try_new(name: &str, text: &str) -> Result<ScratchFile, TestDoubleError> {
        let folder = shared_folder()?;
        let path = folder.path().join(name);
        std::fs::write(&path, text).map_err(TestDoubleError::io(path.display().to_string()))?;
        Ok(ScratchFile { path, folder })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the folder of the test.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Returns the folder of this thread, and creates it if there is none.
fn shared_folder() -> Result<Arc<TempDir>, TestDoubleError> {
    FOLDER.with_borrow_mut(|current| {
        if let Some(folder) = current.upgrade() {
            return Ok(folder);
        }
        let folder = tempfile::Builder::new()
            .prefix("protocol-gateway-")
            .tempdir()
            .map_err(TestDoubleError::io("creating a temporary folder"))?;
        let folder = Arc::new(folder);
        *current = Arc::downgrade(&folder);
        Ok(folder)
    })
}
