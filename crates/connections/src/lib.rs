//! Client connections that carry one message per line, without their sockets: the state of one
//! connection ([`ConnectionState`]), and the choice of connections to evict when slots run short
//! ([`IdleConnections`]). The JSON-RPC server of a node and the router share this code.

mod connection_state;
mod idle_connections;
mod input_buffer;
mod limits;
mod output_buffer;

pub use connection_state::{ConnectionState, IdleKind, Idleness, ProtocolViolation, TimerAction};
pub use idle_connections::{ConnectionId, Eviction, IdleConnections};
pub use limits::ConnectionLimits;
