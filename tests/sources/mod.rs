//! The repository's files, for tests that compare pages with sources.

use std::path::{Path, PathBuf};

/// The repository's folder.
pub(crate) fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// What stands in a folder.
pub(crate) fn entries(folder: &Path) -> Vec<PathBuf> {
    let read = std::fs::read_dir(folder).expect("a folder");
    read.map(|entry| entry.expect("an entry").path()).collect()
}

/// All Rust files below a folder.
pub(crate) fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let (folders, files): (Vec<_>, Vec<_>) = entries(folder).into_iter().partition(|p| p.is_dir());
    let own = files
        .into_iter()
        .filter(|f| f.extension().is_some_and(|e| e == "rs"));
    let inner = folders.iter().flat_map(|f| rust_files(f));
    own.chain(inner).collect()
}

/// All Rust files of the program and of the packages, without tests.
pub(crate) fn source_files() -> Vec<PathBuf> {
    let packages = entries(&root().join("crates")).into_iter();
    let folders = packages.map(|package| package.join("src"));
    let folders = folders.chain([root().join("src")]);
    folders.flat_map(|folder| rust_files(&folder)).collect()
}
