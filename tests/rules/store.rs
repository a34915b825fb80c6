//! The state service: conditional writes, versions, changes since.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use sorrelhinge::state::view::View;
use sorrelhinge::state::TransactionOutcome;
use sorrelhinge::types::Revision;

/// The state service: conditional writes, versions, changes since.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) revision: u64,
    pub(crate) keys: BTreeMap<String, (u64, Value)>,
    pub(crate) log: Vec<Value>,
    pub(crate) limits: Limits,
}

/// What a transaction may be.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) value_bytes: usize,
    pub(crate) changes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            value_bytes: 1024,
            changes: 4,
        }
    }
}

impl Store {
    /// Whether a transaction gets 400, as something of it is too large.
    pub(crate) fn rejects(&self, transaction: &Value) -> bool {
        let changes = transaction["apply"].as_array().expect("changes");
        let bytes = |c: &Value| c["value"].to_string().len();
        changes.len() > self.limits.changes
            || changes.iter().any(|c| bytes(c) > self.limits.value_bytes)
    }

    pub(crate) fn transact(&mut self, transaction: &Value) -> TransactionOutcome {
        let mod_revision = |k: &str| self.keys.get(k).map_or(0, |(s, _)| *s);
        let met = transaction["when"]
            .as_array()
            .expect("conditions")
            .iter()
            .all(|w| {
                mod_revision(w["key"].as_str().expect("key")) == w["stamp"].as_u64().expect("stamp")
            });
        if !met {
            return TransactionOutcome::Failed(Revision(self.revision));
        }
        self.revision += 1;
        let changes = transaction["apply"].as_array().expect("changes");
        assert!(
            changes.len() <= self.limits.changes,
            "more changes than the settings allow"
        );
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                assert!(
                    change["value"].to_string().len() <= self.limits.value_bytes,
                    "value over the limit"
                );
                self.keys
                    .insert(key.into(), (self.revision, change["value"].clone()));
                self.log
                    .push(json!({"write": key, "value": change["value"], "stamp": self.revision}));
            } else if let Some(key) = change["delete"].as_str() {
                self.keys.remove(key);
                self.log
                    .push(json!({"delete": key, "stamp": self.revision}));
            }
        }
        TransactionOutcome::Done(Revision(self.revision))
    }

    pub(crate) fn write(&mut self, key: &str, value: Value) {
        let mod_revision = self.keys.get(key).map_or(0, |(s, _)| *s);
        let transaction = json!({"when": [{"key": key, "stamp": mod_revision}], "apply": [{"write": key, "value": value}]});
        assert!(matches!(
            self.transact(&transaction),
            TransactionOutcome::Done(_)
        ));
    }

    pub(crate) fn follow(&self, view: &mut View) -> bool {
        let since = view.store_revision;
        let events: Vec<&Value> = self
            .log
            .iter()
            .filter(|e| e["stamp"].as_u64() > Some(since.0))
            .collect();
        let events = json!({"ledger": self.revision, "events": events}).to_string();
        view.apply(since, serde_json::from_str(&events).expect("events"))
    }
}
