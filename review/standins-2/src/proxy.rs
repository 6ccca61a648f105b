//! A proxy between two loopback sockets that passes lines on and changes one byte of one line on command.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::kit::{cannot_run, connect, Record};

/// Called with each line of one direction; it may change bytes of the line.
pub type Change = Arc<Mutex<dyn FnMut(&mut Vec<u8>) + Send>>;

pub fn start(
    to: SocketAddr,
    upward: Option<Change>,
    downward: Option<Change>,
    record: &Record,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no socket"));
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| cannot_run("no socket"));
    let record = record.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let _ = client.set_nodelay(true);
            let Some(server) = connect(to) else { continue };
            pass(&client, &server, upward.clone(), &record);
            pass(&server, &client, downward.clone(), &record);
        }
    });
    address
}

fn pass(from: &TcpStream, to: &TcpStream, change: Option<Change>, record: &Record) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let record = record.clone();
    thread::spawn(move || {
        match change {
            None => {
                let mut buffer = [0; 16384];
                while let Ok(n @ 1..) = from.read(&mut buffer) {
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
            }
            Some(change) => {
                let mut reader = BufReader::new(from);
                loop {
                    let mut line = Vec::new();
                    match reader.read_until(b'\n', &mut line) {
                        Ok(1..) => {}
                        _ => break,
                    }
                    let before = line.clone();
                    (change.lock().unwrap_or_else(|e| e.into_inner()))(&mut line);
                    if line != before {
                        let text = String::from_utf8_lossy(&line).trim_end().to_string();
                        record.line(&format!("proxy: one byte changed: {text}"));
                    }
                    if to.write_all(&line).is_err() {
                        break;
                    }
                }
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
