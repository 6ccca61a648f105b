//! The simulated network.

use std::time::Duration;

/// Length of the headers of UDP and IP, in bytes.
pub const UDP_HEADER_BYTES: u64 = 28;

/// Faults and delays of datagrams in the network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplication: f64,
    /// Minimum transmission time.
    pub min_delay: Duration,
    /// Maximum transmission time. The times are distributed uniformly.
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

/// Traffic that a node has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of bytes, including the headers of UDP and IP.
    pub bytes: u64,
}
