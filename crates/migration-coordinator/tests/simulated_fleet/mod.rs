//! A simulated fleet: a fence per node and tenant, and a coordinator whose journal is on disk.
//! Messages are lost, duplicated and delayed, nodes and the coordinator are killed at any point,
//! routers have old maps, and clients retry. The seed determines every step.

mod client;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cells::migration::{Incarnation, MigrationCommand, MigrationReport, Ownership};
use cells::{CellMap, CellSpec, Fence, Layout, Name, NodeSpec, Placement, TenantSpec};
use migration_coordinator::{Coordinator, Effect, Journal, Timeouts};
use tempfile::NamedTempFile;

pub(crate) use client::Settlement;

pub(crate) const CELL_COUNT: usize = 4;
pub(crate) const NODES_PER_CELL: usize = 3;
pub(crate) const TENANT_COUNT: usize = 8;

/// A random number generator with a seed (splitmix64).
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) % n as u64) as usize
    }

    pub(crate) fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

fn layout() -> Layout {
    let mut layout = Layout {
        slack: 3.0,
        ..Layout::default()
    };
    for c in 0..CELL_COUNT {
        let cell: Name = format!("c{c}").into();
        layout.cells.insert(cell.clone(), CellSpec::default());
        for n in 0..NODES_PER_CELL {
            let spec = NodeSpec {
                site: format!("s{n}").into(),
                weight: 1.0,
                address: None,
                cell: Some(cell.clone()),
            };
            layout.nodes.insert(format!("c{c}n{n}").into(), spec);
        }
    }
    for t in 0..TENANT_COUNT {
        let spec = TenantSpec {
            share: 1.0,
            placement: Placement::Free,
        };
        layout.tenants.insert(format!("t{t}").into(), spec);
    }
    layout
}

/// A message in transit between the coordinator and a node, about a tenant.
#[derive(Clone)]
struct InTransit<M> {
    node: Name,
    tenant: Name,
    message: M,
}

/// Counters of the events so far.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) committed: usize,
    pub(crate) aborted: usize,
    pub(crate) coordinator_kills: usize,
    pub(crate) node_kills: usize,
}

pub(crate) struct SimulatedFleet {
    pub(crate) random: Random,
    pub(crate) now: Duration,
    pub(crate) journal: Option<Journal>,
    pub(crate) journal_file: NamedTempFile,
    pub(crate) coordinator: Option<Coordinator>,
    coordinator_starts: u32,
    first_map: CellMap,
    /// Published maps; routers may use old ones.
    maps: Vec<CellMap>,
    /// Fence of each node for each tenant.
    fences: BTreeMap<(Name, Name), Fence>,
    incarnations: BTreeMap<Name, Incarnation>,
    exited_nodes: BTreeSet<Name>,
    commands: Vec<InTransit<MigrationCommand>>,
    reports: Vec<InTransit<MigrationReport>>,
    pub(crate) settlements: Vec<Settlement>,
    /// Indexes of settlements that may still change.
    open_settlements: Vec<usize>,
    pub(crate) counts: Counts,
}

impl SimulatedFleet {
    pub(crate) fn new(seed: u64) -> SimulatedFleet {
        let first_map = CellMap::from_layout(&layout()).expect("a map");
        let mut fences = BTreeMap::new();
        let mut incarnations = BTreeMap::new();
        for node in first_map.cells().flat_map(|cell| &cell.nodes) {
            incarnations.insert(node.name.clone(), 1);
            for (tenant, assignment) in first_map.assignments() {
                let fence = if assignment.cells.names().contains(&node.cell) {
                    Fence::serving(1, first_map.epoch())
                } else {
                    Fence::started(1)
                };
                fences.insert((node.name.clone(), tenant.clone()), fence);
            }
        }
        let mut fleet = SimulatedFleet {
            random: Random(seed),
            now: Duration::ZERO,
            journal: None,
            journal_file: NamedTempFile::new().expect("a file"),
            coordinator: None,
            coordinator_starts: 0,
            maps: vec![first_map.clone()],
            first_map,
            fences,
            incarnations,
            exited_nodes: BTreeSet::new(),
            commands: Vec::new(),
            reports: Vec::new(),
            settlements: Vec::new(),
            open_settlements: Vec::new(),
            counts: Counts::default(),
        };
        fleet.start_coordinator();
        fleet
    }

    fn newest_epoch(&self) -> u64 {
        self.maps.last().map_or(0, CellMap::epoch)
    }

    fn fence(&mut self, node: &Name, tenant: &str) -> &mut Fence {
        self.fences
            .get_mut(&(node.clone(), tenant.into()))
            .expect("a fence")
    }

    pub(crate) fn start_coordinator(&mut self) {
        let (journal, recovered) = Journal::open(self.journal_file.path()).expect("a journal");
        self.coordinator_starts += 1;
        let timeouts = Timeouts {
            max_concurrent_migrations: 2,
            commit_timeout: Duration::from_secs(3),
            ..Timeouts::default()
        };
        let coordinator = Coordinator::recover(
            timeouts,
            self.first_map.clone(),
            recovered,
            self.coordinator_starts,
            self.now,
        )
        .expect("a coordinator");
        // If the previous coordinator was killed before it could publish, routers receive the map
        // now.
        if coordinator.map().epoch() > self.newest_epoch() {
            self.maps.push(coordinator.map().clone());
        }
        self.coordinator = Some(coordinator);
        self.journal = Some(journal);
        // Nodes that restarted while no coordinator was running report it again.
        let restarted: Vec<Name> = self
            .incarnations
            .iter()
            .filter(|(_, incarnation)| **incarnation > 1)
            .map(|(node, _)| node.clone())
            .collect();
        for node in restarted {
            self.run_coordinator(|c, now| c.handle_node_restart(&node, now));
        }
    }

    /// Lets the coordinator decide, and carries out the effects in order; it may be killed between
    /// any two effects.
    pub(crate) fn run_coordinator(
        &mut self,
        decide: impl FnOnce(&mut Coordinator, Duration) -> Vec<Effect>,
    ) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let effects = decide(coordinator, self.now);
        for effect in effects {
            if self.random.one_in(400) {
                self.counts.coordinator_kills += 1;
                self.coordinator = None;
                self.journal = None;
                return;
            }
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::WriteJournal(records) => {
                let journal = self.journal.as_ref().expect("an open journal");
                journal.write(&records).expect("written");
            }
            Effect::SendCommand {
                node,
                tenant,
                command: message,
            } => self.commands.push(InTransit {
                node,
                tenant,
                message,
            }),
            Effect::PublishMap(epoch) => {
                let coordinator = self.coordinator.as_ref().expect("a coordinator");
                let map = coordinator.map().clone();
                assert!(map.epoch() == epoch && epoch > self.newest_epoch());
                self.maps.push(map);
            }
            Effect::MigrationFinished { is_committed, .. } => {
                if is_committed {
                    self.counts.committed += 1;
                } else {
                    self.counts.aborted += 1;
                }
            }
        }
    }

    pub(crate) fn kill_node(&mut self, node: &Name) {
        self.counts.node_kills += 1;
        self.exited_nodes.insert(node.clone());
        for settlement in &mut self.settlements {
            settlement.lose_connection_to(node);
        }
    }

    pub(crate) fn start_node(&mut self, node: &Name) {
        self.exited_nodes.remove(node);
        let incarnation = self.incarnations.get_mut(node).expect("a node");
        *incarnation += 1;
        let fences = self.fences.iter_mut();
        for (_, fence) in fences.filter(|((name, _), _)| name == node) {
            *fence = Fence::started(*incarnation);
        }
        self.run_coordinator(|c, now| c.handle_node_restart(node, now));
    }

    /// Simulates one random event.
    pub(crate) fn step(&mut self, has_load: bool) {
        self.now += Duration::from_millis(self.random.below(8) as u64);
        match self.random.below(10) {
            0..=2 if !self.commands.is_empty() => self.deliver_command(),
            3..=4 if !self.reports.is_empty() => self.deliver_report(),
            5 => {
                if self.coordinator.is_none() {
                    self.start_coordinator();
                }
                self.run_coordinator(Coordinator::handle_timers);
            }
            6..=8 if has_load => self.send_attempt(),
            _ => self.advance_settlement(),
        }
    }

    /// Delivers or loses a random command, which may stay in transit and arrive again.
    fn deliver_command(&mut self) {
        let index = self.random.below(self.commands.len());
        let command = self.commands[index].clone();
        if !self.random.one_in(6) {
            self.commands.swap_remove(index);
        }
        if self.exited_nodes.contains(&command.node) || self.random.one_in(8) {
            return;
        }
        let fence = self.fence(&command.node, &command.tenant);
        let report = fence.handle_command(&command.message);
        self.reports.push(InTransit {
            node: command.node,
            tenant: command.tenant,
            message: report,
        });
    }

    fn deliver_report(&mut self) {
        let index = self.random.below(self.reports.len());
        let report = self.reports[index].clone();
        if !self.random.one_in(6) {
            self.reports.swap_remove(index);
        }
        if !self.random.one_in(8) {
            self.run_coordinator(|c, now| {
                c.handle_report(&report.tenant, &report.node, report.message, now)
            });
        }
    }

    /// Asserts that no settlement ran twice or was acknowledged without having run, and that no
    /// tenant is served by two cells.
    pub(crate) fn check_invariants(&self) {
        for settlement in &self.settlements {
            settlement.check_invariants();
        }
        for (tenant, _) in self.first_map.assignments() {
            let cells: BTreeSet<&Name> = self
                .fences
                .iter()
                .filter(|((_, t), fence)| t == tenant && fence.ownership == Ownership::Serving)
                .filter(|((node, _), _)| !self.exited_nodes.contains(node))
                .filter_map(|((node, _), _)| self.first_map.node(node).map(|n| &n.cell))
                .collect();
            assert!(cells.len() <= 1, "{tenant} is served by {cells:?}");
        }
    }

    /// Runs without load or kills of nodes until no migration is running or queued and every node
    /// serves the tenants of its cell.
    pub(crate) fn run_until_converged(&mut self) {
        for _ in 0..400_000 {
            let exited_nodes: Vec<Name> = self.exited_nodes.iter().cloned().collect();
            for node in exited_nodes {
                self.start_node(&node);
            }
            self.step(false);
            let is_idle = self
                .coordinator
                .as_ref()
                .is_some_and(|c| c.running().count() == 0 && c.queued_jobs() == 0);
            if is_idle && self.all_nodes_serve_their_tenants() {
                return;
            }
            if is_idle && self.random.one_in(50) {
                // A node that does not serve yet reports it with each heartbeat.
                let nodes: Vec<Name> = self.incarnations.keys().cloned().collect();
                let node = &nodes[self.random.below(nodes.len())];
                self.run_coordinator(|c, now| c.handle_node_restart(node, now));
            }
        }
        panic!("the fleet did not converge within 400,000 steps");
    }

    fn all_nodes_serve_their_tenants(&self) -> bool {
        let Some(map) = self.coordinator.as_ref().map(Coordinator::map) else {
            return false;
        };
        self.fences.iter().all(|((node, tenant), fence)| {
            let Some(assignment) = map.assignment(tenant) else {
                return true;
            };
            let should_serve = map
                .node(node)
                .is_some_and(|n| assignment.cells.names().contains(&n.cell));
            should_serve == (fence.ownership == Ownership::Serving)
        })
    }
}
