//! The states of one process of a node, and how operators and the platform move it between them.

use std::fmt;

/// State of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It does not accept clients yet.
    Starting {
        /// It will be quiesced once it does.
        quiesced: bool,
    },
    /// It serves, and health checks succeed.
    Serving,
    /// It serves what arrives, but health checks tell clients to send nothing more.
    Quiesced,
    /// It ends, after the platform's signal.
    ShuttingDown {
        /// A successor serves: the node stays in service, only this process ends.
        replaced: bool,
        /// It was quiesced before.
        quiesced: bool,
    },
}

/// What moves a process to another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The process accepts clients from now on.
    AcceptClients,
    /// Operators empty the node.
    Quiesce,
    /// Operators bring the node back.
    Resume,
    /// The platform ends the process.
    ShutDown {
        /// A successor serves.
        replaced: bool,
    },
}

/// Why a process can't make a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The process is shutting down.
    #[error("leaving")]
    ShuttingDown,
    /// The process is shutting down and a successor serves: the command belongs at the successor's admin address.
    #[error("leaving, a successor serves")]
    Replaced,
}

/// What is reported to the service that keeps the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointReport {
    /// Nothing: the process does not serve yet, or a successor reports.
    Nothing,
    /// The node serves.
    Up,
    /// The node wants no more requests.
    Out,
}

impl ProcessState {
    /// The state after a transition. Repeating a transition has no effect.
    ///
    /// # Errors
    /// The process is shutting down, and the transition would end that or belongs to its successor.
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
            // The node is being emptied already.
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

    /// Whether operators have asked for the node to be emptied.
    pub fn is_quiesced(self) -> bool {
        matches!(
            self,
            ProcessState::Quiesced
                | ProcessState::Starting { quiesced: true }
                | ProcessState::ShuttingDown { quiesced: true, .. }
        )
    }

    /// Whether health checks succeed, as far as this state goes. On a node that a successor serves they succeed until
    /// the end: a failure would take the node off the endpoint lists.
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

    /// Whether the process accepts clients.
    pub fn accepts_clients(self) -> bool {
        matches!(self, ProcessState::Serving | ProcessState::Quiesced)
    }

    /// Whether the process may consume from queues.
    pub fn may_consume(self) -> bool {
        self == ProcessState::Serving
    }

    /// What is reported to the service that keeps the endpoint list.
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

/// The text in answers to admin commands, which is a stable format.
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
