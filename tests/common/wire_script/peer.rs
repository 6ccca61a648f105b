//! The peers of the program in a script: front ends, the executor and database calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use crossbeam_channel::{unbounded as channel, Receiver, Sender};
use serde_json::{json, Value};

/// Reads the next line without its line break; `None` at the end of the connection.
fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = from.read_line(&mut line).unwrap_or(0);
    (read > 0).then(|| line.strip_suffix('\n').expect("a whole line").to_string())
}

/// Listens on loopback, and returns the address and the accepted connections.
pub(super) fn listen() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("loopback");
    let (stream_sender, streams) = channel();
    thread::spawn(move || {
        while listener
            .accept()
            .is_ok_and(|(stream, _)| stream_sender.send(stream).is_ok())
        {}
    });
    (address, streams)
}

/// A connection of the program to a peer, and the messages that arrive on it.
pub(super) struct Peer {
    pub(super) stream: TcpStream,
    pub(super) messages: Receiver<String>,
}

impl Peer {
    /// Creates a peer whose messages are read by `read` until it returns `None`.
    fn new(
        stream: TcpStream,
        mut read: impl FnMut(&mut BufReader<TcpStream>) -> Option<String> + Send + 'static,
    ) -> Peer {
        let (message_sender, messages) = channel();
        let mut from = BufReader::new(stream.try_clone().expect("a connection"));
        thread::spawn(move || {
            while read(&mut from).is_some_and(|message| message_sender.send(message).is_ok()) {}
        });
        Peer { stream, messages }
    }

    /// Connects a front end.
    pub(super) fn front_end(to: SocketAddr) -> Peer {
        Peer::new(
            TcpStream::connect(to).expect("the program listens"),
            read_line,
        )
    }

    /// The executor's end of the program's connection to it.
    pub(super) fn executor(stream: TcpStream, gauge_requests: Sender<GaugeRequest>) -> Peer {
        let answer_stream = stream.try_clone().expect("a connection");
        Peer::new(stream, move |from| {
            let text = read_line(from)?;
            let command: Value = serde_json::from_str(&text).expect("a command");
            if is_gauge_request(&text) {
                let stream = answer_stream.try_clone().expect("a connection");
                let _ = gauge_requests.send(GaugeRequest {
                    stream,
                    echo: command["echo"].clone(),
                });
            }
            Some(text)
        })
    }

    /// A database call whose message is its head and body.
    pub(super) fn call(stream: TcpStream) -> Peer {
        Peer::new(stream, |from| {
            let (mut text, mut length) = (String::new(), 0);
            while !text.ends_with("\r\n\r\n") {
                let start = text.len();
                from.read_line(&mut text).ok().filter(|read| *read > 0)?;
                if let Some(value) = text[start..].strip_prefix("Content-Length: ") {
                    length = value.trim().parse().expect("a length");
                }
            }
            let mut body = vec![0; length];
            from.read_exact(&mut body).ok()?;
            Some(text + std::str::from_utf8(&body).expect("text"))
        })
    }
}

/// A request of the program to the executor for its gauges.
pub(super) struct GaugeRequest {
    stream: TcpStream,
    echo: Value,
}

impl GaugeRequest {
    pub(super) fn answer(mut self) {
        let notice =
            json!({"action": "METERS", "echo": self.echo, "meters": [0.1, 1, 0.1, 5]}).to_string();
        let _ = self.stream.write_all((notice + "\n").as_bytes());
    }
}

/// Returns true if the text asks for the gauges and may be answered without the script.
pub(super) fn is_gauge_request(text: &str) -> bool {
    text.starts_with("{\"action\":\"METER\"") && !text.contains("quiet")
}
