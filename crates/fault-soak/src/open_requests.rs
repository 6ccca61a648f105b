//! The open requests on a client connection, shared by the thread that writes requests and the
//! thread that reads answers.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Requests that were written and not answered yet, by their id on the connection.
#[derive(Debug, Default)]
pub struct OpenRequests {
    state: Mutex<OpenState>,
}

/// A request without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Number of the request on the connection, from 1.
    pub id: u64,
    /// The request uid.
    pub uid: String,
}

#[derive(Debug, Default)]
struct OpenState {
    uids: HashMap<u64, String>,
    has_ended: bool,
}

impl OpenRequests {
    fn state(&self) -> MutexGuard<'_, OpenState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.state().uids.len()
    }

    /// Adds a request that is about to be written, and returns true if it may be written. Once the
    /// connection has ended, no thread reads answers, although the operating system still accepts
    /// writes.
    pub fn add(&self, id: u64, uid: &str) -> bool {
        let mut state = self.state();
        if !state.has_ended {
            state.uids.insert(id, uid.to_string());
        }
        !state.has_ended
    }

    /// Removes the request with this id, because it was answered or could not be written.
    pub fn remove(&self, id: u64) -> Option<String> {
        self.state().uids.remove(&id)
    }

    /// Marks the connection as ended, and returns the requests that can no longer be answered.
    pub fn close(&self) -> Vec<OpenRequest> {
        let mut state = self.state();
        state.has_ended = true;
        let open = state.uids.drain();
        open.map(|(id, uid)| OpenRequest { id, uid }).collect()
    }
}
