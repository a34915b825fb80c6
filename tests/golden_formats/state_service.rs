//! Messages between controllers and the state service.

use serde_json::value::RawValue;
use sorrelhinge::state::record::{MemberRecord, LEADER};
use sorrelhinge::state::{Change, Condition, Event, Events, Item, Transaction};
use sorrelhinge::types::{LeaseId, Revision};
use sorrelhinge_protocol::state::{LeaseCreated, Page, RevisionBody};

use crate::add_json;
use crate::golden_files::Golden;

fn value() -> Box<RawValue> {
    RawValue::from_string(r#"{"run":9}"#.into()).expect("JSON")
}

fn events() -> Vec<Event> {
    let written = Event {
        write: Some("h/node/n-0".into()),
        delete: None,
        value: Some(value()),
        mod_revision: Revision(12),
    };
    let deleted = Event {
        write: None,
        delete: Some("h/node/n-1".into()),
        value: None,
        mod_revision: Revision(13),
    };
    vec![written, deleted]
}

#[test]
fn messages_of_the_state_service_are_the_golden_ones() {
    let mut golden = Golden::default();
    let record = MemberRecord { run: 9 };
    let transaction = Transaction {
        conditions: vec![
            Condition {
                key: LEADER.into(),
                mod_revision: Revision(0),
            },
            Condition {
                key: "h/grant".into(),
                mod_revision: Revision(77),
            },
        ],
        changes: vec![
            Change::write("h/node/n-0".into(), &record, Some(LeaseId(5))),
            Change::write("h/node/n-0".into(), &record, None),
            Change::Delete {
                delete: "h/node/n-1".into(),
            },
        ],
    };
    // Only written: what reads it takes it apart as plain JSON.
    golden.add(
        "transaction",
        &serde_json::to_string(&transaction).expect("JSON"),
    );
    add_json(&mut golden, "empty transaction", &Transaction::default());
    let changes = Events {
        store_revision: Revision(13),
        events: events(),
    };
    add_json(&mut golden, "events", &changes);
    let page = Page {
        items: vec![Item {
            key: "h/node/n-0".into(),
            value: value(),
            mod_revision: Revision(12),
        }],
        truncated: true,
        store_revision: Revision(13),
    };
    add_json(&mut golden, "page", &page);
    let done = RevisionBody {
        store_revision: Revision(14),
    };
    add_json(&mut golden, "transaction carried out", &done);
    let lease = LeaseCreated { lease: LeaseId(5) };
    add_json(&mut golden, "lease", &lease);
    golden.check("messages_of_the_state_service.txt");
}
