//! An executor that accepts links long before it is up.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use test_doubles::FakeExecutor;

/// The address of an executor that is not up yet.
pub(crate) struct LateExecutor(TcpListener);

impl LateExecutor {
    pub(crate) fn bind() -> LateExecutor {
        LateExecutor(TcpListener::bind("127.0.0.1:0").expect("bind to loopback succeeds"))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the socket is bound")
    }

    /// Forwards links to the executor from now on, including those that are already waiting.
    pub(crate) fn come_up(self, executor: &FakeExecutor) {
        let address = executor.address;
        thread::spawn(move || {
            for link in self.0.incoming().map_while(Result::ok) {
                let onward = TcpStream::connect(address).expect("the executor accepts the link");
                forward(&link, &onward);
                forward(&onward, &link);
            }
        });
    }
}

fn forward(from: &TcpStream, to: &TcpStream) {
    let mut reader = from.try_clone().expect("the link can be cloned");
    let mut writer = to.try_clone().expect("the link can be cloned");
    thread::spawn(move || {
        let _ = io::copy(&mut reader, &mut writer);
        let _ = writer.shutdown(Shutdown::Both);
    });
}
