//! Types of a request to the state service and of its answer.

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use sorrelhinge_protocol::state::RevisionBody;
use std::time::Duration;

use super::super::budget::RequestPriority;
use super::super::error::{RefusedCause, StateError, UnknownCause};
use crate::types::Revision;

/// Text of the answer, with status 400, to a request that names an unknown lease (PROTOCOL).
const NO_SUCH_LEASE: &str = "no such lease";

/// Fields that all kinds of requests have.
pub(super) struct StateRequest<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Bytes,
    pub(super) priority: RequestPriority,
    /// Time limit for the answer once there is a connection.
    pub(super) timeout: Duration,
}

/// Answer of the service with any status other than 429 and 503.
pub(super) struct StateReply {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

impl StateReply {
    /// Decodes the body of an answer with status 200. Any other status is an error.
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

    /// Decodes the revision in the answer to a transaction.
    pub(super) fn revision(&self) -> Result<Revision, StateError> {
        serde_json::from_slice::<RevisionBody>(&self.body)
            .map(|l| l.store_revision)
            .map_err(|error| StateError::Unknown(UnknownCause::Malformed(error)))
    }

    pub(super) fn names_unknown_lease(&self) -> bool {
        String::from_utf8_lossy(&self.body).contains(NO_SUCH_LEASE)
    }
}
