//! The lock files through which two processes of one node detect each other. During a replacement,
//! an old and a new version of the program use them together: the names of the files, the status
//! words and their meaning may not change. The files under `golden/` never change.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::{Path, PathBuf};

use lifecycle::{status_word, ProcessState, SiblingProcess, STATUS_WORD_LEN, TOTAL_SHARES};
use protocol_gateway::instance_lock::{InstanceLock, ResourceShareLocks};
use slog::{o, Discard, Logger};

/// A folder of this test that is removed on drop.
struct TestFolder(PathBuf);
impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("golden-locks-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }
    fn files(&self) -> Vec<String> {
        let file_name = |e: std::io::Result<std::fs::DirEntry>| e.expect("an entry").file_name();
        let entries = std::fs::read_dir(&self.0).expect("the folder");
        let mut files: Vec<String> = entries
            .map(|e| file_name(e).to_string_lossy().into_owned())
            .collect();
        files.sort();
        files
    }
}
impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Locks a file as an old program does, and writes this text to it.
fn hold_lock(path: &Path, text: &[u8]) -> File {
    let options = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path);
    let mut file = options.expect("a lock file");
    file.try_lock().expect("nobody holds it");
    file.write_all(text).expect("written");
    file
}

fn acquire_lock(folder: &Path, name: &str, state: ProcessState) -> InstanceLock {
    let mut lock = InstanceLock::new(folder, name);
    lock.try_acquire(state, &log());
    assert!(lock.may_accept_clients());
    lock
}

const STATES: [(&str, ProcessState); 8] = [
    ("starting", ProcessState::Starting { quiesced: false }),
    (
        "starting-quiesced",
        ProcessState::Starting { quiesced: true },
    ),
    ("serving", ProcessState::Serving),
    ("quiesced", ProcessState::Quiesced),
    (
        "leaving",
        ProcessState::ShuttingDown {
            replaced: false,
            quiesced: false,
        },
    ),
    (
        "leaving-quiesced",
        ProcessState::ShuttingDown {
            replaced: false,
            quiesced: true,
        },
    ),
    (
        "leaving-replaced",
        ProcessState::ShuttingDown {
            replaced: true,
            quiesced: false,
        },
    ),
    (
        "leaving-replaced-quiesced",
        ProcessState::ShuttingDown {
            replaced: true,
            quiesced: true,
        },
    ),
];

#[test]
fn names_of_lock_files_are_stable() {
    let names = [
        "billing-1",
        "",
        "Node.A_b",
        "a b/c\\d:e",
        "../../up",
        "büro-7",
        "\u{65e5}\u{672c}",
        "line\nend\t'\"",
    ];
    let mut written = String::new();
    for name in names {
        let folder = TestFolder::new("names");
        let first = acquire_lock(&folder.0, name, ProcessState::Serving);
        let second = acquire_lock(&folder.0, name, ProcessState::Serving);
        let mut shares = ResourceShareLocks::new(&folder.0, name, &first);
        assert_eq!(
            shares.update(ProcessState::Serving, SiblingProcess::Absent, 0, &log()),
            Some(TOTAL_SHARES)
        );
        written += &format!("{name:?}\n");
        folder
            .files()
            .iter()
            .for_each(|file| written += &format!("  {file}\n"));
        drop((first, second));
    }
    assert_eq!(written, include_str!("golden/lock_names.txt"));
}

#[test]
fn status_words_of_all_states_are_stable() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let written: String = STATES
        .iter()
        .map(|(name, state)| format!("{name} {}\n", hex(&status_word(*state))))
        .collect();
    assert_eq!(written, include_str!("golden/lock_words.txt"));
    assert_eq!(STATUS_WORD_LEN, 16);
    assert_eq!(TOTAL_SHARES, 8);
}

/// An old program holds either instance lock. Its status word is read correctly, whichever process
/// started first.
#[test]
fn status_word_of_an_old_program_is_read() {
    for (own, other) in [(0, 1), (1, 0)] {
        let folder = TestFolder::new(&format!("word-{own}"));
        let path = |n: u32| folder.0.join(format!("mothwinch-a_b-1.seat{n}"));
        let mut old = hold_lock(&path(other), b"idle           \n");
        let new = acquire_lock(&folder.0, "a b-1", ProcessState::default());
        for (text, sibling) in [
            (b"idle           \n", SiblingProcess::Idle),
            (b"taking clients \n", SiblingProcess::AcceptingClients),
            (b"leaving        \n", SiblingProcess::ShuttingDown),
            (b"Taking clients \n", SiblingProcess::Idle),
        ] {
            old.rewind().expect("rewound");
            old.write_all(text).expect("written");
            assert_eq!(
                new.sibling(),
                sibling,
                "{:?}",
                String::from_utf8_lossy(text)
            );
        }
        old.write_all(b"more").expect("written");
        assert_eq!(new.sibling(), SiblingProcess::Idle, "longer than any word");
        old.set_len(0).expect("cut");
        assert_eq!(new.sibling(), SiblingProcess::Idle, "no word");
        old.rewind().expect("rewound");
        old.write_all(b"taking clients \n").expect("written");
        assert_eq!(new.sibling(), SiblingProcess::AcceptingClients);
        drop(old);
        assert_eq!(
            new.sibling(),
            SiblingProcess::Absent,
            "the status word of a process that has exited is ignored"
        );
    }
}

/// The reverse case: an old program checks the lock and reads the 16 bytes of the status word.
#[test]
fn old_program_can_read_the_status_word() {
    let folder = TestFolder::new("written");
    let mut new = acquire_lock(&folder.0, "n", ProcessState::default());
    for (name, state) in STATES {
        new.publish(state);
        let mut file = File::open(folder.0.join("mothwinch-n.seat0")).expect("the lock file");
        assert!(
            matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)),
            "{name}"
        );
        let mut text = Vec::new();
        file.read_to_end(&mut text).expect("read");
        let golden: &[u8; 16] = match state {
            ProcessState::Starting { .. } => b"idle           \n",
            ProcessState::Serving | ProcessState::Quiesced => b"taking clients \n",
            ProcessState::ShuttingDown { .. } => b"leaving        \n",
        };
        assert_eq!(text, golden, "{name}");
    }
    drop(new);
    let file = File::open(folder.0.join("mothwinch-n.seat0")).expect("the lock file");
    assert!(file.try_lock_shared().is_ok(), "the lock is free again");
}

/// Two old programs are running. A new one waits, and acquires a lock once one of them has exited.
#[test]
fn new_program_waits_while_old_ones_hold_both_locks() {
    let folder = TestFolder::new("waits");
    let locks = [0, 1].map(|n| {
        hold_lock(
            &folder.0.join(format!("mothwinch-n.seat{n}")),
            b"leaving        \n",
        )
    });
    let mut new = InstanceLock::new(&folder.0, "n");
    new.try_acquire(ProcessState::default(), &log());
    assert!(!new.may_accept_clients());
    let [first, second] = locks;
    drop(first);
    new.try_acquire(ProcessState::default(), &log());
    assert!(new.may_accept_clients());
    assert_eq!(new.sibling(), SiblingProcess::ShuttingDown);
    drop(second);
}

/// Shares that an old program holds are not acquired, and shares that it releases are.
#[test]
fn shares_that_an_old_program_holds_are_not_acquired() {
    let folder = TestFolder::new("shares");
    let path = |n: u32| folder.0.join(format!("mothwinch-n.part{n}"));
    let mut old: Vec<File> = (0..6).map(|n| hold_lock(&path(n), b"")).collect();
    let new = acquire_lock(&folder.0, "n", ProcessState::default());
    let mut shares = ResourceShareLocks::new(&folder.0, "n", &new);
    assert_eq!(
        shares.update(
            ProcessState::Serving,
            SiblingProcess::ShuttingDown,
            0,
            &log()
        ),
        Some(2)
    );
    for n in [6, 7] {
        let file = File::open(path(n)).expect("a share file");
        assert!(
            matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)),
            "share {n}"
        );
    }
    old.truncate(2);
    assert_eq!(
        shares.update(
            ProcessState::Serving,
            SiblingProcess::ShuttingDown,
            0,
            &log()
        ),
        Some(6)
    );
    assert_eq!(std::fs::metadata(path(7)).expect("a share file").len(), 0);
}
