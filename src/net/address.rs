//! The addresses of peers, which may change, and the address at which clients are served.

use std::io;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

use socket2::{Domain, Protocol, Socket, Type};

/// The present address of a peer, which a reload of the configuration may change. Open connections stay where they are;
/// new ones go to the new address.
pub struct PeerAddress(RwLock<Option<SocketAddr>>);

impl PeerAddress {
    /// A peer at this address, or none at a site that has no such peer.
    pub fn new(address: impl Into<Option<SocketAddr>>) -> PeerAddress {
        PeerAddress(RwLock::new(address.into()))
    }

    /// The present address; `None` at a site that has no such peer.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the address.
    pub fn set(&self, address: Option<SocketAddr>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = address;
    }
}

/// Binds the address for clients without listening on it yet, so that an unusable address is known at the start. A
/// `shared` address can be bound by a second process of the node as well, which the platform may start where the node
/// has an admin address.
///
/// # Errors
/// Where the address can't be bound.
pub fn bind_client_address(address: SocketAddr, shared: bool) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // As std does: what an earlier process has left in TIME_WAIT must not keep this one out.
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    Ok(socket)
}
