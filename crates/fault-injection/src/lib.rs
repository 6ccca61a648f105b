//! A library for tests that is preloaded into a child process and injects faults into its system
//! calls: it steps the wall clock and fails `accept4`.
//!
//! The environment variable `FAULT_FILE` names a file with the faults (see [`FaultFile`]). The
//! process maps the file, so that what a test writes there takes effect immediately. Without the
//! variable all calls are passed to the system unchanged. The monotonic clock is never changed.

mod clock_step;
mod fault_file;

use libc::{
    c_int, clockid_t, sockaddr, socklen_t, timespec, CLOCK_REALTIME, CLOCK_REALTIME_COARSE,
};

pub use fault_file::FaultFile;

/// Replaces the function of the C library: reads a clock and adds the step to the time of the wall
/// clock.
///
/// # Safety
/// As for the C library: `time` is null or valid for a write.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller fulfils the contract of the C library's function, which is also that of
    // the system call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    let is_wall_clock = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        // SAFETY: the system call has just written to `time`, so it is valid and initialized.
        let time = unsafe { &mut *time };
        clock_step::add_step(
            time,
            fault_file::mapped().map_or(0, FaultFile::clock_step_micros),
        );
    }
    to_c_int(result)
}

/// Replaces the function of the C library: accepts a connection, or fails with the error that the
/// fault file sets.
///
/// # Safety
/// As for the C library: `address` and `length` are null or valid for a write of the peer's
/// address.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = fault_file::mapped().and_then(FaultFile::take_accept_error) {
        // SAFETY: the location of this thread's `errno` is valid as long as the thread runs.
        unsafe { *libc::__errno_location() = error };
        return -1;
    }
    // SAFETY: the caller fulfils the contract of the C library's function, which is also that of
    // the system call.
    let result = unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) };
    to_c_int(result)
}

/// Converts the result of a system call to the `int` that the C library returns.
fn to_c_int(result: libc::c_long) -> c_int {
    c_int::try_from(result).unwrap_or(-1)
}
