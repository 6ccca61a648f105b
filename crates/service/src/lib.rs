//! What decides over a node in service, without I/O, clock or threads: its states ([`State`]), the calls at the
//! operators' door ([`Call`], [`Line`]), and what one process makes of another beside it ([`Beside`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod beside;
mod call;
mod state;

pub use beside::{word, Beside, WORD};
pub use call::{Answer, Call, Line, Unheard};
pub use state::{Refused, Report, State, Step};
