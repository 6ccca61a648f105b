//! Decisions of a router in front of the nodes: which node of a tenant's cell a request goes to, whether it waits, is
//! refused or tried again, and which nodes are left out for a while. Times, random draws and events come in; what to do
//! goes out. One value decides for all cells of one router.

mod budget;
mod outlier;
mod presence;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cells::map::{CellMap, Name, Node};

pub use budget::Budget;
pub use outlier::{Outlier, Outliers, Standing};
pub use presence::{Checks, Presence};

/// A request's number at the router.
pub type Ticket = u64;

/// How a router decides.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Requests at one node of weight 1 at once; more wait.
    pub per_node: usize,
    /// Requests that wait for a node of one cell at once; more are refused.
    pub waiting: usize,
    /// Tries of one request in all.
    pub tries: u8,
    /// What a first try adds to its tenant's budget of further tries in its cell, in tries.
    pub budget_ratio: f64,
    /// The most that such a budget holds, in tries; it starts full.
    pub budget_burst: f64,
    /// Tenants whose budget is remembered; the one unused the longest goes first, and starts full if it comes back.
    pub budgets: usize,
    /// Before its deadline, how much time a try needs to be worth making.
    pub least_left: Duration,
    /// How long those refused for lack of a node are told to stay away, at the least.
    pub stay_away: Duration,
    /// What leaves a node out.
    pub outlier: Outlier,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            per_node: 64,
            waiting: 256,
            tries: 3,
            budget_ratio: 0.1,
            budget_burst: 10.0,
            budgets: 10_000,
            least_left: Duration::from_millis(20),
            stay_away: Duration::from_millis(200),
            outlier: Outlier::default(),
        }
    }
}

/// A request as the router sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Whose it is.
    pub tenant: Name,
    /// What it is about, where the tenant is split.
    pub subject: Option<Name>,
    /// It has an effect that must not come twice: once it may have run, it is never sent again.
    pub once: bool,
    /// When it is too late for an answer.
    pub deadline: Duration,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Route {
    /// It goes to this node.
    Send(Name),
    /// It waits for a place; [`Router::next`] tells when it has one.
    Wait,
    /// It is refused: it never ran.
    Refuse(Refusal),
}

/// Why a request is refused here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No cell serves its tenant.
    NoCell,
    /// No node of its cell is there.
    NoNode(Duration),
    /// So many wait already that it would not be served in time.
    Full(Duration),
    /// Its time is over.
    TooLate,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// The node refused it: it never ran there. `last` asks that no other node be tried.
    Refused {
        /// No other node is to be tried.
        last: bool,
    },
    /// The node failed it: it may have run.
    Failed,
    /// Nothing of it was written: the node could not be reached.
    NotSent,
    /// The connection broke, or no answer came: it may have run.
    Lost,
}

/// What is to be done after a try.
#[derive(Clone, Debug, PartialEq)]
pub enum After {
    /// The node's answer is the request's.
    Answer,
    /// It goes to this node next.
    Again(Name),
    /// There was no answer, and no other try is made: it failed and may have run.
    MayHaveRun,
    /// There was no answer, it never ran, and no other try is made.
    NeverRan(Duration),
}

#[derive(Clone, Debug)]
struct Open {
    request: Request,
    cell: Name,
    tried: Vec<Name>,
    at: Option<Name>,
}

#[derive(Clone, Debug, Default)]
struct AtNode {
    open: usize,
    /// The share of the usual traffic that it wants, as it last said.
    hint: Option<f64>,
}

/// Decides for one router; see the crate's head.
#[derive(Debug)]
pub struct Router {
    rules: Rules,
    nodes: BTreeMap<Name, AtNode>,
    outliers: Outliers,
    budgets: Budget,
    open: BTreeMap<Ticket, Open>,
    waiting: BTreeMap<Name, VecDeque<Ticket>>,
    next: Ticket,
    /// The state of the stream that breaks ties and picks the two that are compared.
    draw: u64,
}

impl Router {
    /// A router with nothing open. Equal seeds and events make equal decisions.
    pub fn new(rules: Rules, seed: u64) -> Router {
        Router {
            outliers: Outliers::new(rules.outlier.clone()),
            budgets: Budget::new(rules.budget_ratio, rules.budget_burst, rules.budgets),
            rules,
            nodes: BTreeMap::new(),
            open: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next: 1,
            draw: seed,
        }
    }

    /// Requests that are at a node or wait for one.
    pub fn open(&self) -> usize {
        self.open.len()
    }
    /// Requests at this node.
    pub fn at(&self, node: &str) -> usize {
        self.nodes.get(node).map_or(0, |n| n.open)
    }
    /// See [`Budget::set_part`] and [`Budget::take_counts`].
    pub fn budgets(&mut self) -> &mut Budget {
        &mut self.budgets
    }
    /// How a node stands.
    pub fn standing(&self, node: &str, now: Duration) -> Standing {
        self.outliers.standing(node, now)
    }

    /// A request has come. `there` tells how each node stands, by the fleet's view or by checks.
    pub fn arrive<P: Into<Presence>>(
        &mut self,
        request: Request,
        map: &CellMap,
        there: impl Fn(&str) -> P,
        now: Duration,
    ) -> (Ticket, Route) {
        let ticket = self.next;
        self.next += 1;
        if request.deadline < now + self.rules.least_left {
            return (ticket, Route::Refuse(Refusal::TooLate));
        }
        let Some(cell) = map.cell_for(&request.tenant, request.subject.as_deref()) else {
            return (ticket, Route::Refuse(Refusal::NoCell));
        };
        self.budgets.first_try(&request.tenant, &cell.name);
        let shard = map.shard_nodes(cell, &request.tenant);
        let up = presence::candidates(shard, &there);
        let mut open = Open {
            request,
            cell: cell.name.clone(),
            tried: Vec::new(),
            at: None,
        };
        let route = match self.choose(&open, &up, now) {
            Choice::Node(node) => {
                self.enter(&mut open, &node);
                Route::Send(node)
            }
            Choice::Busy => {
                let line = self.waiting.entry(cell.name.clone()).or_default();
                if line.len() >= self.rules.waiting {
                    return (ticket, Route::Refuse(Refusal::Full(self.rules.stay_away)));
                }
                line.push_back(ticket);
                Route::Wait
            }
            Choice::None => return (ticket, Route::Refuse(Refusal::NoNode(self.rules.stay_away))),
        };
        self.open.insert(ticket, open);
        (ticket, route)
    }

    /// A try has ended, with the node's free value if it told one. What to do, and a place is free for [`Router::next`].
    pub fn ended<P: Into<Presence>>(
        &mut self,
        ticket: Ticket,
        end: End,
        hint: Option<f64>,
        map: &CellMap,
        there: impl Fn(&str) -> P,
        now: Duration,
    ) -> After {
        let Some(mut open) = self.open.remove(&ticket) else {
            return After::Answer;
        };
        if let Some(node) = open.at.take() {
            let at = self.nodes.entry(node.clone()).or_default();
            at.open = at.open.saturating_sub(1);
            at.hint = hint.filter(|h| h.is_finite() && *h >= 0.0).or(at.hint);
            self.outliers
                .heard(&node, matches!(end, End::Served | End::Refused { .. }), now);
            open.tried.push(node);
        }
        let safe = match end {
            End::Served | End::Failed | End::Refused { last: true } => return After::Answer,
            End::Refused { last: false } | End::NotSent => true,
            End::Lost => !open.request.once,
        };
        let given_up = |router: &Router| match end {
            End::Refused { .. } => After::Answer,
            End::NotSent => After::NeverRan(router.rules.stay_away),
            _ => After::MayHaveRun,
        };
        let in_time = open.request.deadline >= now + self.rules.least_left;
        if !safe || !in_time || open.tried.len() >= usize::from(self.rules.tries) {
            return given_up(self);
        }
        // The tenant may have moved since: another cell never gets what this one may have in hand.
        let cell = map.cell_for(&open.request.tenant, open.request.subject.as_deref());
        let Some(cell) = cell.filter(|cell| cell.name == open.cell || end != End::Lost) else {
            return given_up(self);
        };
        open.cell = cell.name.clone();
        let shard = map.shard_nodes(cell, &open.request.tenant);
        let shard = shard
            .into_iter()
            .filter(|n| !open.tried.contains(&n.name))
            .collect();
        let up = presence::candidates(shard, &there);
        let Choice::Node(node) = self.choose(&open, &up, now) else {
            return given_up(self);
        };
        if !self
            .budgets
            .further_try(&open.request.tenant, &open.cell, now)
        {
            return given_up(self);
        }
        self.enter(&mut open, &node);
        self.open.insert(ticket, open);
        After::Again(node)
    }

    /// A request that waits is given up: its time is over, wherever in the line it stands. False where it does not wait.
    pub fn give_up(&mut self, ticket: Ticket) -> bool {
        let Some(cell) = self
            .open
            .get(&ticket)
            .filter(|open| open.at.is_none())
            .map(|open| open.cell.clone())
        else {
            return false;
        };
        self.open.remove(&ticket);
        if let Some(line) = self.waiting.get_mut(&cell) {
            line.retain(|waits| *waits != ticket);
        }
        true
    }

    /// The next of those that wait and what becomes of it, as long as there is a place or one whose time is over.
    pub fn next<P: Into<Presence>>(
        &mut self,
        map: &CellMap,
        there: impl Fn(&str) -> P,
        now: Duration,
    ) -> Option<(Ticket, Route)> {
        let cells: Vec<Name> = self.waiting.keys().cloned().collect();
        for cell in cells {
            let Some(ticket) = self
                .waiting
                .get(&cell)
                .and_then(|line| line.front().copied())
            else {
                self.waiting.remove(&cell);
                continue;
            };
            let Some(mut open) = self.open.get(&ticket).cloned() else {
                self.waiting.get_mut(&cell).and_then(VecDeque::pop_front);
                return self.next(map, there, now);
            };
            let late = open.request.deadline < now + self.rules.least_left;
            let home = map.cell_for(&open.request.tenant, open.request.subject.as_deref());
            let route = match home {
                _ if late => Route::Refuse(Refusal::TooLate),
                None => Route::Refuse(Refusal::NoCell),
                Some(home) => {
                    let shard = map.shard_nodes(home, &open.request.tenant);
                    let up = presence::candidates(shard, &there);
                    match self.choose(&open, &up, now) {
                        Choice::Node(node) => {
                            open.cell = home.name.clone();
                            Route::Send(node)
                        }
                        Choice::Busy => continue,
                        Choice::None => Route::Refuse(Refusal::NoNode(self.rules.stay_away)),
                    }
                }
            };
            self.waiting.get_mut(&cell).and_then(VecDeque::pop_front);
            match &route {
                Route::Send(node) => {
                    self.enter(&mut open, node);
                    self.open.insert(ticket, open);
                }
                _ => drop(self.open.remove(&ticket)),
            }
            return Some((ticket, route));
        }
        None
    }

    fn enter(&mut self, open: &mut Open, node: &Name) {
        self.nodes.entry(node.clone()).or_default().open += 1;
        open.at = Some(node.clone());
    }

    /// Of two drawn at random the one with less to do for what it can and wants. A node that is left out gets a probe now
    /// and then, and only a request that may be repeated.
    fn choose(&mut self, open: &Open, up: &[&Node], now: Duration) -> Choice {
        if up.is_empty() {
            return Choice::None;
        }
        let all: f64 = up.iter().map(|n| n.weight).sum();
        let out: f64 = up
            .iter()
            .filter(|n| self.outliers.standing(&n.name, now).is_out())
            .map(|n| n.weight)
            .sum();
        // With too many out it is no outlier any more: all are tried.
        let ignore = out > all * self.rules.outlier.most;
        let mut candidates: Vec<(&Name, f64)> = Vec::with_capacity(up.len());
        for node in up {
            let part = match self.outliers.standing(&node.name, now) {
                _ if ignore => 1.0,
                Standing::In { part } => part,
                Standing::Out => continue,
                Standing::Probe if open.request.once => continue,
                Standing::Probe => {
                    self.outliers.probe(&node.name, now);
                    return Choice::Node(node.name.clone());
                }
            };
            let at = self.nodes.get(&node.name);
            let (load, hint) = at.map_or((0, 1.0), |at| {
                (at.open, at.hint.unwrap_or(1.0).clamp(0.05, 4.0))
            });
            if (load as f64) < self.rules.per_node as f64 * node.weight {
                candidates.push((
                    &node.name,
                    (load as f64 + 1.0) / (node.weight * hint * part),
                ));
            }
        }
        match candidates.len() {
            0 => Choice::Busy,
            1 => Choice::Node(candidates[0].0.clone()),
            n => {
                let one = self.random(n);
                let other = (one + 1 + self.random(n - 1)) % n;
                let (a, b) = (candidates[one], candidates[other]);
                Choice::Node(if b.1 < a.1 { b.0.clone() } else { a.0.clone() })
            }
        }
    }

    /// A number below `n`, from a stream that the seed sets (splitmix64).
    fn random(&mut self, n: usize) -> usize {
        self.draw = self.draw.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.draw;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % n.max(1) as u64) as usize
    }
}

enum Choice {
    Node(Name),
    /// All have as much as they may.
    Busy,
    /// None is there.
    None,
}
