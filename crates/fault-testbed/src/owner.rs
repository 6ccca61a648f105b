//! Which of several processes a loopback connection comes from, by the machine's own tables: so every directed pair of
//! processes has a link, though all connect from the same address.

use std::net::{Ipv4Addr, SocketAddr};

/// The process among these that holds the socket with this local address.
pub fn owner(of: SocketAddr, processes: &[(String, u32)]) -> Option<String> {
    let inode = inode(of)?;
    let wanted = format!("socket:[{inode}]");
    let holds = |pid: u32| {
        let entries = std::fs::read_dir(format!("/proc/{pid}/fd"))
            .into_iter()
            .flatten()
            .flatten();
        entries
            .filter_map(|e| std::fs::read_link(e.path()).ok())
            .any(|to| to.to_string_lossy() == wanted)
    };
    processes
        .iter()
        .find(|(_, pid)| holds(*pid))
        .map(|(name, _)| name.clone())
}

/// Looks at the machine's table until a look finds the socket, so many at the most: one that is read while others come and
/// go is read in pieces, and leaves out lines that were there all along.
const LOOKS: usize = 8;

fn inode(of: SocketAddr) -> Option<u64> {
    (0..LOOKS).find_map(|_| in_table(of))
}

fn in_table(of: SocketAddr) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (address(fields.get(1)?)? == of).then_some(())?;
        fields.get(9)?.parse().ok()
    })
}

/// As the table writes it: the address in the machine's byte order, and the port, both in hexadecimal.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    Some(
        (
            Ipv4Addr::from(ip.to_ne_bytes()),
            u16::from_str_radix(port, 16).ok()?,
        )
            .into(),
    )
}
