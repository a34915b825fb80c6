//! Errors in texts that were read, with the wrong field and the reason. Operators' files,
//! bodies of jobs and task descriptions all report their errors with these types.

/// Error in one field. `path` leads from the outermost name to the field, as in
/// `topology.spread[0].max`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// The value is out of the field's range, or the values of several fields contradict each
    /// other.
    #[error("{path}: {reason}")]
    Value {
        /// Path from the outermost name to the field with the wrong value.
        path: String,
        /// Reason why the value is not valid.
        reason: String,
    },
    /// The text does not have the form that the field requires.
    #[error("{path}: {reason}")]
    Malformed {
        /// Path from the outermost name to the malformed field.
        path: String,
        /// Reason why the text is malformed.
        reason: String,
    },
}

/// Error in a text that is not TOML or does not follow the file's format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct MalformedToml {
    /// Number of the wrong line, starting at 1.
    pub line: usize,
    /// Reason why the line is wrong, as a text of one line.
    pub reason: String,
}

impl MalformedToml {
    /// Converts the parser's error for `text` into one with a line number.
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
    /// Creates the error for a value that a field does not allow.
    pub fn value(path: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Value {
            path: path.into(),
            reason: reason.into(),
        }
    }

    /// Returns the first error of a validation report. `at` is the path of the validated value.
    pub fn first(report: &garde::Report, at: &str) -> Self {
        let first = report.iter().next();
        let reason = first.map_or_else(String::new, |(_, error)| error.to_string());
        match first.filter(|(path, _)| !path.is_empty()) {
            Some((path, _)) => Self::value(format!("{at}.{path}"), reason),
            None => Self::value(at, reason),
        }
    }
}
