//! Golden files: texts under `tests/golden` that a renaming or a restructuring leaves as
//! they are, byte for byte.
//!
//! `UPDATE_GOLDEN=1 cargo test` writes them again, for a change that is meant; the change
//! then stands in the commit's diff. Never set in CI.

use std::fs;
use std::path::PathBuf;

/// Named texts, a line each, as a golden file has them.
#[derive(Default)]
pub(crate) struct Golden {
    lines: Vec<String>,
}

impl Golden {
    /// Adds a text. Neither it nor its name has a line break.
    pub(crate) fn add(&mut self, name: &str, text: &str) {
        assert!(
            !name.contains(['\t', '\n']) && !text.contains('\n'),
            "{name} is one line"
        );
        let prefix = format!("{name}\t");
        assert!(
            !self.lines.iter().any(|line| line.starts_with(&prefix)),
            "{name} is there twice"
        );
        self.lines.push(format!("{name}\t{text}"));
    }

    /// Compares all of them with the golden file.
    pub(crate) fn check(&self, file: &str) {
        check(file, &(self.lines.join("\n") + "\n"));
    }
}

/// Compares a text with a golden file; one that is missing is a failure.
pub(crate) fn check(file: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var("UPDATE_GOLDEN").is_ok_and(|value| value == "1") {
        assert!(std::env::var_os("CI").is_none(), "CI compares only");
        fs::write(&path, text).expect("a golden file that can be written");
        return;
    }
    let golden = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    for (number, (golden, now)) in golden.lines().zip(text.lines()).enumerate() {
        assert_eq!(now, golden, "{file}, line {}", number + 1);
    }
    assert!(
        golden == text,
        "{file}: {} bytes now, {} in the golden file",
        text.len(),
        golden.len()
    );
}
