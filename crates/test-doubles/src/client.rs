//! A client connection to a node or a router.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{json, Value};

use crate::encoding::{encode_base64, unix_ms};
use crate::error::{expect_ok, TestDoubleError};
use crate::waiting::WAIT_TIMEOUT;

/// A client connection, with blocking reads that time out after 20 s. Methods without `try_` panic
/// on errors.
pub struct TestClient {
    /// The connection.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
    last_id: u64,
}

impl TestClient {
    /// Connects to a node or a router.
    pub fn connect(address: SocketAddr) -> TestClient {
        expect_ok(TestClient::try_connect(address))
    }

    /// Connects to a node or a router.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if nothing listens at the address.
    pub fn try_connect(address: SocketAddr) -> Result<TestClient, TestDoubleError> {
        let open = || {
            let stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
            stream.set_nodelay(true)?;
            let reader = BufReader::new(stream.try_clone()?);
            Ok(TestClient {
                stream,
                reader,
                last_id: 0,
            })
        };
        open().map_err(TestDoubleError::io(format!("connecting to {address}")))
    }

    /// Sends a line unchanged.
    pub fn send_line(&mut self, line: &str) {
        expect_ok(self.try_send_line(line));
    }

    /// Sends a line unchanged.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if the connection is closed.
    pub fn try_send_line(&mut self, line: &str) -> Result<(), TestDoubleError> {
        self.stream
            .write_all(line.as_bytes())
            .and_then(|()| self.stream.write_all(b"\n"))
            .map_err(TestDoubleError::io("writing a request"))
    }

    /// Sends a request that has just arrived, and returns its id.
    pub fn send(&mut self, class: &str, body: &str) -> u64 {
        self.send_received_at(class, body, unix_ms())
    }

    /// Sends a request that arrived at `received_at`, in Unix milliseconds, and returns its id.
    pub fn send_received_at(&mut self, class: &str, body: &str, received_at: u64) -> u64 {
        self.send_with_fields(class, body, &json!({"t0": received_at}))
    }

    /// Sends a request whose parameters have these fields in place of the usual ones, and returns
    /// its id.
    pub fn send_with_fields(&mut self, class: &str, body: &str, fields: &Value) -> u64 {
        let (id, line) = self.format_request(class, body, fields);
        self.send_line(&line);
        id
    }

    /// Returns the id and the line of the next request, without sending it.
    pub fn format_request(&mut self, class: &str, body: &str, fields: &Value) -> (u64, String) {
        self.last_id += 1;
        // Unique among the connections of a test that are open at the same time.
        let port = self.stream.local_addr().map_or(0, |address| address.port());
        let uid = format!("{port:08x}{:08x}", self.last_id);
        let mut params = json!({"rid": uid, "t0": unix_ms(), "peer": 4, "acct": "alpenergia", "mem": 24.5, "prio": 0.5,
                                "body": encode_base64(body)});
        for (name, value) in fields.as_object().into_iter().flatten() {
            params[name] = value.clone();
        }
        let line = json!({"jsonrpc": "2.0", "id": self.last_id, "method": class, "params": params});
        (self.last_id, line.to_string())
    }

    /// Cancels a request.
    pub fn cancel(&mut self, id: u64) {
        let notification =
            json!({"jsonrpc": "2.0", "method": "cancelRequest", "params": {"id": id}});
        self.send_line(&notification.to_string());
    }

    /// Reads the next message; null at the end of the connection.
    pub fn read_message(&mut self) -> Value {
        expect_ok(self.try_read_message())
    }

    /// Reads the next message; null at the end of the connection.
    ///
    /// # Errors
    /// [`TestDoubleError::Io`] if no message arrives within 20 s, [`TestDoubleError::InvalidJson`]
    /// for text that is not JSON.
    pub fn try_read_message(&mut self) -> Result<Value, TestDoubleError> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Ok(Value::Null),
            Ok(_) => Ok(serde_json::from_str(&line)?),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok(Value::Null),
            Err(error) => Err(TestDoubleError::io("reading a message")(error)),
        }
    }

    /// Reads the next answer; null at the end of the connection. A close notice before the answer
    /// is skipped.
    pub fn read_answer(&mut self) -> Value {
        expect_ok(self.try_read_answer())
    }

    fn try_read_answer(&mut self) -> Result<Value, TestDoubleError> {
        loop {
            let message = self.try_read_message()?;
            if message["method"] != "farewell" {
                return Ok(message);
            }
        }
    }

    /// Sends a request and reads its answer.
    pub fn request(&mut self, class: &str, body: &str) -> Value {
        expect_ok(self.try_request(class, body))
    }

    /// Sends a request and reads its answer.
    ///
    /// # Errors
    /// [`TestDoubleError::ConnectionClosed`] if the connection ends before the answer,
    /// [`TestDoubleError::UnexpectedAnswer`] for the answer to another request, and the errors of
    /// sending and reading.
    pub fn try_request(&mut self, class: &str, body: &str) -> Result<Value, TestDoubleError> {
        let (id, line) = self.format_request(class, body, &Value::Null);
        self.try_send_line(&line)?;
        let answer = self.try_read_answer()?;
        if answer.is_null() {
            return Err(TestDoubleError::ConnectionClosed);
        }
        if answer["id"] != id {
            return Err(TestDoubleError::UnexpectedAnswer(answer.to_string()));
        }
        Ok(answer)
    }

    /// Asks whether the node is alive and ready, and returns the answer; null at the end of the
    /// connection.
    pub fn query_alive(&mut self) -> Value {
        self.last_id += 1;
        let id = self.last_id;
        self.send_line(&json!({"jsonrpc": "2.0", "id": id, "method": "alive"}).to_string());
        self.read_message()
    }
}
