//! The states of one process of a node, and the transitions that operators and the platform cause.

use std::fmt;

/// The state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process does not accept clients yet.
    Starting {
        /// True if the process becomes quiesced as soon as it accepts clients.
        quiesced: bool,
    },
    /// The process serves requests, and health checks succeed.
    Serving,
    /// The process serves the requests that arrive, but health checks fail, so that clients send no
    /// more.
    Quiesced,
    /// The process is shutting down after the platform's signal.
    ShuttingDown {
        /// True if a successor accepts clients: the node stays in service, and only this process
        /// ends.
        replaced: bool,
        /// True if the process was quiesced when the shutdown began.
        quiesced: bool,
    },
}

/// An event that moves a process to another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The process begins to accept clients.
    AcceptClients,
    /// Operators drain the node.
    Quiesce,
    /// Operators return the node to service.
    Resume,
    /// The platform ends the process.
    ShutDown {
        /// True if a successor accepts clients.
        replaced: bool,
    },
}

/// The reason why a transition is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The process is shutting down.
    #[error("leaving")]
    ShuttingDown,
    /// The process is shutting down and a successor serves. The command must be sent to the
    /// successor's admin address.
    #[error("leaving, a successor serves")]
    Replaced,
}

/// The status that is reported to the service that maintains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// No report: the process does not serve yet, or its successor reports instead.
    Nothing,
    /// The node serves requests.
    Up,
    /// The node must get no more requests.
    Out,
}

impl ProcessState {
    /// Returns the state after a transition. Repeating a transition has no effect.
    ///
    /// # Errors
    /// The process is shutting down, and the transition would revert that or must be applied to its
    /// successor.
    pub fn apply(self, transition: Transition) -> Result<ProcessState, TransitionError> {
        match transition {
            Transition::AcceptClients => Ok(self.accept_clients()),
            Transition::Quiesce => self.quiesce(),
            Transition::Resume => self.resume(),
            Transition::ShutDown { replaced } => Ok(self.shut_down(replaced)),
        }
    }

    fn accept_clients(self) -> ProcessState {
        match self {
            ProcessState::Starting { quiesced: true } => ProcessState::Quiesced,
            ProcessState::Starting { quiesced: false } => ProcessState::Serving,
            ProcessState::Serving | ProcessState::Quiesced | ProcessState::ShuttingDown { .. } => {
                self
            }
        }
    }

    fn quiesce(self) -> Result<ProcessState, TransitionError> {
        match self {
            ProcessState::Starting { .. } => Ok(ProcessState::Starting { quiesced: true }),
            ProcessState::Serving | ProcessState::Quiesced => Ok(ProcessState::Quiesced),
            // The node is already being drained.
            ProcessState::ShuttingDown {
                replaced: false, ..
            } => Ok(self),
            ProcessState::ShuttingDown { replaced: true, .. } => Err(TransitionError::Replaced),
        }
    }

    fn resume(self) -> Result<ProcessState, TransitionError> {
        match self {
            ProcessState::Starting { .. } => Ok(ProcessState::Starting { quiesced: false }),
            ProcessState::Serving | ProcessState::Quiesced => Ok(ProcessState::Serving),
            ProcessState::ShuttingDown {
                replaced: false, ..
            } => Err(TransitionError::ShuttingDown),
            ProcessState::ShuttingDown { replaced: true, .. } => Err(TransitionError::Replaced),
        }
    }

    fn shut_down(self, replaced: bool) -> ProcessState {
        if let ProcessState::ShuttingDown { .. } = self {
            return self;
        }
        ProcessState::ShuttingDown {
            replaced,
            quiesced: self.is_quiesced(),
        }
    }

    /// Returns true if operators have quiesced the node and not resumed it.
    pub fn is_quiesced(self) -> bool {
        matches!(
            self,
            ProcessState::Quiesced
                | ProcessState::Starting { quiesced: true }
                | ProcessState::ShuttingDown { quiesced: true, .. }
        )
    }

    /// Returns true if health checks succeed, as far as they depend on this state. They also
    /// succeed during a shutdown with a successor, unless the process was quiesced: a failure would
    /// remove the node from the endpoint lists although the successor serves.
    pub fn is_healthy(self) -> bool {
        matches!(
            self,
            ProcessState::Serving
                | ProcessState::ShuttingDown {
                    replaced: true,
                    quiesced: false
                }
        )
    }

    /// Returns true if the process accepts clients.
    pub fn accepts_clients(self) -> bool {
        matches!(self, ProcessState::Serving | ProcessState::Quiesced)
    }

    /// Returns true if the process may consume from queues.
    pub fn may_consume(self) -> bool {
        self == ProcessState::Serving
    }

    /// Returns the status to report to the service that maintains the endpoint list.
    pub fn endpoint_report(self) -> EndpointReport {
        match self {
            ProcessState::Starting { .. } | ProcessState::ShuttingDown { replaced: true, .. } => {
                EndpointReport::Nothing
            }
            ProcessState::Serving => EndpointReport::Up,
            ProcessState::Quiesced
            | ProcessState::ShuttingDown {
                replaced: false, ..
            } => EndpointReport::Out,
        }
    }
}

impl Default for ProcessState {
    fn default() -> ProcessState {
        ProcessState::Starting { quiesced: false }
    }
}

/// Writes the text used in responses to admin commands, which is a stable format.
impl fmt::Display for ProcessState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ProcessState::Starting { quiesced: false } => "starting",
            ProcessState::Starting { quiesced: true } => "starting, to be quiesced",
            ProcessState::Serving => "serving",
            ProcessState::Quiesced => "quiesced",
            ProcessState::ShuttingDown {
                replaced: false, ..
            } => "leaving",
            ProcessState::ShuttingDown { replaced: true, .. } => "leaving, a successor serves",
        })
    }
}
