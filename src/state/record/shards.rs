//! Records of the number of shards, the owner of each shard, and each shard's part of the
//! team limits.

use serde::{Deserialize, Serialize, Serializer};

use crate::types::{Amount, NodeId, Term};

/// Number of shards. The name of a machine determines its shard
/// ([`sorrelhinge_sharding::shard`]).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardMapRecord {
    /// Version of the record format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Number of shards. With 1, `h/grant` grants the only shard.
    #[serde(rename = "blocks")]
    pub shards: u32,
}

impl ShardMapRecord {
    /// Format that this version writes.
    pub const VERSION: u32 = 1;
}

/// Owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Version of the record format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Controller that the shard is granted to.
    pub owner: NodeId,
    /// Identifier of the owner's process. A restarted controller owns nothing.
    pub run: u64,
    /// Term of the leader that made the grant.
    pub term: Term,
    /// Number that increases with each grant of any shard. Fencing tokens are derived from
    /// it.
    pub number: u64,
    /// Controller that the shard is offered to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<NodeId>,
    /// Controller that an operator pinned the shard to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<NodeId>,
}

impl ShardRecord {
    /// Format that this version writes.
    pub const VERSION: u32 = 1;
}

/// Part of the team limits that a shard has, in thousandths of CPUs and GPUs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Version of the record format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Part of each team's limit.
    #[serde(rename = "t")]
    pub teams: Vec<TeamPart>,
}

/// Part of one team's limit. The record stores it as an array of its fields in declaration
/// order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, i64, i64)")]
pub struct TeamPart {
    /// Name of the team.
    pub team: String,
    /// CPUs in thousandths.
    pub cpu: i64,
    /// GPUs in thousandths.
    pub gpu: i64,
}

impl From<(String, i64, i64)> for TeamPart {
    fn from((team, cpu, gpu): (String, i64, i64)) -> Self {
        Self { team, cpu, gpu }
    }
}

impl Serialize for TeamPart {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.team, self.cpu, self.gpu).serialize(serializer)
    }
}

impl SliceRecord {
    /// Format that this version writes.
    pub const VERSION: u32 = 1;

    /// Returns a record of these parts, each with the name of its team.
    pub fn new(parts: impl Iterator<Item = (String, Amount)>) -> Self {
        Self {
            version: Self::VERSION,
            teams: parts
                .map(|(team, a)| TeamPart::from((team, a.cpu, a.gpu)))
                .collect(),
        }
    }

    /// Returns a team's part, which is zero if none is recorded.
    pub fn of(&self, team: &str) -> Amount {
        let found = self.teams.iter().find(|part| part.team == team);
        found.map_or(Amount::default(), |part| Amount {
            cpu: part.cpu,
            gpu: part.gpu,
            ram: 0,
        })
    }
}
