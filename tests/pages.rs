//! What the pages name in the sources is there: files, and constants by their names. So a
//! rename that forgets a page is found here.

mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use sorrelhinge::config::Config;

use self::sources::{entries, root, rust_files, source_files};

/// Pages of what was: they name files and constants as they were.
const HISTORY: [&str; 1] = ["results.md"];
/// Folders that a path in a page begins with.
const FOLDERS: [&str; 5] = ["src/", "crates/", "tests/", "deploy/", "docs/"];

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

/// The last module or type of a path of the code, and what it is to have.
fn item(text: &str) -> Option<(&str, &str)> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    if !text.chars().all(plain) {
        return None;
    }
    let (owner, name) = text.rsplit_once("::")?;
    let owner = owner.rsplit("::").next()?;
    Some((owner.trim_start_matches("sorrelhinge_"), name))
}

fn words(source: &str) -> impl Iterator<Item = &str> {
    source.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
}

/// What each module, package and type has: the words of its files.
struct Items {
    of_owner: BTreeMap<String, BTreeSet<String>>,
}

impl Items {
    fn of_the_sources() -> Self {
        let mut items = Self {
            of_owner: BTreeMap::new(),
        };
        for file in ["src", "tests", "crates"]
            .iter()
            .flat_map(|folder| rust_files(&root().join(folder)))
        {
            items.read(&file);
        }
        items
    }

    /// Files what stands in a file under its modules and the types that it declares.
    fn read(&mut self, file: &Path) {
        let source = std::fs::read_to_string(file).expect("a source file");
        let path = file.strip_prefix(root()).expect("below the root");
        let modules = path.with_extension("");
        let modules = modules.iter().map(|part| part.to_string_lossy());
        let modules: Vec<String> = modules.map(|part| part.replace('-', "_")).collect();
        let before = source
            .split_whitespace()
            .zip(source.split_whitespace().skip(1));
        let declared =
            before.filter(|(kind, _)| ["struct", "enum", "trait", "impl"].contains(kind));
        let types = declared.filter_map(|(_, name)| words(name).next().map(str::to_owned));
        for owner in modules.iter().cloned().chain(types) {
            let known = self.of_owner.entry(owner).or_default();
            known.extend(words(&source).map(str::to_owned));
            known.extend(modules.iter().cloned());
        }
    }

    fn has(&self, owner: &str, name: &str) -> bool {
        let known = self.of_owner.get(owner);
        known.is_some_and(|words| words.contains(name))
    }
}

/// Names of all constants of the sources, and all texts in them: a variable of the
/// environment is one.
fn constants() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in source_files() {
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
fn every_item_that_the_pages_name_is_in_its_module() {
    let items = Items::of_the_sources();
    let mut named = 0;
    let mut missing = Vec::new();
    for (name, page) in pages() {
        for text in quoted(&page) {
            let Some((owner, item)) = item(text) else {
                continue;
            };
            named += 1;
            if !items.has(owner, item) {
                missing.push(format!("{name}: {text}"));
            }
        }
    }
    assert_eq!(missing, [] as [String; 0]);
    assert!(named >= 100, "{named} items are named");
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
    assert_eq!(item("control::leader::lead"), Some(("leader", "lead")));
    assert_eq!(
        item("sorrelhinge_overload::pace"),
        Some(("overload", "pace"))
    );
    assert_eq!(item("a::b(c)"), None);
}
