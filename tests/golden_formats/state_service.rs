//! Messages between controllers and the state service.

use serde_json::value::RawValue;
use sorrelhinge::state::record::{MemberRecord, LEADER};
use sorrelhinge::state::{Change, Event, Events, Item, Txn, When};
use sorrelhinge::types::{LeaseId, Revision};
use sorrelhinge_protocol::state::{LeaseBody, LedgerBody, Page};

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
        stamp: Revision(12),
    };
    let deleted = Event {
        write: None,
        delete: Some("h/node/n-1".into()),
        value: None,
        stamp: Revision(13),
    };
    vec![written, deleted]
}

#[test]
fn messages_of_the_state_service_are_the_golden_ones() {
    let mut golden = Golden::default();
    let record = MemberRecord { run: 9 };
    let txn = Txn {
        when: vec![
            When {
                key: LEADER.into(),
                stamp: Revision(0),
            },
            When {
                key: "h/grant".into(),
                stamp: Revision(77),
            },
        ],
        apply: vec![
            Change::write("h/node/n-0".into(), &record, Some(LeaseId(5))),
            Change::write("h/node/n-0".into(), &record, None),
            Change::Delete {
                delete: "h/node/n-1".into(),
            },
        ],
    };
    // Only written: what reads it takes it apart as plain JSON.
    golden.add("transaction", &serde_json::to_string(&txn).expect("JSON"));
    add_json(&mut golden, "empty transaction", &Txn::default());
    let changes = Events {
        ledger: Revision(13),
        events: events(),
    };
    add_json(&mut golden, "events", &changes);
    let page = Page {
        items: vec![Item {
            key: "h/node/n-0".into(),
            value: value(),
            stamp: Revision(12),
        }],
        truncated: true,
        ledger: Revision(13),
    };
    add_json(&mut golden, "page", &page);
    let done = LedgerBody {
        ledger: Revision(14),
    };
    add_json(&mut golden, "transaction carried out", &done);
    let lease = LeaseBody { ticket: LeaseId(5) };
    add_json(&mut golden, "lease", &lease);
    golden.check("messages_of_the_state_service.txt");
}
