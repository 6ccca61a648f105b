//! Starts a node as a child process with injected faults.
#![allow(dead_code)] // Each test program uses only some of these items.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;
use tempfile::TempDir;
use test_doubles::{node_command, wait_until, FakePeers, Node, ScratchFile};

/// Length of the fault file and offsets of its fields, in bytes.
const FAULT_FILE_BYTES: u64 = 16;
const CLOCK_STEP_OFFSET: u64 = 0;
const ACCEPT_ERROR_OFFSET: u64 = 8;
const FAILED_ACCEPTS_OFFSET: u64 = 12;

/// The faults of a process, which a test can change while the process runs.
pub(crate) struct Faults {
    file: File,
    directory: TempDir,
}

impl Faults {
    /// Creates a fault file that sets no faults.
    pub(crate) fn new() -> Faults {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let path = directory.path().join("faults");
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create_new(true);
        let file = file.open(path).expect("a fault file");
        file.set_len(FAULT_FILE_BYTES)
            .expect("the file can be extended");
        Faults { file, directory }
    }

    /// Preloads the library into the process of this command and passes it the fault file.
    pub(crate) fn add_to(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("FAULT_FILE", self.directory.path().join("faults"));
    }

    /// Sets the number of milliseconds by which the wall clock is ahead of the system's.
    pub(crate) fn set_clock_step_ms(&self, step_ms: i64) {
        self.write(CLOCK_STEP_OFFSET, &(step_ms * 1000).to_ne_bytes());
    }

    /// Sets the `errno` that each call of `accept4` fails with; 0 for none.
    pub(crate) fn set_accept_error(&self, error: i32) {
        self.write(ACCEPT_ERROR_OFFSET, &error.to_ne_bytes());
    }

    /// Returns the number of calls of `accept4` that have failed with an injected error.
    pub(crate) fn failed_accepts(&self) -> u32 {
        let mut bytes = [0; 4];
        let read = self.file.read_exact_at(&mut bytes, FAILED_ACCEPTS_OFFSET);
        read.expect("the field can be read");
        u32::from_ne_bytes(bytes)
    }

    fn write(&self, offset: u64, bytes: &[u8]) {
        self.file
            .write_all_at(bytes, offset)
            .expect("the field can be written");
    }
}

/// Starts a node with a changed configuration, waits until it listens, and returns it with its
/// faults.
pub(crate) fn start_node(change: impl FnOnce(&mut Value)) -> (Node, Faults) {
    let faults = Faults::new();
    let peers = FakePeers::start();
    let mut config = peers.node_config();
    change(&mut config);
    let file = ScratchFile::new("config.json", &config.to_string());
    let mut command = node_command(&file);
    faults.add_to(&mut command);
    let mut node = Node::spawn_command(command, peers, file);
    wait_until("the node listens", || {
        node.logged_address("listening").is_some()
    });
    node.address = node.logged_address("listening").expect("a logged address");
    (node, faults)
}

/// Returns the path of the library, which cargo builds into the same directory as this test.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test");
    let library = test.with_file_name("libfault_injection.so");
    assert!(library.exists(), "{} is missing", library.display());
    library
}
