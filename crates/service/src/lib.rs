//! What decides over a node in service, without I/O, clock or threads: its states ([`State`]) and the calls at the
//! operators' door ([`Call`], [`Line`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod state;

pub use call::{Answer, Call, Line, Unheard};
pub use state::{Refused, Report, State, Step};
