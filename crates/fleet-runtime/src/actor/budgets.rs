//! Running the budgets: reporting usage, renewing leases, and publishing what may be spent.

use membership::Name;
use rand::RngExt;
use shared_state::{Budgets, Message};
use slog::{debug, info};

use super::FleetActor;

impl FleetActor {
    /// Reports what is in use and wanted, runs the timers that are due, and publishes what may be spent.
    pub(super) fn update_budgets(&mut self) {
        if !self.socket.is_open() {
            return;
        }
        let now = self.now();
        let Some(mut budgets) = self.budgets.take() else {
            return;
        };
        for (index, (_, quota)) in self.quotas.iter().enumerate() {
            budgets.set_usage(index, quota.usage(), now);
        }
        if budgets.next_timeout() <= now {
            let mut messages = Vec::new();
            let draw = self.rng.random::<f64>();
            budgets.handle_timeout(now, draw, self.membership.present_names(), &mut messages);
            self.send_shared_state(messages);
        }
        self.publish_budgets(&budgets);
        self.budgets = Some(budgets);
    }

    pub(super) fn handle_budget_message(&mut self, sender: &Name, message: Message) {
        let now = self.now();
        let Some(mut budgets) = self.budgets.take() else {
            return;
        };
        let mut replies = Vec::new();
        budgets.handle_message(sender, message, now, &mut replies);
        self.send_shared_state(replies);
        self.publish_budgets(&budgets);
        self.budgets = Some(budgets);
    }

    fn publish_budgets(&mut self, budgets: &Budgets) {
        let has_changed = self.publish_quotas(budgets);
        let leader = budgets.leader(self.now()).map(|leader| leader.name);
        if leader != self.budget_leader {
            info!(self.log, "budgets"; "leader" => leader.as_deref().unwrap_or("none"));
            self.budget_leader = leader;
        }
        if has_changed {
            (self.on_change)();
        }
    }

    /// Publishes this node's quotas; whether the leased units of any have changed.
    fn publish_quotas(&self, budgets: &Budgets) -> bool {
        let mut has_changed = false;
        for (index, (name, quota)) in self.quotas.iter().enumerate() {
            let Some(spendable) = budgets.spendable_quota(index) else {
                continue;
            };
            let previous = quota.set_spendable(spendable);
            if spendable.leased.units != previous.leased.units {
                has_changed = true;
                debug!(self.log, "budget"; "name" => &**name, "leased" => spendable.leased.units,
                    "guaranteed" => spendable.guaranteed.units);
            }
        }
        has_changed
    }
}
