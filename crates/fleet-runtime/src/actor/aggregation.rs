//! Running the aggregation of counters and health observations, and concluding the health of the ledger.

use membership::{AdvertisedStatus, Name};
use rand::RngExt;
use shared_state::{
    evaluate_health, AggregationMessage, CallCounts, DependencyHealth, HealthState, Message,
    Outgoing, ServiceObservation, SharedStateSnapshot, LEDGER,
};
use slog::info;

use crate::shared_counters::FleetCounters;

use super::publishing::serves_clients;
use super::FleetActor;

impl FleetActor {
    /// Reports this node's counters if that is due, and publishes what is known.
    pub(super) fn update_aggregation(&mut self) {
        let now = self.now();
        if !self.socket.is_open() {
            return;
        }
        let Some(aggregation) = &mut self.aggregation else {
            return;
        };
        if aggregation.node.next_timeout() > now {
            return;
        }
        let observed = aggregation.counters.observe_ledger().health;
        let observations: Vec<_> = observed
            .filter(|_| self.config.shares_ledger_health)
            .map(|health| ServiceObservation {
                service: LEDGER,
                health,
            })
            .into_iter()
            .collect();
        let counts = aggregation.counters.in_flight().load();
        let draw = self.rng.random::<f64>();
        let mut messages = Vec::new();
        aggregation
            .node
            .handle_timeout(now, &counts, &observations, draw, &mut messages);
        self.send_aggregation(messages);
        self.publish_aggregate();
    }

    pub(super) fn handle_aggregation_message(
        &mut self,
        sender: &Name,
        message: AggregationMessage,
    ) {
        let now = self.now();
        let Some(aggregation) = &mut self.aggregation else {
            return;
        };
        let mut replies = Vec::new();
        aggregation
            .node
            .handle_message(sender, message, now, &mut replies);
        self.send_aggregation(replies);
        self.publish_aggregate();
    }

    fn send_aggregation(&mut self, messages: Vec<Outgoing<AggregationMessage>>) {
        let messages = messages
            .into_iter()
            .map(|Outgoing { to, message }| Outgoing {
                to,
                message: Message::Aggregation(message),
            })
            .collect();
        self.send_shared_state(messages);
    }

    /// Publishes the aggregate and the health of the ledger that follows from it.
    fn publish_aggregate(&mut self) {
        let now = self.now();
        let Some(aggregation) = &self.aggregation else {
            return;
        };
        let aggregate = aggregation.node.aggregate().clone();
        let observation = aggregation.counters.observe_ledger();
        let others = aggregate.tally(LEDGER, now);
        let previous_health = self.ledger_health.health();
        if self.config.shares_ledger_health {
            let site_count = self.membership.sites().len();
            let health = evaluate_health(observation.health, &others, site_count);
            self.ledger_health.update(now, health, aggregate.as_of);
        }
        let ledger_health = self.ledger_health.health();
        let expires_at = self.started_at + aggregate.expires_at;
        aggregation.counters.publish(FleetCounters {
            aggregate,
            expires_at,
            ledger_health,
        });
        if ledger_health != previous_health {
            info!(self.log, "ledger"; "health" => ledger_health.name(),
                "previous" => previous_health.name(), "calls" => observation.calls.total,
                "failed" => observation.calls.failed, "others" => ?others);
            (self.on_change)();
            self.set_withdrawn(ledger_health == DependencyHealth::OnlyHere);
        }
    }

    /// Has a node that alone can't reach the ledger advertised as quiesced, so that routers pass it over, as long as more
    /// than half of the serving nodes accept requests. Otherwise nodes that fail serve the fleet better than none.
    fn set_withdrawn(&mut self, is_wanted: bool) {
        let own_name = &self.membership.own_record().name;
        let mut serving = 0;
        let mut accepting_elsewhere = 0;
        for record in self.membership.members().filter(|r| serves_clients(r)) {
            serving += 1;
            accepting_elsewhere +=
                usize::from(record.accepts_requests() && record.name != *own_name);
        }
        self.is_withdrawn = is_wanted && accepting_elsewhere * 2 > serving;
        self.advertise_status();
    }

    /// Advertises the status of the process to the other members.
    pub(super) fn advertise_status(&mut self) {
        let status = if self.is_withdrawn && self.process_status == AdvertisedStatus::Up {
            AdvertisedStatus::Quiesced
        } else {
            self.process_status
        };
        let now = self.now();
        self.membership.advertise_status(status, now);
        self.schedule_publication();
    }

    /// What this node knows of the shared state, for tools.
    pub(super) fn shared_state_snapshot(&self) -> SharedStateSnapshot {
        let now = self.now();
        let budgets = self.budgets.as_ref().map(|budgets| budgets.snapshot(now));
        let aggregate = self.aggregation.as_ref().map(|aggregation| {
            let changed_at = self.ledger_health.changed_at();
            let health = HealthState {
                health: self.ledger_health.health(),
                for_ms: now.saturating_sub(changed_at).as_millis() as u64,
            };
            let calls = aggregation.counters.observe_ledger().calls;
            let calls = CallCounts {
                total: calls.total as u32,
                failed: calls.failed as u32,
            };
            aggregation.node.snapshot(now, health, calls)
        });
        SharedStateSnapshot {
            aggregate,
            ..budgets.unwrap_or_default()
        }
    }
}
