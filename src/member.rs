//! The node as a member of its fleet: what the main thread tells the view, and when.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fleet_runtime as fleet;
use lifecycle::State;
use membership::AdvertisedStatus;
use slog::{info, o, warn, Logger};

use crate::net::database::Guard;
use crate::node::Limits;

/// The node as a member of its fleet, where a file says that there is one.
pub struct Member {
    config: Option<fleet::Config>,
    file: Option<PathBuf>,
    name: String,
    stack: usize,
    guard: Option<Guard>,
    shares: Option<fleet::Shares>,
    handle: Option<fleet::Handle>,
    beside: bool,
    log: Logger,
}

impl Member {
    /// No member yet. Without a file it never becomes one, and nothing is started.
    pub fn new(
        config: Option<fleet::Config>,
        file: Option<&Path>,
        name: &str,
        limits: &Limits,
        (guard, shares): (Option<Guard>, Option<fleet::Shares>),
        log: &Logger,
    ) -> Member {
        let log = log.new(o!("actor" => "fleet"));
        Member {
            config,
            file: file.map(Path::to_path_buf),
            name: name.into(),
            stack: limits.stack_bytes,
            guard,
            shares,
            handle: None,
            beside: false,
            log,
        }
    }
    /// Another process of the node lives, or has ended. Told before it joins, so that nothing is spent by both. Without
    /// budgets it does not matter.
    pub fn beside(&mut self, another: bool) {
        if self.guard.is_some() && self.beside != another {
            self.beside = another;
            if let Some(handle) = &self.handle {
                handle.beside(another);
            }
        }
    }
    /// Whether it was told that another process lives.
    pub fn is_beside(&self) -> bool {
        self.beside
    }
    /// Becomes a member if it is none yet, and says how the process stands.
    pub fn join(&mut self, state: State, serves: Option<SocketAddr>) -> io::Result<()> {
        if let (None, Some(config)) = (&self.handle, self.config.take()) {
            let me = fleet::Me {
                name: self.name.as_str().into(),
                serves: None,
                shares: self.shares.clone(),
            };
            let budget = self.guard.clone();
            let changed = Box::new(move || budget.iter().for_each(|b| b.look()));
            let handle = fleet::start(config, me, self.stack, changed, &self.log)?;
            info!(self.log, "fleet"; "at" => %handle.at);
            if self.beside {
                handle.beside(true);
            }
            if let (Some(guard), Some(allowance)) = (&self.guard, handle.allowance(fleet::LEDGER)) {
                guard.joined(allowance);
            }
            self.handle = Some(handle);
        }
        if let (Some(handle), Some(at)) = (&self.handle, serves) {
            handle.serve_at(at);
        }
        self.say(state);
        Ok(())
    }
    /// The process stands so.
    pub fn say(&self, state: State) {
        let said = match state {
            State::Starting { .. } => AdvertisedStatus::Joining,
            State::Serving => AdvertisedStatus::Up,
            State::Quiesced => AdvertisedStatus::Quiesced,
            State::Leaving { .. } => AdvertisedStatus::Leaving,
        };
        if let Some(handle) = &self.handle {
            handle.say(said);
        }
    }
    /// Reads the fleet's file again; one that can't be used changes nothing.
    pub fn reload(&self) {
        let (Some(handle), Some(file)) = (&self.handle, &self.file) else {
            return;
        };
        match fleet::Config::read(file) {
            Ok(config) => {
                info!(self.log, "fleet's file read again"; "seeds" => config.seeds.len());
                handle.reload(config);
            }
            Err(e) => warn!(self.log, "the new fleet's file is not used"; "error" => %e),
        }
    }
    /// The last word, or none where the name goes on with a successor.
    pub fn end(&self, silently: bool) {
        if let Some(handle) = &self.handle {
            handle.end(silently);
        }
    }
}
