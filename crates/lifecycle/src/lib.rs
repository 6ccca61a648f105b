//! The lifecycle of a node's process, without I/O, clock or threads: its states ([`ProcessState`]),
//! the admin commands ([`AdminCommand`], [`LineBuffer`]), the status of another process of the same
//! node ([`SiblingProcess`]), and the division of the node's resources between the two
//! ([`target_shares`]).

mod admin_command;
mod process_state;
mod resource_shares;
mod sibling_process;

pub use admin_command::{AdminCommand, AdminRequestError, AdminResponse, LineBuffer};
pub use process_state::{EndpointReport, ProcessState, Transition, TransitionError};
pub use resource_shares::{amount_for_shares, connection_shares, target_shares, TOTAL_SHARES};
pub use sibling_process::{status_word, SiblingProcess, STATUS_WORD_LEN};
