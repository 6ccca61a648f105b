//! The lock files by which two processes of one node know of each other. In a replacement an old and a new program meet
//! there: names of files, words and what they mean may not change. The files under `golden/` never change.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::{Path, PathBuf};

use lifecycle::{word, Beside, State, PARTS, WORD};
use protocol_gateway::seat::{Parts, Standing};
use slog::{o, Discard, Logger};

/// A folder of this test's own that goes with the value.
struct Scratch(PathBuf);
impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("golden-locks-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Scratch(path)
    }
    fn files(&self) -> Vec<String> {
        let entry = |e: std::io::Result<std::fs::DirEntry>| e.expect("an entry").file_name();
        let read = std::fs::read_dir(&self.0).expect("the folder");
        let mut files: Vec<String> = read
            .map(|e| entry(e).to_string_lossy().into_owned())
            .collect();
        files.sort();
        files
    }
}
impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// A lock as an old program holds it, with this text in its file.
fn held(path: &Path, text: &[u8]) -> File {
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

fn seated(folder: &Path, name: &str, state: State) -> Standing {
    let mut standing = Standing::new(folder, name);
    standing.look(state, &log());
    assert!(standing.may_take());
    standing
}

const STATES: [(&str, State); 8] = [
    ("starting", State::Starting { quiesced: false }),
    ("starting-quiesced", State::Starting { quiesced: true }),
    ("serving", State::Serving),
    ("quiesced", State::Quiesced),
    (
        "leaving",
        State::Leaving {
            replaced: false,
            quiesced: false,
        },
    ),
    (
        "leaving-quiesced",
        State::Leaving {
            replaced: false,
            quiesced: true,
        },
    ),
    (
        "leaving-replaced",
        State::Leaving {
            replaced: true,
            quiesced: false,
        },
    ),
    (
        "leaving-replaced-quiesced",
        State::Leaving {
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
        let scratch = Scratch::new("names");
        let first = seated(&scratch.0, name, State::Serving);
        let second = seated(&scratch.0, name, State::Serving);
        let mut parts = Parts::new(&scratch.0, name, &first);
        assert_eq!(
            parts.look(State::Serving, Beside::Nobody, 0, &log()),
            Some(PARTS)
        );
        written += &format!("{name:?}\n");
        scratch
            .files()
            .iter()
            .for_each(|file| written += &format!("  {file}\n"));
        drop((first, second));
    }
    assert_eq!(written, include_str!("golden/lock_names.txt"));
}

#[test]
fn words_of_all_states_are_stable() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let written: String = STATES
        .iter()
        .map(|(name, state)| format!("{name} {}\n", hex(&word(*state))))
        .collect();
    assert_eq!(written, include_str!("golden/lock_words.txt"));
    assert_eq!(WORD, 16);
    assert_eq!(PARTS, 8);
}

/// An old program sits at either seat: what it wrote is understood, whoever came first.
#[test]
fn word_of_an_old_program_is_understood() {
    for (own, other) in [(0, 1), (1, 0)] {
        let scratch = Scratch::new(&format!("word-{own}"));
        let path = |n: u32| scratch.0.join(format!("mothwinch-a_b-1.seat{n}"));
        let mut old = held(&path(other), b"idle           \n");
        let new = seated(&scratch.0, "a b-1", State::default());
        for (text, beside) in [
            (b"idle           \n", Beside::Idle),
            (b"taking clients \n", Beside::Taking),
            (b"leaving        \n", Beside::Leaving),
            (b"Taking clients \n", Beside::Idle),
        ] {
            old.rewind().expect("rewound");
            old.write_all(text).expect("written");
            assert_eq!(new.beside(), beside, "{:?}", String::from_utf8_lossy(text));
        }
        old.write_all(b"more").expect("written");
        assert_eq!(new.beside(), Beside::Idle, "longer than any word");
        old.set_len(0).expect("cut");
        assert_eq!(new.beside(), Beside::Idle, "no word");
        old.rewind().expect("rewound");
        old.write_all(b"taking clients \n").expect("written");
        assert_eq!(new.beside(), Beside::Taking);
        drop(old);
        assert_eq!(
            new.beside(),
            Beside::Nobody,
            "what is left behind counts for nothing"
        );
    }
}

/// The other way around: what an old program looks at is the lock and the 16 bytes.
#[test]
fn old_program_understands_what_is_written() {
    let scratch = Scratch::new("written");
    let mut new = seated(&scratch.0, "n", State::default());
    for (name, state) in STATES {
        new.say(state);
        let mut file = File::open(scratch.0.join("mothwinch-n.seat0")).expect("the seat");
        assert!(
            matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)),
            "{name}"
        );
        let mut text = Vec::new();
        file.read_to_end(&mut text).expect("read");
        let golden: &[u8; 16] = match state {
            State::Starting { .. } => b"idle           \n",
            State::Serving | State::Quiesced => b"taking clients \n",
            State::Leaving { .. } => b"leaving        \n",
        };
        assert_eq!(text, golden, "{name}");
    }
    drop(new);
    let file = File::open(scratch.0.join("mothwinch-n.seat0")).expect("the seat");
    assert!(file.try_lock_shared().is_ok(), "the seat is free again");
}

/// Two old programs live: a new one waits, and takes a seat once one of them has gone.
#[test]
fn new_program_waits_while_old_ones_hold_both_seats() {
    let scratch = Scratch::new("waits");
    let seats = [0, 1].map(|n| {
        held(
            &scratch.0.join(format!("mothwinch-n.seat{n}")),
            b"leaving        \n",
        )
    });
    let mut new = Standing::new(&scratch.0, "n");
    new.look(State::default(), &log());
    assert!(!new.may_take());
    let [first, second] = seats;
    drop(first);
    new.look(State::default(), &log());
    assert!(new.may_take());
    assert_eq!(new.beside(), Beside::Leaving);
    drop(second);
}

/// Parts that an old program holds are not taken, and those that it lets go of are.
#[test]
fn parts_that_an_old_program_holds_are_left_to_it() {
    let scratch = Scratch::new("parts");
    let path = |n: u32| scratch.0.join(format!("mothwinch-n.part{n}"));
    let mut old: Vec<File> = (0..6).map(|n| held(&path(n), b"")).collect();
    let new = seated(&scratch.0, "n", State::default());
    let mut parts = Parts::new(&scratch.0, "n", &new);
    assert_eq!(
        parts.look(State::Serving, Beside::Leaving, 0, &log()),
        Some(2)
    );
    for n in [6, 7] {
        let file = File::open(path(n)).expect("a part");
        assert!(
            matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)),
            "part {n}"
        );
    }
    old.truncate(2);
    assert_eq!(
        parts.look(State::Serving, Beside::Leaving, 0, &log()),
        Some(6)
    );
    assert_eq!(std::fs::metadata(path(7)).expect("a part").len(), 0);
}
