//! The socket that clients connect to: bound when the node starts, listening once it can serve
//! them.

use std::net::{SocketAddr, TcpListener};

use protocol_gateway::net::jsonrpc::JsonRpcServer;
use slog::{info, Logger};
use socket2::Socket;

use crate::startup::StartError;

/// The socket for clients, which listens once they can be served.
pub(crate) struct ClientSocket {
    /// The bound socket; `None` once it listens.
    socket: Option<Socket>,
    backlog: i32,
    address: Option<SocketAddr>,
    log: Logger,
}

impl ClientSocket {
    /// Wraps a bound socket that does not listen yet. `backlog` is the number of connections that
    /// may wait to be accepted.
    pub(crate) fn new(socket: Socket, backlog: i32, log: &Logger) -> ClientSocket {
        ClientSocket {
            socket: Some(socket),
            backlog,
            address: None,
            log: log.clone(),
        }
    }

    /// Returns the address that clients connect to, or `None` until the socket listens.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Starts to listen, unless the socket listens already, and passes the listener to the server.
    ///
    /// # Errors
    /// The system refuses to listen on the socket.
    pub(crate) fn open(&mut self, server: &JsonRpcServer) -> Result<(), StartError> {
        let Some(socket) = self.socket.take() else {
            return Ok(());
        };
        socket
            .listen(self.backlog)
            .map_err(StartError::system("listen"))?;
        let listener = TcpListener::from(socket);
        let address = listener
            .local_addr()
            .map_err(StartError::system("listen"))?;
        info!(self.log, "listening"; "at" => %address);
        server.listen(listener);
        self.address = Some(address);
        Ok(())
    }
}
