//! Reads configuration files as text.

use std::io;
use std::path::{Path, PathBuf};

/// The error for a file that can't be read. Displayed as `FILE: REASON`.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct UnreadableFile {
    /// The file.
    pub path: PathBuf,
    /// The error of the operating system, or the error for text that is not UTF-8.
    pub source: io::Error,
}

/// Reads a file as text.
///
/// # Errors
/// The file can't be read, or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, UnreadableFile> {
    std::fs::read_to_string(path).map_err(|source| UnreadableFile {
        path: path.to_path_buf(),
        source,
    })
}
