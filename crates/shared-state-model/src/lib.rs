//! Shared budgets as a model for `stateright`: holders that request quota, start calls, crash and restart, a leader that is
//! followed by another, and a network that loses, duplicates and delays messages. The lease table and the lease holders are
//! the production ones. Leaders are given, one after the other, as the election guarantees.

use std::collections::BTreeSet;
use std::time::Duration;

use membership::Name;
use shared_state::{LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LeaseTimings, QuotaUsage};
use stateright::{Model, Property};

/// A bug put into the use of the state machines on purpose, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A new leader considers the whole pool free.
    NoWaitForPreviousGrants,
    /// Requests under an earlier leader's term are granted.
    RequestsOfAnyTerm,
    /// A holder's lease counts from the arrival of the grant.
    LeaseFromGrant,
    /// Calls may last longer than configured.
    CallsOverMaxDuration,
}

/// Bounds of the model, and its injected bug if it has one.
#[derive(Clone, Debug)]
pub struct QuotaModel {
    /// Steps of time in all.
    pub steps: u64,
    /// Requests of all holders, over their incarnations.
    pub requests: u8,
    /// Crashes of holders in all.
    pub crashes: u8,
    /// Leaders after the first.
    pub leader_changes: u8,
    /// What is wrong on purpose.
    pub bug: Option<InjectedBug>,
}

/// The total of the budget; no node has a guaranteed quota.
const TOTAL: u64 = 1;
/// Number of holders.
const HOLDERS: usize = 2;
/// The first step of time, late enough for the times that are counted back from it.
const FIRST_STEP: u64 = 10;
/// Steps that a call lasts at the most.
const MAX_CALL_STEPS: u64 = 1;
/// Steps that a call lasts with [`InjectedBug::CallsOverMaxDuration`].
const TOO_LONG_CALL_STEPS: u64 = 4;

/// The time of a step, or the duration of a number of steps.
fn time(steps: u64) -> Duration {
    Duration::from_millis(steps)
}

fn timings() -> LeaseTimings {
    LeaseTimings {
        lease_duration: time(3),
        request_interval: time(1),
        min_request_interval: time(1),
        max_call_duration: time(MAX_CALL_STEPS),
        leadership_duration: time(1),
        max_drift_ppm: 0,
    }
}

fn name(holder: usize) -> Name {
    format!("h{holder}").into()
}

/// A holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Its lease, in this incarnation.
    pub lease: LeaseHolder,
    /// Rises with each start.
    pub incarnation: u64,
    /// The leader's term that it knows.
    pub term: u8,
    /// Requests so far.
    pub requests: u8,
    /// Calls of this incarnation in flight.
    pub in_flight: u64,
}

/// A message between a holder and the leader that was sent and may arrive, or arrive again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope<M> {
    /// Index of the holder that sent or is to receive it.
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
    /// The holder's incarnation then.
    pub incarnation: u64,
    /// The step by which it has ended.
    pub ends_at: u64,
}

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    /// The step of time.
    pub now: u64,
    /// The holders.
    pub holders: Vec<Holder>,
    /// The leader's lease table.
    pub table: LeaseTable,
    /// The leader's term.
    pub term: u8,
    /// Requests that may arrive.
    pub requests: BTreeSet<Envelope<LeaseRequest>>,
    /// Grants that may arrive.
    pub grants: BTreeSet<Envelope<LeaseGrant>>,
    /// Calls in flight at the dependency.
    pub calls: Vec<Call>,
    /// Crashes so far.
    pub crashes: u8,
}

impl SystemState {
    /// What a holder may spend now.
    fn limit(&self, holder: usize) -> u64 {
        self.holders[holder].lease.limit(time(self.now))
    }

    /// Time passes; calls that are due end.
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

    /// A holder requests the whole total.
    fn request(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        holder.requests += 1;
        holder.lease.set_usage(QuotaUsage {
            in_use: holder.in_flight,
            demand: TOTAL,
        });
        let request = holder.lease.next_request(time(self.now));
        self.requests.insert(Envelope {
            holder: index,
            incarnation: holder.incarnation,
            term: holder.term,
            message: request,
        });
    }

    /// A holder starts a call that lasts this many steps.
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

    /// A holder's process ends and starts again.
    fn restart(&mut self, index: usize) {
        self.crashes += 1;
        let holder = &mut self.holders[index];
        holder.lease = LeaseHolder::new(&timings(), 0, time(self.now));
        holder.incarnation += 1;
        holder.in_flight = 0;
    }
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time passes.
    AdvanceTime,
    /// A holder requests the whole total.
    Request(usize),
    /// A request arrives, for the first time or again.
    DeliverRequest(Envelope<LeaseRequest>),
    /// A grant arrives, for the first time or again.
    DeliverGrant(Envelope<LeaseGrant>),
    /// A holder starts a call.
    StartCall(usize),
    /// A holder's process ends and starts again at once: a later start is no harder.
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

    /// The lease table of a leader that begins at this step.
    fn new_table(&self, now: u64) -> LeaseTable {
        let began_at = match self.bug {
            // As if it had been the leader for long.
            Some(InjectedBug::NoWaitForPreviousGrants) => Duration::ZERO,
            _ => time(now),
        };
        LeaseTable::new(&timings(), TOTAL, began_at)
    }

    fn deliver_request(&self, state: &mut SystemState, request: &Envelope<LeaseRequest>) {
        let accepts_any_term = self.bug == Some(InjectedBug::RequestsOfAnyTerm);
        // A second delivery has no effect, because its number is known or its term has passed; so it need not be kept.
        if !accepts_any_term {
            state.requests.remove(request);
        }
        if request.term != state.term && !accepts_any_term {
            // The holder learns the present term; its request is not granted.
            state.holders[request.holder].term = state.term;
            return;
        }
        let grant = state.table.grant_request(
            &name(request.holder),
            request.incarnation,
            request.message,
            time(state.now),
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
        let now = time(state.now);
        let holder = &mut state.holders[envelope.holder];
        if holder.incarnation != envelope.incarnation {
            return;
        }
        holder.term = holder.term.max(envelope.term);
        let mut grant = envelope.message;
        if self.bug == Some(InjectedBug::LeaseFromGrant) {
            // As if it had been requested just now.
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
            lease: LeaseHolder::new(&timings(), 0, time(FIRST_STEP)),
            incarnation: 1,
            term: 0,
            requests: 0,
            in_flight: 0,
        };
        vec![SystemState {
            now: FIRST_STEP,
            holders: vec![holder; HOLDERS],
            // Grants of leaders before the first have expired.
            table: LeaseTable::new(&timings(), TOTAL, Duration::ZERO),
            term: 0,
            requests: BTreeSet::new(),
            grants: BTreeSet::new(),
            calls: Vec::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        if state.now < FIRST_STEP + self.steps {
            actions.push(Action::AdvanceTime);
        }
        let requests: u8 = state.holders.iter().map(|h| h.requests).sum();
        for (index, holder) in state.holders.iter().enumerate() {
            if requests < self.requests {
                actions.push(Action::Request(index));
            }
            if holder.in_flight < state.limit(index) {
                actions.push(Action::StartCall(index));
            }
            if state.crashes < self.crashes {
                actions.push(Action::Restart(index));
            }
        }
        actions.extend(state.requests.iter().cloned().map(Action::DeliverRequest));
        actions.extend(state.grants.iter().cloned().map(Action::DeliverGrant));
        if state.term < self.leader_changes {
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
                "what is in flight never exceeds the total",
                |_, state: &SystemState| state.calls.len() as u64 <= TOTAL,
            ),
            Property::always(
                "what may be spent never exceeds the total",
                |_, state: &SystemState| {
                    let limits = (0..state.holders.len()).map(|index| state.limit(index));
                    limits.sum::<u64>() <= TOTAL
                },
            ),
            Property::sometimes("all of the total is in flight", |_, state: &SystemState| {
                state.calls.len() as u64 == TOTAL
            }),
            Property::sometimes("a quota has moved", |_, state: &SystemState| {
                state.limit(1) == TOTAL && state.holders[0].requests > 0 && !state.calls.is_empty()
            }),
        ]
    }
}
