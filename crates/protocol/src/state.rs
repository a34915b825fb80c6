//! The state service's interface (PROTOCOL, "Controller nodes -> state service").

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::types::{LeaseId, Revision};

/// A change within a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Write {
        /// Key.
        write: String,
        /// Value.
        value: Box<RawValue>,
        /// The lease that it goes away with.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "ticket")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        delete: String,
    },
}

impl Change {
    /// Writes `value` at `key`.
    pub fn write<T: Serialize>(key: String, value: &T, lease: Option<LeaseId>) -> Self {
        // Our records have string keys and finite numbers: they always serialize.
        let value =
            serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned());
        Self::Write {
            write: key,
            value,
            lease,
        }
    }
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// A transaction.
#[derive(Clone, Debug, Serialize, Deserialize, Default)]
pub struct Transaction {
    /// Conditions.
    #[serde(default)]
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes.
    #[serde(default)]
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// One change seen by following.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The key, if written.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    /// The key, if deleted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// The value, if written.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<Box<RawValue>>,
    /// The revision.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// All changes up to a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Events {
    /// The revision.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A key and its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Box<RawValue>,
    /// Version.
    #[serde(rename = "stamp")]
    pub mod_revision: Revision,
}

/// Keys in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Keys and values.
    pub items: Vec<Item>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
    /// The revision.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
}

/// The answer of a transaction that was carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevisionBody {
    /// The revision.
    #[serde(rename = "ledger")]
    pub store_revision: Revision,
}

/// The answer of a new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseCreated {
    /// The lease.
    #[serde(rename = "ticket")]
    pub lease: LeaseId,
}
