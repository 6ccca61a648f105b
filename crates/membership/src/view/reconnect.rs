//! Attempts to reach members that were declared dead and seeds that are not members, so that a
//! partition heals.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::anti_entropy::random_jitter;
use super::{Effect, MembershipView};
use crate::packet::Body;
use crate::RandomIndex;

/// Upper bound of the interval between two attempts of a node that sees no other member.
const MAX_RECONNECT_WAIT_WHILE_ALONE: Duration = Duration::from_millis(500);
/// Upper bound of the interval between two attempts.
const MAX_RECONNECT_WAIT: Duration = Duration::from_secs(3600);
/// Fraction of the wait that always passes between two attempts. Jitter is added to it.
const MIN_RECONNECT_WAIT_FRACTION: f64 = 0.75;

impl MembershipView {
    /// Removes old tombstones, then pings one dead member and contacts one seed that is not a
    /// member.
    pub(super) fn reconnect(
        &mut self,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        self.members.forget_tombstones(
            now,
            self.settings.tombstone_retention,
            self.settings.max_tombstones,
        );
        let wait = if self.present_count() <= 1 {
            self.settings
                .anti_entropy_interval
                .min(MAX_RECONNECT_WAIT_WHILE_ALONE)
        } else {
            self.settings.reconnect_interval.min(MAX_RECONNECT_WAIT)
        };
        // Between 0.75 and 1.25 times the wait, so that the average is the wait itself.
        self.next_reconnect_at =
            now + wait.mul_f64(MIN_RECONNECT_WAIT_FRACTION + random_jitter(random));
        if self.settings.reconnect_interval == Duration::MAX && self.has_known_others {
            return;
        }
        self.ping_lost_member(random, effects);
        self.contact_seed(random, effects);
    }

    fn ping_lost_member(&mut self, random: RandomIndex, effects: &mut Vec<Effect>) {
        let lost_count = self.members.lost_count();
        if lost_count == 0 {
            return;
        }
        let index = random(lost_count);
        let Some(record) = self.members.lost_records().nth(index).cloned() else {
            return;
        };
        let ping = Body::Ping {
            seq: self.next_seq(),
            target: record.name.clone(),
        };
        self.send(record.address, ping, vec![record], effects);
    }

    fn contact_seed(&mut self, random: RandomIndex, effects: &mut Vec<Effect>) {
        let present: BTreeSet<SocketAddr> = self
            .members
            .present_records()
            .map(|record| record.address)
            .collect();
        let absent_seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !present.contains(seed))
            .copied()
            .collect();
        if !absent_seeds.is_empty() {
            let seed = absent_seeds[random(absent_seeds.len())];
            self.send_checksums(seed, false, effects);
        }
    }
}
