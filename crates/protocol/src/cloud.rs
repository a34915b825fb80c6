//! Messages between controllers and the cloud (PROTOCOL, "Controller nodes -> cloud").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::types::{Amount, MachineId, MachineType, TypeName, Zone};

/// Machine type in the cloud's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireType {
    /// Name of the machine type in the cloud.
    pub label: String,
    /// Number of CPUs of a machine.
    #[serde(default)]
    pub cpus: f64,
    /// Number of GPUs of a machine.
    #[serde(default)]
    pub cards: f64,
    /// Memory of a machine of this type, in GB.
    #[serde(default)]
    pub ram_gb: f64,
    /// Disk space of a machine for cached images, in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(default)]
    pub rate: f64,
    /// Price of a spot machine per hour. `None` means that the cloud offers no spot machines of
    /// this type.
    pub market_price: Option<f64>,
    /// Usual time in seconds from the rental of a machine until the first heartbeat of its
    /// worker.
    #[serde(default)]
    pub startup_s: f64,
    /// Zones in which the cloud offers this type.
    #[serde(default)]
    pub racks: Vec<String>,
}

impl From<WireType> for MachineType {
    fn from(t: WireType) -> Self {
        Self {
            name: TypeName::from(t.label.as_str()),
            total: Amount::new(t.cpus, t.cards, t.ram_gb),
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.pull_gb_per_s,
            price: t.rate,
            spot_price: t.market_price.unwrap_or(f64::INFINITY),
            boot_s: t.startup_s,
            zones: t.racks.iter().map(|z| Zone::from(z.as_str())).collect(),
        }
    }
}

/// Answer of the cloud to `GET /machine_types`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// All machine types that the cloud offers.
    #[serde(rename = "builds")]
    pub types: Vec<WireType>,
}

/// Phase of a rented machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// The machine has not booted yet, according to the list.
    Booting,
    /// The machine is up, according to the list.
    Running,
    /// The machine stopped without a command.
    Failed,
    /// The machine is in a phase that this version does not know.
    #[serde(other)]
    Other,
}

/// Rented machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine, given by the cloud.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Address of the machine's worker.
    pub addr: Option<SocketAddr>,
    /// Type of the rented machine.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone in which the cloud rented out the machine.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Phase of the rented machine, according to the cloud.
    pub phase: MachinePhase,
    /// Time since the machine was rented, in seconds.
    #[serde(default)]
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// Answer of the cloud to `GET /rentals`, with one page of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineListPage {
    /// Rented machines, sorted by name.
    #[serde(rename = "boxes")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow on the next page.
    #[serde(default)]
    pub truncated: bool,
}

/// Answer of the cloud to `POST /rentals`, and body of `POST /rentals/delete`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines that were rented or are to be deleted.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// Request to rent machines, the body of `POST /rentals`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Rental {
    /// Unique name of the request, which is never used twice.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Type of the machines to rent.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone in which to rent the machines.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines to rent, at most 50.
    #[serde(rename = "number")]
    pub count: u32,
}
