//! Arriving requests, which are either answered at once or queued for the policy.

use std::time::Duration;

use idempotency::{Lookup, Micros};
use policy::{Idempotency, Request, RequestId, Span, TenantId};
use slog::warn;

use super::batch::PendingEvent;
use super::{to_duration, PolicyActor};
use crate::node::request_table::{KeyClaim, RequestEntry, RequestStage};
use crate::node::run_delivery::RunDelivery;
use crate::node::{steady_now, Arrival, Failure, Outcome};

impl PolicyActor {
    /// Answers a request that must not be queued, and queues any other.
    pub(super) fn receive_request(&mut self, arrival: Arrival) {
        let class = self.site.settings.classes.get(arrival.class.0);
        let idempotency = class.map_or(Idempotency::AtMostOnce, |c| c.idempotency);
        let claim = self.key_claim(&arrival, idempotency);
        let lookup = claim.map_or(Lookup::Unknown, |c| {
            self.requests
                .keys
                .lookup(c.key_digest, c.payload_digest, Micros(c.arrived_at.0))
        });
        match self.check_arrival(&arrival, idempotency, lookup) {
            Ok(repeats) => self.enqueue(arrival, idempotency, claim, repeats),
            Err(outcome) => self.respond(arrival.responder, outcome),
        }
    }

    /// Returns the digests of a request's idempotency key and payload, or `None` if it has no key
    /// or its class may run repeatedly.
    fn key_claim(&self, arrival: &Arrival, idempotency: Idempotency) -> Option<KeyClaim> {
        let key = arrival.idempotency_key.as_ref()?;
        if idempotency == Idempotency::Idempotent {
            return None;
        }
        let digests = &self.requests.digests;
        Some(KeyClaim {
            key_digest: digests.digest((arrival.class, arrival.tenant, key)),
            payload_digest: digests.digest(arrival.payload.as_base64()),
            arrived_at: arrival.arrived_at,
        })
    }

    /// Checks whether a request may be queued. Returns the known request that it repeats, if any.
    ///
    /// # Errors
    /// The answer to a request that must not be queued.
    fn check_arrival(
        &self,
        arrival: &Arrival,
        idempotency: Idempotency,
        lookup: Lookup,
    ) -> Result<Option<RequestId>, Outcome> {
        let repeats = match lookup {
            Lookup::DuplicateOf(owner) => Some(RequestId(owner)),
            Lookup::AlreadyRan => return Err(Outcome::Failed(Failure::MayHaveRun)),
            Lookup::BodyMismatch => return Err(Outcome::Failed(Failure::PayloadMismatch)),
            Lookup::Unknown | Lookup::TableFull => None,
        };
        // An earlier attempt may have run, in another process or on another node, so that this
        // attempt could run the request a second time. If the key is known here, the table of keys
        // is the better source.
        let is_known_here = idempotency == Idempotency::ByKey && repeats.is_some();
        let may_have_run = match idempotency {
            Idempotency::Idempotent => false,
            Idempotency::AtMostOnce => arrival.may_have_run,
            Idempotency::ByKey => arrival.may_have_run || self.may_have_run_at_sibling(arrival),
        } && !is_known_here;
        if may_have_run || (repeats.is_some() && arrival.is_handed_back) {
            return Err(Outcome::Failed(Failure::MayHaveRun));
        }
        if repeats.is_none() {
            self.check_cell(arrival)?;
        }
        if self.policy.is_none() || lookup == Lookup::TableFull || arrival.is_handed_back {
            return Err(Outcome::rejected(self.site.settings.max_retry_after));
        }
        if self.has_expired(arrival) {
            return Err(match repeats {
                // After a rejection, another node could accept a request that may have taken
                // effect.
                Some(_) => Outcome::Failed(Failure::MayHaveRun),
                None => Outcome::Rejected {
                    retry_after: Span(0),
                    is_final: true,
                },
            });
        }
        if self.requests.find(arrival.uid).is_some() {
            self.rate_limited.duplicate_uid.log(|suppressed| {
                warn!(self.log, "duplicate request id"; "uid" => %arrival.uid, "arrival" => %arrival.id,
                    "suppressed" => suppressed);
            });
            return Err(Outcome::Failed(Failure::Internal));
        }
        // The executor would run it again, as it knows ids of current runs alone.
        if repeats.is_none() && self.ended_runs.contains(arrival.uid) {
            return Err(Outcome::Failed(Failure::MayHaveRun));
        }
        Ok(repeats)
    }

    /// Returns true if this may be another attempt of a request that ran in another process of the
    /// node, which has its own table of keys.
    fn may_have_run_at_sibling(&self, arrival: &Arrival) -> bool {
        let class = self.site.settings.classes.get(arrival.class.0);
        let window = class.map_or(Duration::ZERO, |class| {
            to_duration(class.idempotency_window)
        });
        arrival.is_retry && self.sibling.had_keys_within(window)
    }

    /// Checks that this node's cell serves the request's tenant.
    ///
    /// # Errors
    /// The answer to a request whose tenant belongs to another cell.
    fn check_cell(&self, arrival: &Arrival) -> Result<(), Outcome> {
        let (Some(cells), Some(key)) = (&self.cells, &arrival.cell_key) else {
            return Ok(());
        };
        match cells.wrong_cell_epoch(&key.tenant, key.subject.as_deref()) {
            Some(epoch) => Err(Outcome::WrongCell { epoch }),
            None => Ok(()),
        }
    }

    /// Returns true if the caller's timeout or the deadline has passed. The policy must not see the
    /// age of such a request: it would treat the node as overloaded, though no queue here explains
    /// the age.
    fn has_expired(&self, arrival: &Arrival) -> bool {
        let settings = &self.site.settings;
        let deadline = settings
            .classes
            .get(arrival.class.0)
            .map_or(Span(0), |c| c.deadline);
        let timeout = arrival
            .caller_timeout
            .map_or(deadline, |timeout| timeout.min(deadline));
        arrival.arrived_at + timeout + settings.answer_slack < steady_now()
    }

    /// Inserts a request into the table as queued, and has the policy read it in the next batch.
    fn enqueue(
        &mut self,
        arrival: Arrival,
        idempotency: Idempotency,
        claim: Option<KeyClaim>,
        repeats: Option<RequestId>,
    ) {
        let run_kb = arrival.queued_kb * self.site.settings.run_memory_factor;
        self.record_run_size(run_kb);
        let claim = claim.filter(|_| repeats.is_none());
        let request = policy_request(&arrival, idempotency, repeats);
        let entry = RequestEntry {
            uid: arrival.uid,
            arrival: arrival.id,
            class: arrival.class,
            payload: arrival.payload,
            queued_kb: arrival.queued_kb,
            responder: Some(arrival.responder),
            stage: RequestStage::Queued,
            answered_at: None,
            repeats,
            delivery: RunDelivery::NotSent,
            has_called: false,
            owns_key: claim.is_some(),
            fleet_key: self.count_in_fleet(arrival.tenant),
        };
        let id = self.requests.insert(entry, claim);
        if idempotency == Idempotency::AtMostOnce {
            self.requests.keys.extend_window(id.0, Micros::NEVER);
        }
        self.status.add_unanswered();
        self.pending.push(PendingEvent::Read(
            Request { id, ..request },
            arrival.arrived_at,
        ));
    }

    /// Counts a request of this tenant in the fleet's counters, if there are any, and returns the
    /// key that it is counted under.
    fn count_in_fleet(&self, tenant: Option<TenantId>) -> Option<u64> {
        let (fleet, tenant) = self.peers.fleet.as_ref().zip(tenant)?;
        let key = self
            .tenant_keys
            .get(tenant.0 as usize)
            .copied()
            .unwrap_or(tenant.0);
        fleet.own.increment(key);
        Some(key)
    }
}

/// Returns the request in the form that the policy reads. Its id is set when it is inserted into
/// the table, its age when the batch runs.
fn policy_request(
    arrival: &Arrival,
    idempotency: Idempotency,
    repeats: Option<RequestId>,
) -> Request {
    Request {
        id: RequestId(0),
        class: arrival.class,
        tenant: arrival.tenant,
        has_key: false,
        remaining_wait: arrival.caller_timeout,
        work_hint: None,
        queued_kb: arrival.queued_kb,
        is_retry: arrival.is_retry,
        is_write: idempotency != Idempotency::Idempotent,
        caller: arrival.caller,
        age: Span(0),
        duplicate_of: repeats,
    }
}
