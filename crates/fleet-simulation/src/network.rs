//! The simulated network.

use std::time::Duration;

/// Length of the headers of UDP and IP, in bytes.
pub const UDP_HEADER_BYTES: u64 = 28;

/// What the network does to datagrams.
#[derive(Clone, Debug)]
pub struct Network {
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction of datagrams that is duplicated.
    pub duplication: f64,
    /// The shortest transmission time.
    pub min_delay: Duration,
    /// The longest transmission time; the times are distributed evenly.
    pub max_delay: Duration,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_micros(200),
            max_delay: Duration::from_millis(2),
        }
    }
}

/// What a node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// How many datagrams.
    pub datagrams: u64,
    /// How many bytes, including the headers of UDP and IP.
    pub bytes: u64,
}
