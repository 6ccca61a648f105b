//! The view's timers: when something is due next, and what is done then.

use std::time::Duration;

use super::{Effect, MembershipView};
use crate::RandomIndex;

impl MembershipView {
    /// When [`MembershipView::handle_timers`] is to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        if self.is_muted {
            return Duration::MAX;
        }
        if self.is_superseded() {
            return self.next_probe_at;
        }
        let gossip = self.members.has_updates().then_some(self.next_gossip_at);
        let optional_deadlines = [
            self.isolation_deadline(),
            gossip,
            self.next_indirect_probe_deadline(),
            self.next_suspicion_deadline(),
        ];
        optional_deadlines
            .into_iter()
            .flatten()
            .fold(self.probe_deadline(), Duration::min)
            .min(self.next_reconnect_at)
    }

    /// Does everything that is due.
    pub fn handle_timers(&mut self, now: Duration, random: RandomIndex, effects: &mut Vec<Effect>) {
        if self.is_muted {
            return;
        }
        // A probe is always due at some time; other work may have become overdue before there was anything to do.
        let delay = now.saturating_sub(self.probe_deadline());
        if delay > self.settings.probe_timeout {
            self.compensate_for_pause(delay, now);
        }
        if let Some(last_contact_at) = self.successor_last_contact {
            self.watch_successor(last_contact_at, now, effects);
            return;
        }
        self.expire_indirect_probes(now, effects);
        self.advance_probe(now, random, effects);
        self.expire_suspicions(now, effects);
        self.gossip_if_due(now, random, effects);
        if now >= self.next_reconnect_at {
            self.reconnect(now, random, effects);
        }
        self.update_partition_status(now);
    }

    /// This node did nothing for a while: nobody is suspected because of what it did not receive meanwhile.
    pub(super) fn compensate_for_pause(&mut self, pause: Duration, now: Duration) {
        self.probe = None;
        self.next_probe_at = self.next_probe_at.max(now);
        self.last_contact_at += pause;
        self.indirect_probes.clear();
        self.extend_suspicions(pause);
        self.degrade_local_health();
    }
}
