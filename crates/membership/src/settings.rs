//! Times, counts and sizes of the membership protocol.

use std::time::Duration;

/// Times, counts and sizes that a view uses. `docs/fleet.md` gives the reason for each; all members of a fleet should have
/// the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// How long a direct answer may take. The ping is then repeated, and after as long again other members are asked.
    pub probe_timeout: Duration,
    /// How many members are asked to ping one that gave no answer.
    pub indirect_probes: usize,
    /// The shortest suspicion timeout is this many probe intervals times the decimal logarithm of the fleet's size.
    pub suspicion_multiplier: f64,
    /// The longest suspicion timeout, as a multiple of the shortest.
    pub max_suspicion_multiplier: f64,
    /// Confirmations of a suspicion after which the shortest timeout applies.
    pub suspicion_confirmations: u32,
    /// Time between two rounds of gossip, while there are updates to spread.
    pub gossip_interval: Duration,
    /// How many members receive gossip in a round.
    pub gossip_fanout: usize,
    /// Each update is sent this many times the binary logarithm of the fleet's size.
    pub retransmit_multiplier: f64,
    /// The size of a datagram, in bytes.
    pub max_datagram_len: usize,
    /// The shortest time between two rounds of anti-entropy that this node begins.
    pub anti_entropy_interval: Duration,
    /// How many pages of records are sent in answer to one comparison of checksums.
    pub max_pages_per_comparison: usize,
    /// Time between two attempts to reach a dead member or a seed that is not a member.
    pub reconnect_interval: Duration,
    /// How long members that died or left are remembered.
    pub tombstone_retention: Duration,
    /// How many members that died or left are remembered.
    pub max_tombstones: usize,
    /// How many members are kept; further ones are ignored.
    pub max_members: usize,
    /// Upper bound of the local health score, which is 0 for a healthy node. Each point adds one more `probe_timeout` and
    /// `probe_interval` to what a probe may take. 0 turns the score off.
    pub max_local_health: u32,
    /// How many probes are made at once on behalf of other members.
    pub max_relayed_probes: usize,
}

/// Fewest times that an update is sent, however small the fleet is.
const MIN_TRANSMISSIONS: f64 = 2.0;
/// Most times that an update is sent, however large the fleet is.
const MAX_TRANSMISSIONS: f64 = 60.0;
/// A fleet with fewer members has the suspicion timeout of one with this many.
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
    /// SWIM as first published, with suspicions of one length: the same indirect probes and piggybacked gossip, without
    /// what this crate adds. A baseline for measurements.
    pub fn plain_swim() -> Settings {
        Settings {
            max_suspicion_multiplier: 1.0,
            max_local_health: 0,
            anti_entropy_interval: Duration::MAX,
            reconnect_interval: Duration::MAX,
            ..Settings::default()
        }
    }

    /// How many times each update is sent in a fleet of this size.
    pub(crate) fn update_transmissions(&self, member_count: usize) -> u8 {
        ((member_count.max(2) as f64).log2() * self.retransmit_multiplier)
            .ceil()
            .clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8
    }

    /// The shortest suspicion timeout in a fleet of this size.
    pub(crate) fn min_suspicion_timeout(&self, member_count: usize) -> Duration {
        self.probe_interval.mul_f64(
            self.suspicion_multiplier * (member_count.max(MIN_SUSPICION_MEMBERS) as f64).log10(),
        )
    }
}
