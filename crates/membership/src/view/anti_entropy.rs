//! Anti-entropy: two views compare the checksums of their buckets and exchange the records of those
//! that differ.

use std::net::SocketAddr;
use std::time::Duration;

use super::dissemination::PACKET_OVERHEAD;
use super::{Effect, MembershipView};
use crate::member_state::MemberRecord;
use crate::packet::Body;
use crate::RandomIndex;

/// Upper bound of the interval between two comparisons that this node begins.
const MAX_COMPARISON_WAIT: Duration = Duration::from_secs(1);
/// Window in which answered comparisons are counted.
const REPLY_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of comparisons answered in a window. Members of the fleet do not exceed it, so
/// further comparisons come from a sender that is not a member.
const MAX_REPLIES_PER_WINDOW: u32 = 64;
/// Number of steps of the random part of a wait.
const JITTER_STEPS: usize = 256;

/// Limits the number of comparisons that are answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyBudget {
    window_started_at: Duration,
    used: u32,
}

impl ReplyBudget {
    pub(super) fn new(now: Duration) -> ReplyBudget {
        ReplyBudget {
            window_started_at: now,
            used: 0,
        }
    }

    /// Counts a comparison. Returns true if it may be answered.
    fn try_use(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.window_started_at) >= REPLY_WINDOW {
            *self = ReplyBudget::new(now);
        }
        self.used += 1;
        self.used <= MAX_REPLIES_PER_WINDOW
    }
}

/// Returns a random fraction of a wait, from 0 to below one half, which prevents nodes that started
/// together from acting at the same time.
pub(super) fn random_jitter(random: RandomIndex) -> f64 {
    random(JITTER_STEPS) as f64 / (2 * JITTER_STEPS) as f64
}

impl MembershipView {
    /// Begins a comparison with another member.
    pub(super) fn begin_comparison(
        &mut self,
        to: SocketAddr,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        let interval = self.settings.anti_entropy_interval;
        if interval == Duration::MAX && self.has_known_others {
            return;
        }
        let wait = interval.min(MAX_COMPARISON_WAIT);
        let jitter = wait.mul_f64(random_jitter(random));
        self.next_comparison_at = now + wait + jitter;
        self.has_changed_since_comparison = false;
        self.send_checksums(to, false, effects);
    }

    /// Sends the checksums of this view.
    pub(super) fn send_checksums(
        &mut self,
        to: SocketAddr,
        is_reply: bool,
        effects: &mut Vec<Effect>,
    ) {
        let checksums = self.members.checksums().to_vec();
        let body = Body::CompareChecksums {
            checksums,
            is_reply,
        };
        self.send(to, body, vec![], effects);
    }

    /// Answers a comparison with the records of the buckets that differ, and with this view's
    /// checksums.
    pub(super) fn handle_comparison(
        &mut self,
        checksums: &[u64],
        is_reply: bool,
        reply_to: SocketAddr,
        now: Duration,
        random: RandomIndex,
        effects: &mut Vec<Effect>,
    ) {
        if !self.comparison_replies.try_use(now) {
            return;
        }
        let records = self.members.records_differing_from(checksums);
        // Records that do not fit are sent in a later comparison, so the first record is chosen at
        // random.
        let first = if records.is_empty() {
            0
        } else {
            random(records.len())
        };
        let (before, after) = records.split_at(first);
        self.send_pages(reply_to, after.iter().chain(before), effects);
        if !is_reply {
            self.send_checksums(reply_to, true, effects);
        } else if self.has_changed_since_comparison && self.members.checksums() != checksums {
            // One comparison cannot transfer all differences. Continue immediately, as long as each
            // comparison brings a change.
            self.begin_comparison(reply_to, now, random, effects);
        }
    }

    /// Sends records, as many as fit on each page, up to the maximum number of pages.
    fn send_pages<'a>(
        &self,
        to: SocketAddr,
        records: impl Iterator<Item = &'a MemberRecord>,
        effects: &mut Vec<Effect>,
    ) {
        let page_len = self.free_record_bytes(PACKET_OVERHEAD);
        let mut page: Vec<MemberRecord> = Vec::new();
        let mut used_bytes = 0;
        let mut page_count = 0;
        for record in records {
            if used_bytes + record.max_encoded_len() > page_len {
                self.send_page(to, std::mem::take(&mut page), effects);
                used_bytes = 0;
                page_count += 1;
                if page_count >= self.settings.max_pages_per_comparison {
                    break;
                }
            }
            used_bytes += record.max_encoded_len();
            page.push(record.clone());
        }
        if !page.is_empty() {
            self.send_page(to, page, effects);
        }
    }

    /// Sends one page, without piggybacked updates.
    fn send_page(&self, to: SocketAddr, records: Vec<MemberRecord>, effects: &mut Vec<Effect>) {
        if !self.is_silent() {
            let packet = self.own_packet(Body::RecordPage, records);
            effects.push(Effect::Send { to, packet });
        }
    }
}
