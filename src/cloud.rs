//! The cloud's interface: machine types, the list of machines, renting and giving back
//! (PROTOCOL, "Controller nodes -> cloud"). Requests are paced by one budget.

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

/// Why the cloud gave no answer of use.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// Nothing of this type, zone and kind is available.
    #[error("no capacity")]
    NoCapacity,
    /// Any other refusal, or none at all; the request may be carried out late.
    #[error(transparent)]
    Failed(#[from] CloudFailure),
}

/// Why a request to the cloud came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum CloudFailure {
    /// Not sent: this controller's share of the requests is used up.
    #[error("over this controller's share")]
    OverBudget,
    /// Not sent: the request can't be written as JSON.
    #[error(transparent)]
    Encode(serde_json::Error),
    /// There was no answer; whether it was sent, the cause says.
    #[error(transparent)]
    NoAnswer(CallError),
    /// The cloud refused.
    #[error("status {status}: {text}")]
    Status {
        /// HTTP status.
        status: u16,
        /// How the answer's body begins.
        text: String,
    },
    /// The answer can't be read.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Characters of an answer's body that an error keeps.
const MAX_REPLY_CHARS: usize = 200;
/// A request waits so long for its share.
const PATIENCE: Duration = Duration::from_secs(5);
/// For one request.
const LIMITS: Limits = Limits {
    connect: Duration::from_secs(2),
    answer: Duration::from_secs(6),
};

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

    /// Sends one request once this controller's share allows.
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

    /// Waits for one request's share. How long the first has waited so far can be asked for
    /// meanwhile.
    async fn take_request(&self) -> Result<(), CloudFailure> {
        let since = Instant::now();
        self.waiting.borrow_mut().insert(since);
        let allowed = self.budget.wait(1.0, PATIENCE).await;
        self.waiting.borrow_mut().remove(&since);
        if allowed {
            Ok(())
        } else {
            Err(CloudFailure::OverBudget)
        }
    }

    /// Sends one request with a body.
    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Bytes, CloudError> {
        let body = serde_json::to_vec(body).map_err(CloudFailure::Encode)?;
        self.call(Method::POST, path, body.into()).await
    }

    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CloudError> {
        Ok(serde_json::from_slice(body).map_err(CloudFailure::Malformed)?)
    }

    /// All machine types, at current prices.
    ///
    /// # Errors
    ///
    /// The cloud did not answer, refused, or answered what can't be read.
    pub async fn types(&self) -> Result<Vec<MachineType>, CloudError> {
        let body = self
            .call(Method::GET, "/machine_types", Bytes::new())
            .await?;
        let types: MachineTypeList = Self::read(&body)?;
        Ok(types.types.into_iter().map(MachineType::from).collect())
    }

    /// All machines, as of some seconds ago.
    ///
    /// # Errors
    ///
    /// The cloud did not answer, refused, or answered what can't be read.
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

    /// Rents machines; returns the names of those that it got, which may be fewer.
    ///
    /// # Errors
    ///
    /// The cloud has none, refused, or did not answer; then some may have been rented.
    pub async fn rent(&self, rental: &Rental) -> Result<Vec<MachineId>, CloudError> {
        let body = self.post("/rentals", rental).await?;
        Ok(Self::read::<MachineNames>(&body)?.machines)
    }

    /// Gives machines back; once this succeeds, they and their tasks are gone.
    ///
    /// # Errors
    ///
    /// The cloud refused or did not answer; then nothing is known of the machines.
    pub async fn delete(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let machines = MachineNames {
            machines: machines.to_vec(),
        };
        self.post("/rentals/delete", &machines).await.map(|_| ())
    }
}
