//! Invariants of the router under random steps.

use std::collections::{BTreeMap, BTreeSet};

use cells::CellMap;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use routing::{AttemptOutcome, Request, RetryDecision, RouteDecision, Router, Ticket};

use crate::fixtures::{map, ms, read_request, router_with};

const MAX_IN_FLIGHT_PER_NODE: usize = 2;
const MAX_QUEUED_PER_CELL: usize = 3;
const CELLS: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A request arrives; `time_left_ms` is the time to its deadline.
    Arrive {
        runs_once: bool,
        is_for_second_cell: bool,
        time_left_ms: u16,
    },
    /// The attempt of one of the requests in flight ends. Both fields are indices.
    Finish { request: u8, outcome: u8 },
    /// The router decides on the next queued request.
    RouteQueued,
    /// This number of milliseconds passes.
    Wait(u16),
    /// A node becomes unavailable, or available again.
    ToggleNode(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 12 {
            0..=4 => Step::Arrive {
                runs_once: bool::arbitrary(g),
                is_for_second_cell: bool::arbitrary(g),
                time_left_ms: u16::arbitrary(g) % 3000,
            },
            5..=8 => Step::Finish {
                request: u8::arbitrary(g),
                outcome: u8::arbitrary(g) % 5,
            },
            9 => Step::RouteQueued,
            10 => Step::Wait(u16::arbitrary(g) % 400),
            _ => Step::ToggleNode(u8::arbitrary(g) % 6),
        }
    }
}

const OUTCOMES: [AttemptOutcome; 5] = [
    AttemptOutcome::Served,
    AttemptOutcome::Rejected { is_final: false },
    AttemptOutcome::Failed,
    AttemptOutcome::NotSent,
    AttemptOutcome::Lost,
];

/// A request in flight and the nodes that it was sent to, the current one last.
struct InFlight {
    request: Request,
    nodes: Vec<String>,
}

/// A step that broke an invariant.
struct Violation;

/// A router, and the requests that should be open at it according to its decisions.
struct Model {
    map: CellMap,
    router: Router,
    now_ms: u64,
    unavailable: BTreeSet<String>,
    in_flight: BTreeMap<Ticket, InFlight>,
    queued: BTreeMap<Ticket, Request>,
    decisions: Vec<String>,
}

impl Model {
    fn new() -> Model {
        let router = router_with(|s| {
            s.max_in_flight_per_node = MAX_IN_FLIGHT_PER_NODE;
            s.max_queued_per_cell = MAX_QUEUED_PER_CELL;
            s.max_attempts = 3;
        });
        Model {
            map: map(),
            router,
            now_ms: 0,
            unavailable: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            queued: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), Violation> {
        match step {
            Step::Arrive {
                runs_once,
                is_for_second_cell,
                time_left_ms,
            } => {
                let tenant = if *is_for_second_cell {
                    "solpiana"
                } else {
                    "alpenergia"
                };
                let request = Request {
                    is_idempotent: !runs_once,
                    deadline: ms(self.now_ms + u64::from(*time_left_ms)),
                    ..read_request(tenant)
                };
                self.arrive(request)
            }
            Step::Finish { request, outcome } => {
                let index = usize::from(*request) % self.in_flight.len().max(1);
                match self.in_flight.keys().nth(index).copied() {
                    Some(ticket) => self.finish(ticket, OUTCOMES[usize::from(*outcome)]),
                    None => Ok(()),
                }
            }
            Step::RouteQueued => self.route_queued(),
            Step::Wait(time_ms) => {
                self.now_ms += u64::from(*time_ms);
                Ok(())
            }
            Step::ToggleNode(n) => {
                let node = format!("{}{}", if n % 2 == 0 { "a" } else { "b" }, n / 2);
                if !self.unavailable.remove(&node) {
                    self.unavailable.insert(node);
                }
                Ok(())
            }
        }
    }

    fn arrive(&mut self, request: Request) -> Result<(), Violation> {
        let is_available = |node: &str| !self.unavailable.contains(node);
        let (ticket, decision) =
            self.router
                .route_request(request.clone(), &self.map, is_available, ms(self.now_ms));
        self.record_decision(ticket, request, decision)
    }

    fn route_queued(&mut self) -> Result<(), Violation> {
        let is_available = |node: &str| !self.unavailable.contains(node);
        let routed = self
            .router
            .route_next_queued(&self.map, is_available, ms(self.now_ms));
        let Some((ticket, decision)) = routed else {
            return Ok(());
        };
        let request = self.queued.remove(&ticket).ok_or(Violation)?;
        self.record_decision(ticket, request, decision)
    }

    /// Records a decision, and checks that a request is forwarded only to an available node of its
    /// cell.
    fn record_decision(
        &mut self,
        ticket: Ticket,
        request: Request,
        decision: RouteDecision,
    ) -> Result<(), Violation> {
        self.decisions.push(format!("{ticket} {decision:?}"));
        match decision {
            RouteDecision::Forward(node) => {
                let is_second_cell = &*request.tenant == "solpiana";
                let cell = if is_second_cell { 'b' } else { 'a' };
                if !node.starts_with(cell) || self.unavailable.contains(&*node) {
                    return Err(Violation);
                }
                let nodes = vec![node.to_string()];
                self.in_flight.insert(ticket, InFlight { request, nodes });
            }
            RouteDecision::Queue => drop(self.queued.insert(ticket, request)),
            RouteDecision::Reject(_) => {}
        }
        Ok(())
    }

    /// Finishes an attempt, and checks that a request is retried only at another node, and only if
    /// it did not run or is idempotent.
    fn finish(&mut self, ticket: Ticket, outcome: AttemptOutcome) -> Result<(), Violation> {
        let mut finished = self.in_flight.remove(&ticket).ok_or(Violation)?;
        let is_available = |node: &str| !self.unavailable.contains(node);
        let decision = self.router.finish_attempt(
            ticket,
            outcome,
            None,
            &self.map,
            is_available,
            ms(self.now_ms),
        );
        self.decisions.push(format!("{decision:?}"));
        let RetryDecision::Retry(node) = decision else {
            return Ok(());
        };
        let node = node.to_string();
        let may_have_run = matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Failed);
        let may_run_twice = may_have_run && !finished.request.is_idempotent;
        if finished.nodes.contains(&node) || may_run_twice || outcome == AttemptOutcome::Served {
            return Err(Violation);
        }
        finished.nodes.push(node);
        self.in_flight.insert(ticket, finished);
        Ok(())
    }

    /// Checks that the router's counts equal those of the model and are within the limits.
    fn check_counts(&self) -> Result<(), Violation> {
        let mut loads: BTreeMap<&String, usize> = BTreeMap::new();
        for request in self.in_flight.values() {
            if let Some(node) = request.nodes.last() {
                *loads.entry(node).or_default() += 1;
            }
        }
        let are_loads_right = loads.iter().all(|(node, load)| {
            self.router.in_flight(node) == *load && *load <= MAX_IN_FLIGHT_PER_NODE
        });
        let open = self.in_flight.len() + self.queued.len();
        let is_queue_bounded = self.queued.len() <= MAX_QUEUED_PER_CELL * CELLS;
        if are_loads_right && is_queue_bounded && self.router.open_requests() == open {
            Ok(())
        } else {
            Err(Violation)
        }
    }
}

fn decisions(steps: &[Step]) -> Result<Vec<String>, Violation> {
    let mut model = Model::new();
    for step in steps {
        model.apply(step)?;
        model.check_counts()?;
    }
    Ok(model.decisions)
}

/// Under any sequence of steps: open requests are those that have arrived and not ended, a
/// settlement that may have run is not sent to another node, no request is sent to a node twice, to
/// a busy node or to another cell, and equal steps lead to equal decisions.
#[test]
fn random_steps_keep_the_invariants() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn check(steps: Vec<Step>) -> bool {
        match (decisions(&steps), decisions(&steps)) {
            (Ok(first), Ok(second)) => first == second,
            _ => false,
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 0x6d6f_7468))
        .tests(2000)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
