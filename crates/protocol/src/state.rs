//! Messages between controllers and the state service (PROTOCOL, "Controller nodes -> state
//! service").

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::types::{LeaseId, Revision};

/// Change of one key within a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// The transaction writes a value to a key.
    Write {
        /// Key that the transaction writes.
        write: String,
        /// New value of the written key, as JSON.
        value: Box<RawValue>,
        /// Lease that the key is attached to. The state service deletes the key when the lease
        /// ends.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "ticket")]
        lease: Option<LeaseId>,
    },
    /// The transaction deletes a key.
    Delete {
        /// Key that the transaction deletes.
        delete: String,
    },
}

impl Change {
    /// Creates a change that writes `value` to `key`.
    pub fn write<T: Serialize>(key: String, value: &T, lease: Option<LeaseId>) -> Self {
        // Serialization never fails here, because our records have only string keys and finite
        // numbers.
        let value =
            serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned());
        Self::Write {
            write: key,
            value,
            lease,
        }
    }
}

/// Condition of a transaction: the key must have this version. Version 0 means that the key
/// must not exist.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    /// Key that the condition checks.
    pub key: String,
    /// Required version of the key, or 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// Transaction, the body of `POST /txn`. Its changes apply only if all conditions are met.
#[derive(Clone, Debug, Serialize, Deserialize, Default)]
pub struct Transaction {
    /// Conditions that must all be met.
    #[serde(default)]
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes that the state service applies together if all conditions are met.
    #[serde(default)]
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// Change of one key, as the state service reports it to a watcher.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Key that was written, if the event is a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    /// Key that was deleted, if the event is a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// New value of the key, if the event is a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    /// Revision at which the key changed.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// Answer to a watch request, with all changes up to a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// Revision up to which the events are complete.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
    /// Changes of keys up to that revision.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Key with its value and version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item in the state service.
    pub key: String,
    /// Current value of the key, as JSON.
    pub value: Box<RawValue>,
    /// Version of the key, which is the revision of its last change.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// One page of keys and values, sorted by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Keys and values of the page.
    pub items: Vec<Item>,
    /// Whether more keys follow on the next page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the state service at which the page was read.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
}

/// Answer to a transaction that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevisionBody {
    /// Revision of the state service after the transaction.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
}

/// Answer to the creation of a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseCreated {
    /// Id of the new lease in the state service.
    #[serde(rename = "ticket")]
    pub lease: LeaseId,
}
