//! Finds the process at the other end of a loopback connection, so that each directed pair of
//! processes has its own link although all processes connect from the same address.
//!
//! Queries the kernel for the connection by its addresses (`sock_diag`). Reading `/proc/net/tcp`
//! instead would miss sockets while others are opened and closed.

use std::io;
use std::net::SocketAddr;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use thiserror::Error;

/// Size of the buffer for the kernel's reply about one connection, in bytes.
const REPLY_BUFFER_BYTES: usize = 4096;

/// Cookie that matches a socket by its addresses only (the kernel's `INET_DIAG_NOCOOKIE`).
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// A process that is registered in the testbed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownProcess {
    /// Its name on links.
    pub name: String,
    /// Its process id.
    pub pid: u32,
}

/// The owner of the socket at the other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The known process of this name.
    Process(String),
    /// The other end has been closed, so that no process owns it.
    Closed,
}

/// The reason why the owner of a connection could not be determined.
#[derive(Debug, Error)]
pub enum OwnerError {
    /// The query to the kernel failed.
    #[error("querying the kernel for a connection: {0}")]
    Query(#[from] io::Error),
    /// The kernel's reply has an unexpected form.
    #[error("unexpected reply from the kernel about a connection: {0}")]
    UnexpectedReply(String),
    /// The socket is open, and none of the known processes owns it.
    #[error("the connection from {0} belongs to no known process")]
    UnknownProcess(SocketAddr),
}

/// Returns the owner of the socket with the local address `local` that is connected to `remote`.
///
/// # Errors
/// [`OwnerError`] if the query fails, or the socket is open and belongs to no known process.
pub fn find_owner(
    local: SocketAddr,
    remote: SocketAddr,
    processes: &[KnownProcess],
) -> Result<Owner, OwnerError> {
    let Some(inode) = query_inode(local, remote)? else {
        return Ok(Owner::Closed);
    };
    processes
        .iter()
        .find(|process| has_socket(process.pid, inode))
        .map(|process| Owner::Process(process.name.clone()))
        .ok_or(OwnerError::UnknownProcess(local))
}

/// Returns true if the process has a descriptor for the socket with this inode.
fn has_socket(pid: u32, inode: u32) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok())
        .any(|target| target.to_string_lossy() == wanted)
}

/// Queries the kernel for the inode of a connected socket. `None` if the socket is closed.
fn query_inode(local: SocketAddr, remote: SocketAddr) -> Result<Option<u32>, OwnerError> {
    let mut socket = netlink_sys::Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0))?;
    socket.send(&encode_query(local, remote), 0)?;
    let mut reply = Vec::with_capacity(REPLY_BUFFER_BYTES);
    socket.recv(&mut reply, 0)?;
    decode_inode(&reply)
}

/// Encodes the query for one connection.
fn encode_query(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let mut socket_id = SocketId::new_v4();
    socket_id.source_address = local.ip();
    socket_id.source_port = local.port();
    socket_id.destination_address = remote.ip();
    socket_id.destination_port = remote.port();
    socket_id.cookie = ANY_COOKIE;
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

/// Decodes the inode in the kernel's reply. `None` if there is no such connection, or no process
/// owns it any more.
fn decode_inode(reply: &[u8]) -> Result<Option<u32>, OwnerError> {
    let message = NetlinkMessage::<SockDiagMessage>::deserialize(reply)
        .map_err(|error| OwnerError::UnexpectedReply(error.to_string()))?;
    match message.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            Ok(Some(response.header.inode).filter(|inode| *inode != 0))
        }
        NetlinkPayload::Error(error) => {
            let error = error.to_io();
            if error.kind() == io::ErrorKind::NotFound {
                return Ok(None);
            }
            Err(OwnerError::Query(error))
        }
        other => Err(OwnerError::UnexpectedReply(format!("{other:?}"))),
    }
}
