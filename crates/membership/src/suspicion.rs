//! One suspicion: who shares it, and when it is over. It starts long, since the one accuser may be at fault, and
//! shortens with every other member that shares it (Lifeguard).

use std::time::Duration;

#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub since: Duration,
    least: Duration,
    most: Duration,
    /// Accusers that bring it down to the least.
    wanted: u32,
    accusers: Vec<u32>,
}

impl Suspicion {
    pub(crate) fn new(
        since: Duration,
        least: Duration,
        most: Duration,
        wanted: u32,
        by: u32,
    ) -> Suspicion {
        Suspicion {
            since,
            least,
            most,
            wanted,
            accusers: vec![by],
        }
    }
    /// Another member shares it; true where that is new and still shortens it.
    pub(crate) fn shared(&mut self, by: u32) -> bool {
        let new =
            by != 0 && !self.accusers.contains(&by) && self.accusers.len() <= self.wanted as usize;
        if new {
            self.accusers.push(by);
        }
        new
    }
    /// When the member is given up.
    pub(crate) fn ends(&self) -> Duration {
        let shared = self
            .accusers
            .len()
            .saturating_sub(1)
            .min(self.wanted as usize) as f64;
        let part = if self.wanted == 0 {
            1.0
        } else {
            (shared + 1.0).ln() / (f64::from(self.wanted) + 1.0).ln()
        };
        self.since
            + (self.most - self.most.saturating_sub(self.least).mul_f64(part.min(1.0)))
                .max(self.least)
    }
    /// It could not be objected to for so long, as this node heard nothing.
    pub(crate) fn wait(&mut self, longer: Duration) {
        self.since += longer;
    }
}
