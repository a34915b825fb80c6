//! The bytes of every message, record and layout between controllers, the names in the
//! settings, and the help of the program, compared with golden files: what is stored and
//! sent stays as it is when names in the code change.

mod agent;
mod calendar;
mod cloud;
mod command_line;
#[path = "../golden_files/mod.rs"]
mod golden_files;
mod operators;
mod peers;
mod records;
mod settings;
mod state_service;
mod users;
mod workers;

use serde::de::DeserializeOwned;
use serde::Serialize;

use self::golden_files::Golden;

/// Adds a message as it is written; what it is read as is written the same again.
fn add_json<T: Serialize + DeserializeOwned>(golden: &mut Golden, name: &str, message: &T) {
    let text = serde_json::to_string(message).expect("JSON");
    let read: T = serde_json::from_str(&text).expect("what was just written");
    let again = serde_json::to_string(&read).expect("JSON");
    assert_eq!(again, text, "{name} is read and written as it was");
    golden.add(name, &text);
}

/// Bytes as text.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
