//! What the coordinator does next. Each move is a [`Move`] of the crate `cells`; here is which moves run, under
//! which epochs, to whom their orders go, when they are sent again, and when a move is given up.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use cells::map::{CellMap, Name, Place};
use cells::moves::{Epoch, Event, Move, MoveError, MoveId, NodeId, Order, Report, Step};
use cells::LayoutError;
use serde::{Deserialize, Serialize};

/// How long the coordinator waits for what.
#[derive(Clone, Debug)]
pub struct Patience {
    /// Before an order that was not answered is sent again; doubled up to `longest`.
    pub again: Duration,
    /// The longest time between two sendings of an order.
    pub longest: Duration,
    /// A move that is not committed after this long is given up.
    pub give_up: Duration,
    /// Moves that run at once; more wait.
    pub at_once: usize,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience {
            again: Duration::from_millis(50),
            longest: Duration::from_secs(1),
            give_up: Duration::from_secs(10),
            at_once: 4,
        }
    }
}

/// A move in hand, as the journal keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The tenant.
    pub tenant: Name,
    /// Where it goes.
    pub to: Place,
    /// An operator asked for it by hand.
    pub by_hand: bool,
    /// Nothing moves: a node that has started anew takes up again what its cell serves.
    pub adopts: bool,
    /// How far it is.
    pub state: Move,
    /// The nodes of the move by their numbers in it.
    pub nodes: BTreeMap<NodeId, Name>,
}

/// What is written down, in one piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A move is this far, and no epoch up to this is free.
    Work(Box<Work>, Epoch),
    /// A tenant lives here since this epoch.
    Home(Name, Place, Epoch, bool),
    /// The move of this tenant is over: nothing of it is kept.
    Over(Name),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// These must be on disk, all or none, before anything after them is done.
    Write(Vec<Record>),
    /// This order goes to this node, about this tenant.
    Send(Name, Name, Order),
    /// A map with this epoch is in force: routers and nodes are to hear of it.
    Publish(Epoch),
    /// The move of this tenant is over; it lives where it went, or where it was.
    Ended(Name, bool),
}

/// Why a move is not taken up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A move of this tenant is in hand.
    InHand,
    /// The tenant lives nowhere.
    NoSuchTenant,
    /// It lives there already.
    LivesThere,
    /// The place is not there, or the move can't be.
    Layout(LayoutError),
    /// The nodes on the two sides can't be moved between.
    Sides(MoveError),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::InHand => f.write_str("a move of this tenant is in hand"),
            Refused::NoSuchTenant => f.write_str("there is no such tenant"),
            Refused::LivesThere => f.write_str("it lives there already"),
            Refused::Layout(e) => write!(f, "{e}"),
            Refused::Sides(e) => write!(f, "{e}"),
        }
    }
}
impl std::error::Error for Refused {}

/// What a journal had when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Moves that were in hand.
    pub works: Vec<Work>,
    /// Where moved tenants live, since when, and whether by hand.
    pub homes: Vec<(Name, Place, Epoch, bool)>,
    /// The last epoch that was given to anything.
    pub epoch: Epoch,
}

/// What is to be done when it is its turn.
#[derive(Clone, Debug, PartialEq)]
enum Job {
    Move {
        tenant: Name,
        to: Place,
        by_hand: bool,
    },
    Adopt {
        tenant: Name,
        node: Name,
    },
}

impl Job {
    fn tenant(&self) -> &Name {
        match self {
            Job::Move { tenant, .. } | Job::Adopt { tenant, .. } => tenant,
        }
    }
}

struct Running {
    work: Work,
    begun: Duration,
    /// When orders go out again, and after how long the next time.
    again: Duration,
    pause: Duration,
}

/// Decides; see the module's head.
pub struct Coordinator {
    patience: Patience,
    map: CellMap,
    /// The last epoch that was given to anything.
    epoch: Epoch,
    running: BTreeMap<Name, Running>,
    /// What waits for its turn.
    queue: Vec<Job>,
    /// Numbers moves: no other coordinator's start with the same bits.
    ids: MoveId,
}

impl Coordinator {
    /// Goes on where a journal ends, over the map that the layout makes. `run` is a number that no other run of a
    /// coordinator has, such as one drawn at random: moves are told apart by it.
    pub fn resume(
        patience: Patience,
        map: CellMap,
        kept: Kept,
        run: u32,
        now: Duration,
    ) -> Result<Coordinator, LayoutError> {
        let mut map = map;
        for (tenant, place, since, by_hand) in kept.homes {
            // A tenant that no file declares any more needs no home.
            if map.home(&tenant).is_some() {
                map = map.moved(&tenant, place, Some(since), by_hand)?;
            }
        }
        let running = kept.works.into_iter().map(|work| {
            let running = Running {
                work,
                begun: now,
                again: now,
                pause: patience.again,
            };
            (running.work.tenant.clone(), running)
        });
        let epoch = kept.epoch.max(map.epoch());
        Ok(Coordinator {
            epoch,
            running: running.collect(),
            queue: Vec::new(),
            ids: u64::from(run) << 32,
            patience,
            map,
        })
    }

    /// The map in force.
    pub fn map(&self) -> &CellMap {
        &self.map
    }
    /// Moves in hand, and how far each is.
    pub fn running(&self) -> impl Iterator<Item = (&Name, Step)> {
        self.running
            .iter()
            .map(|(tenant, r)| (tenant, r.work.state.step))
    }
    /// Moves that wait for others to end.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// A tenant is to move. What is wrong with that shows at once; the move itself begins when it is its turn.
    pub fn start(
        &mut self,
        tenant: &str,
        to: Place,
        by_hand: bool,
        now: Duration,
    ) -> Result<Vec<Act>, Refused> {
        let moves = |job: &Job| matches!(job, Job::Move { tenant: name, .. } if **name == *tenant);
        let in_hand = self
            .running
            .get(tenant)
            .is_some_and(|running| !running.work.adopts);
        if in_hand || self.queue.iter().any(moves) {
            return Err(Refused::InHand);
        }
        let home = self.map.home(tenant).ok_or(Refused::NoSuchTenant)?;
        if home.place == to {
            return Err(Refused::LivesThere);
        }
        self.work(tenant, &to, by_hand, 0, 0)?;
        self.queue.push(Job::Move {
            tenant: tenant.into(),
            to,
            by_hand,
        });
        Ok(self.begin(now))
    }

    /// A node's process has started anew: it knows nothing and serves nobody. What its cell serves it takes up again,
    /// once no move of that tenant is in hand.
    pub fn joined(&mut self, node: &str, now: Duration) -> Vec<Act> {
        let Some(cell) = self.map.node(node).map(|n| n.cell.clone()) else {
            return Vec::new();
        };
        let here = |(tenant, home): (&Name, &cells::Home)| {
            home.place.cells().contains(&cell).then(|| Job::Adopt {
                tenant: tenant.clone(),
                node: node.into(),
            })
        };
        let mut jobs: Vec<Job> = self.map.tenants().filter_map(here).collect();
        // A tenant on its way here may be handed over to the earlier self of this node.
        let coming = self
            .running
            .values()
            .filter(|r| r.work.to.cells().contains(&cell) && !r.work.adopts);
        jobs.extend(coming.map(|r| Job::Adopt {
            tenant: r.work.tenant.clone(),
            node: node.into(),
        }));
        jobs.sort_by(|a, b| a.tenant().cmp(b.tenant()));
        jobs.dedup();
        // Before what waits: these are not served at all.
        jobs.retain(|job| !self.queue.contains(job));
        self.queue.splice(0..0, jobs);
        self.begin(now)
    }

    fn nodes(&self, place: &Place) -> Result<BTreeSet<Name>, Refused> {
        let mut nodes = BTreeSet::new();
        for name in place.cells() {
            let missing =
                || Refused::Layout(LayoutError::NoSuchCell("the move".into(), name.clone()));
            let cell = self.map.cell(name).ok_or_else(missing)?;
            nodes.extend(cell.nodes.iter().map(|n| n.name.clone()));
        }
        Ok(nodes)
    }

    fn work(
        &self,
        tenant: &str,
        to: &Place,
        by_hand: bool,
        id: MoveId,
        epoch: Epoch,
    ) -> Result<Work, Refused> {
        let home = self.map.home(tenant).ok_or(Refused::NoSuchTenant)?;
        let (from, targets) = (self.nodes(&home.place)?, self.nodes(to)?);
        let all: BTreeSet<&Name> = from.union(&targets).collect();
        let nodes: BTreeMap<NodeId, Name> = all
            .into_iter()
            .cloned()
            .enumerate()
            .map(|(n, name)| (n as NodeId, name))
            .collect();
        let numbers = |of: &BTreeSet<Name>| {
            nodes
                .iter()
                .filter(|(_, name)| of.contains(*name))
                .map(|(n, _)| *n)
                .collect()
        };
        let state =
            Move::new(id, epoch, numbers(&from), numbers(&targets)).map_err(Refused::Sides)?;
        Ok(Work {
            tenant: tenant.into(),
            to: to.clone(),
            by_hand,
            adopts: false,
            state,
            nodes,
        })
    }

    /// Takes up what waits, as far as there is room: one job for a tenant at a time.
    fn begin(&mut self, now: Duration) -> Vec<Act> {
        let mut acts = Vec::new();
        while self.running.len() < self.patience.at_once {
            let Some(at) = self
                .queue
                .iter()
                .position(|job| !self.running.contains_key(job.tenant()))
            else {
                break;
            };
            let job = self.queue.remove(at);
            let tenant = job.tenant().clone();
            self.ids += 1;
            let epoch = self.epoch + 1;
            let moves = matches!(job, Job::Move { .. });
            let work = match job {
                Job::Move { to, by_hand, .. } => {
                    self.work(&tenant, &to, by_hand, self.ids, epoch).ok()
                }
                Job::Adopt { node, .. } => self.adoption(&tenant, &node, self.ids, epoch),
            };
            let Some(work) = work else {
                // The map has changed while it waited.
                acts.extend(moves.then_some(Act::Ended(tenant, false)));
                continue;
            };
            // Giving it up makes the epoch after.
            self.epoch += 2;
            acts.push(Act::Write(vec![Record::Work(
                Box::new(work.clone()),
                self.epoch,
            )]));
            let running = Running {
                work,
                begun: now,
                again: now + self.patience.again,
                pause: self.patience.again,
            };
            acts.extend(sends(&running.work));
            self.running.insert(tenant, running);
        }
        acts
    }

    /// None where the tenant does not live with the node any more.
    fn adoption(&self, tenant: &str, node: &str, id: MoveId, epoch: Epoch) -> Option<Work> {
        let (home, node) = (self.map.home(tenant)?, self.map.node(node)?);
        home.place.cells().contains(&node.cell).then(|| Work {
            tenant: tenant.into(),
            to: home.place.clone(),
            by_hand: home.by_hand,
            adopts: true,
            state: Move::adopt(id, epoch, 0),
            nodes: BTreeMap::from([(0, node.name.clone())]),
        })
    }

    /// A node has answered an order about this tenant.
    pub fn heard(&mut self, tenant: &str, node: &str, report: Report, now: Duration) -> Vec<Act> {
        let Some(running) = self.running.get(tenant) else {
            return Vec::new();
        };
        let number = running
            .work
            .nodes
            .iter()
            .find(|(_, name)| &***name == node)
            .map(|(n, _)| *n);
        number.map_or_else(Vec::new, |n| {
            self.event(tenant, &Event::Heard(n, report), now)
        })
    }
    /// This node's process has certainly ended, or its lease has run out since it was last heard.
    pub fn fenced(&mut self, node: &str, now: Duration) -> Vec<Act> {
        let tenants: Vec<Name> = self.running.keys().cloned().collect();
        let mut acts = Vec::new();
        for tenant in tenants {
            let Some(running) = self.running.get(&tenant) else {
                continue;
            };
            let number = running
                .work
                .nodes
                .iter()
                .find(|(_, name)| &***name == node)
                .map(|(n, _)| *n);
            if let Some(n) = number {
                acts.extend(self.event(&tenant, &Event::Fenced(n), now));
            }
        }
        acts
    }
    /// An operator gives a move up. One that is committed goes through all the same.
    pub fn give_up(&mut self, tenant: &str, now: Duration) -> Vec<Act> {
        if let Some(at) = self
            .queue
            .iter()
            .position(|job| matches!(job, Job::Move { tenant: t, .. } if **t == *tenant))
        {
            let job = self.queue.remove(at);
            return vec![Act::Ended(job.tenant().clone(), false)];
        }
        self.event(tenant, &Event::GiveUp, now)
    }

    fn event(&mut self, tenant: &str, event: &Event, now: Duration) -> Vec<Act> {
        let Some(running) = self.running.get_mut(tenant) else {
            return Vec::new();
        };
        let before = running.work.state.step;
        if !running.work.state.on(event) {
            return Vec::new();
        }
        let Work {
            tenant,
            to,
            by_hand,
            adopts,
            state,
            ..
        } = running.work.clone();
        // In one piece: a commit without its home, or the other way round, would send the tenant to both sides.
        let mut records = vec![Record::Work(Box::new(running.work.clone()), self.epoch)];
        let mut acts = Vec::new();
        if !adopts
            && before < Step::Commit
            && matches!(state.step, Step::Commit | Step::Release | Step::Done)
        {
            // Decided. Where the cell has gone meanwhile the nodes of the move serve it all the same.
            if let Ok(map) = self
                .map
                .moved(&tenant, to.clone(), Some(state.epoch), by_hand)
            {
                self.map = map;
            }
            records.push(Record::Home(tenant.clone(), to, state.epoch, by_hand));
            acts.push(Act::Publish(self.map.epoch()));
        }
        if state.over() {
            records.push(Record::Over(tenant.clone()));
        }
        acts.insert(0, Act::Write(records));
        if state.over() {
            self.running.remove(&tenant);
            acts.extend((!adopts).then(|| Act::Ended(tenant, state.step == Step::Done)));
            acts.extend(self.begin(now));
        } else if state.step != before {
            if let Some(running) = self.running.get_mut(&tenant) {
                (running.again, running.pause) = (now + self.patience.again, self.patience.again);
                acts.extend(sends(&running.work));
            }
        }
        acts
    }

    /// Time has passed: orders that were not answered go out again, and what takes too long is given up.
    pub fn tick(&mut self, now: Duration) -> Vec<Act> {
        let mut acts = Vec::new();
        let due: Vec<Name> = self
            .running
            .iter()
            .filter(|(_, r)| r.again <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for tenant in due {
            let Some(running) = self.running.get_mut(&tenant) else {
                continue;
            };
            if !running.work.adopts
                && running.work.state.step < Step::Commit
                && now >= running.begun + self.patience.give_up
            {
                let given_up = self.event(&tenant, &Event::GiveUp, now);
                if !given_up.is_empty() {
                    acts.extend(given_up);
                    continue;
                }
            }
            let Some(running) = self.running.get_mut(&tenant) else {
                continue;
            };
            running.pause = (running.pause * 2).min(self.patience.longest);
            running.again = now + running.pause;
            acts.extend(sends(&running.work));
        }
        acts
    }
    /// When [`Coordinator::tick`] has something to do; none while no move is in hand.
    pub fn next(&self) -> Option<Duration> {
        self.running.values().map(|r| r.again).min()
    }
}

fn sends(work: &Work) -> Vec<Act> {
    let to = |(node, order): (NodeId, Order)| {
        Some(Act::Send(
            work.nodes.get(&node)?.clone(),
            work.tenant.clone(),
            order,
        ))
    };
    work.state.orders().into_iter().filter_map(to).collect()
}
