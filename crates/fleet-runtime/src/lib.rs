//! The fleet's view on a real socket: one UDP socket and one thread carry out what [`membership::View`] decides, and
//! publish what it sees. The file that puts it in force is read here, and tools ask from here.

mod allowance;
mod ask;
mod config;
mod shares;
mod shell;

pub use allowance::Allowance;
pub use ask::{ask, look, AskError, Told};
pub use config::{Config, ConfigError, LEDGER, TRIES};
pub use shares::{Known, Shares};
pub use shell::{start, Handle, Me, Seen};
