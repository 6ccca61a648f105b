//! A front end's connection: it writes lines and keeps every line that it reads.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::json::Json;
use crate::kit::{cannot_run, connect, unb64, Record};

/// An answer as a front end reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A result, with its body if there is one.
    Served(Option<String>),
    Refused(String),
    Failed(String),
}

#[derive(Default)]
struct State {
    answers: Vec<(u64, Answer)>,
    other: Vec<String>,
    has_ended: bool,
}

pub struct FrontEnd {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    label: String,
    record: Record,
}

impl FrontEnd {
    pub fn connect(label: &str, address: SocketAddr, record: &Record) -> FrontEnd {
        let stream = connect(address).unwrap_or_else(|| cannot_run("a front end can't connect"));
        let state = Arc::new(Mutex::new(State::default()));
        let reading = stream
            .try_clone()
            .unwrap_or_else(|_| cannot_run("no socket"));
        let (kept, record_a, label_a) = (state.clone(), record.clone(), label.to_string());
        thread::spawn(move || {
            for line in BufReader::new(reading).lines().map_while(Result::ok) {
                record_a.line(&format!("{label_a} read: {line}"));
                let mut state = kept.lock().unwrap_or_else(|e| e.into_inner());
                match answer(&line) {
                    Some(answer) => state.answers.push(answer),
                    None => state.other.push(line),
                }
            }
            record_a.line(&format!("{label_a}: the connection has ended"));
            kept.lock().unwrap_or_else(|e| e.into_inner()).has_ended = true;
        });
        FrontEnd {
            stream,
            state,
            label: label.into(),
            record: record.clone(),
        }
    }

    pub fn send(&mut self, line: &str) {
        self.record
            .line(&format!("{} sent: {}", self.label, line.trim_end()));
        let _ = self.stream.write_all(line.as_bytes());
    }

    /// Returns all answers to the request with this id.
    pub fn answers(&self, id: u64) -> Vec<Answer> {
        let state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state
            .answers
            .iter()
            .filter(|(i, _)| *i == id)
            .map(|(_, a)| a.clone())
            .collect()
    }

    pub fn has_ended(&self) -> bool {
        self.state
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .has_ended
    }

    /// Returns true once the peer has sent a close notice.
    pub fn is_leaving(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        state.other.iter().any(|line| line.contains("\"farewell\""))
    }
}

fn answer(line: &str) -> Option<(u64, Answer)> {
    let message = Json::parse(line)?;
    let id = message.num("id")? as u64;
    if let Some(result) = message.get("result") {
        return Some((id, Answer::Served(result.str("body").map(unb64))));
    }
    let error = message.get("error")?;
    let text = error.str("message").unwrap_or("").to_string();
    let is_refused = error.num("code") == Some(-32002.0);
    Some((
        id,
        if is_refused {
            Answer::Refused(text)
        } else {
            Answer::Failed(text)
        },
    ))
}
