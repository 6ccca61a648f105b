//! What decides over a node in service, without I/O, clock or threads: its states ([`State`]), the calls at the
//! operators' door ([`Call`], [`Line`]), what one process makes of another beside it
//! ([`Beside`]), and how the two divide what the node may have ([`parts`]).

mod beside;
mod call;
mod parts;
mod state;

pub use beside::{word, Beside, WORD};
pub use call::{Answer, Call, Line, Unheard};
pub use parts::{parts, share, PARTS};
pub use state::{Refused, Report, State, Step};
