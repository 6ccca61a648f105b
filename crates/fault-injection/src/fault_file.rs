//! The file with the faults, mapped by the process under test.

use std::ffi::CStr;
use std::ptr;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU32, Ordering::SeqCst};
use std::sync::OnceLock;

use libc::{c_int, c_void, MAP_FAILED, MAP_SHARED, O_CLOEXEC, O_RDWR, PROT_READ, PROT_WRITE};

const FAULT_FILE_VARIABLE: &CStr = c"FAULT_FILE";

/// The content of the file, in native byte order. A file of zeros sets no fault.
#[repr(C)]
#[derive(Debug, Default)]
pub struct FaultFile {
    /// Number of microseconds by which the wall clock is ahead of the system's; at byte 0.
    clock_step_micros: AtomicI64,
    /// The `errno` that each call of `accept4` fails with, or 0 for no fault; at byte 8.
    accept_error: AtomicI32,
    /// Number of calls that have failed with this fault; at byte 12.
    failed_accepts: AtomicU32,
}

impl FaultFile {
    /// Returns the number of microseconds by which the wall clock is ahead of the system's.
    pub(crate) fn clock_step_micros(&self) -> i64 {
        self.clock_step_micros.load(SeqCst)
    }

    /// Returns the error that the current call of `accept4` has to fail with, if any, and counts
    /// it.
    pub(crate) fn take_accept_error(&self) -> Option<c_int> {
        let error = self.accept_error.load(SeqCst);
        if error == 0 {
            return None;
        }
        self.failed_accepts.fetch_add(1, SeqCst);
        Some(error)
    }
}

/// Returns the fault file of this process; `None` if none is named or it can't be mapped.
pub(crate) fn mapped() -> Option<&'static FaultFile> {
    static FILE: OnceLock<Option<&'static FaultFile>> = OnceLock::new();
    *FILE.get_or_init(map_file)
}

/// Maps the file. This function must not call any function that the library replaces.
fn map_file() -> Option<&'static FaultFile> {
    // SAFETY: the name is a C string; the result is null or a C string of the environment, which
    // the program does not change.
    let path = unsafe { libc::getenv(FAULT_FILE_VARIABLE.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: `path` is a C string, as it is not null.
    let file = unsafe { libc::open(path, O_RDWR | O_CLOEXEC) };
    if file < 0 {
        return None;
    }
    let (length, access) = (size_of::<FaultFile>(), PROT_READ | PROT_WRITE);
    // SAFETY: a new mapping at an address that the system chooses overlaps no memory of the
    // program.
    let address = unsafe {
        libc::mmap(
            ptr::null_mut::<c_void>(),
            length,
            access,
            MAP_SHARED,
            file,
            0,
        )
    };
    // SAFETY: the descriptor is open and used nowhere else; the mapping remains valid without it.
    unsafe { libc::close(file) };
    if address == MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, as long as the value, readable, writable and never
    // unmapped. All fields are atomic and valid for any bit pattern, and the test writes each field
    // in a single write.
    Some(unsafe { &*address.cast::<FaultFile>() })
}
