//! The view's timers: the next deadline, and the work that is due.

use std::time::Duration;

use super::{Effect, MembershipView};
use crate::RandomIndex;

impl MembershipView {
    /// Returns the time by which [`MembershipView::handle_timers`] must be called.
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

    /// Performs all work that is due.
    pub fn handle_timers(&mut self, now: Duration, random: RandomIndex, effects: &mut Vec<Effect>) {
        if self.is_muted {
            return;
        }
        // The delay is measured by the probe deadline, as a probe is always scheduled. Other
        // deadlines may have passed while there was nothing to do.
        let delay = now.saturating_sub(self.probe_deadline());
        if delay > self.settings.probe_timeout {
            self.compensate_for_pause(delay, now);
        }
        if let Some(last_contact_at) = self.successor_last_contact_at {
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

    /// Compensates for a pause of this node, so that no member is suspected because of datagrams
    /// that this node did not receive during the pause.
    pub(super) fn compensate_for_pause(&mut self, pause: Duration, now: Duration) {
        self.probe = None;
        self.next_probe_at = self.next_probe_at.max(now);
        self.last_contact_at += pause;
        self.indirect_probes.clear();
        self.extend_suspicions(pause);
        self.degrade_local_health();
    }
}
