//! Replies to tools that query a member's view.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Effect, MembershipView};
use crate::packet::{Body, ViewSummary};

/// Upper bound of a reply's length without the fleet's name and records, in bytes.
const QUERY_REPLY_OVERHEAD: usize = 128;

impl MembershipView {
    pub(super) fn answer_query(
        &self,
        seq: u32,
        after: &str,
        to: SocketAddr,
        now: Duration,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_muted {
            return;
        }
        let mut free_bytes = self.free_record_bytes(QUERY_REPLY_OVERHEAD);
        let mut records = Vec::new();
        let mut remaining = self.members.iter_after(after).peekable();
        while let Some(entry) = remaining.next_if(|e| e.record.max_encoded_len() <= free_bytes) {
            free_bytes -= entry.record.max_encoded_len();
            records.push(entry.record.clone());
        }
        let body = Body::QueryReply {
            seq,
            has_more: remaining.peek().is_some(),
            summary: self.summary(now),
        };
        let packet = self.own_packet(body, records);
        effects.push(Effect::Send { to, packet });
    }

    /// Returns a summary of this view. The caller fills in the number of dropped datagrams, which
    /// the view does not know.
    pub fn summary(&self, now: Duration) -> ViewSummary {
        let status_age = now.saturating_sub(self.partition_status_since);
        ViewSummary {
            partition_status: self.partition_status.as_str().into(),
            status_age_ms: status_age.as_millis() as u64,
            digest: self.digest(),
            present: self.present_count() as u32,
            lost: self.lost_count() as u32,
            local_health: self.local_health,
            dropped: 0,
        }
    }
}
