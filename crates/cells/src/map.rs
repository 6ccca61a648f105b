//! Which cell a tenant lives in, and which of the cell's nodes serve it.
//!
//! A tenant's place follows from hashes of names (weighted rendezvous), so that any two that hold the same map agree
//! without asking, and a node or a cell that comes or goes moves only what has to move. What hashes don't decide stands
//! in the map: where a node lives, pins, splits, and tenants whose first choice had no room. Maps are persistent: the
//! next epoch shares all that did not change with the last.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rpds::{HashTrieMapSync, RedBlackTreeMapSync};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::file::{Layout, Placement};

/// The name of a node, cell, site or tenant.
pub type Name = Arc<str>;

/// A node as the map knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: Name,
    /// The site it stands at.
    pub site: Name,
    /// What it can do beside others; 1 is an ordinary node.
    pub weight: f64,
    /// Where it takes requests, where the operators have told.
    pub address: Option<SocketAddr>,
    /// The cell it lives in.
    pub cell: Name,
}

/// A cell and its nodes, in the order of their names.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Its name.
    pub name: Name,
    /// Its nodes.
    pub nodes: Vec<Node>,
    /// Cells that take over reads while it is degraded.
    pub neighbours: Vec<Name>,
}

impl Cell {
    /// What its nodes can do together.
    pub fn weight(&self) -> f64 {
        self.nodes.iter().map(|n| n.weight).sum()
    }
    /// How many sites its nodes stand at.
    pub fn sites(&self) -> usize {
        self.nodes
            .iter()
            .map(|n| &n.site)
            .collect::<BTreeSet<_>>()
            .len()
    }
}

/// Where a tenant lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Place {
    /// In this cell.
    One(Name),
    /// In these, by subject; its requests without a subject go to the first.
    Split(Arc<[Name]>),
}

impl Place {
    /// The cells.
    pub fn cells(&self) -> &[Name] {
        match self {
            Place::One(cell) => std::slice::from_ref(cell),
            Place::Split(cells) => cells,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.cells().join("+"))
    }
}

/// A declared tenant's home as the map has it: it changes by a move alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Home {
    /// Where it lives.
    pub place: Place,
    /// The epoch since which it lives there: routers send it along, and nodes that know a newer one refuse.
    pub since: u64,
    /// An operator moved it here: it stays unless the file pins it elsewhere.
    pub by_hand: bool,
}

/// A tenant that lives elsewhere than the layout asks for, and so is to be moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Migration {
    /// Who.
    pub tenant: Name,
    /// Where it lives.
    pub from: Place,
    /// Where the layout wants it.
    pub to: Place,
}

/// Why a layout can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LayoutError {
    /// It has no cell.
    NoCells,
    /// A cell is left without a node.
    NoNodes(Name),
    /// Every node of a cell stands at one site, though there are several sites.
    OneSite(Name, Name),
    /// Something names a cell that is not there.
    NoSuchCell(Name, Name),
    /// A tenant is to be split over more cells than there are.
    TooManyShards(Name, usize, usize),
    /// A tenant's share fits in no cell with what else is declared.
    NoRoom(Name),
    /// A cell is to go while tenants live in it: they are to be moved first.
    Inhabited(Name, Name),
}

impl fmt::Display for LayoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LayoutError::NoCells => f.write_str("there are no cells"),
            LayoutError::NoNodes(cell) => write!(f, "cell {cell} has no nodes"),
            LayoutError::OneSite(cell, site) => {
                write!(f, "all nodes of cell {cell} stand at {site}")
            }
            LayoutError::NoSuchCell(who, cell) => {
                write!(f, "{who} names the cell {cell}, which is not there")
            }
            LayoutError::TooManyShards(tenant, shards, cells) => {
                write!(f, "{tenant} is to be split over {shards} cells of {cells}")
            }
            LayoutError::NoRoom(tenant) => write!(f, "{tenant} fits in no cell beside the others"),
            LayoutError::Inhabited(cell, tenant) => {
                write!(
                    f,
                    "cell {cell} is to go, but {tenant} lives in it: move it first"
                )
            }
        }
    }
}
impl std::error::Error for LayoutError {}

/// Seeds that keep the uses of one name's hash apart.
const OF_CELL: u64 = 1;
const OF_NODE: u64 = 2;
const OF_SUBJECT: u64 = 3;

/// How far from being chosen a candidate of this weight is for this key: the least is first. Weighted rendezvous: an
/// exponential variate of rate `weight`, so that each is first for its share of the keys, whoever else stands.
fn distance(key: u64, candidate: &str, weight: f64, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(
        candidate.as_bytes(),
        key ^ seed.wrapping_mul(0x9E37_79B9_7F4A_7C15),
    );
    // The upper 53 bits, never 0: a number above 0 and at most 1.
    let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.ln() / weight.max(f64::MIN_POSITIVE)
}

fn key_of(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}

/// One epoch of the map.
#[derive(Clone, Debug)]
pub struct CellMap {
    epoch: u64,
    /// Nodes of a cell that serve one tenant; 0 for all.
    shard: usize,
    /// Whether tenants that no file declares have a place, by their hash.
    strangers: bool,
    cells: RedBlackTreeMapSync<Name, Cell>,
    homes: HashTrieMapSync<Name, Home>,
}

impl Default for CellMap {
    /// Before the first layout: no cells, epoch 0.
    fn default() -> CellMap {
        CellMap {
            epoch: 0,
            shard: 0,
            strangers: false,
            cells: RedBlackTreeMapSync::new_sync(),
            homes: HashTrieMapSync::new_sync(),
        }
    }
}

impl CellMap {
    /// The number of this state of the map; the next one's is higher.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }
    /// The cells by name.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }
    /// A cell.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }
    /// A node, with the cell it lives in.
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.cells
            .values()
            .flat_map(|c| &c.nodes)
            .find(|n| &*n.name == name)
    }
    /// Where a declared tenant lives.
    pub fn home(&self, tenant: &str) -> Option<&Home> {
        self.homes.get(tenant)
    }
    /// The declared tenants, in no order.
    pub fn tenants(&self) -> impl Iterator<Item = (&Name, &Home)> {
        self.homes.iter()
    }

    /// The cell that serves this tenant, for this subject where the tenant is split. None where the tenant is
    /// declared nowhere, unless the layout takes strangers in: those go by their hash alone.
    pub fn cell_of(&self, tenant: &str, subject: Option<&str>) -> Option<&Cell> {
        match self.homes.get(tenant).map(|home| &home.place) {
            Some(Place::One(cell)) => self.cells.get(cell),
            Some(Place::Split(cells)) => {
                let Some(subject) = subject else {
                    return self.cells.get(cells.first()?);
                };
                let key = key_of(subject, OF_SUBJECT);
                // All alike: the weights of their nodes change more often than subjects should move.
                cells
                    .iter()
                    .min_by(|a, b| nearer(key, OF_SUBJECT, (a, 1.0), (b, 1.0)))
                    .and_then(|name| self.cells.get(name))
            }
            None if self.strangers => {
                let key = key_of(tenant, OF_CELL);
                self.cells
                    .values()
                    .min_by(|a, b| nearer(key, OF_CELL, (&a.name, 1.0), (&b.name, 1.0)))
            }
            None => None,
        }
    }

    /// The nodes of the cell that serve this tenant, the first choice first: a shuffle shard of the cell, over two
    /// sites at least where the cell has them, or the whole cell where the layout asks for no shards.
    pub fn shard<'a>(&self, cell: &'a Cell, tenant: &str) -> Vec<&'a Node> {
        let key = key_of(tenant, OF_NODE);
        let mut nodes: Vec<&Node> = cell.nodes.iter().collect();
        nodes.sort_by(|a, b| nearer(key, OF_NODE, (&a.name, a.weight), (&b.name, b.weight)));
        let most = if self.shard == 0 {
            nodes.len()
        } else {
            self.shard.min(nodes.len())
        };
        if most > 1 && nodes[..most].iter().all(|n| n.site == nodes[0].site) {
            if let Some(other) = nodes.iter().position(|n| n.site != nodes[0].site) {
                nodes.swap(most - 1, other);
            }
        }
        nodes.truncate(most);
        nodes
    }

    /// The map next to this one under a layout, and who is to be moved for it. Cells and nodes are as the layout says;
    /// nodes that it puts nowhere stay where they live. Nobody moves by this: a tenant that lives here stays until
    /// its move is committed, one that is new lives where the layout wants it. The same map and layout always give the
    /// same next map, and one that changes nothing keeps its epoch.
    pub fn next(&self, layout: &Layout) -> Result<(CellMap, Vec<Migration>), LayoutError> {
        if layout.cells.is_empty() {
            return Err(LayoutError::NoCells);
        }
        let cells = self.place_nodes(layout)?;
        let mut next = CellMap {
            shard: layout.shard,
            strangers: layout.strangers,
            ..self.clone()
        };
        for gone in self.cells.keys().filter(|name| !cells.contains_key(*name)) {
            next.cells.remove_mut(gone);
        }
        for (name, cell) in cells {
            if self.cells.get(&name) != Some(&cell) {
                next.cells.insert_mut(name, cell);
            }
        }
        let mut migrations = Vec::new();
        for gone in self
            .homes
            .keys()
            .filter(|name| !layout.tenants.contains_key(*name))
        {
            next.homes.remove_mut(gone);
        }
        for (tenant, to) in next.wanted(layout)? {
            match self.homes.get(&tenant) {
                None => {
                    next.homes.insert_mut(
                        tenant,
                        Home {
                            place: to,
                            since: self.epoch + 1,
                            by_hand: false,
                        },
                    );
                }
                Some(home) => {
                    if let Some(gone) = home
                        .place
                        .cells()
                        .iter()
                        .find(|cell| !next.cells.contains_key(*cell))
                    {
                        return Err(LayoutError::Inhabited(gone.clone(), tenant));
                    }
                    if home.place != to {
                        migrations.push(Migration {
                            tenant,
                            from: home.place.clone(),
                            to,
                        });
                    }
                }
            }
        }
        let same = (next.shard, next.strangers) == (self.shard, self.strangers)
            && next.cells == self.cells
            && next.homes == self.homes;
        next.epoch += u64::from(!same);
        Ok((next, migrations))
    }

    /// The map in which this tenant lives there from now on: what a move commits that made the epoch `since`, or the next
    /// one where none is told.
    pub fn moved(
        &self,
        tenant: &str,
        to: Place,
        since: Option<u64>,
        by_hand: bool,
    ) -> Result<CellMap, LayoutError> {
        if let Some(gone) = to
            .cells()
            .iter()
            .find(|cell| !self.cells.contains_key(*cell))
        {
            return Err(LayoutError::NoSuchCell(tenant.into(), gone.clone()));
        }
        let epoch = since.unwrap_or(0).max(self.epoch + 1);
        let home = Home {
            place: to,
            since: since.unwrap_or(epoch),
            by_hand,
        };
        Ok(CellMap {
            epoch,
            homes: self.homes.insert(tenant.into(), home),
            ..self.clone()
        })
    }

    fn place_nodes(&self, layout: &Layout) -> Result<BTreeMap<Name, Cell>, LayoutError> {
        let empty = |(name, cell): (&Name, &crate::file::CellSpec)| {
            let cell = Cell {
                name: name.clone(),
                nodes: Vec::new(),
                neighbours: cell.neighbours.clone(),
            };
            (name.clone(), cell)
        };
        let mut cells: BTreeMap<Name, Cell> = layout.cells.iter().map(empty).collect();
        for cell in cells.values() {
            if let Some(gone) = cell
                .neighbours
                .iter()
                .find(|n| !layout.cells.contains_key(*n))
            {
                return Err(LayoutError::NoSuchCell(cell.name.clone(), gone.clone()));
            }
        }
        let mut free: BTreeMap<&Name, Vec<(&Name, &crate::file::NodeSpec)>> = BTreeMap::new();
        for (name, spec) in &layout.nodes {
            let lived = || {
                self.node(name)
                    .map(|n| n.cell.clone())
                    .filter(|c| layout.cells.contains_key(c))
            };
            match spec.cell.clone().or_else(lived) {
                Some(cell) => {
                    let Some(to) = cells.get_mut(&cell) else {
                        return Err(LayoutError::NoSuchCell(name.clone(), cell));
                    };
                    to.nodes.push(spec.node(name, &cell));
                }
                None => free.entry(&spec.site).or_default().push((name, spec)),
            }
        }
        // The sites in turn, so that what is placed one after the other spreads.
        let most = free.values().map(Vec::len).max().unwrap_or(0);
        for (name, spec) in
            (0..most).flat_map(|n| free.values().filter_map(move |site| site.get(n)))
        {
            // The lightest cell for its part, of those the one with the fewest of this site.
            let rank = |c: &Cell| {
                (
                    c.weight(),
                    c.nodes.iter().filter(|n| n.site == spec.site).count(),
                )
            };
            let to = cells.values_mut().min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
            });
            if let Some(to) = to {
                let node = spec.node(name, &to.name);
                to.nodes.push(node);
            }
        }
        let sites: BTreeSet<&Name> = layout.nodes.values().map(|n| &n.site).collect();
        for cell in cells.values_mut() {
            cell.nodes.sort_by(|a, b| a.name.cmp(&b.name));
            let Some(first) = cell.nodes.first() else {
                return Err(LayoutError::NoNodes(cell.name.clone()));
            };
            if sites.len() > 1 && cell.nodes.len() > 1 && cell.sites() == 1 {
                return Err(LayoutError::OneSite(cell.name.clone(), first.site.clone()));
            }
        }
        Ok(cells)
    }

    /// Where each declared tenant should live. Those with a place of their own come first, then the others, the largest
    /// first: each goes to the nearest cell that has room for its share. A cell has room for its part by weight and
    /// `slack` more.
    fn wanted(&self, layout: &Layout) -> Result<Vec<(Name, Place)>, LayoutError> {
        let weights: Vec<(&Name, f64)> =
            self.cells.values().map(|c| (&c.name, c.weight())).collect();
        let all: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let declared: f64 = layout
            .tenants
            .values()
            .map(|t| t.share)
            .sum::<f64>()
            .max(f64::MIN_POSITIVE);
        let mut room: Vec<f64> = weights
            .iter()
            .map(|(_, weight)| weight / all * (1.0 + layout.slack))
            .collect();
        let index = |cell: &Name| weights.iter().position(|(name, _)| *name == cell);
        let stays = |name: &Name| {
            self.homes
                .get(name)
                .filter(|home| home.by_hand)
                .map(|home| &home.place)
        };
        let fixed = |name: &Name, p: &Placement| *p != Placement::Free || stays(name).is_some();
        let mut tenants: Vec<_> = layout.tenants.iter().collect();
        tenants.sort_by(|(a, s), (b, t)| {
            let first = fixed(b, &t.placement).cmp(&fixed(a, &s.placement));
            first.then(t.share.total_cmp(&s.share)).then(a.cmp(b))
        });
        let mut wanted = Vec::with_capacity(tenants.len());
        for (name, spec) in tenants {
            let share = spec.share / declared;
            let key = key_of(name, OF_CELL);
            let mut near: Vec<(f64, usize)> = weights
                .iter()
                .enumerate()
                .map(|(i, (cell, weight))| (distance(key, cell, *weight, OF_CELL), i))
                .collect();
            near.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let place = match (&spec.placement, stays(name)) {
                (Placement::Cell(cell), _) if index(cell).is_none() => {
                    return Err(LayoutError::NoSuchCell(name.clone(), cell.clone()));
                }
                (Placement::Cell(cell), _) => Place::One(cell.clone()),
                (_, Some(place)) => place.clone(),
                (Placement::Split(shards), None) if *shards > near.len() => {
                    return Err(LayoutError::TooManyShards(
                        name.clone(),
                        *shards,
                        near.len(),
                    ));
                }
                (Placement::Split(shards), None) => Place::Split(
                    near.iter()
                        .take(*shards)
                        .map(|(_, i)| weights[*i].0.clone())
                        .collect(),
                ),
                (Placement::Free, None) => {
                    let Some((_, i)) = near.iter().find(|(_, i)| room[*i] + 1e-9 >= share) else {
                        return Err(LayoutError::NoRoom(name.clone()));
                    };
                    Place::One(weights[*i].0.clone())
                }
            };
            let part = share / place.cells().len() as f64;
            for i in place.cells().iter().filter_map(index) {
                room[i] -= part;
            }
            wanted.push((name.clone(), place));
        }
        Ok(wanted)
    }
}

fn nearer(key: u64, seed: u64, a: (&Name, f64), b: (&Name, f64)) -> Ordering {
    let to = |(name, weight): (&Name, f64)| distance(key, name, weight, seed);
    to(a).total_cmp(&to(b)).then_with(|| a.0.cmp(b.0))
}

/// The map in force, for readers that must never wait: they take what stands, and a newer epoch replaces it whole.
#[derive(Default)]
pub struct Published(ArcSwap<CellMap>);

impl Published {
    /// A first map.
    pub fn new(map: CellMap) -> Published {
        Published(ArcSwap::from_pointee(map))
    }
    /// The map in force.
    pub fn load(&self) -> Arc<CellMap> {
        self.0.load_full()
    }
    /// Puts a newer map in force; false where it is not newer, and nothing changes.
    pub fn publish(&self, map: CellMap) -> bool {
        let map = Arc::new(map);
        let before = self.0.rcu(|old| {
            if map.epoch > old.epoch {
                map.clone()
            } else {
                old.clone()
            }
        });
        map.epoch > before.epoch
    }
}
