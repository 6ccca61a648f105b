//! How much of a degraded cell's reads its neighbours serve.

use std::time::Duration;

use crate::health::CellHealth;

/// How a degraded cell's reads spill over to its neighbours.
#[derive(Clone, Debug)]
pub struct ReadSpilloverSettings {
    /// The largest fraction of a neighbour's capacity that spilled reads may take.
    pub max_neighbour_fraction: f64,
    /// The time over which the spillover falls to nothing once the cell is healthy again.
    pub recovery_ramp: Duration,
}

impl Default for ReadSpilloverSettings {
    fn default() -> ReadSpilloverSettings {
        ReadSpilloverSettings {
            max_neighbour_fraction: 0.1,
            recovery_ramp: Duration::from_secs(20),
        }
    }
}

/// Decides how much of a degraded cell's reads its neighbours serve. Settlements never spill over: a second node that
/// does not know their keys could run them twice.
#[derive(Clone, Debug, Default)]
pub struct ReadSpillover {
    settings: ReadSpilloverSettings,
    /// The fraction of the cell that was unavailable when it was last degraded.
    missing: f64,
    /// When the cell became healthy after that.
    healthy_since: Option<Duration>,
}

impl ReadSpillover {
    /// The spillover of a cell that is healthy.
    pub fn new(settings: ReadSpilloverSettings) -> ReadSpillover {
        ReadSpillover {
            settings,
            missing: 0.0,
            healthy_since: None,
        }
    }

    /// Takes in the cell's health as of `now`.
    pub fn observe(&mut self, health: CellHealth, now: Duration) {
        match health {
            CellHealth::Degraded { available } => {
                self.missing = 1.0 - available;
                self.healthy_since = None;
            }
            CellHealth::Healthy { .. } if self.missing > 0.0 => {
                let since = *self.healthy_since.get_or_insert(now);
                if now.saturating_sub(since) >= self.settings.recovery_ramp {
                    self.missing = 0.0;
                    self.healthy_since = None;
                }
            }
            // An isolated observer learns nothing new.
            CellHealth::Healthy { .. } | CellHealth::ObserverIsolated => {}
        }
    }

    /// The fraction of the cell's reads that a neighbour may serve now, from 0 to 1, by the weights of both: what is
    /// missing, but no more than the neighbour's limit.
    pub fn fraction(&self, cell_weight: f64, neighbour_weight: f64, now: Duration) -> f64 {
        let remaining = self.healthy_since.map_or(1.0, |since| {
            let elapsed = now.saturating_sub(since).as_secs_f64();
            1.0 - elapsed / self.settings.recovery_ramp.as_secs_f64().max(1e-9)
        });
        let limit = if cell_weight > 0.0 {
            self.settings.max_neighbour_fraction * neighbour_weight / cell_weight
        } else {
            0.0
        };
        (self.missing * remaining.clamp(0.0, 1.0))
            .min(limit)
            .clamp(0.0, 1.0)
    }
}
