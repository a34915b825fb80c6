//! The cloud's interface (PROTOCOL, "Controller nodes -> cloud").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::types::{Amount, MachineId, MachineType, TypeName, Zone};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireType {
    /// Name.
    pub label: String,
    /// CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub cards: f64,
    /// Memory.
    #[serde(default)]
    pub ram_gb: f64,
    /// Room for cached images.
    #[serde(default)]
    pub cache_gb: f64,
    /// How fast images arrive.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price an hour.
    #[serde(default)]
    pub rate: f64,
    /// Price an hour of a spot machine; none are to be had if absent.
    pub market_price: Option<f64>,
    /// Usual time until its worker heartbeats.
    #[serde(default)]
    pub startup_s: f64,
    /// Zones.
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

/// The answer of `GET /machine_types`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypeList {
    /// Types.
    #[serde(rename = "builds")]
    pub types: Vec<WireType>,
}

/// A listed machine's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name.
    #[serde(rename = "uid")]
    pub id: MachineId,
    /// Its worker's address.
    pub addr: Option<SocketAddr>,
    /// Type.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Phase.
    pub phase: MachinePhase,
    /// Age since its rental.
    #[serde(default)]
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// The answer of `GET /rentals`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineListPage {
    /// Machines in the order of their names.
    #[serde(rename = "boxes")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
}

/// The answer of `POST /rentals`, and the request of `POST /rentals/delete`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machines.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// A request for machines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Rental {
    /// Unique name, never used twice.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Type.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many, at most 50.
    #[serde(rename = "number")]
    pub count: u32,
}
