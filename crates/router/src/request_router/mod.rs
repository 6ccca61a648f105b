//! The router between clients and nodes: open requests, the nodes that they are sent to, and the
//! answers to clients.

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

/// The listener for the router's clients.
pub(crate) type Clients = ClientListener<RequestRouter>;

/// A request that has not been answered.
struct OpenRequest {
    client: RequestHandle,
    method: String,
    /// Parameters as received, in JSON.
    params: String,
    is_idempotent: bool,
    deadline: Instant,
    /// Connection of the latest attempt; `None` if the request was not sent.
    upstream: Option<Token>,
}

/// Forwards clients' requests to nodes as the crate `routing` decides.
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
    /// Deadlines of requests, including some that are already answered.
    deadlines: BinaryHeap<Reverse<(Instant, Ticket)>>,
    next_periodic_work_at: Instant,
    /// Retries per second that were requested recently, whether or not they were sent.
    requested_retry_rate: u64,
}

impl RequestRouter {
    /// Creates a router without nodes.
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
            requested_retry_rate: 0,
        }
    }

    /// Returns the counters of the router.
    pub(crate) fn counters(&self) -> Arc<RouterCounters> {
        self.counters.clone()
    }

    /// Applies a layout of cells. Tenants that it assigns to other cells stay in their current cell
    /// until they are migrated.
    ///
    /// # Errors
    /// The layout can't follow the map in use; the map is unchanged then.
    pub(crate) fn set_layout(&mut self, layout: &Layout) -> Result<(), LayoutError> {
        let AppliedLayout { map, migrations } = self.map.apply_layout(layout)?;
        if !migrations.is_empty() {
            warn!(self.log, "tenants stay in their cell until they are migrated"; "tenants" => migrations.len());
        }
        self.nodes.set_map(&map);
        self.map = map;
        Ok(())
    }

    /// Returns the epoch of the cell map in use.
    pub(crate) fn map_epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Returns true if any request has not been answered.
    pub(crate) fn has_open_requests(&self) -> bool {
        !self.open_requests.is_empty()
    }

    /// Returns the time since the router started, which routing decisions use as their clock.
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }
}
