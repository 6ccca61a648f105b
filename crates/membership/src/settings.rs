use std::time::Duration;

/// Every time, count and size that a view keeps to. Each has a reason in `docs/fleet.md`; all members of a fleet should
/// have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Between two probes.
    pub period: Duration,
    /// How long a direct answer may take; the ping is then sent once more, and after as long again others are asked.
    pub answer: Duration,
    /// Members asked to probe for one that gave no answer.
    pub relays: usize,
    /// Suspicion lasts this many periods times the decimal logarithm of the fleet's size, at the least ...
    pub suspicion: f64,
    /// ... and this many times longer while nobody else shares it.
    pub suspicion_most: f64,
    /// Accusers besides the first that bring it down to the least.
    pub accusers: u32,
    /// Between two rounds in which news is told, while there is any.
    pub gossip: Duration,
    /// Members told in such a round.
    pub fanout: usize,
    /// Each piece of news is told this many times the binary logarithm of the fleet's size.
    pub telling: f64,
    /// Bytes of a datagram.
    pub datagram: usize,
    /// At the least between two full exchanges that this node begins, while views differ.
    pub exchange: Duration,
    /// Datagrams that answer one exchange at most.
    pub pages: usize,
    /// Between two questions after a member that is gone, or to a seed that is no member.
    pub revive: Duration,
    /// How long the gone are remembered.
    pub forget: Duration,
    /// How many of the gone are remembered.
    pub tombstones: usize,
    /// Members at most; what else is heard of is dropped.
    pub members: usize,
    /// Local health runs from 0 to this; each point adds one more of `answer` and `period` to what a probe may take. 0
    /// turns it off.
    pub health: u32,
    /// Probes that are made for others at once.
    pub errands: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Duration::from_millis(500),
            answer: Duration::from_millis(120),
            relays: 3,
            suspicion: 4.0,
            suspicion_most: 4.0,
            accusers: 3,
            gossip: Duration::from_millis(100),
            fanout: 3,
            telling: 1.5,
            datagram: 1200,
            exchange: Duration::from_millis(500),
            pages: 24,
            revive: Duration::from_secs(1),
            forget: Duration::from_secs(3600),
            tombstones: 1024,
            members: 8192,
            health: 8,
            errands: 64,
        }
    }
}

impl Settings {
    /// SWIM as first published, with suspicion of one length: the same probes through others, news carried along, and
    /// nothing of what this crate adds. A baseline for measurements.
    pub fn plain_swim() -> Settings {
        Settings {
            suspicion_most: 1.0,
            health: 0,
            exchange: Duration::MAX,
            revive: Duration::MAX,
            ..Settings::default()
        }
    }
    /// Times that each piece of news is told in a fleet of `members`.
    pub(crate) fn tellings(&self, members: usize) -> u8 {
        ((members.max(2) as f64).log2() * self.telling)
            .ceil()
            .clamp(2.0, 60.0) as u8
    }
    /// How long suspicion lasts at the least in a fleet of `members`.
    pub(crate) fn least_suspicion(&self, members: usize) -> Duration {
        self.period
            .mul_f64(self.suspicion * (members.max(10) as f64).log10())
    }
}
