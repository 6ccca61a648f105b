//! The client side of a server that exchanges one message per line: one event loop over all client
//! sockets, on one thread. It blocks only while it waits for readiness, a timer or a wake-up.
//! Connections are read in turns with a limited number of lines each.
//!
//! A [`ClientHandler`] decides what a line means. The crate `connections` implements the state of a
//! connection and the choice of connections to evict when slots run short. Names and error codes of
//! the protocol are in [`protocol`]. The JSON-RPC server of a node and the router both run this
//! loop.

mod accepting;
mod closing;
mod connection;
mod handler;
mod listener;
pub mod protocol;
mod reading;
mod settings;
mod timers;
mod writing;

pub use handler::{ClientHandler, ClientMessage, RequestHandle};
pub use listener::{ClientListener, ListenerCounters};
pub use settings::{ListenerSettings, LiveLimits, TimerMode};
