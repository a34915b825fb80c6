//! Requests that create, renew and revoke leases.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use sorrelhinge_protocol::state::LeaseCreated;

use super::super::budget::RequestPriority;
use super::super::error::StateError;
use super::request::StateRequest;
use super::StateClient;
use crate::types::LeaseId;

/// Time limit for the answer to a request that creates a lease.
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the answer to a request that renews or revokes a lease.
const LEASE_CHANGE_TIMEOUT: Duration = Duration::from_millis(800);

impl StateClient {
    /// Creates a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer. In the latter case it may have created a lease,
    /// which then expires.
    pub async fn lease(&self, ttl: Duration) -> Result<LeaseId, StateError> {
        let request = StateRequest {
            method: Method::POST,
            path: "/leases",
            body: format!("{{\"life_ms\":{}}}", ttl.as_millis()).into(),
            priority: RequestPriority::First,
            timeout: LEASE_TIMEOUT,
        };
        let lease: LeaseCreated = self.call(request).await?.read()?;
        Ok(lease.lease)
    }

    /// Revokes a lease. The store deletes the keys attached to the lease at once.
    ///
    /// # Errors
    ///
    /// The store refused or did not answer. If the lease still exists, it expires unless it
    /// is renewed.
    pub async fn end(&self, lease: LeaseId) -> Result<(), StateError> {
        let request = StateRequest {
            method: Method::DELETE,
            path: &format!("/leases/{lease}"),
            body: Bytes::new(),
            priority: RequestPriority::First,
            timeout: LEASE_CHANGE_TIMEOUT,
        };
        self.call(request).await.map(|_| ())
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// The lease has ended, or the store refused or did not answer.
    pub async fn renew(&self, lease: LeaseId) -> Result<(), StateError> {
        let request = StateRequest {
            method: Method::POST,
            path: &format!("/leases/{lease}/renew"),
            body: Bytes::new(),
            priority: RequestPriority::First,
            timeout: LEASE_CHANGE_TIMEOUT,
        };
        let reply = self.call(request).await?;
        match reply.status {
            200 => Ok(()),
            404 => Err(StateError::LeaseEnded),
            _ => Err(reply.unexpected()),
        }
    }
}
