//! Runs the budgets: reports usage, renews leases, and publishes the quotas that may be spent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use membership::Name;
use mio::Waker;
use rand::RngExt;
use shared_state::{Budgets, LeaseTimings, Message, SharedStateSnapshot};
use slog::{debug, info, Logger};

use crate::config::Config;
use crate::quota_handle::QuotaHandle;

use super::spawn::Identity;
use super::FleetActor;

/// The budgets that the fleet divides among its members, and this member's shares of them.
pub(super) struct BudgetSharing {
    protocol: Budgets,
    /// This member's shares, in the order of the configuration.
    quotas: Vec<(Name, QuotaHandle)>,
    /// The last logged leader, which grants the budgets.
    logged_leader: Option<Name>,
}

impl BudgetSharing {
    /// Creates the budgets of a configuration. Returns `None` if it has none.
    pub(super) fn new(
        config: &Config,
        identity: &Identity,
        started_at: Instant,
        waker: &Arc<Waker>,
    ) -> Option<BudgetSharing> {
        if config.budgets.is_empty() {
            return None;
        }
        let protocol = Budgets::new(
            LeaseTimings::default(),
            identity.name.clone(),
            identity.incarnation,
            config.voters.clone(),
            config.budgets.clone(),
            Duration::ZERO,
        );
        let new_quota = || QuotaHandle::new(started_at, waker.clone());
        Some(BudgetSharing {
            protocol,
            quotas: config
                .budgets
                .iter()
                .map(|budget| (budget.name.clone(), new_quota()))
                .collect(),
            logged_leader: None,
        })
    }

    /// Returns this member's shares, with the names of the budgets.
    pub(super) fn quotas(&self) -> &[(Name, QuotaHandle)] {
        &self.quotas
    }

    pub(super) fn next_timeout(&self) -> Duration {
        self.protocol.next_timeout()
    }

    pub(super) fn snapshot(&self, now: Duration) -> SharedStateSnapshot {
        self.protocol.snapshot(now)
    }

    /// Sets the totals of the budgets from a reloaded configuration. A budget that is missing there
    /// keeps its total.
    pub(super) fn reload_totals(&mut self, current: &Config, reloaded: &Config) {
        let total = |name: &Name| {
            let budget = reloaded.budgets.iter().find(|budget| budget.name == *name);
            budget.map(|budget| budget.total)
        };
        let totals: Vec<_> = current
            .budgets
            .iter()
            .map(|budget| total(&budget.name).unwrap_or(budget.total))
            .collect();
        self.protocol.set_totals(&totals);
    }

    /// Records whether another process with the same name is running, so that the guaranteed quotas
    /// are not spent by both.
    pub(super) fn set_sibling_running(&mut self, is_running: bool, now: Duration) {
        if is_running {
            self.protocol.yield_to_sibling();
        } else {
            self.protocol.resume_after_sibling(now);
        }
    }

    fn report_usage(&mut self, now: Duration) {
        for (index, (_, quota)) in self.quotas.iter().enumerate() {
            self.protocol.set_usage(index, quota.usage(), now);
        }
    }

    /// Publishes the quotas that may be spent. Returns true if the leased units of any budget have
    /// changed.
    fn publish_quotas(&self, log: &Logger) -> bool {
        let mut has_changed = false;
        for (index, (name, quota)) in self.quotas.iter().enumerate() {
            let Some(spendable) = self.protocol.spendable_quota(index) else {
                continue;
            };
            let previous = quota.set_spendable(spendable);
            if spendable.leased.units != previous.leased.units {
                has_changed = true;
                debug!(log, "budget"; "name" => &**name, "leased" => spendable.leased.units,
                    "guaranteed" => spendable.guaranteed.units);
            }
        }
        has_changed
    }

    fn log_leader_change(&mut self, now: Duration, log: &Logger) {
        let leader = self.protocol.leader(now).map(|leader| leader.name);
        if leader != self.logged_leader {
            info!(log, "budgets"; "leader" => leader.as_deref().unwrap_or("none"));
            self.logged_leader = leader;
        }
    }
}

impl FleetActor {
    /// Reports usage and demand, runs the timers that are due, and publishes the quotas that may be
    /// spent.
    pub(super) fn update_budgets(&mut self) {
        if !self.socket.is_open() {
            return;
        }
        let now = self.now();
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        budgets.report_usage(now);
        if budgets.next_timeout() <= now {
            let mut messages = Vec::new();
            let draw = self.rng.random::<f64>();
            let present = self.membership.present_names();
            budgets
                .protocol
                .handle_timeout(now, draw, present, &mut messages);
            self.send_shared_state(messages);
        }
        self.publish_budgets();
    }

    pub(super) fn handle_budget_message(&mut self, sender: &Name, message: Message) {
        let now = self.now();
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let mut replies = Vec::new();
        budgets
            .protocol
            .handle_message(sender, message, now, &mut replies);
        self.send_shared_state(replies);
        self.publish_budgets();
    }

    fn publish_budgets(&mut self) {
        let now = self.now();
        let Some(budgets) = &mut self.budgets else {
            return;
        };
        let has_changed = budgets.publish_quotas(&self.log);
        budgets.log_leader_change(now, &self.log);
        if has_changed {
            self.publisher.notify();
        }
    }
}
