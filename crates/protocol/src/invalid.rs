//! What is wrong with a text that was read: which field, and why. Operators' files,
//! jobs' bodies and descriptions are all reported in this way.

/// A field that is not valid. `path` leads to it from the outermost name, as in
/// `topology.spread[0].max`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// The value is not within what the field allows, or the fields don't go
    /// together.
    #[error("{path}: {reason}")]
    Value {
        /// The field.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The text is not of the field's shape.
    #[error("{path}: {reason}")]
    Malformed {
        /// The field.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A text that is not TOML, or not of the file's format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct MalformedToml {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong there, in one line.
    pub reason: String,
}

impl MalformedToml {
    /// Where a text that was read is wrong.
    pub fn new(text: &str, error: &toml::de::Error) -> Self {
        let lines_before = error.span().map_or(0, |span| {
            text[..span.start.min(text.len())].matches('\n').count()
        });
        Self {
            line: lines_before + 1,
            reason: error.message().replace('\n', " "),
        }
    }
}

impl InvalidField {
    /// A value that is not allowed.
    pub fn value(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Value {
            path: path.into(),
            reason: reason.into(),
        }
    }

    /// The first complaint of a heartbeat, with the path to the wrong field below `at`.
    pub fn first(report: &garde::Report, at: &str) -> Self {
        let first = report.iter().next();
        let reason = first.map_or_else(String::new, |(_, error)| error.to_string());
        match first.filter(|(path, _)| !path.is_empty()) {
            Some((path, _)) => Self::value(format!("{at}.{path}"), reason),
            None => Self::value(at, reason),
        }
    }
}
