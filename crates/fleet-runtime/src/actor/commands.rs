//! Applies the commands of the process.

use std::ops::ControlFlow;

use slog::warn;

use crate::config::Config;
use crate::handle::ActorCommand;

use super::{random_index, FleetActor};

impl FleetActor {
    /// Applies a command. Breaks if the actor must end.
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
                // Fails if the caller's wait has timed out; it then needs no reply.
                let _ = done.try_send(());
                return ControlFlow::Break(());
            }
        }
        self.schedule_publication();
        ControlFlow::Continue(())
    }

    /// Applies the settings that can change without a restart: seeds, timing and the totals of
    /// budgets.
    fn reload_config(&mut self, config: Config) {
        if !self.config.has_same_fixed_settings(&config) {
            warn!(
                self.log,
                "changes to fleet, site, addresses, counts or judgements in the fleet file take effect only after a restart"
            );
        }
        self.membership.set_seeds(config.seeds.clone());
        self.membership.set_settings(config.settings.clone());
        if let Some(budgets) = &mut self.budgets {
            budgets.reload_totals(&self.config, &config);
        }
        // Sharing stays as it is: if observations of the ledger were switched off here, its health
        // would never be updated again.
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
