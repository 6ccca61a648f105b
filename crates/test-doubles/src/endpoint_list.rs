//! The fake of the endpoint list service.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::error::{expect_ok, TestDoubleError};
use crate::waiting::lock_state;

/// Largest size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 256;

/// An endpoint list service that records the load reports sent to it. Clones share their state.
#[derive(Clone)]
pub struct FakeEndpointList {
    /// The address that nodes send their reports to.
    pub address: SocketAddr,
    reports: Arc<Mutex<Vec<String>>>,
}

impl FakeEndpointList {
    /// Starts the service; panics if the operating system provides no socket.
    pub fn start() -> FakeEndpointList {
        expect_ok(FakeEndpointList::try_start())
    }

    /// Starts the service.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the operating system provides no socket.
    pub fn try_start() -> Result<FakeEndpointList, TestDoubleError> {
        let socket =
            UdpSocket::bind("127.0.0.1:0").map_err(TestDoubleError::io("binding on loopback"))?;
        let address = socket
            .local_addr()
            .map_err(TestDoubleError::io("binding on loopback"))?;
        let reports = Arc::new(Mutex::new(Vec::new()));
        let shared = reports.clone();
        thread::spawn(move || {
            let mut datagram = [0; MAX_REPORT_BYTES];
            while let Ok(length) = socket.recv(&mut datagram) {
                let report = String::from_utf8_lossy(&datagram[..length]).into_owned();
                lock_state(&shared).push(report);
            }
        });
        Ok(FakeEndpointList { address, reports })
    }

    /// Returns true if this report has arrived.
    pub fn has_report(&self, report: &str) -> bool {
        lock_state(&self.reports).iter().any(|r| r == report)
    }
}
