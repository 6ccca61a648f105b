//! Methods of a testbed that panic on errors, for tests.

use std::net::SocketAddr;
use std::path::PathBuf;

use fleet_runtime::QueryReply;
use shared_state::SharedStateSnapshot;
use test_doubles::{FakeExecutor, Node, TestClient};

use super::Testbed;
use crate::error::expect_ok;

impl Testbed {
    /// Returns the executor of a node.
    pub fn executor(&self, name: &str) -> &FakeExecutor {
        &expect_ok(self.try_slot(name)).executor
    }

    /// Returns the path of the fleet file of a process.
    pub fn fleet_file_path(&self, name: &str) -> PathBuf {
        expect_ok(self.try_fleet_file_path(name))
    }

    /// Starts a node; see [`Testbed::try_start`].
    pub fn start(&mut self, name: &str) {
        expect_ok(self.try_start(name));
    }

    /// Starts a router; see [`Testbed::try_start_router`].
    pub fn start_router(&mut self, name: &str, uses_membership: bool) {
        expect_ok(self.try_start_router(name, uses_membership));
    }

    /// Waits until processes are up; see [`Testbed::try_wait_until_up`].
    pub fn wait_until_up(&mut self, names: &[&str]) {
        expect_ok(self.try_wait_until_up(names));
    }

    /// Starts a second process of a node; see [`Testbed::try_start_replacement`].
    pub fn start_replacement(&self, name: &str, listen: SocketAddr) -> Node {
        expect_ok(self.try_start_replacement(name, listen))
    }

    /// Returns the running process of this name.
    pub fn node(&self, name: &str) -> &Node {
        expect_ok(self.try_node(name))
    }

    /// Returns true if the process of this name is running.
    pub fn is_running(&self, name: &str) -> bool {
        expect_ok(self.try_is_running(name))
    }

    /// Opens a client connection to a process, bypassing the proxy.
    pub fn connect(&self, name: &str) -> TestClient {
        expect_ok(self.try_connect(name))
    }

    /// Kills a process with SIGKILL, if it is running.
    pub fn kill(&mut self, name: &str) {
        expect_ok(self.try_kill(name));
    }

    /// Shuts a process down with SIGTERM, if it is running, and waits until it has exited.
    pub fn shut_down(&mut self, name: &str) {
        expect_ok(self.try_shut_down(name));
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&mut self, name: &str) {
        expect_ok(self.try_pause(name));
    }

    /// Continues a paused process with SIGCONT.
    pub fn unpause(&mut self, name: &str) {
        expect_ok(self.try_unpause(name));
    }

    /// Makes a process reload its files, with SIGHUP.
    pub fn reload(&mut self, name: &str) {
        expect_ok(self.try_reload(name));
    }

    /// Sends a command to a node's admin server, and returns the answer's first line.
    pub fn call_admin(&self, name: &str, command: &str) -> String {
        expect_ok(self.try_call_admin(name, command))
    }

    /// Queries the members that a process sees. `None` without an answer in time.
    pub fn query_members(&self, name: &str) -> Option<QueryReply> {
        expect_ok(self.try_query_members(name))
    }

    /// Queries the shared state of a process. `None` without an answer in time.
    pub fn query_shared_state(&self, name: &str) -> Option<SharedStateSnapshot> {
        expect_ok(self.try_query_shared_state(name))
    }

    /// Queries the name of the leader that a process knows. `None` if there is none, or without an
    /// answer in time.
    pub fn leader(&self, name: &str) -> Option<String> {
        let leader = self.query_shared_state(name)?.leader;
        leader.map(|name| name.to_string())
    }
}
