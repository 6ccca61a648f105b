//! Suspicion of members whose probes failed: its start, its confirmation by other members, and its
//! end.

use std::time::Duration;

use super::{Effect, MembershipView};
use crate::member_state::{declare_dead, hash_name, Liveness, MemberRecord, Name};
use crate::suspicion_timer::{SuspicionTimeouts, SuspicionTimer};

impl MembershipView {
    /// Starts the timeout of a suspicion. The member's record already has liveness `Suspect`.
    pub(super) fn start_suspicion(&mut self, name: Name, suspected_by: u32, now: Duration) {
        let timer = SuspicionTimer::new(now, self.suspicion_timeouts(), suspected_by);
        if let Some(entry) = self.members.get_mut(&name) {
            entry.suspicion = Some(Box::new(timer));
        }
        self.suspects.insert(name);
    }

    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        let member_count = self.present_count();
        let min = self.settings.min_suspicion_timeout(member_count);
        // A small fleet may have no other members to confirm a suspicion. After an even split each
        // side has this many besides the member that suspects.
        let max_confirmations = (member_count / 2).saturating_sub(1) as u32;
        SuspicionTimeouts {
            min,
            max: min.mul_f64(self.settings.max_suspicion_multiplier),
            wanted_confirmations: self.settings.suspicion_confirmations.min(max_confirmations),
        }
    }

    /// Counts a confirmation of a suspicion. A new confirmation shortens the timeout and is spread.
    pub(super) fn confirm_suspicion(&mut self, name: &Name, suspected_by: u32) {
        let Some(entry) = self.members.get_mut(name) else {
            return;
        };
        let is_new_confirmation = entry
            .suspicion
            .as_mut()
            .is_some_and(|timer| timer.confirm(suspected_by));
        if is_new_confirmation {
            entry.record.suspected_by = suspected_by;
            self.members.queue_update(name);
        }
    }

    /// Returns the record of a member that is not alive, which is sent to the member so that it can
    /// refute. Returns no record for a member that is alive.
    pub(super) fn claim_to_refute(&self, name: &str) -> Vec<MemberRecord> {
        self.member(name)
            .filter(|record| record.state.liveness != Liveness::Alive)
            .cloned()
            .into_iter()
            .collect()
    }

    /// Returns the hash that identifies this member as the suspecting one in records; never 0.
    pub(super) fn own_name_hash(&self) -> u32 {
        (hash_name(&self.own.name) as u32).max(1)
    }

    /// Declares those suspects dead whose timeouts have expired.
    pub(super) fn expire_suspicions(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let expired: Vec<MemberRecord> = self
            .suspects
            .iter()
            .filter_map(|name| self.members.get(name))
            .filter(|entry| {
                let timer = entry.suspicion.as_ref();
                timer.is_none_or(|timer| timer.expires_at() <= now)
            })
            .map(|entry| entry.record.clone())
            .collect();
        for record in expired {
            match declare_dead(&record.state) {
                // Each member concludes this by its own timer, and thereby counts as a member that
                // suspects.
                Some(state) => self.apply_own_conclusion(record, state, now, effects),
                None => {
                    self.suspects.remove(&record.name);
                }
            }
        }
    }

    /// Returns the time at which the next suspicion expires.
    pub(super) fn next_suspicion_deadline(&self) -> Option<Duration> {
        self.suspects
            .iter()
            .filter_map(|name| self.members.get(name)?.suspicion.as_ref())
            .map(|timer| timer.expires_at())
            .min()
    }

    /// Extends all suspicions by a time during which this node could not receive refutations.
    pub(super) fn extend_suspicions(&mut self, pause: Duration) {
        for name in &self.suspects {
            if let Some(timer) = self.members.suspicion_mut(name) {
                timer.extend(pause);
            }
        }
    }

    /// Restarts the timeouts of all suspicions.
    pub(super) fn restart_suspicions(&mut self, now: Duration) {
        for name in &self.suspects {
            if let Some(timer) = self.members.suspicion_mut(name) {
                timer.restart(now);
            }
        }
    }
}
