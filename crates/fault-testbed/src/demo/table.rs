//! The table of the demo: the requests that each member has served, and the states in which it sees
//! the others.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use fleet_cli::state_name;
use fleet_runtime::QueryReply;

use crate::error::TestbedError;
use crate::testbed::Testbed;

/// The table. Its numbers of requests are those since it was last formatted.
pub(super) struct MemberTable {
    nodes: Vec<String>,
    /// The number of runs of each node at the last table.
    previous_runs: BTreeMap<String, usize>,
}

impl MemberTable {
    /// Creates the table of these nodes. Other processes of the testbed are routers.
    pub(super) fn new(nodes: Vec<String>) -> MemberTable {
        MemberTable {
            nodes,
            previous_runs: BTreeMap::new(),
        }
    }

    /// Queries all processes, and formats the table.
    ///
    /// # Errors
    /// [`TestbedError`] if a node violated the protocol of its executor.
    pub(super) fn format(&mut self, testbed: &Testbed) -> Result<String, TestbedError> {
        let names = testbed.names();
        let mut text = format!("\n{:<8} {:>8}  {:<8} sees:", "member", "served/s", "says");
        for name in &names {
            let _ = write!(text, " {name:<9}");
        }
        for name in &names {
            text.push('\n');
            text.push_str(&self.format_row(testbed, name, &names)?);
        }
        text.push('\n');
        Ok(text)
    }

    fn format_row(
        &mut self,
        testbed: &Testbed,
        name: &str,
        names: &[String],
    ) -> Result<String, TestbedError> {
        let is_running = testbed.try_is_running(name)?;
        let reply = if is_running {
            testbed.try_query_members(name)?
        } else {
            None
        };
        let served = self.format_served(testbed, name)?;
        let status = match &reply {
            Some(reply) => reply.summary.partition_status.to_string(),
            None if is_running => "silent".into(),
            None => "killed".into(),
        };
        let mut row = format!("{name:<8} {served:>8}  {status:<8}      ");
        for other in names {
            let state = reply.as_ref().and_then(|reply| find_state(reply, other));
            let _ = write!(row, " {:<9}", state.unwrap_or("-"));
        }
        Ok(row)
    }

    fn format_served(&mut self, testbed: &Testbed, name: &str) -> Result<String, TestbedError> {
        if !self.nodes.iter().any(|node| node == name) {
            return Ok("router".into());
        }
        let runs = testbed.try_total_runs(name)?;
        let previous = self.previous_runs.insert(name.into(), runs).unwrap_or(0);
        Ok((runs - previous).to_string())
    }
}

fn find_state(reply: &QueryReply, name: &str) -> Option<&'static str> {
    let member = reply.members.iter().find(|member| *member.name == *name)?;
    Some(state_name(member))
}
