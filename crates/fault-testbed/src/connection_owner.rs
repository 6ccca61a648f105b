//! Finds the process at the other end of a loopback connection, so that each directed pair of processes has a link of its own
//! although all of them connect from the same address.
//!
//! The kernel is asked for the one connection by its addresses (`sock_diag`). Reading `/proc/net/tcp` instead misses sockets
//! while others come and go.

use std::io;
use std::net::SocketAddr;

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use thiserror::Error;

/// Room for the kernel's answer about one connection, in bytes.
const ANSWER_BYTES: usize = 4096;

/// Asks for a socket by its addresses alone (the kernel's `INET_DIAG_NOCOOKIE`).
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// A process that the testbed knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownProcess {
    /// The name that its links have.
    pub name: String,
    /// Its process id.
    pub pid: u32,
}

/// Who has the socket at the other end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The known process of this name.
    Process(String),
    /// Nobody any more: the other end has been closed.
    Closed,
}

/// Why the owner of a connection could not be determined.
#[derive(Debug, Error)]
pub enum OwnerError {
    /// The kernel could not be asked.
    #[error("asking the kernel for a connection: {0}")]
    Query(#[from] io::Error),
    /// The kernel's answer has another form than expected.
    #[error("the kernel's answer about a connection: {0}")]
    Answer(String),
    /// The socket is open, and none of the known processes has it.
    #[error("the connection from {0} belongs to no known process")]
    UnknownProcess(SocketAddr),
}

/// Returns who has the socket with the local address `local` that is connected to `remote`.
///
/// # Errors
/// [`OwnerError`] where the kernel can't be asked, or the socket is open and belongs to no known process.
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

/// Whether the process has a descriptor for the socket with this inode.
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

/// Asks the kernel for the inode of a connected socket; none where the socket is closed.
fn query_inode(local: SocketAddr, remote: SocketAddr) -> Result<Option<u32>, OwnerError> {
    let mut socket = netlink_sys::Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0))?;
    socket.send(&encode_query(local, remote), 0)?;
    let mut answer = Vec::with_capacity(ANSWER_BYTES);
    socket.recv(&mut answer, 0)?;
    decode_inode(&answer)
}

/// Encodes the question for one connection.
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

/// The inode in the kernel's answer; none where it knows no such connection, or one that no process has any more.
fn decode_inode(answer: &[u8]) -> Result<Option<u32>, OwnerError> {
    let message = NetlinkMessage::<SockDiagMessage>::deserialize(answer)
        .map_err(|error| OwnerError::Answer(error.to_string()))?;
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
        other => Err(OwnerError::Answer(format!("{other:?}"))),
    }
}
