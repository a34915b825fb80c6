//! The consensus-backed key-value store that all controllers share (PROTOCOL,
//! "Controller nodes -> state service"): its client, the records kept in it, and this controller's copy of them.
//!
//! A record is changed by compare-and-swap only: a transaction names the versions that it
//! was decided on, and is carried out completely or not at all. A request whose outcome is
//! unknown ([`StateError::Unknown`]) may still be carried out later, so whoever sent it
//! decides nothing before the [view](view::View) shows which.
//!
//! | module | what |
//! | --- | --- |
//! | [`client`] | requests to the service |
//! | [`budget`] | this controller's share of them |
//! | [`error`] | outcomes and errors |
//! | [`record`], [`job_record`], [`chunk_record`] | keys and values |
//! | [`view`], [`job_entry`], [`history`] | the copy of them |

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
