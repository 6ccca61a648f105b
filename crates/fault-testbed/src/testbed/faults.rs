//! Sets the faults of the links between processes.

use serde_json::{json, Value};

use super::Testbed;
use crate::links::{LinkFaults, Links};

impl Testbed {
    /// Partitions the network into parts, between which all traffic is blocked. A process that is
    /// in none of them is in the first.
    pub fn partition(&mut self, parts: &[Vec<String>]) {
        self.record_event("partition", json!(parts));
        let part_of = |name: &String| {
            let part = parts.iter().position(|part| part.contains(name));
            part.unwrap_or(0)
        };
        for (name, slot) in &mut self.slots {
            slot.partition = part_of(name);
        }
        let names = self.names();
        self.proxy.with_links(|links| {
            for from in &names {
                for to in names.iter().filter(|to| *to != from) {
                    let is_blocked = part_of(from) != part_of(to);
                    links.change_link(from, to, |faults| faults.is_blocked = is_blocked);
                }
            }
        });
    }

    /// Blocks the links from the processes `from` to the processes `to`, in this direction only.
    pub fn block(&mut self, from: &[String], to: &[String]) {
        self.change_links_between("silence", from, to, |links, from, to| {
            links.change_link(from, to, |faults| faults.is_blocked = true);
        });
    }

    /// Stalls the streams from the processes `from` to the processes `to` without closing them.
    /// Datagrams are still delivered.
    pub fn stall_streams(&mut self, from: &[String], to: &[String]) {
        self.change_links_between("stall", from, to, |links, from, to| {
            links.change_link(from, to, |faults| faults.stalls_streams = true);
        });
    }

    /// Closes the open streams from the processes `from` to the processes `to`.
    pub fn cut_streams(&mut self, from: &[String], to: &[String]) {
        self.change_links_between("cut", from, to, Links::cut_streams);
    }

    /// Changes the faults of all links. `what` describes the change on the timeline.
    pub fn change_all_links(&mut self, what: Value, change: impl Fn(&mut LinkFaults)) {
        self.record_event("links", what);
        self.proxy.with_links(|links| links.change_all(change));
    }

    /// Removes all faults.
    pub fn heal(&mut self) {
        self.record_event("heal", Value::Null);
        for slot in self.slots.values_mut() {
            slot.partition = 0;
        }
        self.proxy
            .with_links(|links| links.change_all(|faults| *faults = LinkFaults::default()));
    }

    /// Changes each link from the processes `from` to the processes `to`, in this direction only.
    fn change_links_between(
        &self,
        event: &str,
        from: &[String],
        to: &[String],
        change: impl Fn(&mut Links, &str, &str),
    ) {
        self.record_event(event, json!({"from": from, "to": to}));
        self.proxy.with_links(|links| {
            for sender in from {
                for receiver in to.iter().filter(|receiver| *receiver != sender) {
                    change(links, sender, receiver);
                }
            }
        });
    }
}
