//! Moving a tenant from one cell to another, so that no settlement runs twice and none that was acknowledged is lost.
//!
//! Two machines, both pure: a [`Move`] at the coordinator and a [`Fence`] for the tenant at each node. The coordinator
//! writes its state to its journal before it sends what a step asks for, so a coordinator that was killed goes on where
//! the journal ends; messages may be lost, doubled and late, so each is sent until it is answered, and each answer says
//! what it answers.
//!
//! What keeps the promise:
//! - a node runs a tenant's requests only while its fence is [`Holding::Serves`], and a source's turns to `Frozen`
//!   before a target's turns to `Serves`;
//! - a source that can't be asked is waited out: it serves under a lease that it renews by hearing from the coordinator,
//!   and the coordinator goes on only once the lease has certainly run out, or the node has certainly died;
//! - every key that a source ran or has in hand is known at the targets before they serve; where a source died with what
//!   it knew, the targets take every marked retry of the tenant as one that may have run;
//! - epochs only rise at a node, and an order is for one life of the node's process and one move, so what is late, or
//!   comes from a second coordinator, changes nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of a node in a move.
pub type NodeId = u32;
/// A settlement's key, as a hash.
pub type Key = u64;
/// The number of a state of the map.
pub type Epoch = u64;
/// The number of a move: no two share one, whoever makes them. 0 is none.
pub type MoveId = u64;
/// The number of a life of a node's process, from 1; 0 where it is not known.
pub type Life = u32;

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Known {
    /// It was sent to run here and has not ended, or nobody knows how it ended.
    MayHaveRun,
    /// It ran and was answered.
    Ran,
}

/// How a node stands to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Holding {
    /// It does not serve the tenant.
    Elsewhere,
    /// It is to serve it next and keeps what it is told of.
    Preparing,
    /// It serves it.
    Serves,
    /// It served it, takes up nothing new, and tells how what it has in hand ends.
    Frozen,
}

/// A tenant's fence at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// The life of the node's process: what was said to an earlier one is not for it.
    pub life: Life,
    /// How the node stands to the tenant.
    pub holding: Holding,
    /// The newest epoch that it knows.
    pub epoch: Epoch,
    /// The move that brought it to this.
    pub by: MoveId,
    /// Its lease runs: what it may not do without hearing from the coordinator it does not do.
    pub leased: bool,
    /// Keys that it ran, has in hand, or was told of.
    pub keys: BTreeMap<Key, Known>,
    /// What it knows may lack keys: any retry may have run, here in another life or at a source that died.
    pub doubtful: bool,
}

/// What becomes of a request at the fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// It is this node's to decide.
    Pass,
    /// It never ran here and won't: the tenant lives elsewhere as of this epoch.
    NotHere(Epoch),
    /// It never ran here: the tenant is on its way. It may be tried again shortly.
    Moving(Epoch),
    /// An earlier try of it may have run.
    MayHaveRun,
    /// An earlier try of it ran and was answered.
    Ran,
}

impl Fence {
    /// A node that serves the tenant as of this epoch, and always has.
    pub fn serving(life: Life, epoch: Epoch) -> Fence {
        Fence {
            holding: Holding::Serves,
            epoch,
            leased: true,
            ..Fence::started(life)
        }
    }
    /// A node that has just started: it knows nothing and serves nobody until it has been told.
    pub fn started(life: Life) -> Fence {
        Fence {
            life,
            holding: Holding::Elsewhere,
            epoch: 0,
            by: 0,
            leased: false,
            keys: BTreeMap::new(),
            doubtful: false,
        }
    }

    /// A request of the tenant has come. `key` names its effect, `again` says that an earlier try may have gone out,
    /// `epoch` is the one that its router knows. One that passes with a key is noted as sent.
    pub fn gate(&mut self, key: Option<Key>, again: bool, epoch: Epoch) -> Gate {
        if let Some(known) = key.and_then(|key| self.keys.get(&key)) {
            return match known {
                Known::MayHaveRun => Gate::MayHaveRun,
                Known::Ran => Gate::Ran,
            };
        }
        match self.holding {
            Holding::Serves if self.leased && epoch <= self.epoch => {}
            // A router that knows more than this node: the tenant may have moved on.
            Holding::Serves | Holding::Frozen | Holding::Preparing => {
                return Gate::Moving(self.epoch)
            }
            Holding::Elsewhere => return Gate::NotHere(self.epoch),
        }
        if let Some(key) = key {
            if self.doubtful && again {
                return Gate::MayHaveRun;
            }
            self.keys.insert(key, Known::MayHaveRun);
        }
        Gate::Pass
    }
    /// A request that passed was refused before it was sent to run: its key is free again.
    pub fn never_ran(&mut self, key: Key) {
        if self.keys.get(&key) == Some(&Known::MayHaveRun) {
            self.keys.remove(&key);
        }
    }
    /// A request that passed ran and was answered.
    pub fn ran(&mut self, key: Key) {
        self.keys.insert(key, Known::Ran);
    }
    /// The coordinator has not been heard for as long as the lease runs.
    pub fn lease_ran_out(&mut self) {
        self.leased = false;
    }

    /// The coordinator has answered a question that this node sent while its lease ran, or after: the lease runs on from
    /// when the question was sent. A node that learns of a newer epoch only now no longer serves.
    pub fn renewed(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.leased = true;
        } else if epoch > self.epoch && self.holding == Holding::Serves {
            self.holding = Holding::Elsewhere;
            self.epoch = epoch;
        }
    }

    /// A word from the coordinator, and what is answered. What is older than what is known, meant for another life, or
    /// of another move than the one in hand changes nothing and is answered with what is known.
    pub fn hear(&mut self, order: &Order) -> Report {
        let Order {
            by, life, epoch, ..
        } = *order;
        if life == self.life && epoch >= self.epoch {
            let mine = self.by == by;
            let next = match (&order.what, self.holding) {
                (What::Prepare { keys, doubtful }, Holding::Elsewhere | Holding::Preparing)
                    if mine || self.holding == Holding::Elsewhere =>
                {
                    self.learn(keys);
                    self.doubtful |= *doubtful;
                    Some(Holding::Preparing)
                }
                (What::Freeze, Holding::Serves) if epoch > self.epoch => Some(Holding::Frozen),
                // It started anew since: it knows nothing of what it ran, and the coordinator must hear so.
                (What::Freeze, Holding::Elsewhere) => Some(Holding::Elsewhere),
                (What::Serve, Holding::Preparing) if mine => Some(Holding::Serves),
                (What::Release, Holding::Preparing | Holding::Frozen) if mine => {
                    Some(Holding::Elsewhere)
                }
                (What::Release, Holding::Elsewhere) => Some(Holding::Elsewhere),
                (What::Resume, Holding::Frozen) if mine => Some(Holding::Serves),
                (What::Resume, Holding::Serves) if epoch > self.epoch => Some(Holding::Serves),
                (What::Resume, Holding::Elsewhere) if mine || self.by == 0 => {
                    self.doubtful = true;
                    Some(Holding::Serves)
                }
                _ => None,
            };
            if let Some(next) = next {
                // A lease begins with serving; it is not revived by a word that may be late.
                self.leased |= next == Holding::Serves && self.holding != Holding::Serves;
                (self.holding, self.epoch, self.by) = (next, epoch, by);
            }
        }
        let Fence {
            life,
            holding,
            epoch,
            by,
            doubtful,
            ..
        } = *self;
        Report {
            life,
            epoch,
            by,
            holding,
            keys: self.keys.clone(),
            doubtful,
        }
    }

    /// Takes in what others know: what ran, ran.
    fn learn(&mut self, keys: &BTreeMap<Key, Known>) {
        for (key, known) in keys {
            let own = self.keys.entry(*key).or_insert(*known);
            *own = (*own).max(*known);
        }
    }
}

/// A word of the coordinator to a node, about one tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The move that it belongs to.
    pub by: MoveId,
    /// The life of the node that it is for.
    pub life: Life,
    /// The epoch that the move makes, or one above where it is given up.
    pub epoch: Epoch,
    /// What to do.
    pub what: What,
}

/// What a node is told to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    /// Get ready to serve it; these keys are known.
    Prepare {
        /// What the sources know.
        keys: BTreeMap<Key, Known>,
        /// That may lack keys.
        doubtful: bool,
    },
    /// Take up nothing more of it, and tell what you know.
    Freeze,
    /// The move is committed: serve it.
    Serve,
    /// The move is committed or given up: it lives elsewhere.
    Release,
    /// The move is given up: serve it again.
    Resume,
}

/// A node's answer to an order: how it stands, and what it knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The life of the node's process.
    pub life: Life,
    /// The newest epoch that it knows.
    pub epoch: Epoch,
    /// The move that brought it to this.
    pub by: MoveId,
    /// How it stands to the tenant.
    pub holding: Holding,
    /// Keys that it knows.
    pub keys: BTreeMap<Key, Known>,
    /// Whether what it knows may lack keys.
    pub doubtful: bool,
}

/// How far a move is. It is written to the journal as it is, before anything of it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// The targets are asked whether they can.
    Prepare,
    /// The sources take up nothing new and tell what they know.
    Freeze,
    /// The targets are told what the sources know.
    HandOver,
    /// It is decided: the targets serve.
    Commit,
    /// The sources let go.
    Release,
    /// It is done.
    Done,
    /// It is given up: all go back to where they were.
    Abort,
    /// It was given up, and all are back.
    Aborted,
}

/// What has happened to a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A node answered.
    Heard(NodeId, Report),
    /// A node certainly serves nobody: its process is known to have ended, or its lease has run out since it was last
    /// heard. What it knew is lost, or can't be asked for.
    Fenced(NodeId),
    /// An operator, or a deadline, gives the move up.
    GiveUp,
}

/// Why there is no such move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveError {
    /// Nobody is to serve the tenant afterwards.
    NoTargets,
    /// A node is on both sides: it would have to serve and be frozen at once.
    BothSides(NodeId),
}

impl fmt::Display for MoveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MoveError::NoTargets => f.write_str("there is no node to move to"),
            MoveError::BothSides(node) => write!(f, "node {node} is on both sides of the move"),
        }
    }
}
impl std::error::Error for MoveError {}

/// A move, as the coordinator has it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Move {
    /// Its number.
    pub id: MoveId,
    /// How far it is.
    pub step: Step,
    /// The epoch that it makes; giving it up makes the one after.
    pub epoch: Epoch,
    /// Who serves the tenant before.
    pub from: BTreeSet<NodeId>,
    /// Who serves it after.
    pub to: BTreeSet<NodeId>,
    /// The life of each node, as last heard.
    pub lives: BTreeMap<NodeId, Life>,
    /// Who has answered this step.
    pub answered: BTreeSet<NodeId>,
    /// Sources that can't be asked any more.
    pub fenced: BTreeSet<NodeId>,
    /// Targets that started anew after the hand-over, and are to be told again before they serve.
    pub anew: BTreeSet<NodeId>,
    /// What the sources know.
    pub keys: BTreeMap<Key, Known>,
    /// That may lack keys.
    pub doubtful: bool,
}

impl Move {
    /// A move from one cell's nodes to another's, which makes this epoch.
    pub fn new(
        id: MoveId,
        epoch: Epoch,
        from: BTreeSet<NodeId>,
        to: BTreeSet<NodeId>,
    ) -> Result<Move, MoveError> {
        if to.is_empty() {
            return Err(MoveError::NoTargets);
        }
        if let Some(both) = from.intersection(&to).next() {
            return Err(MoveError::BothSides(*both));
        }
        Ok(Move {
            id,
            step: Step::Prepare,
            epoch,
            from,
            to,
            lives: BTreeMap::new(),
            answered: BTreeSet::new(),
            fenced: BTreeSet::new(),
            anew: BTreeSet::new(),
            keys: BTreeMap::new(),
            doubtful: false,
        })
    }

    /// A node that has started anew takes up again what its cell serves: what it knew is lost, so it doubts every retry.
    pub fn adopt(id: MoveId, epoch: Epoch, node: NodeId) -> Move {
        Move {
            id,
            step: Step::Prepare,
            epoch,
            from: BTreeSet::new(),
            to: BTreeSet::from([node]),
            lives: BTreeMap::new(),
            answered: BTreeSet::new(),
            fenced: BTreeSet::new(),
            anew: BTreeSet::new(),
            keys: BTreeMap::new(),
            doubtful: true,
        }
    }

    /// Nothing more is to be done.
    pub fn over(&self) -> bool {
        matches!(self.step, Step::Done | Step::Aborted)
    }

    /// What is to be sent now, and again until it is answered: an order for each node that this step waits for.
    pub fn orders(&self) -> Vec<(NodeId, Order)> {
        let epoch = self.epoch + u64::from(self.step == Step::Abort);
        let hand_over = |doubtful| What::Prepare {
            keys: self.keys.clone(),
            doubtful,
        };
        let what = |node: NodeId| match self.step {
            Step::Prepare => What::Prepare {
                keys: BTreeMap::new(),
                doubtful: false,
            },
            Step::Freeze => What::Freeze,
            Step::HandOver => hand_over(self.doubtful),
            // It may have served in its last life, and what it ran then is lost.
            Step::Commit if self.anew.contains(&node) => hand_over(true),
            Step::Commit => What::Serve,
            Step::Abort if self.from.contains(&node) => What::Resume,
            Step::Abort | Step::Release | Step::Done | Step::Aborted => What::Release,
        };
        let life = |node| self.lives.get(&node).copied().unwrap_or(0);
        self.waits_for()
            .map(|node| {
                (
                    node,
                    Order {
                        by: self.id,
                        life: life(node),
                        epoch,
                        what: what(node),
                    },
                )
            })
            .collect()
    }

    /// Whose answer this step needs and has not got.
    pub fn waits_for(&self) -> impl Iterator<Item = NodeId> + '_ {
        let (sources, targets) = match self.step {
            Step::Prepare | Step::HandOver | Step::Commit => (false, true),
            Step::Freeze | Step::Release => (true, false),
            Step::Abort => (true, true),
            Step::Done | Step::Aborted => (false, false),
        };
        let sources = self.from.iter().filter(move |_| sources);
        let targets = self.to.iter().filter(move |_| targets);
        sources
            .chain(targets)
            .copied()
            .filter(|n| !self.answered.contains(n) && !self.fenced.contains(n))
    }

    /// Something happened. True where the move has changed, and so must be written before anything more is sent.
    pub fn on(&mut self, event: &Event) -> bool {
        let before = self.clone();
        match event {
            Event::Heard(node, report) => self.heard(*node, report),
            // What it knew and did not tell is lost: whoever serves next takes retries for ones that may have run. A
            // target that dies is told again when it is back, and one that has let go is asked nothing.
            Event::Fenced(node) if self.from.contains(node) && self.step < Step::Release => {
                self.doubtful |= self.step < Step::Freeze || self.waits_for().any(|n| n == *node);
                self.fenced.insert(*node);
            }
            Event::Fenced(node) if matches!(self.step, Step::Release | Step::Abort) => {
                self.fenced.insert(*node);
            }
            Event::Fenced(_) => {}
            // Once it is decided, it goes through: a target may serve already. Where a source was lost there is nobody
            // to go back to.
            Event::GiveUp if self.step < Step::Commit && self.fenced.is_empty() => {
                self.go(Step::Abort);
            }
            Event::GiveUp => {}
        }
        while !self.over() && self.waits_for().next().is_none() {
            self.go(match self.step {
                Step::Prepare => Step::Freeze,
                Step::Freeze => Step::HandOver,
                Step::HandOver => Step::Commit,
                Step::Commit => Step::Release,
                Step::Release | Step::Done => Step::Done,
                Step::Abort | Step::Aborted => Step::Aborted,
            });
        }
        *self != before
    }

    fn heard(&mut self, node: NodeId, report: &Report) {
        if !self.from.contains(&node) && !self.to.contains(&node) {
            return;
        }
        let known = self.lives.get(&node).copied().unwrap_or(0);
        if report.life < known {
            return;
        }
        self.lives.insert(node, report.life);
        if report.life > known && known != 0 && self.to.contains(&node) {
            // Whatever it answered, it has forgotten.
            self.answered.remove(&node);
        }
        if !self.waits_for().any(|n| n == node) {
            return;
        }
        let (target, epoch) = (
            self.to.contains(&node),
            self.epoch + u64::from(self.step == Step::Abort),
        );
        let (mine, current) = (report.by == self.id, report.epoch == epoch);
        if self.from.is_empty() && self.step == Step::Prepare && report.holding == Holding::Serves {
            // It serves already, by a move that told it all.
            return self.go(Step::Done);
        }
        let answers = match self.step {
            Step::Prepare => mine && current && report.holding == Holding::Preparing,
            Step::Freeze => mine && current && self.freezes(report),
            Step::HandOver => {
                mine && current
                    && report.holding == Holding::Preparing
                    && self.tells_all(report, self.doubtful)
            }
            Step::Commit => {
                if report.life > known && known != 0 {
                    self.anew.insert(node);
                }
                // It has been told again: now it may serve.
                if self.anew.contains(&node)
                    && mine
                    && report.holding == Holding::Preparing
                    && self.tells_all(report, true)
                {
                    self.anew.remove(&node);
                }
                mine && current && report.holding == Holding::Serves
            }
            Step::Release => report.epoch >= epoch && matches!(report.holding, Holding::Elsewhere),
            // Both must know the epoch after ours, so that a late order of ours changes nothing; one that another move
            // of our epoch has in hand is immune to ours.
            Step::Abort if report.epoch >= self.epoch && !mine && report.by != 0 => true,
            Step::Abort if target => report.epoch >= epoch && report.holding != Holding::Preparing,
            Step::Abort => mine && current && report.holding == Holding::Serves,
            Step::Done | Step::Aborted => false,
        };
        if answers {
            self.answered.insert(node);
        }
    }

    /// Takes in what a source knows; true once it takes up nothing more.
    fn freezes(&mut self, report: &Report) -> bool {
        if report.holding == Holding::Serves {
            return false;
        }
        // One that does not serve has started anew: what it ran before is lost.
        self.doubtful |= report.doubtful || report.holding != Holding::Frozen;
        for (key, known) in &report.keys {
            let ours = self.keys.entry(*key).or_insert(*known);
            *ours = (*ours).max(*known);
        }
        true
    }

    /// Whether a target knows all that the sources told, doubts included.
    fn tells_all(&self, report: &Report, doubtful: bool) -> bool {
        let knows =
            |(key, ours): (&Key, &Known)| report.keys.get(key).is_some_and(|theirs| theirs >= ours);
        report.doubtful >= doubtful && self.keys.iter().all(knows)
    }

    fn go(&mut self, to: Step) {
        self.step = to;
        self.answered.clear();
    }
}
