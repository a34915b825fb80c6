//! The cloud's interface.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::http::{Limits, Pool};
use crate::state::Budget;
use crate::types::{Amount, MachineId, MachineType, TypeName, Zone};

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

#[derive(Deserialize)]
struct WireType {
    label: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cards: f64,
    #[serde(default)]
    ram_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    pull_gb_per_s: f64,
    #[serde(default)]
    rate: f64,
    market_price: Option<f64>,
    #[serde(default)]
    startup_s: f64,
    #[serde(default)]
    racks: Vec<String>,
}

#[derive(Deserialize)]
struct WireTypes {
    builds: Vec<WireType>,
}

/// A listed machine's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// Not up yet, as far as the list knows.
    Booting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// Something this version does not know.
    #[serde(other)]
    Other,
}

/// A machine in the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Listed {
    /// Name.
    pub uid: MachineId,
    /// Its worker's address.
    pub addr: Option<SocketAddr>,
    /// Type.
    pub build: TypeName,
    /// Zone.
    pub rack: Zone,
    /// Spot machine.
    #[serde(default)]
    pub loaners: bool,
    /// Phase.
    pub phase: MachinePhase,
    /// Age since its rental.
    #[serde(default)]
    pub held_s: f64,
}

#[derive(Deserialize)]
struct WireList {
    boxes: Vec<Listed>,
    #[serde(default)]
    truncated: bool,
}

#[derive(Deserialize)]
struct WireRented {
    boxes: Vec<MachineId>,
}

/// A request for machines.
#[derive(Clone, Debug, Serialize, PartialEq, Eq)]
pub struct Rental {
    /// Unique name, never used twice.
    pub hire: String,
    /// Type.
    pub build: TypeName,
    /// Zone.
    pub rack: Zone,
    /// Spot machines.
    pub loaners: bool,
    /// How many, at most 50.
    pub number: u32,
}

/// Client of the cloud.
pub struct CloudClient {
    pool: Pool,
    budget: Budget,
}

impl CloudClient {
    /// For the cloud at `address`, `rps` requests per second.
    pub fn new(address: SocketAddr, rps: f64) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::new(address),
            budget: Budget::new(rps),
        })
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, CloudError> {
        if !self.budget.wait(1.0, Duration::from_secs(5)).await {
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
        Ok(types
            .builds
            .into_iter()
            .map(|t| MachineType {
                name: TypeName::from(t.label.as_str()),
                total: Amount::new(t.cpus, t.cards, t.ram_gb),
                cache_gb: t.cache_gb,
                fetch_gb_per_s: t.pull_gb_per_s,
                price: t.rate,
                spot_price: t.market_price.unwrap_or(f64::INFINITY),
                boot_s: t.startup_s,
                zones: t.racks.iter().map(|z| Zone::from(z.as_str())).collect(),
            })
            .collect())
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
        Ok(Self::read::<WireRented>(&body)?.boxes)
    }

    /// Gives machines back; once this succeeds, they and their tasks are gone.
    pub async fn delete(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let body = serde_json::json!({ "boxes": machines }).to_string();
        self.call(Method::POST, "/rentals/delete", body.into())
            .await
            .map(|_| ())
    }
}
