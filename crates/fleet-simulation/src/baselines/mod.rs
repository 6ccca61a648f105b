//! Membership protocols that the shipped one is measured against: heartbeats from all nodes to all,
//! and the library `foca`.

mod foca;
mod heartbeats;

pub use self::foca::FocaPeer;
pub use heartbeats::HeartbeatPeer;

/// Returns a hash of a process, identified by its node and its incarnation or start count.
fn hash_process(id: u64, incarnation: u64) -> u64 {
    let mut hash = (id << 32 ^ incarnation).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash ^ (hash >> 27)
}
