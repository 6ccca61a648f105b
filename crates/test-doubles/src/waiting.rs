//! Waiting for conditions, and locking state that a test shares with the threads of a test double.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::{expect_ok, TestDoubleError};

/// Timeout of all waits.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds, and panics if it does not within 20 s.
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    expect_ok(try_wait_until(what, condition));
}

/// Waits until a condition holds.
///
/// # Errors
/// [`TestDoubleError::Timeout`] with `what`, the description of the condition, if it does not hold
/// within 20 s.
pub fn try_wait_until(
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Result<(), TestDoubleError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() >= deadline {
            return Err(TestDoubleError::Timeout(what.into()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Locks state that a test shares with a thread of a test double.
///
/// # Panics
/// Panics if that thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a thread of a test double panicked")
}

/// Locks state of a test double, also if a thread panicked while it held the lock.
pub(crate) fn lock_state<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
