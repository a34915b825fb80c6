//! What operators ask of a controller: `GET /v1/topology`, `POST /v1/drains`
//! and `POST /v1/undrains`. Not part of PROTOCOL: paths that it does not name,
//! answered 404 unless the feature is on.

use std::collections::BTreeMap;

use garde::Validate;
use serde::{Deserialize, Serialize};

use crate::invalid::InvalidField;
use crate::types::MachineId;

fn one() -> u32 {
    1
}

fn default_deadline_s() -> f64 {
    600.0
}

/// The body of `POST /v1/drains`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DrainAsked {
    /// A domain's path, or a machine's name.
    #[garde(length(bytes, min = 1, max = 200))]
    pub target: String,
    /// Seconds until nothing is waited for any more.
    #[serde(default = "default_deadline_s")]
    #[garde(range(min = 0.0, max = 604_800.0))]
    pub deadline_s: f64,
    /// The most replicas of a job away at a time.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1_000))]
    pub away: u32,
    /// Empty machines stay rented.
    #[serde(default)]
    #[garde(skip)]
    pub keep: bool,
}

impl DrainAsked {
    /// Whether all values are within their ranges.
    ///
    /// # Errors
    ///
    /// The first field that is out of range, by its path.
    pub fn check(&self) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, "drain"))
    }
}

/// Which drain, in the body of `POST /v1/undrains`: `{"target": ...}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Target {
    /// By its number.
    Number(u64),
    /// By what drains.
    Text(String),
}

/// The body of `POST /v1/undrains`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UndrainAsked {
    /// Which.
    pub target: Target,
}

/// Units of a kind in a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeviceShown {
    /// Units.
    pub units: u32,
    /// Of these, how many are out of order.
    pub broken: u32,
    /// To how many tasks one that is in order could be assigned.
    pub slots: u32,
    /// To how many one is assigned.
    pub held: u32,
}

/// A domain and the machines whose place it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainShown {
    /// Path; empty for machines of which nothing is known.
    pub domain: String,
    /// Its level.
    pub level: String,
    /// Machines.
    pub machines: u32,
    /// That may get tasks.
    pub usable: u32,
    /// That are drained.
    pub draining: u32,
    /// Tasks there.
    pub tasks: u32,
    /// Devices by kind.
    #[serde(default)]
    pub devices: BTreeMap<String, DeviceShown>,
}

/// A drain and how far it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainShown {
    /// Number.
    pub number: u64,
    /// What drains.
    pub target: String,
    /// Seconds until nothing is waited for any more.
    pub left_s: f64,
    /// The most replicas of a job away at a time.
    pub away: u32,
    /// Empty machines stay rented.
    pub keep: bool,
    /// Machines that it covers.
    pub machines: u32,
    /// Of these, how many are empty.
    pub empty: u32,
    /// Tasks still there.
    pub tasks: u32,
    /// Of these, how many are being stopped.
    pub stopping: u32,
    /// Nothing is left there.
    pub done: bool,
}

/// The answer of `GET /v1/topology`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TopologyShown {
    /// Levels, outermost first.
    pub levels: Vec<String>,
    /// Domains.
    pub domains: Vec<DomainShown>,
    /// Machines whose innermost domain is not known.
    pub unplaced: Vec<MachineId>,
    /// Drains.
    pub drains: Vec<DrainShown>,
}

/// One team in one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamShown {
    /// Its name.
    pub team: String,
    /// CPUs of its limit that are this shard's part.
    pub part_cpus: f64,
    /// CPUs used; none: the shard's owner has not reported lately.
    pub used_cpus: Option<f64>,
    /// CPUs that wait to be placed; likewise.
    pub waiting_cpus: Option<f64>,
}

/// One shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardShown {
    /// Its number.
    #[serde(rename = "block")]
    pub shard: u32,
    /// Its owner, as recorded.
    pub owner: Option<String>,
    /// Whether that lives.
    pub alive: bool,
    /// Its grant's number.
    pub grant: u64,
    /// To whom it is offered.
    pub to: Option<String>,
    /// The controller that an operator pinned it to.
    pub pin: Option<String>,
    /// Machines, up and on their way; none: its owner has not reported lately.
    pub machines: Option<u32>,
    /// Why its owner has it.
    pub why: String,
    /// Teams.
    pub teams: Vec<TeamShown>,
}

/// The answer of `GET /v1/blocks`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardsShown {
    /// Who leads.
    pub leader: Option<String>,
    /// All shards.
    #[serde(rename = "blocks")]
    pub shards: Vec<ShardShown>,
}

/// The body of `POST /v1/blocks`: pins a shard, or takes its pin off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PinAsked {
    /// Which.
    #[garde(range(max = 1_000))]
    // By its name on the wire, which the texts of refusals quote.
    pub block: u32,
    /// To which controller; none: to none.
    #[serde(default)]
    #[garde(inner(length(bytes, min = 1, max = 200)))]
    pub to: Option<String>,
}

impl PinAsked {
    /// Whether all values are within their ranges.
    ///
    /// # Errors
    ///
    /// The first field that is out of range, by its path.
    pub fn check(&self) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, "blocks"))
    }
}
