//! One connection to a node, apart from its socket: what is open on it, what is to be written, and what of that may have
//! reached the node.

use std::collections::{BTreeMap, VecDeque};

/// A connection to a node.
#[derive(Default)]
pub struct Upstream {
    next: u64,
    /// Requests open on it by their number here, with where their bytes begin in all that was ever put.
    open: BTreeMap<u64, (u64, u64)>,
    output: VecDeque<u8>,
    /// Bytes ever put, and ever taken by the machine.
    put: u64,
    taken: u64,
    input: Vec<u8>,
    /// It takes nothing new: the node has said farewell.
    pub leaving: bool,
    /// The connection stands.
    pub connected: bool,
}

impl Upstream {
    /// A number for a request that is written next.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
    /// A request of the router's is to be written, under a number from [`Upstream::number`]; 0 is a health check.
    pub fn ask(&mut self, number: u64, ticket: u64, line: &str) {
        self.open.insert(number, (ticket, self.put));
        self.put += line.len() as u64;
        self.output.extend(line.as_bytes());
    }
    /// An answer came: whose it is. None for one that nobody asked for.
    pub fn answered(&mut self, number: u64) -> Option<u64> {
        self.open.remove(&number).map(|(ticket, _)| ticket)
    }
    /// Requests open on it.
    pub fn open(&self) -> usize {
        self.open.len()
    }
    /// What is to be written next.
    pub fn unsent(&self) -> &[u8] {
        self.output.as_slices().0
    }
    /// So much of it was taken.
    pub fn sent(&mut self, bytes: usize) {
        self.output.drain(..bytes);
        self.taken += bytes as u64;
    }
    /// The connection has ended: all that was open, and whether any byte of it was taken and so may have arrived.
    pub fn ended(&mut self) -> Vec<(u64, bool)> {
        let taken = self.taken;
        std::mem::take(&mut self.open)
            .into_values()
            .map(|(ticket, from)| (ticket, from < taken))
            .collect()
    }
    /// Bytes came: the whole lines among what is here. None once a line is longer than any answer.
    pub fn feed(&mut self, bytes: &[u8], most: usize) -> Option<Vec<Vec<u8>>> {
        self.input.extend_from_slice(bytes);
        let mut lines = Vec::new();
        let mut from = 0;
        while let Some(end) = self.input[from..].iter().position(|b| *b == b'\n') {
            lines.push(self.input[from..from + end].to_vec());
            from += end + 1;
        }
        self.input.drain(..from);
        (self.input.len() <= most).then_some(lines)
    }
}
