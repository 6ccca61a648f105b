//! Read spillover: the fraction of a degraded cell's reads that its neighbours serve.

use std::time::Duration;

use crate::health::CellHealth;

/// Limits on the reads of a degraded cell that spill over to its neighbours.
#[derive(Clone, Debug)]
pub struct ReadSpilloverSettings {
    /// Largest fraction of a neighbour's capacity that spilled reads may use.
    pub max_neighbour_fraction: f64,
    /// Duration over which the spillover decreases to zero once the cell is healthy again.
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

/// Decides how much of a degraded cell's reads its neighbours serve. Settlements never spill over:
/// a second node that does not know their keys could run them twice.
#[derive(Clone, Debug, Default)]
pub struct ReadSpillover {
    settings: ReadSpilloverSettings,
    /// Fraction of the cell that was unavailable when it was last degraded.
    unavailable: f64,
    /// Time at which the cell became healthy after that.
    healthy_since: Option<Duration>,
}

impl ReadSpillover {
    /// Creates the spillover of a healthy cell.
    pub fn new(settings: ReadSpilloverSettings) -> ReadSpillover {
        ReadSpillover {
            settings,
            unavailable: 0.0,
            healthy_since: None,
        }
    }

    /// Updates the state with the cell's health as of `now`.
    pub fn observe(&mut self, health: CellHealth, now: Duration) {
        match health {
            CellHealth::Degraded { available } => {
                self.unavailable = 1.0 - available;
                self.healthy_since = None;
            }
            CellHealth::Healthy { .. } if self.unavailable > 0.0 => {
                let since = *self.healthy_since.get_or_insert(now);
                if now.saturating_sub(since) >= self.settings.recovery_ramp {
                    self.unavailable = 0.0;
                    self.healthy_since = None;
                }
            }
            // An isolated observer has no new information.
            CellHealth::Healthy { .. } | CellHealth::ObserverIsolated => {}
        }
    }

    /// Returns the fraction of the cell's reads that a neighbour may serve now, from 0 to 1: the
    /// unavailable fraction of the cell, which decreases during the recovery ramp, limited by the
    /// neighbour's capacity according to the weights of both.
    pub fn fraction(&self, cell_weight: f64, neighbour_weight: f64, now: Duration) -> f64 {
        let ramp_factor = self.healthy_since.map_or(1.0, |since| {
            let elapsed = now.saturating_sub(since).as_secs_f64();
            1.0 - elapsed / self.settings.recovery_ramp.as_secs_f64().max(1e-9)
        });
        let limit = if cell_weight > 0.0 {
            self.settings.max_neighbour_fraction * neighbour_weight / cell_weight
        } else {
            0.0
        };
        (self.unavailable * ramp_factor.clamp(0.0, 1.0))
            .min(limit)
            .clamp(0.0, 1.0)
    }
}
