//! Clients, which keep their connections as long as these are open, and record the outcome of their
//! requests.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use test_doubles::unix_ms;

use crate::journal::Journal;
use crate::open_requests::OpenRequests;
use crate::plan::REQUEST_KB;
use crate::request_record::{ConnectionEnd, RequestEnd, SentRequest};
use crate::site_settings::ClassPlan;

/// Largest number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Id of the first request on a connection.
const FIRST_ID: u64 = 1;
/// Error code of a rejection, which promises that the request never ran.
const REJECTED_CODE: i64 = -32002;
/// Share of the keyed requests that retry an earlier one.
const RETRY_SHARE: f64 = 0.4;
/// Number of recent keys from which a client chooses the one to retry.
const RECENT_KEY_COUNT: usize = 4;
/// Time that a client waits after it could not connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Shift of the node's number in a request uid, whose highest bits identify the node that the
/// request is sent to.
pub(crate) const NODE_SHIFT: u32 = 48;

/// State that the clients of a node share: the address of the node and the load on it.
pub(crate) struct LoadTarget {
    address: Mutex<Option<SocketAddr>>,
    /// Number of the node's current generation; a kill or a restart begins a new one.
    generation: AtomicU64,
    /// The last generation that was killed without SIGTERM.
    killed_generation: AtomicU64,
    /// Request rate of all clients per second, as the bits of an `f64`.
    rate: AtomicU64,
    has_ended: AtomicBool,
    last_uid: AtomicU64,
}

impl LoadTarget {
    /// Creates the state for the node of this number, which has no address yet.
    pub(crate) fn new(node: usize, rate: f64) -> LoadTarget {
        LoadTarget {
            address: Mutex::new(None),
            generation: AtomicU64::new(1),
            killed_generation: AtomicU64::new(0),
            rate: AtomicU64::new(rate.to_bits()),
            has_ended: AtomicBool::new(false),
            last_uid: AtomicU64::new((node as u64) << NODE_SHIFT),
        }
    }

    fn address(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of the node; `None` while it does not listen.
    pub(crate) fn set_address(&self, address: Option<SocketAddr>) {
        *self.address() = address;
    }

    /// Returns the current generation of the node.
    pub(crate) fn generation(&self) -> usize {
        self.generation.load(SeqCst) as usize
    }

    /// Records that the node is killed without SIGTERM: its connections end without answers.
    pub(crate) fn record_kill(&self) {
        self.killed_generation
            .store(self.generation.load(SeqCst), SeqCst);
    }

    /// Begins a new generation of the node.
    pub(crate) fn begin_generation(&self) {
        self.generation.fetch_add(1, SeqCst);
    }

    /// Sets the request rate of all clients, per second.
    pub(crate) fn set_rate(&self, rate: f64) {
        self.rate.store(rate.to_bits(), SeqCst);
    }

    /// Stops all clients.
    pub(crate) fn stop_clients(&self) {
        self.has_ended.store(true, SeqCst);
    }
}

/// A client, which has one connection at a time.
pub(crate) struct Client {
    pub(crate) target: Arc<LoadTarget>,
    pub(crate) journal: Arc<Journal>,
    /// The number of clients that share the rate.
    pub(crate) clients: usize,
    /// The classes of the site.
    pub(crate) classes: &'static [ClassPlan],
    /// True if the client keeps using a connection after a close notice.
    pub(crate) ignores_close_notice: bool,
}

/// The idempotency keys that a client used most recently.
#[derive(Default)]
struct RecentKeys(VecDeque<String>);

/// The key of an attempt of a keyed request.
struct KeyedAttempt {
    key: String,
    /// True if the key was used before.
    is_retry: bool,
}

impl RecentKeys {
    /// Draws the key of a request: that of an earlier request, which is retried, or a new one.
    fn draw(&mut self, uid: &str, rng: &mut ChaCha8Rng) -> KeyedAttempt {
        if !self.0.is_empty() && rng.random_bool(RETRY_SHARE) {
            let key = self.0[rng.random_range(0..self.0.len())].clone();
            return KeyedAttempt {
                key,
                is_retry: true,
            };
        }
        let key = format!("{uid}{uid}");
        self.0.push_back(key.clone());
        if self.0.len() > RECENT_KEY_COUNT {
            self.0.pop_front();
        }
        KeyedAttempt {
            key,
            is_retry: false,
        }
    }
}

/// A connection with the requests that are open on it.
struct Connection {
    stream: TcpStream,
    generation: u64,
    open: Arc<OpenRequests>,
    has_close_notice: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    last_id: u64,
}

impl Client {
    /// Sends requests until the clients are stopped.
    pub(crate) fn run(&self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection: Option<Connection> = None;
        let mut keys = RecentKeys::default();
        while !self.target.has_ended.load(SeqCst) {
            let rate = f64::from_bits(self.target.rate.load(SeqCst)) / self.clients as f64;
            let pause = -rng.random::<f64>().max(1e-9).ln() / rate;
            thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
            connection = connection.filter(|c| !self.must_disconnect(c));
            if connection.is_none() {
                connection = self.connect();
            }
            let Some(connection) = &mut connection else {
                self.journal.request_unsent();
                thread::sleep(RECONNECT_DELAY);
                continue;
            };
            self.send(connection, &mut keys, &mut rng);
        }
    }

    fn must_disconnect(&self, connection: &Connection) -> bool {
        let leaves_on_notice =
            connection.has_close_notice.load(SeqCst) && !self.ignores_close_notice;
        connection.has_ended.load(SeqCst) || leaves_on_notice
    }

    fn connect(&self) -> Option<Connection> {
        let address = (*self.target.address())?;
        let generation = self.target.generation.load(SeqCst);
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        let connection = Connection {
            stream,
            generation,
            open: Arc::default(),
            has_close_notice: Arc::default(),
            has_ended: Arc::default(),
            last_id: 0,
        };
        let reader = Reader {
            stream: connection.stream.try_clone().ok()?,
            generation,
            open: connection.open.clone(),
            has_close_notice: connection.has_close_notice.clone(),
            has_ended: connection.has_ended.clone(),
            target: self.target.clone(),
            journal: self.journal.clone(),
        };
        thread::spawn(move || reader.run());
        Some(connection)
    }

    fn send(&self, connection: &mut Connection, keys: &mut RecentKeys, rng: &mut ChaCha8Rng) {
        if connection.open.count() >= MAX_OPEN_REQUESTS {
            return;
        }
        let class = self.classes[rng.random_range(0..self.classes.len())];
        let number = self.target.last_uid.fetch_add(1, SeqCst) + 1;
        let uid = format!("{number:016x}");
        let attempt = class.is_keyed.then(|| keys.draw(&uid, rng));
        let key = attempt.as_ref().map(|attempt| attempt.key.clone());
        // All attempts of a request carry the same body.
        let body = format!("body of {}", key.as_ref().unwrap_or(&uid));
        connection.last_id += 1;
        let id = connection.last_id;
        let unix_ms = unix_ms();
        let mut params = json!({"rid": uid, "t0": unix_ms, "peer": 4, "acct": "alpenergia", "mem": REQUEST_KB, "prio": 0.5,
                            "body": STANDARD.encode(&body)});
        if let Some(attempt) = &attempt {
            params["token"] = json!(attempt.key);
            if attempt.is_retry {
                params["again"] = json!(1);
            }
        }
        let request = json!({"jsonrpc": "2.0", "id": id, "method": class.name, "params": params});
        if !connection.open.add(id, &uid) {
            return self.journal.request_unsent();
        }
        let generation = connection.generation as usize;
        self.journal.request_sent(&SentRequest {
            uid: &uid,
            class,
            key: key.as_deref(),
            body: &body,
            generation,
        });
        if (&connection.stream)
            .write_all(format!("{request}\n").as_bytes())
            .is_err()
        {
            // The request was not written in full.
            connection.open.remove(id);
            self.journal.connection_ended(&uid, ConnectionEnd::Killed);
            connection.has_ended.store(true, SeqCst);
        }
    }
}

/// Reads the answers on a connection.
struct Reader {
    stream: TcpStream,
    generation: u64,
    open: Arc<OpenRequests>,
    has_close_notice: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    target: Arc<LoadTarget>,
    journal: Arc<Journal>,
}

impl Reader {
    fn run(self) {
        let lines = BufReader::new(&self.stream).lines().map_while(Result::ok);
        for line in lines {
            match serde_json::from_str::<Value>(&line) {
                Ok(message) if message["method"] == "farewell" => {
                    self.has_close_notice.store(true, SeqCst);
                }
                Ok(message) => self.handle_answer(&message),
                Err(error) => self
                    .journal
                    .record_violation(format!("lost: {error}: {line}")),
            }
        }
        self.has_ended.store(true, SeqCst);
        let is_killed = self.generation <= self.target.killed_generation.load(SeqCst);
        for request in self.open.close() {
            let end = match request.id {
                _ if is_killed => ConnectionEnd::Killed,
                FIRST_ID => ConnectionEnd::ClosedNew,
                _ => ConnectionEnd::ClosedUsed,
            };
            self.journal.connection_ended(&request.uid, end);
        }
    }

    fn handle_answer(&self, message: &Value) {
        let id = message["id"].as_u64().unwrap_or(0);
        let Some(uid) = self.open.remove(id) else {
            let text = format!("duplicate: an answer that matches no open request: {message}");
            return self.journal.record_violation(text);
        };
        let result = message["result"]["body"].as_str();
        let result = result.and_then(|body| String::from_utf8(STANDARD.decode(body).ok()?).ok());
        let end = match message["error"]["code"].as_i64() {
            None => RequestEnd::Served,
            Some(REJECTED_CODE) => RequestEnd::Rejected,
            Some(_) => RequestEnd::Failed,
        };
        self.journal.request_answered(&uid, end, result.as_deref());
    }
}

/// Opens connections whose request is never completed, and keeps up to this number open until the
/// clients are stopped.
pub(crate) fn stall_connections(target: &LoadTarget, count: usize) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !target.has_ended.load(SeqCst) {
        let address = *target.address();
        if let Some(mut stream) = address.and_then(|address| TcpStream::connect(address).ok()) {
            let _ = stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"met");
            open.push(stream);
        }
        if open.len() > count {
            open.remove(0);
        }
        thread::sleep(Duration::from_millis(10));
    }
}
