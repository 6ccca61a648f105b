//! Times, counts and sizes of the membership protocol.

use std::time::Duration;

/// Times, counts and sizes that a view uses. `docs/fleet.md` gives the reason for each. All members
/// of a fleet should have the same settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Interval between two probes.
    pub probe_interval: Duration,
    /// Time limit for the answer to a direct ping. The ping is then repeated, and after another
    /// `probe_timeout` other members are asked to ping the target.
    pub probe_timeout: Duration,
    /// Number of members that are asked to ping a member that did not answer.
    pub indirect_probes: usize,
    /// The shortest suspicion timeout is this many probe intervals times the decimal logarithm of
    /// the fleet's size.
    pub suspicion_multiplier: f64,
    /// The longest suspicion timeout, as a multiple of the shortest one.
    pub max_suspicion_multiplier: f64,
    /// Number of confirmations of a suspicion after which the shortest timeout applies.
    pub suspicion_confirmations: u32,
    /// Interval between two rounds of gossip while there are updates to spread.
    pub gossip_interval: Duration,
    /// Number of members that receive gossip in a round.
    pub gossip_fanout: usize,
    /// Number of transmissions of each update, as a multiple of the binary logarithm of the fleet's
    /// size.
    pub retransmit_multiplier: f64,
    /// Maximum size of a datagram, in bytes.
    pub max_datagram_len: usize,
    /// Minimum interval between two rounds of anti-entropy that this node begins.
    pub anti_entropy_interval: Duration,
    /// Maximum number of pages of records sent in answer to one comparison of checksums.
    pub max_pages_per_comparison: usize,
    /// Interval between two attempts to reach a dead member or a seed that is not a member.
    pub reconnect_interval: Duration,
    /// Duration for which members that were declared dead or left are remembered.
    pub tombstone_retention: Duration,
    /// Maximum number of members that were declared dead or left that are remembered.
    pub max_tombstones: usize,
    /// Maximum number of known members. Further members are ignored.
    pub max_members: usize,
    /// Upper bound of the local health score, which is 0 for a healthy node. Each point extends the
    /// time limits of a probe by one `probe_timeout` and one `probe_interval`. 0 disables the
    /// score.
    pub max_local_health: u32,
    /// Maximum number of concurrent probes on behalf of other members.
    pub max_relayed_probes: usize,
}

/// Minimum number of transmissions of an update, however small the fleet is.
const MIN_TRANSMISSIONS: f64 = 2.0;
/// Maximum number of transmissions of an update, however large the fleet is.
const MAX_TRANSMISSIONS: f64 = 60.0;
/// A fleet with fewer members has the suspicion timeout of a fleet with this many.
const MIN_SUSPICION_MEMBERS: usize = 10;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(120),
            indirect_probes: 3,
            suspicion_multiplier: 4.0,
            max_suspicion_multiplier: 4.0,
            suspicion_confirmations: 3,
            gossip_interval: Duration::from_millis(100),
            gossip_fanout: 3,
            retransmit_multiplier: 1.5,
            max_datagram_len: 1200,
            anti_entropy_interval: Duration::from_millis(500),
            max_pages_per_comparison: 24,
            reconnect_interval: Duration::from_secs(1),
            tombstone_retention: Duration::from_secs(3600),
            max_tombstones: 1024,
            max_members: 8192,
            max_local_health: 8,
            max_relayed_probes: 64,
        }
    }
}

impl Settings {
    /// Returns settings for SWIM as first published, with a suspicion timeout of fixed length: the
    /// same indirect probes and piggybacked gossip, without the additions of this crate. Used as a
    /// baseline for measurements.
    pub fn plain_swim() -> Settings {
        Settings {
            max_suspicion_multiplier: 1.0,
            max_local_health: 0,
            anti_entropy_interval: Duration::MAX,
            reconnect_interval: Duration::MAX,
            ..Settings::default()
        }
    }

    /// Returns the number of transmissions of each update in a fleet of this size.
    pub(crate) fn update_transmissions(&self, member_count: usize) -> u8 {
        ((member_count.max(2) as f64).log2() * self.retransmit_multiplier)
            .ceil()
            .clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8
    }

    /// Returns the shortest suspicion timeout in a fleet of this size.
    pub(crate) fn min_suspicion_timeout(&self, member_count: usize) -> Duration {
        self.probe_interval.mul_f64(
            self.suspicion_multiplier * (member_count.max(MIN_SUSPICION_MEMBERS) as f64).log10(),
        )
    }
}
