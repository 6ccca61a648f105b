//! The executor of one node: it runs what it is told, for the time that the body names, and keeps its notices.
//!
//! A body is `WORD MS TEXT`: `serve` ends well after MS milliseconds, `fail` ends with an error after as long.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::kit::{b64, cannot_run, unb64, Record};

#[derive(Clone, Debug)]
pub struct Run {
    pub body: String,
    pub has_ended_well: bool,
}

struct Going {
    body: String,
    class: String,
    /// Milliseconds of work that are left.
    left_ms: f64,
    run: usize,
}

#[derive(Default)]
struct State {
    going: HashMap<String, Going>,
    notices: Vec<String>,
    link: Option<TcpStream>,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Executor {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Executor {
    pub fn start(label: &'static str, record: &Record) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no socket"));
        let address = listener
            .local_addr()
            .unwrap_or_else(|_| cannot_run("no socket"));
        let state = Arc::new(Mutex::new(State::default()));
        let executor = Executor { address, state };
        let (accepting, record_a) = (executor.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (executor, record) = (accepting.clone(), record_a.clone());
                thread::spawn(move || executor.serve(label, &stream, &record));
            }
        });
        let (working, record_b) = (executor.clone(), record.clone());
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(2));
                let now = Instant::now();
                working.advance(label, (now - last).as_secs_f64() * 1e3, &record_b);
                last = now;
            }
        });
        executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns what was run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn serve(&self, label: &str, stream: &TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        for line in BufReader::new(reading).lines().map_while(Result::ok) {
            let Some(command) = Json::parse(&line) else {
                return;
            };
            if !self.handle(label, stream, &command, record) {
                return;
            }
        }
    }

    fn handle(&self, label: &str, stream: &TcpStream, command: &Json, record: &Record) -> bool {
        let mut state = self.lock();
        let uid = command.str("uid").unwrap_or("").to_string();
        match command.str("action") {
            Some("JOIN") => {
                let position = command.num("pos").unwrap_or(0.0) as usize;
                let Ok(mut link) = stream.try_clone() else {
                    return false;
                };
                let _ = link
                    .write_all(b"{\"action\":\"WELCOME\",\"code\":\"WARM\",\"wall_ms\":60000.0}\n");
                for notice in &state.notices[position.min(state.notices.len())..] {
                    let _ = link.write_all(notice.as_bytes());
                }
                state.link = Some(link);
            }
            Some("EXEC") => {
                if state.going.contains_key(&uid) {
                    return true;
                }
                let body = unb64(command.str("content").unwrap_or(""));
                let ms = body
                    .split(' ')
                    .nth(1)
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(100.0);
                let run = state.runs.len();
                record.line(&format!("{label}: run of uid {uid}: {body}"));
                state.runs.push(Run {
                    body: body.clone(),
                    has_ended_well: false,
                });
                let class = command.str("lane").unwrap_or("").into();
                state.going.insert(
                    uid,
                    Going {
                        body,
                        class,
                        left_ms: ms,
                        run,
                    },
                );
            }
            Some("KILL") => {
                if state.going.remove(&uid).is_some() {
                    record.line(&format!("{label}: stopped uid {uid}"));
                    Self::exit(&mut state, &uid, "STOPPED", None);
                }
            }
            Some("METER") => {
                let on_cores = state.going.len();
                let busy = (on_cores as f64 / 6.0).min(1.0);
                let echo = command.str("echo").unwrap_or("");
                let line = format!("{{\"action\":\"METERS\",\"echo\":\"{echo}\",\"meters\":[{busy},{on_cores},0.2,4]}}\n");
                if let Some(link) = &mut state.link {
                    let _ = link.write_all(line.as_bytes());
                }
            }
            Some("RETURN" | "WAKE" | "BYPASS") => {}
            _ => return false,
        }
        true
    }

    fn exit(state: &mut State, uid: &str, code: &str, content: Option<&str>) {
        let pos = state.notices.len() + 1;
        let content = content.map_or(String::new(), |c| {
            format!(",\"content\":\"{}\"", b64(c.as_bytes()))
        });
        let notice =
            format!("{{\"action\":\"EXIT\",\"pos\":{pos},\"uid\":\"{uid}\",\"code\":\"{code}\",\"wall_ms\":100.0{content}}}\n");
        if let Some(link) = &mut state.link {
            let _ = link.write_all(notice.as_bytes());
        }
        state.notices.push(notice);
    }

    fn advance(&self, label: &str, elapsed_ms: f64, record: &Record) {
        let mut state = self.lock();
        let mut due = Vec::new();
        for (uid, going) in &mut state.going {
            going.left_ms -= elapsed_ms;
            if going.left_ms <= 0.0 {
                due.push(uid.clone());
            }
        }
        for uid in due {
            let Some(going) = state.going.remove(&uid) else {
                continue;
            };
            let is_ok = !going.body.starts_with("fail");
            state.runs[going.run].has_ended_well = is_ok;
            let class = &going.class;
            record.line(&format!(
                "{label}: end of uid {uid} ({class}): {}",
                if is_ok { "OK" } else { "ERROR" }
            ));
            let result = result_of(&going.body);
            Self::exit(
                &mut state,
                &uid,
                if is_ok { "OK" } else { "ERROR" },
                is_ok.then_some(result.as_str()),
            );
        }
    }
}

/// The result of a run of this body.
pub fn result_of(body: &str) -> String {
    format!("result of {body}")
}
