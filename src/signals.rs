//! The signals by which the platform controls a process.

use std::io;

use crossbeam_channel::{bounded, Receiver};
use protocol_gateway::net::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Receivers of the signals. Signals are not counted: a pending message stands for all signals that
/// follow it.
pub(crate) struct Signals {
    /// SIGTERM and SIGINT: shut down.
    pub(crate) shut_down: Receiver<()>,
    /// SIGHUP: reload the configuration.
    pub(crate) reload: Receiver<()>,
}

impl Signals {
    /// Handles the signals on a thread with a stack of this size.
    pub(crate) fn listen(stack_bytes: usize) -> io::Result<Signals> {
        let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let (shut_down_sender, shut_down) = bounded(1);
        let (reload_sender, reload) = bounded(1);
        spawn("signals", stack_bytes, move || {
            for signal in signals.forever() {
                let sender = match signal {
                    SIGHUP => &reload_sender,
                    _ => &shut_down_sender,
                };
                let _ = sender.try_send(());
            }
        })?;
        Ok(Signals { shut_down, reload })
    }
}
