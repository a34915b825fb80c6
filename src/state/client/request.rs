//! A request to the state service, and its answer as read.

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use sorrelhinge_protocol::state::RevisionBody;
use std::time::Duration;

use super::super::budget::RequestPriority;
use super::super::error::{RefusedCause, StateError, UnknownCause};
use crate::types::Revision;

/// What the service says, with status 400, of a lease that it does not know (PROTOCOL).
const NO_SUCH_LEASE: &str = "no such lease";

/// A request, as far as all kinds of them have it in common.
pub(super) struct StateRequest<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Bytes,
    pub(super) urgency: RequestPriority,
    /// For the answer, once there is a connection.
    pub(super) timeout: Duration,
}

/// The service's answer, unless it says that it takes nothing now.
pub(super) struct StateReply {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

impl StateReply {
    /// Reads the body of an answer with status 200; no other is expected.
    pub(super) fn read<T: DeserializeOwned>(&self) -> Result<T, StateError> {
        if self.status != 200 {
            return Err(self.unexpected());
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| StateError::Refused(RefusedCause::Malformed(error)))
    }

    pub(super) fn unexpected(&self) -> StateError {
        StateError::Refused(RefusedCause::Status(self.status))
    }

    /// The revision in the answer to a transaction.
    pub(super) fn revision(&self) -> Result<Revision, StateError> {
        serde_json::from_slice::<RevisionBody>(&self.body)
            .map(|l| l.store_revision)
            .map_err(|error| StateError::Unknown(UnknownCause::Malformed(error)))
    }

    pub(super) fn names_no_lease(&self) -> bool {
        String::from_utf8_lossy(&self.body).contains(NO_SUCH_LEASE)
    }
}
