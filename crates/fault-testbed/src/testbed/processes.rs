//! Controls running processes.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use serde_json::json;
use test_doubles::{Node, TestClient};

use super::Testbed;
use crate::error::TestbedError;

impl Testbed {
    /// Returns the running process of this name.
    ///
    /// # Errors
    /// [`TestbedError::UnknownProcess`] or [`TestbedError::NotRunning`] if there is none.
    pub fn try_node(&self, name: &str) -> Result<&Node, TestbedError> {
        self.try_slot(name)?
            .process
            .as_ref()
            .ok_or_else(|| TestbedError::NotRunning(name.into()))
    }

    /// Returns true if the process of this name is running.
    ///
    /// # Errors
    /// [`TestbedError::UnknownProcess`] if none was added.
    pub fn try_is_running(&self, name: &str) -> Result<bool, TestbedError> {
        Ok(self.try_slot(name)?.process.is_some())
    }

    /// Returns the number of requests that the executor of a node has run.
    ///
    /// # Errors
    /// [`TestbedError`] if the name is unknown, or the node violated the executor's protocol.
    pub fn try_total_runs(&self, name: &str) -> Result<usize, TestbedError> {
        let executor = &self.try_slot(name)?.executor;
        executor
            .try_total_runs()
            .map_err(TestbedError::process(name))
    }

    /// Opens a client connection to a process, bypassing the proxy.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running or does not listen.
    pub fn try_connect(&self, name: &str) -> Result<TestClient, TestbedError> {
        TestClient::try_connect(self.try_node(name)?.address).map_err(TestbedError::process(name))
    }

    /// Kills a process with SIGKILL, if it is running.
    ///
    /// # Errors
    /// [`TestbedError`] if the name is unknown, or the process can't be killed.
    pub fn try_kill(&mut self, name: &str) -> Result<(), TestbedError> {
        self.record_event("kill", json!(name));
        let Some(mut node) = self.try_slot_mut(name)?.process.take() else {
            return Ok(());
        };
        node.try_kill().map_err(TestbedError::process(name))
    }

    /// Shuts a process down with SIGTERM, if it is running, and waits until it has exited.
    ///
    /// # Errors
    /// [`TestbedError`] if the name is unknown, or the process does not exit in time.
    pub fn try_shut_down(&mut self, name: &str) -> Result<(), TestbedError> {
        self.record_event("end", json!(name));
        let Some(mut node) = self.try_slot_mut(name)?.process.take() else {
            return Ok(());
        };
        node.send_signal("TERM")
            .and_then(|()| node.try_wait_for_exit())
            .map(drop)
            .map_err(TestbedError::process(name))
    }

    /// Pauses a process with SIGSTOP.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running.
    pub fn try_pause(&mut self, name: &str) -> Result<(), TestbedError> {
        self.record_event("stop", json!(name));
        self.send_signal(name, "STOP")?;
        self.try_slot_mut(name)?.is_paused = true;
        Ok(())
    }

    /// Continues a paused process with SIGCONT.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running.
    pub fn try_unpause(&mut self, name: &str) -> Result<(), TestbedError> {
        self.record_event("continue", json!(name));
        self.send_signal(name, "CONT")?;
        self.try_slot_mut(name)?.is_paused = false;
        Ok(())
    }

    /// Makes a process reload its files, with SIGHUP.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running.
    pub fn try_reload(&mut self, name: &str) -> Result<(), TestbedError> {
        self.record_event("reload", json!(name));
        self.send_signal(name, "HUP")
    }

    fn send_signal(&self, name: &str, signal: &str) -> Result<(), TestbedError> {
        self.try_node(name)?
            .send_signal(signal)
            .map_err(TestbedError::process(name))
    }

    /// Sends a command to a node's admin server, and returns the answer's first line.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running, or the connection fails.
    pub fn try_call_admin(&self, name: &str, command: &str) -> Result<String, TestbedError> {
        let address = self
            .try_node(name)?
            .try_admin_address()
            .map_err(TestbedError::process(name))?;
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(format!("{command}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        let answer = answer.trim();
        self.record_event(command, json!({"node": name, "answer": answer}));
        Ok(answer.to_string())
    }
}
