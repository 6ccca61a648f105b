//! A TCP server on loopback with one thread per connection.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::error::{expect_ok, TestDoubleError};

/// Starts a server that calls `handler` for each connection on a separate thread, and returns its
/// address. Panics if the operating system provides no socket.
pub fn serve_connections(handler: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    expect_ok(try_serve_connections(handler))
}

/// Starts a server that calls `handler` for each connection on a separate thread, and returns its
/// address.
///
/// # Errors
/// [`TestDoubleError::Io`] if the operating system provides no socket.
pub fn try_serve_connections(
    handler: impl Fn(TcpStream) + Send + Sync + 'static,
) -> Result<SocketAddr, TestDoubleError> {
    let listener =
        TcpListener::bind("127.0.0.1:0").map_err(TestDoubleError::io("listening on loopback"))?;
    let address = listener
        .local_addr()
        .map_err(TestDoubleError::io("listening on loopback"))?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handler = handler.clone();
            // Setting an option fails if the connection has already been closed.
            if stream.set_nodelay(true).is_ok() {
                thread::spawn(move || handler(stream));
            }
        }
    });
    Ok(address)
}
