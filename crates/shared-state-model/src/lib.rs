//! Model of shared budgets for `stateright`: holders that request quota, start calls, crash and
//! restart; leaders that follow one another; and a network that loses, duplicates and delays
//! messages. The lease table and the lease holders are the production code. The model does not run
//! the election: as the election guarantees, there is one leader at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use membership::Name;
use shared_state::{LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LeaseTimings, QuotaUsage};
use stateright::{Model, Property};

/// A bug that is injected into the use of the state machines, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A new leader treats the whole pool as free.
    NoWaitForPreviousGrants,
    /// Requests under an earlier leader's term are granted.
    RequestsOfAnyTerm,
    /// A holder's lease is counted from the arrival of the grant instead of from the request.
    LeaseFromGrant,
    /// Calls may last longer than configured.
    CallsOverMaxDuration,
}

/// Bounds of the model, and the injected bug if there is one.
#[derive(Clone, Debug)]
pub struct QuotaModel {
    /// Maximum number of time steps.
    pub max_steps: u64,
    /// Maximum number of requests of all holders in all of their incarnations.
    pub max_requests: u8,
    /// Maximum number of crashes of all holders.
    pub max_crashes: u8,
    /// Maximum number of leaders after the first.
    pub max_leader_changes: u8,
    /// The injected bug.
    pub bug: Option<InjectedBug>,
}

/// Total units of the budget. No node has a guaranteed quota.
const TOTAL_UNITS: u64 = 1;
/// Number of holders.
const HOLDER_COUNT: usize = 2;
/// The first time step. It leaves room for times that are calculated backwards from it.
const FIRST_STEP: u64 = 10;
/// Maximum number of steps that a call lasts.
const MAX_CALL_STEPS: u64 = 1;
/// Number of steps that a call lasts with [`InjectedBug::CallsOverMaxDuration`].
const TOO_LONG_CALL_STEPS: u64 = 4;

/// Returns the time of a step, or the duration of a number of steps.
fn steps_to_duration(steps: u64) -> Duration {
    Duration::from_millis(steps)
}

fn timings() -> LeaseTimings {
    LeaseTimings {
        lease_duration: steps_to_duration(3),
        request_interval: steps_to_duration(1),
        min_request_interval: steps_to_duration(1),
        max_call_duration: steps_to_duration(MAX_CALL_STEPS),
        leadership_duration: steps_to_duration(1),
        max_drift_ppm: 0,
    }
}

fn name(holder: usize) -> Name {
    format!("h{holder}").into()
}

/// The state of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The lease of this incarnation.
    pub lease: LeaseHolder,
    /// Increases with each start.
    pub incarnation: u64,
    /// The leader's term that the holder knows.
    pub term: u8,
    /// Number of requests so far, in all incarnations.
    pub requests: u8,
    /// Number of calls of this incarnation in flight.
    pub in_flight: u64,
}

/// A message between a holder and the leader that was sent and may arrive once or several times.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope<M> {
    /// Index of the holder that sent the message or is to receive it.
    pub holder: usize,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The leader's term.
    pub term: u8,
    /// The message.
    pub message: M,
}

/// A call at the dependency.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    /// Index of the holder that started it.
    pub holder: usize,
    /// The holder's incarnation when it started the call.
    pub incarnation: u64,
    /// The step at which the call ends.
    pub ends_at: u64,
}

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    /// The present time step.
    pub now: u64,
    /// The holders.
    pub holders: Vec<Holder>,
    /// The leader's lease table.
    pub table: LeaseTable,
    /// The leader's term.
    pub term: u8,
    /// Requests that may still arrive.
    pub requests: BTreeSet<Envelope<LeaseRequest>>,
    /// Grants that may still arrive.
    pub grants: BTreeSet<Envelope<LeaseGrant>>,
    /// Calls in flight at the dependency.
    pub calls: Vec<Call>,
    /// Number of crashes so far.
    pub crashes: u8,
}

impl SystemState {
    /// Returns the units that a holder may spend now.
    fn limit(&self, holder: usize) -> u64 {
        self.holders[holder]
            .lease
            .limit(steps_to_duration(self.now))
    }

    /// Advances time by one step and ends the calls that are due.
    fn advance(&mut self) {
        self.now += 1;
        for (index, holder) in self.holders.iter_mut().enumerate() {
            let ended = self.calls.iter().filter(|call| {
                call.holder == index
                    && call.incarnation == holder.incarnation
                    && call.ends_at <= self.now
            });
            holder.in_flight -= ended.count() as u64;
        }
        self.calls.retain(|call| call.ends_at > self.now);
    }

    /// Sends a holder's request for the whole total.
    fn request(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        holder.requests += 1;
        holder.lease.set_usage(QuotaUsage {
            in_use: holder.in_flight,
            demand: TOTAL_UNITS,
        });
        let request = holder.lease.next_request(steps_to_duration(self.now));
        self.requests.insert(Envelope {
            holder: index,
            incarnation: holder.incarnation,
            term: holder.term,
            message: request,
        });
    }

    /// Starts a call of a holder that lasts this many steps.
    fn start_call(&mut self, index: usize, steps: u64) {
        let holder = &mut self.holders[index];
        holder.in_flight += 1;
        self.calls.push(Call {
            holder: index,
            incarnation: holder.incarnation,
            ends_at: self.now + steps,
        });
        self.calls.sort_unstable();
    }

    /// Ends a holder's process and starts it again.
    fn restart(&mut self, index: usize) {
        self.crashes += 1;
        let holder = &mut self.holders[index];
        holder.lease = LeaseHolder::new(&timings(), 0, steps_to_duration(self.now));
        holder.incarnation += 1;
        holder.in_flight = 0;
    }
}

/// An event of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time advances by one step.
    AdvanceTime,
    /// A holder requests the whole total.
    Request(usize),
    /// A request arrives, for the first time or repeatedly.
    DeliverRequest(Envelope<LeaseRequest>),
    /// A grant arrives, for the first time or repeatedly.
    DeliverGrant(Envelope<LeaseGrant>),
    /// A holder starts a call.
    StartCall(usize),
    /// A holder's process ends and starts again immediately. A later start would not be a harder
    /// case.
    Restart(usize),
    /// Another leader follows.
    ChangeLeader,
}

impl QuotaModel {
    fn call_steps(&self) -> u64 {
        if self.bug == Some(InjectedBug::CallsOverMaxDuration) {
            TOO_LONG_CALL_STEPS
        } else {
            MAX_CALL_STEPS
        }
    }

    /// Returns the lease table of a leader that begins at this step.
    fn new_table(&self, now: u64) -> LeaseTable {
        let began_at = match self.bug {
            // As if it had been the leader for a long time.
            Some(InjectedBug::NoWaitForPreviousGrants) => Duration::ZERO,
            _ => steps_to_duration(now),
        };
        LeaseTable::new(&timings(), TOTAL_UNITS, began_at)
    }

    fn deliver_request(&self, state: &mut SystemState, request: &Envelope<LeaseRequest>) {
        let accepts_any_term = self.bug == Some(InjectedBug::RequestsOfAnyTerm);
        // A second delivery has no effect, because the sequence number is known or the term has
        // passed. The request therefore need not be kept.
        if !accepts_any_term {
            state.requests.remove(request);
        }
        if request.term != state.term && !accepts_any_term {
            // The holder learns the present term. Its request is not granted.
            state.holders[request.holder].term = state.term;
            return;
        }
        let grant = state.table.grant_request(
            &name(request.holder),
            request.incarnation,
            request.message,
            steps_to_duration(state.now),
        );
        if let Some(grant) = grant {
            state.grants.insert(Envelope {
                holder: request.holder,
                incarnation: request.incarnation,
                term: state.term,
                message: grant,
            });
        }
    }

    fn deliver_grant(&self, state: &mut SystemState, envelope: &Envelope<LeaseGrant>) {
        // A second delivery would be outdated by the first.
        state.grants.remove(envelope);
        let now = steps_to_duration(state.now);
        let holder = &mut state.holders[envelope.holder];
        if holder.incarnation != envelope.incarnation {
            return;
        }
        holder.term = holder.term.max(envelope.term);
        let mut grant = envelope.message;
        if self.bug == Some(InjectedBug::LeaseFromGrant) {
            // As if the grant had been requested just now.
            grant.seq = holder.lease.next_request(now).seq;
        }
        holder.lease.apply_grant(grant);
    }
}

impl Model for QuotaModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        let holder = Holder {
            lease: LeaseHolder::new(&timings(), 0, steps_to_duration(FIRST_STEP)),
            incarnation: 1,
            term: 0,
            requests: 0,
            in_flight: 0,
        };
        vec![SystemState {
            now: FIRST_STEP,
            holders: vec![holder; HOLDER_COUNT],
            // Grants of leaders before the first have expired.
            table: LeaseTable::new(&timings(), TOTAL_UNITS, Duration::ZERO),
            term: 0,
            requests: BTreeSet::new(),
            grants: BTreeSet::new(),
            calls: Vec::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        if state.now < FIRST_STEP + self.max_steps {
            actions.push(Action::AdvanceTime);
        }
        let request_count: u8 = state.holders.iter().map(|h| h.requests).sum();
        for (index, holder) in state.holders.iter().enumerate() {
            if request_count < self.max_requests {
                actions.push(Action::Request(index));
            }
            if holder.in_flight < state.limit(index) {
                actions.push(Action::StartCall(index));
            }
            if state.crashes < self.max_crashes {
                actions.push(Action::Restart(index));
            }
        }
        actions.extend(state.requests.iter().cloned().map(Action::DeliverRequest));
        actions.extend(state.grants.iter().cloned().map(Action::DeliverGrant));
        if state.term < self.max_leader_changes {
            actions.push(Action::ChangeLeader);
        }
    }

    fn next_state(&self, state: &SystemState, action: Action) -> Option<SystemState> {
        let mut next = state.clone();
        match action {
            Action::AdvanceTime => next.advance(),
            Action::Request(holder) => next.request(holder),
            Action::DeliverRequest(request) => self.deliver_request(&mut next, &request),
            Action::DeliverGrant(grant) => self.deliver_grant(&mut next, &grant),
            Action::StartCall(holder) => next.start_call(holder, self.call_steps()),
            Action::Restart(holder) => next.restart(holder),
            Action::ChangeLeader => {
                next.term += 1;
                next.table = self.new_table(state.now);
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "units in flight never exceed the total",
                |_, state: &SystemState| state.calls.len() as u64 <= TOTAL_UNITS,
            ),
            Property::always(
                "units that may be spent never exceed the total",
                |_, state: &SystemState| {
                    let limits = (0..state.holders.len()).map(|index| state.limit(index));
                    limits.sum::<u64>() <= TOTAL_UNITS
                },
            ),
            Property::sometimes("the whole total is in flight", |_, state: &SystemState| {
                state.calls.len() as u64 == TOTAL_UNITS
            }),
            Property::sometimes(
                "the quota has moved to another holder",
                |_, state: &SystemState| {
                    state.limit(1) == TOTAL_UNITS
                        && state.holders[0].requests > 0
                        && !state.calls.is_empty()
                },
            ),
        ]
    }
}
