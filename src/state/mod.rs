//! Consensus-backed key-value store that all controllers share (PROTOCOL, "Controller nodes
//! -> state service"): its client, the records that it holds, and this controller's copy of
//! them.
//!
//! Records change by compare-and-swap only. A transaction names the versions that it was
//! decided on, and is carried out completely or not at all. A request with an unknown outcome
//! ([`StateError::Unknown`]) may still be carried out later, so its sender decides nothing
//! until the [view](view::View) shows the outcome.
//!
//! | module | contents |
//! | --- | --- |
//! | [`client`] | requests to the service |
//! | [`budget`] | this controller's share of the requests and changes |
//! | [`error`] | outcomes and errors |
//! | [`record`], [`job_record`], [`chunk_record`] | keys and values |
//! | [`view`], [`job_entry`], [`history`] | local copy of the records |

pub mod budget;
pub mod chunk_record;
pub mod client;
pub mod error;
pub mod history;
pub mod job_entry;
pub mod job_record;
pub mod record;
pub mod versioned;
pub mod view;

pub use budget::{Budget, RequestPriority};
pub use client::{StateClient, StoreSnapshot};
pub use error::{StateError, TransactionOutcome};
pub use sorrelhinge_protocol::state::{Change, Condition, Event, Events, Item, Transaction};
