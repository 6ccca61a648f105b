//! The move of a tenant as a model for `stateright`: a coordinator, a source and a target, clients with one settlement
//! each, and a network that loses, doubles and reorders. The machines are the crate `cells`' own.

use std::collections::BTreeSet;

use cells::moves::{Event, Fence, Gate, Holding, Key, Life, Move, NodeId, Order, Report, Step};
use stateright::{Model, Property};

/// The node that serves the tenant before the move, and the one after it.
const SOURCE: NodeId = 0;
const TARGET: NodeId = 1;
/// The epoch before the move.
const EPOCH: u64 = 1;

/// A fault put into the protocol on purpose, to show that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// What the sources know is not handed over.
    SkipHandOver,
    /// The coordinator goes on before the sources have frozen.
    SkipFreeze,
    /// A source that died with what it knew raises no doubt.
    ForgetDoubt,
    /// Nodes obey what was said to an earlier life.
    IgnoreLife,
    /// A silent source counts as fenced while its lease runs.
    FenceTooSoon,
    /// A target that started anew is told to serve without being told what is known.
    SkipRetelling,
}

/// The model's bounds, and its flaw if it has one.
#[derive(Clone, Debug)]
pub struct Moving {
    /// Tries of each client.
    pub tries: u8,
    /// Clients, each with a settlement of its own.
    pub clients: u8,
    /// Node crashes in all.
    pub crashes: u8,
    /// What is wrong on purpose.
    pub flaw: Option<Flaw>,
}

/// Where a client's try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum At {
    /// Nothing is out.
    Idle,
    /// On its way to this node, by a router that knows this epoch.
    Sent(NodeId, u64),
    /// Taken up by this node, in this life.
    InHand(NodeId, Life),
    /// Answered for good.
    Over,
}

/// A client and its settlement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// Tries so far.
    pub tries: u8,
    /// The one that is out.
    pub at: At,
    /// It heard that the settlement was made.
    pub acked: bool,
    /// It heard that it may have been.
    pub doubted: bool,
    /// How often it was made.
    pub runs: u8,
    /// Where it was taken up and may still run, whether anyone waits for it or not.
    pub pending: BTreeSet<(NodeId, Life)>,
}

/// All there is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The coordinator's journal: what it has in memory is never more.
    pub work: Move,
    /// The fence of each node; none while its process is dead.
    pub fences: Vec<Option<Fence>>,
    /// The life of each node's process, the last one's while it is dead.
    pub lives: Vec<Life>,
    /// Orders and reports that were ever sent: any may arrive at any time, again and again, or never.
    pub orders: BTreeSet<(NodeId, Order)>,
    /// See `orders`.
    pub reports: BTreeSet<(NodeId, Report)>,
    /// The clients.
    pub clients: Vec<Client>,
    /// Crashes so far.
    pub crashes: u8,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// An order arrives.
    Order(NodeId, Order),
    /// A report arrives.
    Report(NodeId, Report),
    /// A node's process dies. Its executor may go on.
    Crash(NodeId),
    /// It starts again.
    Restart(NodeId),
    /// A source has not heard of the coordinator for too long.
    LeaseRunsOut(NodeId),
    /// The coordinator is sure that a source serves nobody.
    Fenced(NodeId),
    /// The move is given up.
    GiveUp,
    /// A client sends its settlement, through a router that knows this epoch, to this node.
    Try(usize, NodeId, u64),
    /// It arrives.
    Arrives(usize),
    /// The connection breaks, on the way there or back.
    Breaks(usize),
    /// Work that was taken up is refused before it runs.
    Refused(usize, NodeId, Life),
    /// It runs.
    Runs(usize, NodeId, Life),
    /// The node learns of the end and answers who still waits.
    Answers(usize, NodeId, Life),
}

impl State {
    fn send(&mut self) {
        self.orders.extend(self.work.orders());
    }
    fn serves(&self, node: NodeId) -> bool {
        let fence = self.fences[node as usize].as_ref();
        fence.is_some_and(|f| f.holding == Holding::Serves && f.leased)
    }
}

impl Moving {
    /// What a flaw makes of the coordinator's state.
    fn spoil(&self, work: &mut Move) {
        match self.flaw {
            Some(Flaw::SkipHandOver) if work.step == Step::HandOver => work.step = Step::Commit,
            Some(Flaw::SkipFreeze) if work.step == Step::Freeze => work.step = Step::HandOver,
            Some(Flaw::ForgetDoubt) => work.doubtful = false,
            Some(Flaw::SkipRetelling) => work.anew.clear(),
            _ => {}
        }
    }
}

impl Model for Moving {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let Ok(work) = Move::new(
            7,
            EPOCH + 1,
            BTreeSet::from([SOURCE]),
            BTreeSet::from([TARGET]),
        ) else {
            return Vec::new();
        };
        let client = Client {
            tries: 0,
            at: At::Idle,
            acked: false,
            doubted: false,
            runs: 0,
            pending: BTreeSet::new(),
        };
        let mut state = State {
            work,
            fences: vec![Some(Fence::serving(1, EPOCH)), Some(Fence::started(1))],
            lives: vec![1, 1],
            orders: BTreeSet::new(),
            reports: BTreeSet::new(),
            clients: vec![client; usize::from(self.clients)],
            crashes: 0,
        };
        state.send();
        vec![state]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        acts.extend(
            state
                .orders
                .iter()
                .map(|(node, order)| Act::Order(*node, order.clone())),
        );
        acts.extend(
            state
                .reports
                .iter()
                .map(|(node, report)| Act::Report(*node, report.clone())),
        );
        if !state.work.over() {
            acts.push(Act::GiveUp);
        }
        for node in [SOURCE, TARGET] {
            if let Some(fence) = &state.fences[node as usize] {
                if state.crashes < self.crashes {
                    acts.push(Act::Crash(node));
                }
                if node == SOURCE && fence.leased {
                    acts.push(Act::LeaseRunsOut(node));
                }
                let certain = !fence.leased && fence.holding != Holding::Elsewhere;
                if node == SOURCE && (certain || self.flaw == Some(Flaw::FenceTooSoon)) {
                    acts.push(Act::Fenced(node));
                }
            } else {
                acts.push(Act::Restart(node));
                acts.push(Act::Fenced(node));
            }
        }
        for (n, client) in state.clients.iter().enumerate() {
            match client.at {
                At::Idle if client.tries < self.tries => {
                    // Any router: one that has heard of the commit, one that has not.
                    let newest = if state.work.step >= Step::Commit {
                        state.work.epoch
                    } else {
                        EPOCH
                    };
                    for epoch in EPOCH..=newest {
                        acts.extend([SOURCE, TARGET].map(|node| Act::Try(n, node, epoch)));
                    }
                }
                At::Idle | At::Over => {}
                At::Sent(..) => acts.extend([Act::Arrives(n), Act::Breaks(n)]),
                At::InHand(..) => acts.push(Act::Breaks(n)),
            }
            for (node, life) in client.pending.iter().copied() {
                acts.push(Act::Runs(n, node, life));
                acts.push(Act::Refused(n, node, life));
            }
            if let At::InHand(node, life) = client.at {
                if client.runs > 0 && !client.pending.contains(&(node, life)) {
                    acts.push(Act::Answers(n, node, life));
                }
            }
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Order(node, mut order) => {
                let fence = state.fences[node as usize].as_mut()?;
                if self.flaw == Some(Flaw::IgnoreLife) {
                    order.life = fence.life;
                }
                let report = fence.hear(&order);
                state.reports.insert((node, report));
            }
            Act::Report(node, report) => {
                state.work.on(&Event::Heard(node, report));
                self.spoil(&mut state.work);
                state.send();
            }
            Act::Crash(node) => {
                state.fences[node as usize] = None;
                state.crashes += 1;
                for client in &mut state.clients {
                    if matches!(client.at, At::InHand(at, _) if at == node) {
                        client.at = At::Idle;
                    }
                }
            }
            Act::Restart(node) => {
                state.lives[node as usize] += 1;
                state.fences[node as usize] = Some(Fence::started(state.lives[node as usize]));
            }
            Act::LeaseRunsOut(node) => state.fences[node as usize].as_mut()?.lease_ran_out(),
            Act::Fenced(node) => {
                state.work.on(&Event::Fenced(node));
                self.spoil(&mut state.work);
                state.send();
            }
            Act::GiveUp => {
                state.work.on(&Event::GiveUp);
                state.send();
            }
            Act::Try(n, node, epoch) => {
                let client = &mut state.clients[n];
                client.tries += 1;
                client.at = At::Sent(node, epoch);
            }
            Act::Arrives(n) => {
                let client = &mut state.clients[n];
                let At::Sent(node, epoch) = client.at else {
                    return None;
                };
                let Some(fence) = state.fences[node as usize].as_mut() else {
                    client.at = At::Idle;
                    return Some(state);
                };
                client.at = match fence.gate(Some(n as Key), client.tries > 1, epoch) {
                    Gate::Pass => {
                        client.pending.insert((node, fence.life));
                        At::InHand(node, fence.life)
                    }
                    Gate::NotHere(_) | Gate::Moving(_) => At::Idle,
                    Gate::MayHaveRun => {
                        client.doubted = true;
                        At::Over
                    }
                    Gate::Ran => {
                        client.acked = true;
                        At::Over
                    }
                };
            }
            Act::Breaks(n) => state.clients[n].at = At::Idle,
            Act::Refused(n, node, life) => {
                let client = &mut state.clients[n];
                client.pending.remove(&(node, life));
                if let Some(fence) = state.fences[node as usize]
                    .as_mut()
                    .filter(|f| f.life == life)
                {
                    fence.never_ran(n as Key);
                }
                if client.at == At::InHand(node, life) {
                    client.at = At::Idle;
                }
            }
            Act::Runs(n, node, life) => {
                let client = &mut state.clients[n];
                client.pending.remove(&(node, life));
                client.runs += 1;
                // The executor's end may be read by nobody: then the key stays one that may have run.
            }
            Act::Answers(n, node, life) => {
                let client = &mut state.clients[n];
                if let Some(fence) = state.fences[node as usize]
                    .as_mut()
                    .filter(|f| f.life == life)
                {
                    fence.ran(n as Key);
                }
                client.acked = true;
                client.at = At::Over;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no settlement runs twice", |_, s: &State| {
                s.clients.iter().all(|c| c.runs <= 1)
            }),
            Property::always("what was acknowledged was made", |_, s: &State| {
                s.clients.iter().all(|c| !c.acked || c.runs == 1)
            }),
            Property::always("one side serves", |_, s: &State| {
                !(s.serves(SOURCE) && s.serves(TARGET))
            }),
            Property::sometimes("a move is done", |_, s: &State| s.work.step == Step::Done),
            Property::sometimes("a move is given up", |_, s: &State| {
                s.work.step == Step::Aborted
            }),
            Property::sometimes("a retry hears that it may have run", |_, s: &State| {
                s.clients.iter().any(|c| c.doubted)
            }),
            Property::sometimes("the target makes a settlement", |_, s: &State| {
                s.clients.iter().any(|c| {
                    c.acked && matches!(s.fences[1].as_ref(), Some(f) if f.keys.contains_key(&0))
                })
            }),
        ]
    }
}

/// Whether from every state that can be reached the move can still end: no loss, crash or answer leaves it stuck. Tells
/// the number of states, and one that is stuck if there is any. For models with small bounds.
pub fn every_move_can_end(model: &Moving) -> (usize, Option<State>) {
    use std::collections::HashMap;
    let mut numbers: HashMap<State, usize> = HashMap::new();
    let mut states = model.init_states();
    let mut before: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (n, state) in states.iter().enumerate() {
        numbers.insert(state.clone(), n);
    }
    let mut at = 0;
    while at < states.len() {
        for next in model.next_states(&states[at].clone()) {
            let number = *numbers.entry(next).or_insert_with_key(|next| {
                states.push(next.clone());
                before.push(Vec::new());
                states.len() - 1
            });
            before[number].push(at);
        }
        at += 1;
    }
    let mut ends = vec![false; states.len()];
    let mut todo: Vec<usize> = (0..states.len())
        .filter(|n| states[*n].work.over())
        .collect();
    while let Some(n) = todo.pop() {
        if !std::mem::replace(&mut ends[n], true) {
            todo.extend(before[n].iter().copied().filter(|n| !ends[*n]));
        }
    }
    let stuck = ends
        .iter()
        .position(|ends| !ends)
        .map(|n| states[n].clone());
    (states.len(), stuck)
}
