//! Runs the aggregation of counters and health observations, and evaluates the health of the
//! ledger.

use std::time::Duration;

use membership::{AdvertisedStatus, Name};
use rand::RngExt;
use shared_state::{
    evaluate_health, AggregateSnapshot, AggregationMessage, AggregationNode, CallCounts,
    DependencyHealth, HealthEvaluator, HealthState, Message, Outgoing, ReportingSettings,
    ServiceObservation, SharedStateSnapshot, LEDGER,
};
use slog::info;

use crate::config::Config;
use crate::shared_counters::{FleetCounters, SharedCounters};

use super::publishing::serves_clients;
use super::spawn::Identity;
use super::FleetActor;

/// The aggregation of counters over the fleet, this node's own counters, and the health of the
/// ledger that is derived from both.
pub(super) struct Aggregation {
    pub(super) node: AggregationNode,
    counters: SharedCounters,
    ledger_health: HealthEvaluator,
}

impl Aggregation {
    pub(super) fn new(
        config: &Config,
        identity: &Identity,
        counters: SharedCounters,
    ) -> Aggregation {
        let node = AggregationNode::new(
            ReportingSettings::default(),
            identity.name.clone(),
            config.site.clone(),
            identity.incarnation,
            Duration::ZERO,
        );
        Aggregation {
            node,
            counters,
            ledger_health: HealthEvaluator::default(),
        }
    }

    /// Returns the ledger's health as this node observes it, for its report. Empty if there were
    /// too few calls.
    fn ledger_observations(&self) -> Vec<ServiceObservation> {
        let observed = self.counters.observe_ledger().health;
        observed
            .map(|health| ServiceObservation {
                service: LEDGER,
                health,
            })
            .into_iter()
            .collect()
    }

    fn snapshot(&self, now: Duration) -> AggregateSnapshot {
        let health = HealthState {
            health: self.ledger_health.health(),
            for_ms: now
                .saturating_sub(self.ledger_health.changed_at())
                .as_millis() as u64,
        };
        let calls = self.counters.observe_ledger().calls;
        let calls = CallCounts {
            total: calls.total as u32,
            failed: calls.failed as u32,
        };
        self.node.snapshot(now, health, calls)
    }
}

impl FleetActor {
    /// Runs the timers of the aggregation that are due: sends this node's report and publishes the
    /// aggregate.
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
        let observations = if self.config.shares_ledger_health {
            aggregation.ledger_observations()
        } else {
            Vec::new()
        };
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

    /// Publishes the aggregate and the health of the ledger that is derived from it.
    fn publish_aggregate(&mut self) {
        let now = self.now();
        let Some(aggregation) = &mut self.aggregation else {
            return;
        };
        let aggregate = aggregation.node.aggregate().clone();
        let observation = aggregation.counters.observe_ledger();
        let others = aggregate.observation_counts(LEDGER, now);
        let previous_health = aggregation.ledger_health.health();
        if self.config.shares_ledger_health {
            let site_count = self.membership.sites().len();
            let health = evaluate_health(observation.health, &others, site_count);
            aggregation
                .ledger_health
                .update(now, health, aggregate.as_of);
        }
        let ledger_health = aggregation.ledger_health.health();
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
            self.publisher.notify();
            self.set_withdrawn(ledger_health == DependencyHealth::OnlyHere);
        }
    }

    /// Advertises this node as quiesced if it alone can't reach the ledger, so that routers skip
    /// it. That requires that more than half of the serving nodes are others that accept requests;
    /// otherwise nodes that fail are better for the fleet than none.
    fn set_withdrawn(&mut self, is_requested: bool) {
        let own_name = &self.membership.own_record().name;
        let mut serving = 0;
        let mut accepting_elsewhere = 0;
        for record in self.membership.members().filter(|r| serves_clients(r)) {
            serving += 1;
            accepting_elsewhere +=
                usize::from(record.accepts_requests() && record.name != *own_name);
        }
        self.is_withdrawn = is_requested && accepting_elsewhere * 2 > serving;
        self.advertise_status();
    }

    /// Advertises the status of the process to the other members, or `Quiesced` instead of `Up`
    /// while the node is withdrawn.
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

    /// Returns what this node knows of the shared state, for queries from tools.
    pub(super) fn shared_state_snapshot(&self) -> SharedStateSnapshot {
        let now = self.now();
        let budgets = self.budgets.as_ref().map(|budgets| budgets.snapshot(now));
        SharedStateSnapshot {
            aggregate: self.aggregation.as_ref().map(|a| a.snapshot(now)),
            ..budgets.unwrap_or_default()
        }
    }
}
