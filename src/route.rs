//! The command `route`: runs the router until a signal stops it and all accepted requests are
//! answered.

use std::io;
use std::path::Path;

use clock::UnixTime;
use crossbeam_channel::{bounded, select};
use protocol_gateway::net::spawn;
use protocol_gateway::node::Limits;
use router::{Config, RouterLoop};
use routing::RoutingSettings;
use slog::info;

use crate::signals::Signals;
use crate::startup::{logger, StartError};

/// Runs the router that this file configures.
pub(crate) fn run_router(file: &Path) -> Result<(), StartError> {
    let config = Config::read(file)?;
    let log = logger("router");
    // The thread that waits for signals needs the same stack as in a node.
    let limits = Limits::new(config.max_clients);
    let signals = Signals::listen(limits.stack_bytes).map_err(StartError::system("signals"))?;
    let seed = UnixTime::now().0 as u64;
    let router = RouterLoop::bind(config, RoutingSettings::default(), seed, &log)
        .map_err(StartError::system("listen"))?;
    let handle = router.handle();
    info!(log, "listening"; "at" => %handle.address);
    let (result_sender, ended) = bounded(1);
    spawn("route", limits.policy.stack_bytes, move || {
        let _ = result_sender.send(router.run());
    })
    .map_err(StartError::system("threads"))?;
    loop {
        select! {
            recv(signals.shut_down) -> _ => handle.stop(),
            recv(signals.reload) -> _ => handle.reload(),
            recv(ended) -> result => {
                let thread_ended = || Err(io::Error::other("the router's thread has ended"));
                let result = result.unwrap_or_else(|_| thread_ended());
                return result.map_err(StartError::system("poll"));
            }
        }
    }
}
