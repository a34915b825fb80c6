//! Serialized form of workers' heartbeats and commands.

use sorrelhinge_protocol::worker::{Command, Heartbeat};

/// Checks that the optional fields for sources and images are absent if they are empty. A
/// worker or a controller of the previous version could fail on a field that it never had.
#[test]
fn sources_and_images_are_absent_unless_there_are_some() {
    let start = r#"{"verb":"start","piece":"run-1/0","try":2}"#;
    let read: Command = serde_json::from_str(start).expect("a start");
    assert_eq!(serde_json::to_string(&read).expect("text"), start);
    let heartbeat = r#"{"box":"m","addr":"127.0.0.1:9","build":"t","rack":"z","loaners":false,"shift":1,"tick":2,"baton":3,"warning_s":null,"pieces":[]}"#;
    let read: Heartbeat = serde_json::from_str(heartbeat).expect("a report");
    assert_eq!(serde_json::to_string(&read).expect("text"), heartbeat);
    let with = r#"{"verb":"start","piece":"run-1/0","try":2,"from":["10.1.0.3:9000"]}"#;
    let read: Command = serde_json::from_str(with).expect("a start");
    assert_eq!(serde_json::to_string(&read).expect("text"), with);
}
