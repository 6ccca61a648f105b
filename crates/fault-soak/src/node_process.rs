//! A node as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use test_doubles::{try_node_command, ScratchFile};

use crate::error::SoakError;

/// Time between two checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process of a node, which is killed when the value is dropped.
pub(crate) struct NodeProcess {
    process: Child,
    log: Arc<Mutex<String>>,
    config: ScratchFile,
}

impl NodeProcess {
    /// Starts a process with this configuration, in a file of this name.
    pub(crate) fn start(name: &str, config: &Value) -> Result<NodeProcess, SoakError> {
        let config = ScratchFile::try_new(name, &config.to_string())?;
        let mut process = try_node_command(&config)?
            .spawn()
            .map_err(SoakError::system("start the program"))?;
        let log = Arc::new(Mutex::new(String::new()));
        if let Some(stderr) = process.stderr.take() {
            let log = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                    log.push_str(&line);
                    log.push('\n');
                }
            });
        }
        Ok(NodeProcess {
            process,
            log,
            config,
        })
    }

    /// Returns the log of the process so far.
    pub(crate) fn log(&self) -> String {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until the process listens for clients, and returns its address.
    pub(crate) fn wait_for_address(&mut self, timeout: Duration) -> Result<SocketAddr, SoakError> {
        let deadline = Instant::now() + timeout;
        loop {
            let log = self.log();
            let address = log.lines().find_map(|line| {
                let rest = line.split("listening, at: ").nth(1)?;
                rest.split(',').next()?.parse().ok()
            });
            if let Some(address) = address {
                return Ok(address);
            }
            if Instant::now() > deadline || self.status().is_some() {
                return Err(SoakError::NotStarted(log));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal, named without `SIG`.
    pub(crate) fn signal(&self, name: &str) {
        // The error for a process that has already exited is ignored.
        let pid = self.process.id();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {pid} 2>/dev/null")])
            .status();
    }

    /// Replaces the configuration, and has the process reload it.
    pub(crate) fn reload(&self, config: &Value) -> Result<(), SoakError> {
        std::fs::write(self.config.path(), config.to_string())
            .map_err(SoakError::system("write the configuration"))?;
        self.signal("HUP");
        Ok(())
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits until the process has exited by itself; returns `None` if it has not by this time.
    pub(crate) fn wait(&mut self, until: Instant) -> Option<ExitStatus> {
        loop {
            let status = self.status();
            if status.is_some() || Instant::now() >= until {
                return status;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process, and waits for its exit.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
