//! Messages between operators and a controller, for requests such as `GET /v1/topology`,
//! `POST /v1/drains` and `POST /v1/undrains`.
//!
//! PROTOCOL does not name these paths. A controller answers them with 404 unless the
//! feature is on.

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

/// Body of `POST /v1/drains`, which starts a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DrainAsked {
    /// Path of the domain or name of the machine to drain.
    #[garde(length(bytes, min = 1, max = 200))]
    pub target: String,
    /// Time in seconds from the request until the drain stops all remaining tasks.
    #[serde(default = "default_deadline_s")]
    #[garde(range(min = 0.0, max = 604_800.0))]
    pub deadline_s: f64,
    /// Maximum number of replicas of one job that the drain may have down at the same time.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1_000))]
    pub away: u32,
    /// Whether machines stay rented after the drain has emptied them.
    #[serde(default)]
    #[garde(skip)]
    pub keep: bool,
}

impl DrainAsked {
    /// Checks that all values of the drain request are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns the path of the first field that is out of range.
    pub fn check(&self) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, "drain"))
    }
}

/// Drain to end, as the body of `POST /v1/undrains` names it: `{"target": ...}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Target {
    /// The operator names the drain by its number.
    Number(u64),
    /// The drain of this domain or machine.
    Text(String),
}

/// Body of `POST /v1/undrains`, which ends a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UndrainAsked {
    /// Drain that the operator wants to end, by number or by target.
    pub target: Target,
}

/// Device units of one kind in a domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeviceShown {
    /// Number of device units in the domain.
    pub units: u32,
    /// Number of device units in the domain that are broken.
    pub broken: u32,
    /// Number of tasks to which units that are not broken could be assigned.
    pub slots: u32,
    /// Number of tasks to which a unit is assigned.
    pub held: u32,
}

/// Failure domain, with counts of the machines whose innermost known domain is this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainShown {
    /// Path of the failure domain, or an empty text for machines whose place is not known at
    /// all.
    pub domain: String,
    /// Name of the level that the domain belongs to, for example `rack`.
    pub level: String,
    /// Number of machines whose innermost known domain is this one.
    pub machines: u32,
    /// Number of machines in the domain that may get new tasks.
    pub usable: u32,
    /// Number of machines in the domain that are being drained.
    pub draining: u32,
    /// Number of tasks on the machines in the domain.
    pub tasks: u32,
    /// Device units in the domain, by kind.
    #[serde(default)]
    pub devices: BTreeMap<String, DeviceShown>,
}

/// Drain with its settings and its progress, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainShown {
    /// Number of the drain, by which operators can end it.
    pub number: u64,
    /// Path of the domain or name of the machine that is drained.
    pub target: String,
    /// Time in seconds until the drain stops all remaining tasks.
    pub left_s: f64,
    /// Maximum number of replicas of one job that the drain may have down at the same time.
    pub away: u32,
    /// Whether machines stay rented after the drain has emptied them.
    pub keep: bool,
    /// Number of machines that the drain covers.
    pub machines: u32,
    /// Number of machines covered by the drain that have no tasks.
    pub empty: u32,
    /// Number of tasks that are still on machines covered by the drain.
    pub tasks: u32,
    /// Number of tasks on machines covered by the drain that are being stopped.
    pub stopping: u32,
    /// Whether no task is left on the machines that the drain covers.
    pub done: bool,
}

/// Answer to `GET /v1/topology`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TopologyShown {
    /// Names of the levels of failure domains, outermost first.
    pub levels: Vec<String>,
    /// Failure domains and the machines in them.
    pub domains: Vec<DomainShown>,
    /// Machines whose innermost domain is not known.
    pub unplaced: Vec<MachineId>,
    /// All recorded drains with their progress.
    pub drains: Vec<DrainShown>,
}

/// Use of one shard by one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamShown {
    /// Name of the team that uses the shard.
    pub team: String,
    /// Part of the team's CPU limit that this shard has.
    pub part_cpus: f64,
    /// CPUs that the team uses in the shard. `None` means that the shard's owner has not
    /// reported lately.
    pub used_cpus: Option<f64>,
    /// CPUs of the team's tasks that wait to be placed in the shard. `None` means that the
    /// shard's owner has not reported lately.
    pub waiting_cpus: Option<f64>,
}

/// Shard, with its owner and its load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardShown {
    /// Number of the shard, which the wire calls a block.
    #[serde(rename = "block")]
    pub shard: u32,
    /// Controller that owns the shard, as recorded.
    pub owner: Option<String>,
    /// Whether the shard's owner is alive.
    pub alive: bool,
    /// Number of the shard's current grant.
    pub grant: u64,
    /// Controller to which the shard is offered.
    pub to: Option<String>,
    /// Controller to which an operator pinned the shard.
    pub pin: Option<String>,
    /// Number of machines of the shard, both running and starting. `None` means that the
    /// shard's owner has not reported lately.
    pub machines: Option<u32>,
    /// Reason why the owner has the shard.
    pub why: String,
    /// Use of the shard by each team.
    pub teams: Vec<TeamShown>,
}

/// Answer to `GET /v1/blocks`, with the leader and all shards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardsShown {
    /// Controller that is the leader.
    pub leader: Option<String>,
    /// All shards of the cluster, with their owners and loads.
    #[serde(rename = "blocks")]
    pub shards: Vec<ShardShown>,
}

/// Body of `POST /v1/blocks`, which pins a shard to a controller or removes its pin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PinAsked {
    /// Number of the shard to pin or unpin.
    #[garde(range(max = 1_000))]
    // The field has its name on the wire, because the texts of refused requests quote it.
    pub block: u32,
    /// Controller to which to pin the shard. `None` removes the pin.
    #[serde(default)]
    #[garde(inner(length(bytes, min = 1, max = 200)))]
    pub to: Option<String>,
}

impl PinAsked {
    /// Checks that all values of the pin request are within their ranges.
    ///
    /// # Errors
    ///
    /// Returns the path of the first field that is out of range.
    pub fn check(&self) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, "blocks"))
    }
}
