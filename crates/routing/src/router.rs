//! State of the router: open requests, the queue of each cell, and the decisions on them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cells::{Cell, CellMap, Name};

use crate::availability::{usable_nodes, Availability};
use crate::node_selection::{NodeSelector, Selection};
use crate::outlier::EjectionState;
use crate::request::{AttemptOutcome, Rejection, Request, RetryDecision, RouteDecision, Ticket};
use crate::retry_budget::RetryBudgets;
use crate::settings::RoutingSettings;

/// A request that is in flight or queued.
#[derive(Clone, Debug)]
struct OpenRequest {
    request: Request,
    cell: Name,
    /// Nodes of earlier attempts.
    tried_nodes: Vec<Name>,
    /// Node of the current attempt; `None` while the request is queued.
    node: Option<Name>,
}

/// Makes the routing decisions of one router process, for all cells.
#[derive(Debug)]
pub struct Router {
    settings: RoutingSettings,
    selector: NodeSelector,
    retry_budgets: RetryBudgets,
    open: BTreeMap<Ticket, OpenRequest>,
    /// Queued requests of each cell, in order of arrival.
    queues: BTreeMap<Name, VecDeque<Ticket>>,
    next_ticket: Ticket,
}

impl Router {
    /// Creates a router without requests. Equal seeds and events lead to equal decisions.
    pub fn new(settings: RoutingSettings, seed: u64) -> Router {
        Router {
            selector: NodeSelector::new(&settings, seed),
            retry_budgets: RetryBudgets::new(
                settings.retry_budget_ratio,
                settings.retry_budget_burst,
                settings.max_retry_budgets,
            ),
            settings,
            open: BTreeMap::new(),
            queues: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// Returns the number of requests that are in flight or queued.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of requests in flight at this node.
    pub fn in_flight(&self, node: &str) -> usize {
        self.selector.in_flight(node)
    }

    /// Returns the retry budgets, for setting the router's quota and reading its use.
    pub fn retry_budgets(&mut self) -> &mut RetryBudgets {
        &mut self.retry_budgets
    }

    /// Returns the ejection state of a node at `now`.
    pub fn ejection_state(&self, node: &str, now: Duration) -> EjectionState {
        self.selector.ejection_state(node, now)
    }

    /// Decides on a request that has arrived. `availability` returns the availability of a node.
    pub fn route_request<A: Into<Availability>>(
        &mut self,
        request: Request,
        map: &CellMap,
        availability: impl Fn(&str) -> A,
        now: Duration,
    ) -> (Ticket, RouteDecision) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let decision = self.decide_on_arrival(ticket, request, map, &availability, now);
        (ticket, decision)
    }

    fn decide_on_arrival<A: Into<Availability>>(
        &mut self,
        ticket: Ticket,
        request: Request,
        map: &CellMap,
        availability: &impl Fn(&str) -> A,
        now: Duration,
    ) -> RouteDecision {
        if !self.has_time_left(&request, now) {
            return RouteDecision::Reject(Rejection::DeadlinePassed);
        }
        let Some(cell) = cell_for(map, &request) else {
            return RouteDecision::Reject(Rejection::NoCell);
        };
        self.retry_budgets
            .record_first_attempt(&request.tenant, &cell.name);
        let mut open = OpenRequest {
            request,
            cell: cell.name.clone(),
            tried_nodes: Vec::new(),
            node: None,
        };
        let retry_after = self.settings.retry_after;
        let decision = match self.select_node(&open, cell, map, availability, now) {
            Selection::Node(node) => {
                self.begin_attempt(&mut open, &node);
                RouteDecision::Forward(node)
            }
            Selection::AllBusy => {
                let queue = self.queues.entry(cell.name.clone()).or_default();
                if queue.len() >= self.settings.max_queued_per_cell {
                    return RouteDecision::Reject(Rejection::QueueFull { retry_after });
                }
                queue.push_back(ticket);
                RouteDecision::Queue
            }
            Selection::NoneAvailable => {
                return RouteDecision::Reject(Rejection::NoNode { retry_after });
            }
        };
        self.open.insert(ticket, open);
        decision
    }

    /// Decides on a request whose attempt has ended. `capacity_hint` is the one in the node's
    /// answer, if any. The slot at the node is free afterwards, so a queued request may be
    /// forwardable; see [`Router::route_next_queued`].
    pub fn finish_attempt<A: Into<Availability>>(
        &mut self,
        ticket: Ticket,
        outcome: AttemptOutcome,
        capacity_hint: Option<f64>,
        map: &CellMap,
        availability: impl Fn(&str) -> A,
        now: Duration,
    ) -> RetryDecision {
        let Some(mut open) = self.open.remove(&ticket) else {
            return RetryDecision::ReturnAnswer;
        };
        if let Some(node) = open.node.take() {
            self.selector
                .finish_attempt(&node, outcome, capacity_hint, now);
            open.tried_nodes.push(node);
        }
        if let Some(node) = self.retry_node(&mut open, outcome, map, &availability, now) {
            self.begin_attempt(&mut open, &node);
            self.open.insert(ticket, open);
            return RetryDecision::Retry(node);
        }
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::Failed | AttemptOutcome::Rejected { .. } => {
                RetryDecision::ReturnAnswer
            }
            AttemptOutcome::NotSent => RetryDecision::NeverRan {
                retry_after: self.settings.retry_after,
            },
            AttemptOutcome::Lost => RetryDecision::MayHaveRun,
        }
    }

    /// Returns the node for a retry and deducts the retry from its budget, or returns `None` if the
    /// request is not retried.
    fn retry_node<A: Into<Availability>>(
        &mut self,
        open: &mut OpenRequest,
        outcome: AttemptOutcome,
        map: &CellMap,
        availability: &impl Fn(&str) -> A,
        now: Duration,
    ) -> Option<Name> {
        let may_retry = match outcome {
            AttemptOutcome::Served | AttemptOutcome::Failed => false,
            AttemptOutcome::Rejected { is_final } => !is_final,
            AttemptOutcome::NotSent => true,
            AttemptOutcome::Lost => open.request.is_idempotent,
        };
        let has_attempts_left = open.tried_nodes.len() < usize::from(self.settings.max_attempts);
        if !may_retry || !self.has_time_left(&open.request, now) || !has_attempts_left {
            return None;
        }
        let cell = cell_for(map, &open.request)?;
        // The tenant may have migrated: a request that may still run in its previous cell must not
        // be sent to another cell.
        if cell.name != open.cell && outcome == AttemptOutcome::Lost {
            return None;
        }
        open.cell = cell.name.clone();
        let Selection::Node(node) = self.select_node(open, cell, map, availability, now) else {
            return None;
        };
        self.retry_budgets
            .try_spend_retry(&open.request.tenant, &open.cell, now)
            .then_some(node)
    }

    /// Removes a queued request whose deadline has passed. Returns false if it is not queued.
    pub fn remove_queued(&mut self, ticket: Ticket) -> bool {
        let Some(open) = self.open.get(&ticket).filter(|open| open.node.is_none()) else {
            return false;
        };
        if let Some(queue) = self.queues.get_mut(&open.cell) {
            queue.retain(|queued| *queued != ticket);
        }
        self.open.remove(&ticket);
        true
    }

    /// Decides on the next queued request that can be forwarded or has to be rejected. Returns
    /// `None` if all requests remain queued.
    pub fn route_next_queued<A: Into<Availability>>(
        &mut self,
        map: &CellMap,
        availability: impl Fn(&str) -> A,
        now: Duration,
    ) -> Option<(Ticket, RouteDecision)> {
        let cells: Vec<Name> = self.queues.keys().cloned().collect();
        for cell in cells {
            let Some((ticket, mut open)) = self.first_queued(&cell) else {
                self.queues.remove(&cell);
                continue;
            };
            let decision = self.decide_on_queued(&mut open, map, &availability, now);
            if decision == RouteDecision::Queue {
                continue;
            }
            self.queues.get_mut(&cell).and_then(VecDeque::pop_front);
            self.open.remove(&ticket);
            if let RouteDecision::Forward(node) = &decision {
                self.begin_attempt(&mut open, node);
                self.open.insert(ticket, open);
            }
            return Some((ticket, decision));
        }
        None
    }

    /// Returns the first request in the queue of a cell. Drops tickets of requests that are no
    /// longer open.
    fn first_queued(&mut self, cell: &Name) -> Option<(Ticket, OpenRequest)> {
        let queue = self.queues.get_mut(cell)?;
        while let Some(ticket) = queue.front() {
            if let Some(open) = self.open.get(ticket) {
                return Some((*ticket, open.clone()));
            }
            queue.pop_front();
        }
        None
    }

    fn decide_on_queued<A: Into<Availability>>(
        &mut self,
        open: &mut OpenRequest,
        map: &CellMap,
        availability: &impl Fn(&str) -> A,
        now: Duration,
    ) -> RouteDecision {
        if !self.has_time_left(&open.request, now) {
            return RouteDecision::Reject(Rejection::DeadlinePassed);
        }
        let Some(cell) = cell_for(map, &open.request) else {
            return RouteDecision::Reject(Rejection::NoCell);
        };
        match self.select_node(open, cell, map, availability, now) {
            Selection::Node(node) => {
                open.cell = cell.name.clone();
                RouteDecision::Forward(node)
            }
            Selection::AllBusy => RouteDecision::Queue,
            Selection::NoneAvailable => RouteDecision::Reject(Rejection::NoNode {
                retry_after: self.settings.retry_after,
            }),
        }
    }

    /// Selects a node of the cell that the request has not been sent to.
    fn select_node<A: Into<Availability>>(
        &mut self,
        open: &OpenRequest,
        cell: &Cell,
        map: &CellMap,
        availability: &impl Fn(&str) -> A,
        now: Duration,
    ) -> Selection {
        let mut nodes = map.shard_nodes(cell, &open.request.tenant);
        nodes.retain(|node| !open.tried_nodes.contains(&node.name));
        let nodes = usable_nodes(nodes, availability);
        self.selector
            .select(&nodes, open.request.is_idempotent, now)
    }

    fn begin_attempt(&mut self, open: &mut OpenRequest, node: &Name) {
        self.selector.begin_attempt(node);
        open.node = Some(node.clone());
    }

    fn has_time_left(&self, request: &Request, now: Duration) -> bool {
        request.deadline >= now + self.settings.min_time_left
    }
}

fn cell_for<'a>(map: &'a CellMap, request: &Request) -> Option<&'a Cell> {
    map.cell_for(&request.tenant, request.subject.as_deref())
}
