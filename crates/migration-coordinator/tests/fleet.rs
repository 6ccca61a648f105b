//! Moves over a fleet of fences with a journal on disk: messages lost, doubled and late, nodes and the coordinator killed
//! at any point, routers that are behind, clients that try again. Every step is drawn from a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use cells::file::{CellSpec, NodeSpec, Placement, TenantSpec};
use cells::map::{CellMap, Name, Place};
use cells::moves::{Fence, Gate, Holding, Key, Life, Order, Report, Step};
use cells::Layout;
use migration_coordinator::{Act, Coordinator, Journal, JournalError, Patience, Refused};

/// A file of this test's own that goes with the value.
struct Scratch(PathBuf);
impl Scratch {
    fn new(name: &str) -> Scratch {
        let path =
            std::env::temp_dir().join(format!("protocol-gateway-{}-{name}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        Scratch(path)
    }
}
impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const CELLS: usize = 4;
const TENANTS: usize = 8;

fn layout() -> Layout {
    let mut layout = Layout {
        slack: 3.0,
        ..Layout::default()
    };
    for c in 0..CELLS {
        let cell: Name = format!("c{c}").into();
        layout.cells.insert(cell.clone(), CellSpec::default());
        for n in 0..3 {
            let spec = NodeSpec {
                site: format!("s{n}").into(),
                weight: 1.0,
                address: None,
                cell: Some(cell.clone()),
            };
            layout.nodes.insert(format!("c{c}n{n}").into(), spec);
        }
    }
    for t in 0..TENANTS {
        let placement = Placement::Free;
        layout.tenants.insert(
            format!("t{t}").into(),
            TenantSpec {
                share: 1.0,
                placement,
            },
        );
    }
    layout
}

/// A stream of draws (splitmix64).
struct Draws(u64);
impl Draws {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % n as u64) as usize
    }
    fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

/// A settlement and its client.
#[derive(Default)]
struct Settlement {
    tenant: Name2,
    tries: u32,
    runs: u32,
    acked: bool,
    over: bool,
    /// Where the try that the client waits for was taken up.
    waits: Option<(Name, Life)>,
    /// Where it was taken up and may still run.
    pending: BTreeSet<(Name, Life)>,
}
type Name2 = String;

struct Fleet {
    draws: Draws,
    now: Duration,
    journal: Option<Journal>,
    file: Scratch,
    coordinator: Option<Coordinator>,
    /// How often a coordinator was started.
    starts: u32,
    first: CellMap,
    fences: BTreeMap<(Name, Name), Fence>,
    lives: BTreeMap<Name, Life>,
    dead: BTreeSet<Name>,
    orders: Vec<(Name, Name, Order)>,
    reports: Vec<(Name, Name, Report)>,
    settlements: Vec<Settlement>,
    /// Those of which something may still happen.
    live: Vec<usize>,
    /// Maps that were published, for routers that are behind.
    maps: Vec<CellMap>,
    kills: BTreeMap<&'static str, usize>,
    done: usize,
    given_up: usize,
}

impl Fleet {
    fn new(seed: u64, name: &str) -> Fleet {
        let first = CellMap::default().next(&layout()).expect("a map").0;
        let file = Scratch::new(name);
        let mut fences = BTreeMap::new();
        for node in first.cells().flat_map(|c| &c.nodes) {
            for (tenant, home) in first.tenants() {
                let serves = home.place.cells().contains(&node.cell);
                let fence = if serves {
                    Fence::serving(1, first.epoch())
                } else {
                    Fence::started(1)
                };
                fences.insert((node.name.clone(), tenant.clone()), fence);
            }
        }
        let lives = first
            .cells()
            .flat_map(|c| &c.nodes)
            .map(|n| (n.name.clone(), 1))
            .collect();
        let mut fleet = Fleet {
            draws: Draws(seed),
            now: Duration::ZERO,
            journal: None,
            file,
            coordinator: None,
            starts: 0,
            maps: vec![first.clone()],
            first,
            fences,
            lives,
            dead: BTreeSet::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            settlements: Vec::new(),
            live: Vec::new(),
            kills: BTreeMap::new(),
            done: 0,
            given_up: 0,
        };
        fleet.start_coordinator();
        fleet
    }

    fn start_coordinator(&mut self) {
        let (journal, kept) = Journal::open(&self.file.0).expect("a journal");
        self.starts += 1;
        let patience = Patience {
            at_once: 2,
            give_up: Duration::from_secs(3),
            ..Patience::default()
        };
        let coordinator =
            Coordinator::resume(patience, self.first.clone(), kept, self.starts, self.now);
        let coordinator = coordinator.expect("a coordinator");
        // Killed before it could publish: routers hear of the map now.
        if coordinator.map().epoch() > self.maps.last().map_or(0, CellMap::epoch) {
            self.maps.push(coordinator.map().clone());
        }
        self.coordinator = Some(coordinator);
        self.journal = Some(journal);
        // Nodes that started while nobody was there to hear of it say so again.
        let nodes: Vec<Name> = self
            .lives
            .iter()
            .filter(|(_, life)| **life > 1)
            .map(|(n, _)| n.clone())
            .collect();
        for node in nodes {
            self.act(|c, now| c.joined(&node, now));
        }
    }

    /// Has the coordinator decide, and does what it says, in order; it may be killed between any two of these.
    fn act(&mut self, decide: impl FnOnce(&mut Coordinator, Duration) -> Vec<Act>) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let acts = decide(coordinator, self.now);
        for act in acts {
            if self.draws.one_in(400) {
                *self.kills.entry("coordinator").or_default() += 1;
                (self.coordinator, self.journal) = (None, None);
                return;
            }
            match act {
                Act::Write(records) => self
                    .journal
                    .as_ref()
                    .expect("open")
                    .write(&records)
                    .expect("written"),
                Act::Send(node, tenant, order) => self.orders.push((node, tenant, order)),
                Act::Publish(epoch) => {
                    let map = self.coordinator.as_ref().expect("running").map().clone();
                    assert!(
                        map.epoch() == epoch && epoch > self.maps.last().expect("a map").epoch()
                    );
                    self.maps.push(map);
                }
                Act::Ended(_, true) => self.done += 1,
                Act::Ended(_, false) => self.given_up += 1,
            }
        }
    }

    fn kill_node(&mut self, node: &Name) {
        self.dead.insert(node.clone());
        for s in &mut self.settlements {
            if s.waits.as_ref().is_some_and(|(at, _)| at == node) {
                s.waits = None;
            }
        }
    }
    fn start_node(&mut self, node: &Name) {
        self.dead.remove(node);
        let life = self.lives.get_mut(node).expect("a node");
        *life += 1;
        for ((name, _), fence) in self.fences.iter_mut().filter(|((name, _), _)| name == node) {
            debug_assert_eq!(name, node);
            *fence = Fence::started(*life);
        }
        let node = node.clone();
        self.act(|c, now| c.joined(&node, now));
    }

    /// One thing happens.
    fn step(&mut self, load: bool) {
        self.now += Duration::from_millis(self.draws.below(8) as u64);
        match self.draws.below(10) {
            0..=2 if !self.orders.is_empty() => {
                let at = self.draws.below(self.orders.len());
                // Lost, doubled or late as the draw goes.
                let (node, tenant, order) = self.orders[at].clone();
                if !self.draws.one_in(6) {
                    self.orders.swap_remove(at);
                }
                if self.dead.contains(&node) || self.draws.one_in(8) {
                    return;
                }
                let fence = self
                    .fences
                    .get_mut(&(node.clone(), tenant.clone()))
                    .expect("a fence");
                let report = fence.hear(&order);
                self.reports.push((node, tenant, report));
            }
            3..=4 if !self.reports.is_empty() => {
                let at = self.draws.below(self.reports.len());
                let (node, tenant, report) = self.reports[at].clone();
                if !self.draws.one_in(6) {
                    self.reports.swap_remove(at);
                }
                if !self.draws.one_in(8) {
                    self.act(|c, now| c.heard(&tenant, &node, report, now));
                }
            }
            5 => {
                if self.coordinator.is_none() {
                    self.start_coordinator();
                }
                self.act(migration_coordinator::Coordinator::tick);
            }
            6..=8 if load => self.client(),
            _ => self.work(),
        }
    }

    /// A client sends its settlement, for the first time or again.
    fn client(&mut self) {
        let open: Vec<usize> = self
            .live
            .iter()
            .copied()
            .filter(|n| {
                let s = &self.settlements[*n];
                !s.over && s.waits.is_none()
            })
            .collect();
        let n = if open.len() > 12 || (!open.is_empty() && self.draws.one_in(3)) {
            open[self.draws.below(open.len())]
        } else {
            let tenant = format!("t{}", self.draws.below(TENANTS));
            self.settlements.push(Settlement {
                tenant,
                ..Settlement::default()
            });
            self.live.push(self.settlements.len() - 1);
            self.settlements.len() - 1
        };
        // A router that may be some epochs behind; a key has one node in a cell.
        let behind = if self.draws.one_in(3) {
            self.draws.below(4)
        } else {
            0
        };
        let map = &self.maps[self.maps.len().saturating_sub(1 + behind)];
        let s = &mut self.settlements[n];
        let cell = map.cell_of(&s.tenant, None).expect("a cell");
        let node = cell.nodes[n % cell.nodes.len()].name.clone();
        let since = map.home(&s.tenant).expect("a home").since;
        s.tries += 1;
        if self.dead.contains(&node) {
            return;
        }
        let fence = self
            .fences
            .get_mut(&(node.clone(), s.tenant.as_str().into()))
            .expect("a fence");
        match fence.gate(Some(n as Key), s.tries > 1, since) {
            Gate::Pass => {
                s.waits = Some((node.clone(), fence.life));
                s.pending.insert((node, fence.life));
            }
            Gate::NotHere(_) | Gate::Moving(_) => {}
            Gate::MayHaveRun => s.over = true,
            Gate::Ran => (s.over, s.acked) = (true, true),
        }
    }

    /// Work that was taken up is refused, runs, is answered, or its connection breaks.
    fn work(&mut self) {
        let settlements = &self.settlements;
        self.live
            .retain(|n| !settlements[*n].over || !settlements[*n].pending.is_empty());
        let busy: Vec<usize> = self
            .live
            .iter()
            .copied()
            .filter(|n| {
                let s = &self.settlements[*n];
                s.waits.is_some() || !s.pending.is_empty()
            })
            .collect();
        if busy.is_empty() {
            return;
        }
        let n = busy[self.draws.below(busy.len())];
        let how = self.draws.below(6);
        let s = &mut self.settlements[n];
        if how == 0 {
            // The client's connection breaks: it will try again.
            s.waits = None;
            return;
        }
        let Some((node, life)) = s.pending.first().cloned() else {
            // It ran: the answer goes to whoever waits there.
            let Some((node, life)) = s.waits.take() else {
                return;
            };
            let fence = self
                .fences
                .get_mut(&(node, s.tenant.as_str().into()))
                .expect("a fence");
            if fence.life == life {
                fence.ran(n as Key);
                (s.acked, s.over) = (true, true);
            }
            return;
        };
        s.pending.pop_first();
        let here = self.lives[&node] == life && !self.dead.contains(&node);
        if how == 1 && here {
            let fence = self
                .fences
                .get_mut(&(node.clone(), s.tenant.as_str().into()))
                .expect("a fence");
            fence.never_ran(n as Key);
            if s.waits == Some((node, life)) {
                s.waits = None;
            }
        } else if here || how > 2 {
            // The executor of a node that died may go on, or not.
            s.runs += 1;
        }
    }

    fn check(&self) {
        for (n, s) in self.settlements.iter().enumerate() {
            assert!(
                s.runs <= 1,
                "settlement {n} of {} ran {} times",
                s.tenant,
                s.runs
            );
            assert!(
                !s.acked || s.runs == 1,
                "settlement {n} was acknowledged and never made"
            );
        }
        for tenant in self.first.tenants().map(|(tenant, _)| tenant) {
            // Never two cells at once.
            let cells: BTreeSet<&Name> = self
                .fences
                .iter()
                .filter(|((node, t), f)| {
                    t == tenant && f.holding == Holding::Serves && !self.dead.contains(node)
                })
                .filter_map(|((node, _), _)| self.first.node(node).map(|n| &n.cell))
                .collect();
            assert!(cells.len() <= 1, "{tenant} is served by {cells:?}");
        }
    }

    /// Until nothing is in hand and every node serves what its cell does.
    fn settle(&mut self) {
        for _ in 0..400_000 {
            let dead: Vec<Name> = self.dead.iter().cloned().collect();
            dead.iter().for_each(|node| self.start_node(node));
            self.step(false);
            let idle = self
                .coordinator
                .as_ref()
                .is_some_and(|c| c.running().count() == 0 && c.queued() == 0);
            if idle && self.all_serve() {
                return;
            }
            if idle && self.draws.one_in(50) {
                // What a node says of itself with each heartbeat: it serves nothing yet.
                let nodes: Vec<Name> = self.lives.keys().cloned().collect();
                let node = nodes[self.draws.below(nodes.len())].clone();
                self.act(|c, now| c.joined(&node, now));
            }
        }
        panic!("it never settled");
    }
    fn all_serve(&self) -> bool {
        let Some(map) = self.coordinator.as_ref().map(Coordinator::map) else {
            return false;
        };
        map.tenants().all(|(tenant, home)| {
            self.fences
                .iter()
                .filter(|((_, t), _)| t == tenant)
                .all(|((node, _), fence)| {
                    let mine = map
                        .node(node)
                        .is_some_and(|n| home.place.cells().contains(&n.cell));
                    mine == (fence.holding == Holding::Serves)
                })
        })
    }
}

/// 200 moves under load, each with a kill drawn at random: of a source node, a target node, or the coordinator at any
/// point between writing and sending. Settlements that ran twice, or were acknowledged and never made: none.
#[test]
fn two_hundred_moves_with_a_kill_each_lose_and_double_nothing() {
    let mut fleet = Fleet::new(0x6d6f_7468, "moves.redb");
    let mut asked = 0;
    while asked < 200 {
        for _ in 0..400 {
            fleet.step(true);
        }
        if fleet.coordinator.is_none() {
            fleet.start_coordinator();
        }
        let tenant = format!("t{}", fleet.draws.below(TENANTS));
        let to = Place::One(format!("c{}", fleet.draws.below(CELLS)).into());
        let Some(coordinator) = &mut fleet.coordinator else {
            continue;
        };
        let now = fleet.now;
        let acts = match coordinator.start(&tenant, to, true, now) {
            Ok(acts) => acts,
            Err(Refused::InHand | Refused::LivesThere) => continue,
            Err(e) => panic!("{e}"),
        };
        asked += 1;
        fleet.act(|_, _| acts);
        for _ in 0..fleet.draws.below(300) {
            fleet.step(true);
        }
        // A node of either side dies; it may be known to, and comes back.
        let node: Name = format!("c{}n{}", fleet.draws.below(CELLS), fleet.draws.below(3)).into();
        *fleet.kills.entry("node").or_default() += 1;
        fleet.kill_node(&node);
        for _ in 0..fleet.draws.below(300) {
            fleet.step(true);
        }
        if fleet.draws.one_in(2) {
            fleet.act(|c, now| c.fenced(&node, now));
        }
        for _ in 0..fleet.draws.below(300) {
            fleet.step(true);
        }
        fleet.start_node(&node);
        fleet.check();
    }
    fleet.settle();
    fleet.check();
    let acked = fleet.settlements.iter().filter(|s| s.acked).count();
    let doubted = fleet
        .settlements
        .iter()
        .filter(|s| s.over && !s.acked)
        .count();
    println!(
        "{} settlements, {acked} acknowledged, {doubted} in doubt; {} moves done, {} given up; kills {:?}",
        fleet.settlements.len(),
        fleet.done,
        fleet.given_up,
        fleet.kills
    );
    assert!(
        fleet.done >= 100 && acked > 1000,
        "{} done, {acked} acknowledged",
        fleet.done
    );
    assert!(fleet.kills["coordinator"] >= 10, "{:?}", fleet.kills);
}

/// Guards the journal: one coordinator at a time, and what was written is there after any end.
#[test]
fn a_journal_is_one_coordinators_and_keeps_what_was_written() {
    let fleet = Fleet::new(1, "one.redb");
    assert!(matches!(
        Journal::open(&fleet.file.0),
        Err(JournalError::InUse)
    ));
    let Fleet {
        mut coordinator,
        journal,
        file,
        ..
    } = fleet;
    let coordinator = coordinator.as_mut().expect("running");
    let home = coordinator.map().home("t0").expect("a home").place.clone();
    let to = if home == Place::One("c0".into()) {
        "c1"
    } else {
        "c0"
    };
    let acts = coordinator
        .start("t0", Place::One(to.into()), true, Duration::ZERO)
        .expect("taken up");
    let Some(Act::Write(records)) = acts.first() else {
        panic!("written first")
    };
    journal
        .as_ref()
        .expect("open")
        .write(records)
        .expect("written");
    assert_eq!(journal.as_ref().expect("open").homes().expect("read"), 0);
    drop(journal);
    let (_journal, kept) = Journal::open(&file.0).expect("a journal");
    assert_eq!(
        (kept.works.len(), kept.works[0].state.step, kept.homes.len()),
        (1, Step::Prepare, 0)
    );
    assert!(kept.epoch >= 2);
}

/// Guards a journal that something else has written to: it is refused, and not taken for an empty one.
#[test]
fn a_file_that_is_no_journal_is_refused() {
    let file = Scratch::new("bad.redb");
    std::fs::write(
        &file.0,
        b"no journal at all, but long enough to look at".repeat(200),
    )
    .expect("a file");
    let told = Journal::open(&file.0).err().expect("refused").to_string();
    assert!(
        told.starts_with("the journal: ") && !told.contains('\n'),
        "{told}"
    );
}

/// Guards operators from orders that can't be carried out.
#[test]
fn what_can_not_be_moved_is_said_at_once() {
    let mut fleet = Fleet::new(2, "refused.redb");
    let coordinator = fleet.coordinator.as_mut().expect("running");
    let home = coordinator
        .map()
        .home("t0")
        .expect("a home")
        .place
        .to_string();
    let other = if home == "c0" { "c1" } else { "c0" }.to_string();
    let mut start = |tenant: &str, to: &str| {
        coordinator.start(tenant, Place::One(to.into()), true, Duration::ZERO)
    };
    assert_eq!(start("nobody", "c0"), Err(Refused::NoSuchTenant));
    assert!(matches!(start("t0", "c9"), Err(Refused::Layout(_))));
    assert_eq!(start("t0", &home), Err(Refused::LivesThere));
    assert!(start("t0", &other).is_ok());
    assert_eq!(start("t0", &other), Err(Refused::InHand));
    assert!(matches!(
        coordinator.give_up("t0", Duration::ZERO).as_slice(),
        [Act::Write(_), ..]
    ));
}
