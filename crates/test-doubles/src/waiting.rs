//! Waiting for conditions, and locks that threads of a double share with a test.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::error::{expect_ok, TestDoubleError};

/// The longest that anything is waited for.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Waits until a condition holds, and panics if it does not within 20 s.
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    expect_ok(try_wait_until(what, condition));
}

/// Waits until a condition holds.
///
/// # Errors
/// [`TestDoubleError::Timeout`] with `what` if it does not within 20 s.
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

/// Locks state that a test shares with a thread of a double.
///
/// # Panics
/// If that thread panicked with the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a test double failed")
}

/// Locks state of a double whose threads do not panic.
pub(crate) fn lock_state<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
