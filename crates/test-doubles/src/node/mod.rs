//! A node as a child process, with test doubles of its peers.

mod start;
mod usage;

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::client::TestClient;
use crate::database::FakeDatabase;
use crate::endpoint_list::FakeEndpointList;
use crate::error::{expect_ok, TestDoubleError};
use crate::executor::FakeExecutor;
use crate::scratch_file::ScratchFile;
use crate::waiting::{lock_state, try_wait_until};

pub use usage::ProcessUsage;

/// Test doubles of the services that a node uses.
#[derive(Clone)]
pub struct FakePeers {
    /// The executor.
    pub executor: FakeExecutor,
    /// The database.
    pub database: FakeDatabase,
    /// The endpoint list service.
    pub endpoint_list: FakeEndpointList,
}

/// A node as a child process, which is killed when the value is dropped.
pub struct Node {
    /// The executor of the node.
    pub executor: FakeExecutor,
    /// The database of the node.
    pub database: FakeDatabase,
    /// The endpoint list service of the node.
    pub endpoint_list: FakeEndpointList,
    /// The address that the node listens on for clients; port 0 until it is known.
    pub address: SocketAddr,
    /// The process.
    pub process: Child,
    log: Arc<Mutex<String>>,
    config: ScratchFile,
}

impl Node {
    /// Returns the address in the first log line of the form `MESSAGE, at: ADDRESS`.
    pub fn logged_address(&self, message: &str) -> Option<SocketAddr> {
        let prefix = format!("{message}, at: ");
        let log = lock_state(&self.log);
        log.lines().find_map(|line| {
            let rest = line.split(&prefix).nth(1)?;
            rest.split(',').next()?.parse().ok()
        })
    }

    /// Returns the address of the node's admin server; panics if the node has logged none.
    pub fn admin_address(&self) -> SocketAddr {
        expect_ok(self.try_admin_address())
    }

    /// Returns the address of the node's admin server.
    ///
    /// # Errors
    /// [`TestDoubleError::Missing`] if the node has logged none.
    pub fn try_admin_address(&self) -> Result<SocketAddr, TestDoubleError> {
        self.logged_address("admin")
            .ok_or(TestDoubleError::Missing("the node's admin address"))
    }

    /// Opens a client connection; panics if the node does not listen.
    pub fn connect(&self) -> TestClient {
        TestClient::connect(self.address)
    }

    /// Returns the log of the node so far.
    pub fn log(&self) -> String {
        lock_state(&self.log).clone()
    }

    /// Returns the resource usage of the process; panics if the process does not run.
    pub fn usage(&self) -> ProcessUsage {
        expect_ok(ProcessUsage::read(self.process.id()))
    }

    /// Kills the process and waits for its exit; panics if that fails.
    pub fn kill(&mut self) {
        expect_ok(self.try_kill());
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the operating system refuses.
    pub fn try_kill(&mut self) -> Result<(), TestDoubleError> {
        self.process
            .kill()
            .and_then(|()| self.process.wait())
            .map(drop)
            .map_err(TestDoubleError::io("killing the node"))
    }

    /// Sends SIGTERM, which starts the graceful shutdown; panics if that fails.
    pub fn terminate(&self) {
        expect_ok(self.send_signal("TERM"));
    }

    /// Replaces the configuration file, and has the node reload it.
    ///
    /// # Panics
    /// Panics if the file can't be written or the signal can't be sent.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.config.path(), config).expect("the configuration can be written");
        expect_ok(self.send_signal("HUP"));
    }

    /// Sends the process a signal, named without `SIG`.
    ///
    /// # Errors
    /// [`TestDoubleError::Signal`] if the process no longer exists.
    pub fn send_signal(&self, signal: &str) -> Result<(), TestDoubleError> {
        let pid = self.process.id();
        let status = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {pid}")])
            .status()
            .map_err(TestDoubleError::io("running kill"))?;
        if status.success() {
            return Ok(());
        }
        let signal = signal.to_string();
        Err(TestDoubleError::Signal { signal, pid })
    }

    /// Waits until the process exits by itself; panics if it does not within 20 s.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        expect_ok(self.try_wait_for_exit())
    }

    /// Waits until the process exits by itself.
    ///
    /// # Errors
    /// [`TestDoubleError::Timeout`] if it does not within 20 s.
    pub fn try_wait_for_exit(&mut self) -> Result<ExitStatus, TestDoubleError> {
        let mut status = Ok(None);
        try_wait_until("the node exits", || {
            status = self.process.try_wait();
            !matches!(status, Ok(None))
        })?;
        let status = status.map_err(TestDoubleError::io("waiting for the node"))?;
        status.ok_or(TestDoubleError::Missing("the node's exit status"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if thread::panicking() {
            eprintln!("the node's log:\n{}", self.log());
        }
    }
}
