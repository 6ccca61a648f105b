//! Queries processes, and waits until they reach a state.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};

use fleet_runtime::{query_members, query_shared_state, QueryReply};
use serde_json::json;
use shared_state::SharedStateSnapshot;

use super::{Testbed, FLEET_NAME, QUERY_TIMEOUT};
use crate::error::TestbedError;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Testbed {
    /// Queries the members that a process sees, bypassing the proxy. `None` without an answer in
    /// time.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running.
    pub fn try_query_members(&self, name: &str) -> Result<Option<QueryReply>, TestbedError> {
        let address = self.try_node(name)?.logged_address("fleet");
        Ok(address.and_then(|address| query_members(address, FLEET_NAME, QUERY_TIMEOUT).ok()))
    }

    /// Queries the shared state of a process, bypassing the proxy. `None` without an answer in
    /// time.
    ///
    /// # Errors
    /// [`TestbedError`] if it is not running.
    pub fn try_query_shared_state(
        &self,
        name: &str,
    ) -> Result<Option<SharedStateSnapshot>, TestbedError> {
        let address = self.try_node(name)?.logged_address("fleet");
        let reply =
            address.and_then(|address| query_shared_state(address, FLEET_NAME, QUERY_TIMEOUT).ok());
        Ok(reply.map(|reply| reply.state))
    }

    /// Returns true if the running members of each part of the network see exactly each other, in
    /// the same states.
    pub fn has_converged(&self) -> bool {
        let mut parts: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
        for (name, slot) in &self.slots {
            if slot.process.is_some() && slot.is_fleet_member && !slot.is_paused {
                parts.entry(slot.partition).or_default().push(name);
            }
        }
        parts.values().all(|names| self.members_agree(names))
    }

    fn members_agree(&self, names: &[&str]) -> bool {
        let expected: BTreeSet<&str> = names.iter().copied().collect();
        let mut digests = BTreeSet::new();
        names.iter().all(|name| {
            let Ok(Some(reply)) = self.try_query_members(name) else {
                return false;
            };
            digests.insert(reply.summary.digest);
            let seen: BTreeSet<&str> = reply
                .members
                .iter()
                .filter(|member| member.state.is_present())
                .map(|member| &*member.name)
                .collect();
            seen == expected && digests.len() == 1
        })
    }

    /// Waits until a condition is true, and returns the time that this took. `None` if it was not
    /// within `timeout`. `what` describes the condition on the timeline.
    pub fn wait_for(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn(&Testbed) -> bool,
    ) -> Option<Duration> {
        let started_at = Instant::now();
        loop {
            if condition(self) {
                let elapsed = started_at.elapsed();
                let ms = elapsed.as_millis() as u64;
                self.record_event("reached", json!({"what": what, "ms": ms}));
                return Some(elapsed);
            }
            if started_at.elapsed() >= timeout {
                let ms = timeout.as_millis() as u64;
                self.record_event("not reached", json!({"what": what, "ms": ms}));
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the members agree, and returns the time that this took.
    ///
    /// # Panics
    /// Panics if they do not agree within `timeout`, after printing their views.
    pub fn wait_until_converged(&self, timeout: Duration) -> Duration {
        if let Some(elapsed) = self.wait_for("settled", timeout, Testbed::has_converged) {
            return elapsed;
        }
        self.print_members();
        panic!(
            "the members did not agree within {timeout:?}; events:\n{}",
            self.timeline()
        )
    }

    /// Prints the members that each running process sees to standard error.
    fn print_members(&self) {
        for (name, slot) in &self.slots {
            if slot.process.is_none() || slot.is_paused {
                continue;
            }
            let Ok(Some(reply)) = self.try_query_members(name) else {
                eprintln!("{name}: no answer");
                continue;
            };
            eprintln!("{name}: {:?}", reply.summary);
            for member in &reply.members {
                let state = &member.state;
                eprintln!(
                    "  {} {} {:?} {:?}",
                    member.name, state.version, state.status, state.liveness
                );
            }
        }
    }
}
