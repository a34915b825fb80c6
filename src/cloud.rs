//! The cloud's interface.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tokio::time::Instant;

use crate::http::{Limits, Pool};
use crate::state::Budget;
use crate::types::{MachineId, MachineType};
pub use sorrelhinge_protocol::cloud::{Listed, MachinePhase, Rental};
use sorrelhinge_protocol::cloud::{WireBoxes, WireList, WireTypes};

/// Why the cloud gave no answer of use.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Nothing of this type, zone and kind is available.
    #[error("no capacity")]
    NoCapacity,
    /// Any other refusal, or none at all; the request may be carried out late.
    #[error("{0}")]
    Failed(String),
}

/// Client of the cloud.
pub struct CloudClient {
    pool: Pool,
    budget: Budget,
    /// When the first of the calls that wait for the budget began to.
    waiting: RefCell<BTreeSet<Instant>>,
}

impl CloudClient {
    /// For the cloud at `address`, `rps` requests per second.
    pub fn new(address: SocketAddr, rps: f64) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::new(address),
            budget: Budget::new(rps),
            waiting: RefCell::default(),
        })
    }

    /// How long a call has waited for its share, in seconds.
    pub fn wait_s(&self) -> f64 {
        let waiting = self.waiting.borrow();
        waiting.first().map_or(0.0, |t| t.elapsed().as_secs_f64())
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CloudError> {
        let since = Instant::now();
        self.waiting.borrow_mut().insert(since);
        let allowed = self.budget.wait(1.0, Duration::from_secs(5)).await;
        self.waiting.borrow_mut().remove(&since);
        if !allowed {
            return Err(CloudError::Failed("over this controller's share".into()));
        }
        let limits = Limits {
            connect: Duration::from_secs(2),
            answer: Duration::from_secs(6),
        };
        let answer = self
            .pool
            .call(method, path, body, limits)
            .await
            .map_err(|e| CloudError::Failed(e.to_string()))?;
        let text = || {
            String::from_utf8_lossy(&answer.body)
                .chars()
                .take(200)
                .collect::<String>()
        };
        match answer.status.as_u16() {
            200 => Ok(answer.body),
            503 if text().contains("no capacity") => Err(CloudError::NoCapacity),
            status => Err(CloudError::Failed(format!("status {status}: {}", text()))),
        }
    }

    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CloudError> {
        serde_json::from_slice(body)
            .map_err(|e| CloudError::Failed(format!("malformed answer: {e}")))
    }

    /// All machine types, at current prices.
    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self
            .call(Method::GET, "/machine_types", Bytes::new())
            .await?;
        let types: WireTypes = Self::read(&body)?;
        Ok(types.builds.into_iter().map(MachineType::from).collect())
    }

    /// All machines, as of some seconds ago.
    pub async fn list(&self) -> Result<Vec<Listed>, CloudError> {
        let mut all: Vec<Listed> = Vec::new();
        loop {
            let since = all
                .last()
                .map_or(String::new(), |m| format!("since={}&", m.uid));
            let path = format!("/rentals?{since}most=500");
            let body = self.call(Method::GET, &path, Bytes::new()).await?;
            let page: WireList = Self::read(&body)?;
            let more = page.truncated && !page.boxes.is_empty();
            all.extend(page.boxes);
            if !more {
                return Ok(all);
            }
        }
    }

    /// Rents machines.
    pub async fn rent(&self, rental: &Rental) -> Result<Vec<MachineId>, CloudError> {
        let body = serde_json::to_vec(rental).map_err(|e| CloudError::Failed(e.to_string()))?;
        let body = self.call(Method::POST, "/rentals", body.into()).await?;
        Ok(Self::read::<WireBoxes>(&body)?.boxes)
    }

    /// Gives machines back; once this succeeds, they and their tasks are gone.
    pub async fn delete(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let boxes = WireBoxes {
            boxes: machines.to_vec(),
        };
        let body = serde_json::to_vec(&boxes).map_err(|e| CloudError::Failed(e.to_string()))?;
        self.call(Method::POST, "/rentals/delete", body.into())
            .await
            .map(|_| ())
    }
}
