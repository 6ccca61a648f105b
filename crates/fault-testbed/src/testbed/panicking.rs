//! The methods of a testbed that panic on errors, for tests.

use std::net::SocketAddr;
use std::path::PathBuf;

use fleet_runtime::QueryReply;
use shared_state::SharedStateSnapshot;
use test_doubles::{FakeExecutor, Node, TestClient};

use super::Testbed;
use crate::error::expect_ok;

impl Testbed {
    /// The executor of a node.
    pub fn executor(&self, name: &str) -> &FakeExecutor {
        &expect_ok(self.try_slot(name)).executor
    }

    /// The path of the fleet file of a process.
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

    /// The running process of this name.
    pub fn node(&self, name: &str) -> &Node {
        expect_ok(self.try_node(name))
    }

    /// Whether a process of this name runs.
    pub fn is_running(&self, name: &str) -> bool {
        expect_ok(self.try_is_running(name))
    }

    /// A new client connection to a process, past the proxy.
    pub fn connect(&self, name: &str) -> TestClient {
        expect_ok(self.try_connect(name))
    }

    /// Kills a process with SIGKILL, if it runs.
    pub fn kill(&mut self, name: &str) {
        expect_ok(self.try_kill(name));
    }

    /// Shuts a process down with SIGTERM, if it runs, and waits for its end.
    pub fn shut_down(&mut self, name: &str) {
        expect_ok(self.try_shut_down(name));
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&mut self, name: &str) {
        expect_ok(self.try_pause(name));
    }

    /// Lets a paused process continue.
    pub fn unpause(&mut self, name: &str) {
        expect_ok(self.try_unpause(name));
    }

    /// Has a process read its files again, with SIGHUP.
    pub fn reload(&mut self, name: &str) {
        expect_ok(self.try_reload(name));
    }

    /// Sends a command to a node's admin server, and returns the answer's first line.
    pub fn call_admin(&self, name: &str, command: &str) -> String {
        expect_ok(self.try_call_admin(name, command))
    }

    /// The members that a process sees; none without an answer in time.
    pub fn query_members(&self, name: &str) -> Option<QueryReply> {
        expect_ok(self.try_query_members(name))
    }

    /// The shared state of a process; none without an answer in time.
    pub fn query_shared_state(&self, name: &str) -> Option<SharedStateSnapshot> {
        expect_ok(self.try_query_shared_state(name))
    }

    /// The leader that a process knows.
    pub fn leader(&self, name: &str) -> Option<String> {
        let leader = self.query_shared_state(name)?.leader;
        leader.map(|name| name.to_string())
    }
}
