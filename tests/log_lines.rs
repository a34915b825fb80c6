//! Every log line and counter that the operators' pages quote still stands in the code, so
//! whoever is on call can search for what a page says.
//!
//! A page quotes them in tables: in columns headed "log line" everything in backquotes is
//! the message of a `tracing` event, in columns headed "field" one of its fields.

mod sources;

use std::collections::BTreeSet;

use self::sources::{root, source_files};

/// What `tracing` events in the sources say.
#[derive(Default)]
struct Events {
    messages: BTreeSet<String>,
    fields: BTreeSet<String>,
}

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// The arguments of the macro call that begins at an opening parenthesis, as they stand
/// there: separated by commas that are in no text and no inner parentheses.
fn arguments(call: &str) -> Vec<String> {
    let mut arguments = vec![String::new()];
    let (mut depth, mut in_text, mut escaped) = (0_usize, false, false);
    for c in call.chars() {
        let closes = !in_text && matches!(c, ')' | ']' | '}');
        if closes {
            depth -= 1;
            if depth == 0 {
                break;
            }
        }
        let separates = c == ',' && depth == 1 && !in_text;
        let begins = depth == 0;
        if !in_text && matches!(c, '(' | '[' | '{') {
            depth += 1;
        }
        if c == '"' && !escaped {
            in_text = !in_text;
        }
        escaped = in_text && c == '\\' && !escaped;
        match arguments.last_mut() {
            _ if separates => arguments.push(String::new()),
            Some(last) if !begins => last.push(c),
            _ => {}
        }
    }
    arguments.iter().map(|a| a.trim().to_owned()).collect()
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    !text.is_empty() && text.chars().all(plain)
}

impl Events {
    fn read(&mut self, source: &str) {
        for level in LEVELS {
            let call = format!("tracing::{level}!(");
            for (at, _) in source.match_indices(&call) {
                for argument in arguments(&source[at + call.len() - 1..]) {
                    self.note(&argument);
                }
            }
        }
    }

    fn note(&mut self, argument: &str) {
        let text = argument.strip_prefix('"');
        if let Some(message) = text.and_then(|t| t.strip_suffix('"')) {
            self.messages.insert(message.to_owned());
            return;
        }
        let name = argument.split('=').next().unwrap_or_default().trim();
        let name = name.trim_start_matches(['%', '?']);
        if is_name(name) {
            // A field that is given without a name has that of its value's last part.
            let last = name.rsplit('.').next().unwrap_or(name);
            self.fields.insert(last.to_owned());
        }
    }

    fn of_the_sources() -> Self {
        let mut events = Self::default();
        for file in source_files() {
            events.read(&std::fs::read_to_string(file).expect("a source file"));
        }
        events
    }
}

/// The cells of a row of a table; none: the line is no row.
fn cells(line: &str) -> Option<Vec<&str>> {
    let row = line.trim().strip_prefix('|')?.strip_suffix('|')?;
    Some(row.split('|').map(str::trim).collect())
}

/// All that a page has in backquotes in columns with this head.
fn quoted(page: &str, head: &str) -> Vec<String> {
    let mut quoted = Vec::new();
    let mut column: Option<usize> = None;
    let mut in_table = false;
    for line in page.lines() {
        let Some(cells) = cells(line) else {
            in_table = false;
            continue;
        };
        if !in_table {
            in_table = true;
            column = cells.iter().position(|cell| *cell == head);
            continue;
        }
        let Some(cell) = column.and_then(|at| cells.get(at)) else {
            continue;
        };
        quoted.extend(cell.split('`').skip(1).step_by(2).map(str::to_owned));
    }
    quoted
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).expect("a page")
}

/// What pages quote and no event has, and how much they quote.
fn missing(pages: &[&str], head: &str, known: &BTreeSet<String>) -> (Vec<String>, usize) {
    let mut all = 0;
    let mut missing = Vec::new();
    for name in pages {
        let quoted = quoted(&page(name), head);
        assert!(!quoted.is_empty(), "{name} has no column {head:?}");
        all += quoted.len();
        let unknown = quoted.into_iter().filter(|text| !known.contains(text));
        missing.extend(unknown.map(|text| format!("{name}: {text}")));
    }
    (missing, all)
}

#[test]
fn every_log_line_that_the_pages_quote_is_written_by_the_code() {
    let events = Events::of_the_sources();
    let (missing, all) = missing(
        &["on-call.md", "operations.md", "blocks.md"],
        "log line",
        &events.messages,
    );
    assert_eq!(missing, [] as [String; 0]);
    assert!(all >= 90, "{all} lines are quoted");
}

#[test]
fn every_counter_that_the_pages_quote_is_a_field_of_an_event() {
    let events = Events::of_the_sources();
    let (missing, all) = missing(&["on-call.md", "overload.md"], "field", &events.fields);
    assert_eq!(missing, [] as [String; 0]);
    assert!(all >= 25, "{all} fields are quoted");
}

#[test]
fn messages_and_fields_are_read_as_they_stand_in_an_event() {
    let mut events = Events::default();
    events.read(
        "fn f() { tracing::info!(%block, job.id, why = g(\"(a, b\"), n = 3, \"a \\\"line\\\", \
         with (marks\"); h(\"no event\"); tracing::error!(\n  \"alone\"\n); }",
    );
    let messages: Vec<&str> = events.messages.iter().map(String::as_str).collect();
    assert_eq!(messages, ["a \\\"line\\\", with (marks", "alone"]);
    let fields: Vec<&str> = events.fields.iter().map(String::as_str).collect();
    assert_eq!(fields, ["block", "id", "n", "why"]);
}

#[test]
fn only_columns_with_the_agreed_head_are_quotations() {
    let text = "| log line | see |\n| --- | --- |\n| `one`, `two` (debug) | `three` |\n\n\
        | field |\n| --- |\n| `four` |\n";
    assert_eq!(quoted(text, "log line"), ["one", "two"]);
    assert_eq!(quoted(text, "field"), ["four"]);
    assert_eq!(quoted(text, "counter"), [] as [&str; 0]);
}
