//! The addresses of peers, which may change, and the listen address for clients.

use std::io;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

use socket2::{Domain, Protocol, Socket, Type};

/// The current address of a peer, which a configuration reload may change. Open connections keep
/// the old address; new ones use the new address.
pub struct PeerAddress(RwLock<Option<SocketAddr>>);

impl PeerAddress {
    /// Creates the address of a peer; `None` at a site that has no such peer.
    pub fn new(address: impl Into<Option<SocketAddr>>) -> PeerAddress {
        PeerAddress(RwLock::new(address.into()))
    }

    /// Returns the current address; `None` at a site that has no such peer.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the address.
    pub fn set(&self, address: Option<SocketAddr>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = address;
    }
}

/// Binds the address for clients without listening on it yet, so that an unusable address is
/// detected at the start. A `shared` address can also be bound by a second process of the node,
/// which the platform may start if the node has an admin address.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn bind_client_address(address: SocketAddr, shared: bool) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // As std does: connections of an earlier process in TIME_WAIT must not prevent the bind.
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    Ok(socket)
}
