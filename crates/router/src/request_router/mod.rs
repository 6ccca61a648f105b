//! The router between its two sides: open requests, the nodes they are sent to, and the answers to clients.

mod attempts;
mod client_handler;
mod deadlines;
mod periodic_work;
mod upstream_events;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cells::map::CellMap;
use cells::{AppliedLayout, Layout, LayoutError};
use client_listener::{ClientListener, RequestHandle};
use mio::Token;
use routing::{Router, RoutingSettings, Ticket};
use slog::{warn, Logger};

use crate::config::{Config, RequestClass};
use crate::handle::RouterCounters;
use crate::node_directory::NodeDirectory;
use crate::upstream_pool::UpstreamPool;

/// The client side of the router.
pub(crate) type Clients = ClientListener<RequestRouter>;

/// A request that is not answered.
struct OpenRequest {
    client: RequestHandle,
    method: String,
    /// Its parameters as they arrived, in JSON.
    params: String,
    is_idempotent: bool,
    deadline: Instant,
    /// The connection of its latest attempt.
    upstream: Option<Token>,
}

/// Forwards requests of clients to nodes, as the crate `routing` decides.
pub(crate) struct RequestRouter {
    classes: BTreeMap<String, RequestClass>,
    log: Logger,
    counters: Arc<RouterCounters>,
    started_at: Instant,
    map: CellMap,
    pub(crate) nodes: NodeDirectory,
    router: Router,
    upstreams: UpstreamPool,
    open_requests: HashMap<Ticket, OpenRequest>,
    /// Deadlines of requests, also of some that are answered.
    deadlines: BinaryHeap<Reverse<(Instant, Ticket)>>,
    next_periodic_work_at: Instant,
    /// Retries per second that were wanted recently.
    wanted_retry_rate: u64,
}

impl RequestRouter {
    /// A router without nodes.
    pub(crate) fn new(
        config: &Config,
        settings: RoutingSettings,
        seed: u64,
        max_line_bytes: usize,
        log: &Logger,
    ) -> RequestRouter {
        let now = Instant::now();
        RequestRouter {
            classes: config.classes.clone(),
            log: log.clone(),
            counters: Arc::default(),
            started_at: now,
            map: CellMap::default(),
            nodes: NodeDirectory::new(),
            router: Router::new(settings, seed),
            upstreams: UpstreamPool::new(config.max_connections_per_node, max_line_bytes),
            open_requests: HashMap::new(),
            deadlines: BinaryHeap::new(),
            next_periodic_work_at: now,
            wanted_retry_rate: 0,
        }
    }

    /// The counters of the router.
    pub(crate) fn counters(&self) -> Arc<RouterCounters> {
        self.counters.clone()
    }

    /// Applies a layout of cells. Tenants that it assigns to other cells stay where they are until they are migrated.
    ///
    /// # Errors
    /// The layout can't follow the map in force, which then stays.
    pub(crate) fn set_layout(&mut self, layout: &Layout) -> Result<(), LayoutError> {
        let AppliedLayout { map, migrations } = self.map.apply_layout(layout)?;
        if !migrations.is_empty() {
            warn!(self.log, "tenants stay in their cell until they are migrated"; "tenants" => migrations.len());
        }
        self.nodes.set_map(&map);
        self.map = map;
        Ok(())
    }

    /// The epoch of the cell map in use.
    pub(crate) fn map_epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Whether any request is not answered.
    pub(crate) fn has_open_requests(&self) -> bool {
        !self.open_requests.is_empty()
    }

    /// The time since the router started, which is the clock of its decisions.
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
