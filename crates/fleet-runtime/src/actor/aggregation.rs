//! Running the aggregation of counters and health observations, and concluding the health of the ledger.

use membership::{Name, Said};
use rand::RngExt;
use shared_state::{judge, Judgement, Look, Message, Out, Said as AggregationMessage, LEDGER};
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
        if aggregation.protocol.next() > now {
            return;
        }
        let observed = aggregation.counters.observe_ledger().condition;
        let observations: Vec<_> = observed
            .filter(|_| self.config.shares_ledger_health)
            .map(|condition| (LEDGER, condition))
            .into_iter()
            .collect();
        let counts = aggregation.counters.in_flight().now();
        let draw = self.rng.random::<f64>();
        let mut messages = Vec::new();
        aggregation
            .protocol
            .tick(now, &counts, &observations, draw, &mut messages);
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
            .protocol
            .hear(sender, message, now, &mut replies);
        self.send_aggregation(replies);
        self.publish_aggregate();
    }

    fn send_aggregation(&mut self, messages: Vec<(Name, AggregationMessage)>) {
        let messages = messages
            .into_iter()
            .map(|(to, message)| Out::Tell(to, Message::Gather(message)))
            .collect();
        self.send_shared_state(messages);
    }

    /// Publishes the aggregate and the health of the ledger that follows from it.
    fn publish_aggregate(&mut self) {
        let now = self.now();
        let Some(aggregation) = &self.aggregation else {
            return;
        };
        let aggregate = aggregation.protocol.gathered().clone();
        let observation = aggregation.counters.observe_ledger();
        let others = aggregate.tally(LEDGER, now);
        let (previous_health, _) = self.ledger_judge.said();
        if self.config.shares_ledger_health {
            let site_count = self.membership.sites().len();
            let health = judge(observation.condition, &others, site_count);
            self.ledger_judge.look(now, health, aggregate.as_of);
        }
        let (ledger_health, _) = self.ledger_judge.said();
        let expires_at = self.started_at + aggregate.until;
        aggregation.counters.publish(FleetCounters {
            aggregate,
            expires_at,
            ledger_health,
        });
        if ledger_health != previous_health {
            info!(self.log, "ledger"; "health" => ledger_health.name(),
                "previous" => previous_health.name(), "calls" => observation.calls,
                "failed" => observation.failed_calls, "others" => ?others);
            (self.on_change)();
            self.set_withdrawn(ledger_health == Judgement::OnlyHere);
        }
    }

    /// Has a node that alone can't reach the ledger advertised as quiesced, so that routers pass it over, as long as more
    /// than half of the serving nodes accept requests. Otherwise nodes that fail serve the fleet better than none.
    fn set_withdrawn(&mut self, is_wanted: bool) {
        let own_name = &self.membership.me().name;
        let mut serving = 0;
        let mut accepting_elsewhere = 0;
        for record in self.membership.members().filter(|r| serves_clients(r)) {
            serving += 1;
            accepting_elsewhere += usize::from(record.takes_requests() && record.name != *own_name);
        }
        self.is_withdrawn = is_wanted && accepting_elsewhere * 2 > serving;
        self.advertise_status();
    }

    /// Advertises the status of the process to the other members.
    pub(super) fn advertise_status(&mut self) {
        let status = if self.is_withdrawn && self.process_status == Said::Up {
            Said::Quiesced
        } else {
            self.process_status
        };
        let now = self.now();
        self.membership.say(status, now);
        self.schedule_publication();
    }

    /// What this node knows of the shared state, for tools.
    pub(super) fn shared_state_snapshot(&self) -> Look {
        let now = self.now();
        let budgets = self.budgets.as_ref().map(|budgets| budgets.look(now));
        let gathered = self.aggregation.as_ref().map(|aggregation| {
            let observation = aggregation.counters.observe_ledger();
            let (health, since) = self.ledger_judge.said();
            let health_for_ms = now.saturating_sub(since).as_millis() as u64;
            aggregation.protocol.look(
                now,
                (health, health_for_ms),
                (observation.calls as u32, observation.failed_calls as u32),
            )
        });
        Look {
            gathered,
            ..budgets.unwrap_or_default()
        }
    }
}
