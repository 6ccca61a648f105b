use std::time::Duration;

/// The times that all members of a fleet keep to; they must be the same on all of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a part may be spent, from when it was asked for. Longer than another granter takes to be found, or every
    /// change of granter would cost all parts.
    pub lease: Duration,
    /// Between two asks of a holder whose wants don't change.
    pub ask: Duration,
    /// The least time between two asks.
    pub least: Duration,
    /// How long after its begin what was spent may still be in hand below: the longest call.
    pub longest: Duration,
    /// How long a keeper is the granter, from when it asked to be.
    pub reign: Duration,
    /// By what part two clocks' rates may differ at the most, in millionths.
    pub drift_ppm: u32,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease: Duration::from_secs(5),
            ask: Duration::from_millis(400),
            least: Duration::from_millis(50),
            longest: Duration::from_millis(1500),
            reign: Duration::from_secs(2),
            drift_ppm: 10_000,
        }
    }
}

impl Terms {
    /// A time by which one that another measures as `time` is over on any clock.
    pub(crate) fn over(&self, time: Duration) -> Duration {
        let (slow, fast) = (
            1_000_000u32.saturating_sub(self.drift_ppm).max(1),
            1_000_000 + self.drift_ppm,
        );
        time * fast / slow
    }
    /// After this long nothing of a part can be spent, or be in hand, that was asked for before.
    pub(crate) fn ended(&self) -> Duration {
        self.over(self.lease + self.longest)
    }
}
