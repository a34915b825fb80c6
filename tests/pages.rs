//! What the pages name in the sources is there: files, and constants by their names. So a
//! rename that forgets a page is found here.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use sorrelhinge::config::Config;

/// Pages of what was: they name files and constants as they were.
const HISTORY: [&str; 1] = ["results.md"];
/// Folders that a path in a page begins with.
const FOLDERS: [&str; 5] = ["src/", "crates/", "tests/", "deploy/", "docs/"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn entries(folder: &Path) -> Vec<PathBuf> {
    let read = std::fs::read_dir(folder).expect("a folder");
    read.map(|entry| entry.expect("an entry").path()).collect()
}

/// README and the pages, with their names.
fn pages() -> Vec<(String, String)> {
    let mut paths = vec![root().join("README.md")];
    paths.extend(entries(&root().join("docs")));
    let name_of = |path: &PathBuf| {
        path.file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned()
    };
    paths
        .into_iter()
        .filter(|path| path.is_file() && !HISTORY.contains(&name_of(path).as_str()))
        .map(|path| {
            (
                name_of(&path),
                std::fs::read_to_string(path).expect("a page"),
            )
        })
        .collect()
}

/// What stands in backquotes.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
}

fn is_path(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "/_-.".contains(c);
    FOLDERS.iter().any(|folder| text.starts_with(folder)) && text.chars().all(plain)
}

fn is_constant(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit() || c == '_';
    text.starts_with(|c: char| c.is_ascii_uppercase())
        && text.contains('_')
        && text.chars().all(plain)
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let (folders, files): (Vec<_>, Vec<_>) = entries(folder).into_iter().partition(|p| p.is_dir());
    let own = files
        .into_iter()
        .filter(|f| f.extension().is_some_and(|e| e == "rs"));
    let inner = folders.iter().flat_map(|f| rust_files(f));
    own.chain(inner).collect()
}

/// Names of all constants of the sources, and all texts in them: a variable of the
/// environment is one.
fn constants() -> BTreeSet<String> {
    let mut folders = vec![root().join("src")];
    let packages = entries(&root().join("crates")).into_iter();
    folders.extend(packages.map(|package| package.join("src")));
    let mut names = BTreeSet::new();
    for file in folders.iter().flat_map(|folder| rust_files(folder)) {
        let source = std::fs::read_to_string(file).expect("a source file");
        for declared in source.split("const ").skip(1) {
            let name = declared.split(':').next().unwrap_or_default();
            names.insert(name.to_owned());
        }
        names.extend(source.split('"').map(str::to_owned));
    }
    names
}

#[test]
fn every_file_that_the_pages_name_is_there() {
    let mut named = 0;
    let mut missing = Vec::new();
    for (name, page) in pages() {
        for path in quoted(&page).filter(|text| is_path(text)) {
            named += 1;
            if !root().join(path).exists() {
                missing.push(format!("{name}: {path}"));
            }
        }
    }
    assert_eq!(missing, [] as [String; 0]);
    assert!(named >= 50, "{named} files are named");
}

#[test]
fn every_constant_that_the_pages_name_is_there() {
    let constants = constants();
    let mut named = 0;
    let mut missing = Vec::new();
    for (name, page) in pages() {
        for constant in quoted(&page).filter(|text| is_constant(text)) {
            named += 1;
            if !constants.contains(constant) {
                missing.push(format!("{name}: {constant}"));
            }
        }
    }
    assert_eq!(missing, [] as [String; 0]);
    assert!(named >= 40, "{named} constants are named");
}

#[test]
fn the_example_of_the_settings_is_valid() {
    let text = std::fs::read_to_string(root().join("deploy/settings.toml")).expect("a file");
    let config = Config::parse(&text).expect("valid settings");
    assert_eq!(config.others.len(), 2);
    assert_eq!(config.teams.len(), 1);
}

#[test]
fn only_paths_and_constants_in_backquotes_count() {
    let page = "`src/main.rs` src/none.rs `MAX_X` MAX_Y `see src/other.rs` `Max`\n";
    let all: Vec<&str> = quoted(page).collect();
    assert_eq!(all, ["src/main.rs", "MAX_X", "see src/other.rs", "Max"]);
    let paths: Vec<&str> = all.iter().copied().filter(|t| is_path(t)).collect();
    assert_eq!(paths, ["src/main.rs"]);
    let constants: Vec<&str> = all.into_iter().filter(|t| is_constant(t)).collect();
    assert_eq!(constants, ["MAX_X"]);
}
