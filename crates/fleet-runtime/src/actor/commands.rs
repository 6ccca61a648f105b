//! Applying the commands of the process.

use std::ops::ControlFlow;

use slog::warn;

use crate::config::Config;
use crate::handle::ActorCommand;

use super::{random_index, FleetActor};

impl FleetActor {
    /// Applies a command; breaks if the actor is to end.
    pub(super) fn handle_command(&mut self, command: ActorCommand) -> ControlFlow<()> {
        let now = self.now();
        match command {
            ActorCommand::SetStatus(status) => {
                self.process_status = status;
                self.advertise_status();
            }
            ActorCommand::SetClientAddress(address) => {
                let address = self.config.client_address.unwrap_or(address);
                self.membership.set_client_address(Some(address), now);
            }
            ActorCommand::ReloadConfig(config) => self.reload_config(*config),
            ActorCommand::SetSiblingRunning(is_running) => {
                if let Some(budgets) = &mut self.budgets {
                    budgets.set_sibling_running(is_running, now);
                }
            }
            ActorCommand::Stop { announces, done } => {
                self.end_membership(announces);
                // A caller that no longer waits needs no reply.
                let _ = done.try_send(());
                return ControlFlow::Break(());
            }
        }
        self.schedule_publication();
        ControlFlow::Continue(())
    }

    /// Applies what can change without a restart: seeds, timing and the totals of budgets.
    fn reload_config(&mut self, config: Config) {
        if !self.config.has_same_fixed_settings(&config) {
            warn!(
                self.log,
                "fleet, site, addresses, counts and judgements of the fleet's file change with a restart only"
            );
        }
        self.membership.set_seeds(config.seeds.clone());
        self.membership.set_settings(config.settings.clone());
        if let Some(budgets) = &mut self.budgets {
            budgets.reload_totals(&self.config, &config);
        }
        // If observations of the ledger were switched off here, its health would stay at the last conclusion for good.
        self.config = Config {
            shares_counts: self.config.shares_counts,
            shares_ledger_health: self.config.shares_ledger_health,
            ..config
        };
    }

    fn end_membership(&mut self, announces: bool) {
        let now = self.now();
        let mut effects = Vec::new();
        if announces {
            let mut draw = random_index(&mut self.rng);
            self.membership.leave(now, &mut draw, &mut effects);
        } else {
            self.membership.mute();
        }
        self.apply_effects(effects);
    }
}
