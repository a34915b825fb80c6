//! Client of the cloud's interface: machine types, the list of machines, and requests to rent
//! and delete machines (PROTOCOL, "Controller nodes -> cloud"). One budget paces all
//! requests.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http::{CallError, Limits, Pool};
use crate::state::Budget;
use crate::types::{MachineId, MachineType};
pub use sorrelhinge_protocol::cloud::{ListedMachine, MachinePhase, Rental};
use sorrelhinge_protocol::cloud::{MachineListPage, MachineNames, MachineTypeList};

/// Reason why the cloud gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// No machine of this type, zone and kind is available.
    #[error("no capacity")]
    NoCapacity,
    /// The cloud refused the request for another reason or did not answer. The request may
    /// still be carried out late.
    #[error(transparent)]
    Failed(#[from] CloudFailure),
}

/// Reason why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudFailure {
    /// The request was not sent because this controller's share of the requests is used up.
    #[error("over this controller's share")]
    OverBudget,
    /// The request was not sent because it cannot be encoded as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// There was no answer. The cause tells whether the request was sent.
    #[error(transparent)]
    NoAnswer(CallError),
    /// The cloud refused the request.
    #[error("status {status}: {text}")]
    Status {
        /// HTTP status of the answer.
        status: u16,
        /// First characters of the answer's body.
        text: String,
    },
    /// The answer cannot be decoded.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Maximum number of characters of an answer's body that an error keeps.
const MAX_REPLY_CHARS: usize = 200;
/// Maximum time that a request waits for the budget.
const BUDGET_WAIT: Duration = Duration::from_secs(5);
/// Time limits of one request.
const LIMITS: Limits = Limits {
    connect: Duration::from_secs(2),
    answer: Duration::from_secs(6),
};

/// Client of the cloud.
pub struct CloudClient {
    pool: Pool,
    budget: Budget,
    /// Start times of the calls that wait for the budget.
    waiting_since: RefCell<BTreeSet<Instant>>,
}

impl CloudClient {
    /// Returns a client of the cloud at `address` that sends up to `rps` requests per second.
    pub fn new(address: SocketAddr, rps: f64) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::new(address),
            budget: Budget::new(rps),
            waiting_since: RefCell::default(),
        })
    }

    /// Returns how long the oldest call that waits for the budget has waited, in seconds.
    pub fn wait_s(&self) -> f64 {
        let waiting = self.waiting_since.borrow();
        waiting.first().map_or(0.0, |t| t.elapsed().as_secs_f64())
    }

    /// Sends one request once this controller's share allows it.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CloudError> {
        self.take_request().await?;
        let answer = self.pool.call(method, path, body, LIMITS).await;
        let answer = answer.map_err(CloudFailure::NoAnswer)?;
        let text = || {
            let text = String::from_utf8_lossy(&answer.body);
            text.chars().take(MAX_REPLY_CHARS).collect::<String>()
        };
        match answer.status.as_u16() {
            200 => Ok(answer.body),
            503 if text().contains("no capacity") => Err(CloudError::NoCapacity),
            status => {
                let text = text();
                Err(CloudFailure::Status { status, text }.into())
            }
        }
    }

    /// Waits until the budget allows one request. Meanwhile [`CloudClient::wait_s`] includes
    /// this wait.
    async fn take_request(&self) -> Result<(), CloudFailure> {
        let since = Instant::now();
        self.waiting_since.borrow_mut().insert(since);
        let allowed = self.budget.wait(1.0, BUDGET_WAIT).await;
        self.waiting_since.borrow_mut().remove(&since);
        if allowed {
            Ok(())
        } else {
            Err(CloudFailure::OverBudget)
        }
    }

    /// Sends one POST request with a JSON body.
    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Bytes, CloudError> {
        let body = serde_json::to_vec(body).map_err(CloudFailure::Encode)?;
        self.call(Method::POST, path, body.into()).await
    }

    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CloudError> {
        Ok(serde_json::from_slice(body).map_err(CloudFailure::Malformed)?)
    }

    /// Returns all machine types at current prices.
    ///
    /// # Errors
    ///
    /// The cloud did not answer, refused, or its answer cannot be decoded.
    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self
            .call(Method::GET, "/machine_types", Bytes::new())
            .await?;
        let types: MachineTypeList = Self::read(&body)?;
        Ok(types.types.into_iter().map(MachineType::from).collect())
    }

    /// Returns all machines, as they were some seconds ago.
    ///
    /// # Errors
    ///
    /// The cloud did not answer, refused, or its answer cannot be decoded.
    pub async fn list(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut all: Vec<ListedMachine> = Vec::new();
        loop {
            let since = all
                .last()
                .map_or(String::new(), |m| format!("since={}&", m.id));
            let path = format!("/rentals?{since}most=500");
            let body = self.call(Method::GET, &path, Bytes::new()).await?;
            let page: MachineListPage = Self::read(&body)?;
            let more = page.truncated && !page.machines.is_empty();
            all.extend(page.machines);
            if !more {
                return Ok(all);
            }
        }
    }

    /// Rents machines. Returns the names of the rented machines, which may be fewer than
    /// requested.
    ///
    /// # Errors
    ///
    /// The cloud has no such machines, refused, or did not answer. In the last case it may
    /// have rented some.
    pub async fn rent(&self, rental: &Rental) -> Result<Vec<MachineId>, CloudError> {
        let body = self.post("/rentals", rental).await?;
        Ok(Self::read::<MachineNames>(&body)?.machines)
    }

    /// Deletes machines. After success the machines and their tasks no longer exist.
    ///
    /// # Errors
    ///
    /// The cloud refused or did not answer. The state of the machines is then unknown.
    pub async fn delete(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let machines = MachineNames {
            machines: machines.to_vec(),
        };
        self.post("/rentals/delete", &machines).await.map(|_| ())
    }
}
