//! The files by which two processes of a node share the ids of their runs.

use std::path::Path;

use protocol_gateway::node::RequestUid;
use protocol_gateway::run_id_files::RunIdFiles;
use test_doubles::ScratchFile;

/// Number of ids that a file holds.
const CAPACITY: u64 = 8192;

fn uid(number: u64) -> RequestUid {
    RequestUid::from_number(number)
}

/// Opens the files of two processes in one folder.
fn open_pair(folder: &Path) -> [RunIdFiles; 2] {
    let [first, second] = ["first.runs", "second.runs"].map(|name| folder.join(name));
    [(&first, &second), (&second, &first)]
        .map(|(own, sibling)| RunIdFiles::open(own, sibling).expect("the file opens"))
}

/// Each process finds what the other has recorded, and not what it has recorded itself.
#[test]
fn ids_are_found_by_the_other_process_alone() {
    let keeps_folder = ScratchFile::new("folder", "");
    let [mut first, mut second] = open_pair(keeps_folder.folder());
    first.record(uid(1)).expect("the id is written");
    second.record(uid(2)).expect("the id is written");
    let found = |files: &RunIdFiles| [1, 2].map(|n| files.sibling_has(uid(n)).expect("a file"));
    assert_eq!(
        (found(&first), found(&second)),
        ([false, true], [true, false])
    );
}

/// The file does not grow: the oldest ids are overwritten.
#[test]
fn oldest_ids_are_overwritten() {
    let keeps_folder = ScratchFile::new("folder", "");
    let [mut first, second] = open_pair(keeps_folder.folder());
    for number in 0..=CAPACITY {
        first.record(uid(number)).expect("the id is written");
    }
    let length = std::fs::metadata(keeps_folder.folder().join("first.runs")).expect("a file");
    assert_eq!(length.len(), CAPACITY * 16);
    let found = [0, 1, CAPACITY].map(|n| second.sibling_has(uid(n)).expect("a file"));
    assert_eq!(found, [false, true, true]);
}

/// A process of an earlier version has no file, and a folder can be full.
#[test]
fn missing_file_has_no_ids_and_a_full_folder_is_an_error() {
    let keeps_folder = ScratchFile::new("folder", "");
    let missing = keeps_folder.folder().join("missing.runs");
    let mut files = RunIdFiles::open(Path::new("/dev/full"), &missing).expect("the file opens");
    assert!(files.record(uid(1)).is_err());
    assert!(!files.sibling_has(uid(1)).expect("no file is no error"));
}

/// A process that is killed can leave an id in part.
#[test]
fn id_that_was_written_in_part_is_not_found() {
    let keeps_folder = ScratchFile::new("folder", "");
    let partial = ScratchFile::new("second.runs", &format!("{}{}", uid(1).as_str(), "00000000"));
    let [first, _] = open_pair(keeps_folder.folder());
    assert!(partial.path().exists());
    assert!(first.sibling_has(uid(1)).expect("a file"));
    assert!(!first.sibling_has(uid(0)).expect("a file"));
}
