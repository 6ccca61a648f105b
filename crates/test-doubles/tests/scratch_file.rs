//! Scratch files of a test share a folder, which is removed with the last file.

use std::thread;

use test_doubles::ScratchFile;

/// The nodes of a test have the folder as their `TMPDIR`, so that they share their lock files.
#[test]
fn files_of_a_thread_share_a_folder_until_the_last_is_dropped() {
    let first = ScratchFile::new("first", "1");
    let second = ScratchFile::new("second", "2");
    let folder = first.folder().to_path_buf();
    assert_eq!(second.folder(), folder);
    // Files that a node leaves in the folder are removed too.
    std::fs::write(folder.join("lock"), "").expect("the folder exists");
    let first_path = first.path().to_path_buf();
    drop(first);
    assert!(!first_path.exists());
    let text = std::fs::read_to_string(second.path()).expect("it is still there");
    assert_eq!(text, "2");
    drop(second);
    assert!(!folder.exists());
}

#[test]
fn files_of_another_thread_are_in_another_folder() {
    let own = ScratchFile::new("config.json", "");
    let other_folder = thread::spawn(|| {
        let other = ScratchFile::new("config.json", "");
        other.folder().to_path_buf()
    });
    assert_ne!(own.folder(), other_folder.join().expect("a folder"));
}
