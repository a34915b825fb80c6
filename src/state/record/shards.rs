//! Into how many shards the machines are divided, who owns each, and each one's part of
//! the teams' limits.

use serde::{Deserialize, Serialize, Serializer};

use crate::types::{Amount, NodeId, Term};

/// How many shards there are. Which one a machine belongs to follows from its
/// name ([`sorrelhinge_sharding::shard`]).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardMapRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// How many; 1: the one that `h/grant` grants.
    #[serde(rename = "blocks")]
    pub shards: u32,
}

impl ShardMapRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
}

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// To whom it is granted.
    pub owner: NodeId,
    /// That controller's process: one that was restarted owns nothing.
    pub run: u64,
    /// By the leader of this term.
    pub term: Term,
    /// Rises with each grant of any shard; fencing tokens are made from it.
    pub number: u64,
    /// To whom it is offered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<NodeId>,
    /// The controller that an operator pinned it to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<NodeId>,
}

impl ShardRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
}

/// A shard's part of the teams' limits, in thousandths of CPUs and GPUs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Each team's part.
    #[serde(rename = "t")]
    pub teams: Vec<TeamPart>,
}

/// A team's part of its limit. Stored as an array of its fields in their order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, i64, i64)")]
pub struct TeamPart {
    /// The team's name.
    pub team: String,
    /// Thousandths of a CPU.
    pub cpu: i64,
    /// Thousandths of a GPU.
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
    /// The format that this version writes.
    pub const VERSION: u32 = 1;

    /// Of these parts.
    pub fn new(parts: impl Iterator<Item = (String, Amount)>) -> Self {
        Self {
            version: Self::VERSION,
            teams: parts
                .map(|(team, a)| TeamPart::from((team, a.cpu, a.gpu)))
                .collect(),
        }
    }

    /// A team's part; none recorded: nothing.
    pub fn of(&self, team: &str) -> Amount {
        let found = self.teams.iter().find(|part| part.team == team);
        found.map_or(Amount::default(), |part| Amount {
            cpu: part.cpu,
            gpu: part.gpu,
            ram: 0,
        })
    }
}
