//! The event loop of the router: binding the socket, joining the fleet, reloads and shutdown.

use std::io;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

use client_listener::protocol::CLOSE_NOTICE_LINE;
use client_listener::{ClientListener, ListenerSettings, LiveLimits, TimerMode};
use connections::ConnectionLimits;
use fleet_runtime as fleet;
use membership::AdvertisedStatus;
use mio::net::TcpListener;
use routing::RoutingSettings;
use slog::{info, o, warn, Logger};

use crate::config::Config;
use crate::handle::RouterHandle;
use crate::request_router::{Clients, RequestRouter};

/// Stack size of the thread of the fleet actor.
const FLEET_STACK_BYTES: usize = 160 * 1024;
/// Idle time after which a client connection that was used is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of readiness events handled in one step.
const MAX_EVENTS: usize = 512;
/// Size of the buffer for one read from a client.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Pause after an error while accepting a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of clients accepted in one step.
const ACCEPTS_PER_STEP: usize = 16;

/// A router that is not yet running.
pub struct RouterLoop {
    config: Config,
    log: Logger,
    clients: Clients,
    router: RequestRouter,
    handle: RouterHandle,
}

/// Limits of the client listener that do not change while the router runs.
struct FixedLimits {
    max_connections: usize,
}

impl LiveLimits for FixedLimits {
    fn idle_timeout(&self) -> Duration {
        IDLE_TIMEOUT
    }

    fn max_connections(&self) -> usize {
        self.max_connections
    }
}

impl RouterLoop {
    /// Binds the socket and joins the fleet, if the configuration names one.
    ///
    /// # Errors
    /// An error of the operating system, or a layout of cells that can't be used.
    pub fn bind(
        config: Config,
        settings: RoutingSettings,
        seed: u64,
        log: &Logger,
    ) -> io::Result<RouterLoop> {
        let limits = ConnectionLimits::new(config.max_clients);
        let max_line_bytes = limits.max_line_bytes;
        let max_connections = limits.max_connections;
        let live_limits = Box::new(FixedLimits { max_connections });
        let mut clients = ClientListener::new(listener_settings(limits), live_limits, log)?;
        let socket = TcpListener::bind(config.listen_address)?;
        let address = socket.local_addr()?;
        clients.listen(socket, Instant::now())?;
        let mut router = RequestRouter::new(&config, settings, seed, max_line_bytes, log);
        router
            .set_layout(&config.layout)
            .map_err(|e| io::Error::other(e.to_string()))?;
        let handle = RouterHandle {
            address,
            counters: router.counters(),
            should_stop: Arc::default(),
            should_reload: Arc::default(),
            waker: Arc::new(clients.waker()?),
        };
        let mut router_loop = RouterLoop {
            config,
            log: log.clone(),
            clients,
            router,
            handle,
        };
        router_loop.join_fleet()?;
        Ok(router_loop)
    }

    /// Joins the configured fleet as a member that serves no requests.
    fn join_fleet(&mut self) -> io::Result<()> {
        let Some(config) = self.config.fleet.clone() else {
            return Ok(());
        };
        let local_member = fleet::LocalMember {
            name: config.name.clone().unwrap_or_default(),
            client_address: None,
            shared_counters: None,
        };
        let waker = self.handle.waker.clone();
        let on_change = Box::new(move || drop(waker.wake()));
        let log = self.log.new(o!("actor" => "fleet"));
        let fleet =
            fleet::spawn_fleet_actor(config, local_member, FLEET_STACK_BYTES, on_change, &log)?;
        info!(log, "fleet"; "at" => %fleet.address);
        fleet.set_status(AdvertisedStatus::Up);
        self.router.nodes.use_fleet(fleet);
        Ok(())
    }

    /// Returns a handle that controls the router from other threads.
    pub fn handle(&self) -> RouterHandle {
        self.handle.clone()
    }

    /// Runs until [`RouterHandle::stop`] is called and every request is answered.
    ///
    /// # Errors
    /// An error of the operating system while polling for events.
    pub fn run(mut self) -> io::Result<()> {
        loop {
            if self.handle.should_stop.load(SeqCst) {
                self.clients.close_socket();
                if !self.router.has_open_requests() && !self.clients.has_unsent_bytes() {
                    self.leave_fleet();
                    return Ok(());
                }
            }
            if self.handle.should_reload.swap(false, SeqCst) {
                self.reload();
            }
            self.clients.step(&mut self.router, None)?;
        }
    }

    fn leave_fleet(&self) {
        if let Some(fleet) = self.router.nodes.fleet() {
            fleet.leave();
        }
    }

    /// Reloads the cells file and the fleet file. A file that can't be used changes nothing.
    fn reload(&mut self) {
        match self.reload_layout() {
            Ok(()) => info!(self.log, "cells file reloaded"; "epoch" => self.router.map_epoch()),
            Err(e) => warn!(self.log, "cells file rejected; previous layout kept"; "error" => e),
        }
        let Some(fleet) = self.router.nodes.fleet() else {
            return;
        };
        let Some(path) = &self.config.fleet_path else {
            return;
        };
        match Config::read_fleet(path) {
            Ok(config) => fleet.reload(config),
            Err(e) => warn!(self.log, "fleet file rejected; previous one kept"; "error" => %e),
        }
    }

    fn reload_layout(&mut self) -> Result<(), String> {
        let layout = Config::read_layout(&self.config.layout_path).map_err(|e| e.to_string())?;
        self.router.set_layout(&layout).map_err(|e| e.to_string())
    }
}

fn listener_settings(limits: ConnectionLimits) -> ListenerSettings {
    ListenerSettings {
        limits,
        max_events: MAX_EVENTS,
        read_buffer_bytes: READ_BUFFER_BYTES,
        accepts_per_step: ACCEPTS_PER_STEP,
        final_accept_rounds: 0,
        accept_retry_pause: ACCEPT_RETRY_PAUSE,
        max_total_unsent_bytes: usize::MAX,
        close_notice_line: CLOSE_NOTICE_LINE,
        is_close_notice_limited: false,
        writes_on_every_event: true,
        timer_mode: TimerMode::OnRequest,
    }
}
