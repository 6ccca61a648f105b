//! The client side of a server that exchanges one message per line: one readiness loop over all client sockets, on one
//! thread. It never waits except for readiness, a timer or a wake-up, and gives each connection its turn of so many lines.
//!
//! What a line means is decided by a [`ClientHandler`]; the state of a connection, and which connections are evicted when
//! slots run short, by the crate `connections`. Names and error codes of the protocol are in [`protocol`]. The JSON-RPC server of a node and the router both run this loop.

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
