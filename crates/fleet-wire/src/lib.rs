//! The fleet's view on a real socket: one UDP socket and one thread carry out what [`mothwinch_fleet::View`] decides, and
//! publish what it sees. The file that puts it in force is read here, and tools ask from here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ask;
mod config;
mod shell;

pub use ask::{ask, AskError, Told};
pub use config::{Config, ConfigError};
pub use shell::{start, Handle, Me, Seen};
