//! `fleet watch`: prints the changes of a member's view.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::thread;
use std::time::Duration;

use fleet_runtime::query_members;

use crate::args::Target;
use crate::report::{MemberReport, ViewReport};

/// Queries a member at an interval, and prints each change until standard output is closed.
pub(crate) fn watch(target: &Target, interval_ms: u64) {
    let mut printed = PrintedView::default();
    let mut out = io::stdout();
    loop {
        // No answer: the member may answer later.
        let Ok(reply) = query_members(target.address, &target.fleet, target.timeout) else {
            continue;
        };
        for line in printed.update(ViewReport::from(&reply)) {
            if writeln!(out, "{line}").is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(interval_ms));
    }
}

/// The state that was printed last.
#[derive(Default)]
struct PrintedView {
    partition_status: String,
    members: BTreeMap<String, MemberReport>,
}

impl PrintedView {
    /// Replaces the printed view, and returns lines that describe the changes.
    fn update(&mut self, view: ViewReport) -> Vec<String> {
        let mut lines = Vec::new();
        if view.partition_status != self.partition_status {
            lines.push(format!(
                "{} concludes: {}, {} present",
                view.observer, view.partition_status, view.present
            ));
            self.partition_status = view.partition_status;
        }
        for (name, member) in &view.members {
            if self.has_changed(name, member) {
                lines.push(format!("{name} is {}", member.state));
            }
        }
        self.members = view.members;
        lines
    }

    fn has_changed(&self, name: &str, member: &MemberReport) -> bool {
        self.members.get(name).is_none_or(|previous| {
            previous.state != member.state || previous.incarnation != member.incarnation
        })
    }
}
