//! The states of one process of a node, as staff and platform move it between them.

use std::fmt;

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes no clients yet.
    Starting {
        /// It will be quiesced once it does.
        quiesced: bool,
    },
    /// It serves, and says so.
    Serving,
    /// It serves what comes, and tells health checks to send nothing more.
    Quiesced,
    /// It was told to end.
    Leaving {
        /// A successor serves: the node goes on, only this process ends.
        replaced: bool,
        /// It was quiesced before.
        quiesced: bool,
    },
}

/// What moves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It takes clients now.
    Taking,
    /// Staff empty the node.
    Quiesce,
    /// Staff bring it back.
    Resume,
    /// The platform's notice.
    Leave {
        /// A successor serves.
        replaced: bool,
    },
}

/// Why a step can't hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The process was told to end, and does.
    Leaving,
    /// The process was told to end and a successor serves: the call belongs at the successor's door.
    Replaced,
}
impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::Leaving => "leaving",
            Refused::Replaced => "leaving, a successor serves",
        })
    }
}

/// What the membership service is to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// Nothing: there is nothing to say yet, or a successor says it.
    Nothing,
    /// The node serves.
    Up,
    /// The node wants no more.
    Out,
}

impl State {
    /// The state after a step; a step that can't hold changes nothing. Repeats are harmless.
    pub fn step(self, step: Step) -> Result<State, Refused> {
        use State::{Leaving, Quiesced, Serving, Starting};
        Ok(match (self, step) {
            (Starting { quiesced: true }, Step::Taking) => Quiesced,
            (Starting { quiesced: false }, Step::Taking) => Serving,
            (Starting { .. }, Step::Quiesce) => Starting { quiesced: true },
            (Starting { .. }, Step::Resume) => Starting { quiesced: false },
            (Serving | Quiesced, Step::Quiesce) => Quiesced,
            (Serving | Quiesced, Step::Resume) => Serving,
            (Leaving { replaced: true, .. }, Step::Quiesce | Step::Resume) => {
                return Err(Refused::Replaced)
            }
            // What `quiesce` asks for holds already.
            (
                Leaving {
                    replaced: false, ..
                },
                Step::Quiesce,
            ) => self,
            (
                Leaving {
                    replaced: false, ..
                },
                Step::Resume,
            ) => return Err(Refused::Leaving),
            (Serving | Quiesced | Leaving { .. }, Step::Taking)
            | (Leaving { .. }, Step::Leave { .. }) => self,
            (_, Step::Leave { replaced }) => Leaving {
                replaced,
                quiesced: self.quiesced(),
            },
        })
    }

    /// Staff have asked for the node to be emptied.
    pub fn quiesced(self) -> bool {
        matches!(
            self,
            State::Quiesced
                | State::Starting { quiesced: true }
                | State::Leaving { quiesced: true, .. }
        )
    }
    /// Health checks may hear that all is well, as far as service goes. Of a node that goes on under a successor they
    /// hear it until the end: a bad answer would take the node off the lists.
    pub fn healthy(self) -> bool {
        matches!(
            self,
            State::Serving
                | State::Leaving {
                    replaced: true,
                    quiesced: false
                }
        )
    }
    /// The process takes clients.
    pub fn takes_clients(self) -> bool {
        matches!(self, State::Serving | State::Quiesced)
    }
    /// Work that the node fetches for itself may be fetched.
    pub fn consumes(self) -> bool {
        self == State::Serving
    }
    /// What the membership service is to hear.
    pub fn report(self) -> Report {
        match self {
            State::Starting { .. } | State::Leaving { replaced: true, .. } => Report::Nothing,
            State::Serving => Report::Up,
            State::Quiesced
            | State::Leaving {
                replaced: false, ..
            } => Report::Out,
        }
    }
}
impl Default for State {
    fn default() -> State {
        State::Starting { quiesced: false }
    }
}
impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Starting { quiesced: false } => "starting",
            State::Starting { quiesced: true } => "starting, to be quiesced",
            State::Serving => "serving",
            State::Quiesced => "quiesced",
            State::Leaving {
                replaced: false, ..
            } => "leaving",
            State::Leaving { replaced: true, .. } => "leaving, a successor serves",
        })
    }
}
