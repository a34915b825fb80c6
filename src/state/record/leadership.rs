//! Records of the leader, and of the owner of the machines while they are a single shard.

use serde::{Deserialize, Serialize};

use crate::types::{NodeId, Term};

/// Current leader. The store deletes the key when the leader's lease ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Controller that is the leader.
    pub node: NodeId,
    /// Identifier of the leader's process. A restarted controller is no longer the leader.
    pub run: u64,
    /// Term of the leader, which increases with each leader.
    pub term: Term,
}

/// Grant of all machines, as a single shard, to one controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Controller that owns the shard, if any.
    pub owner: Option<NodeId>,
    /// Term of the leader that made the grant.
    pub term: Term,
    /// Number that increases with each grant. Fencing tokens are derived from it.
    pub number: u64,
}

/// Value of `h/grant` while there are several shards. A version without sharding cannot read
/// it, so such a version never takes ownership of all machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardedGrantFence {
    /// Version of the record format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Number of shards, as in `h/map`.
    #[serde(rename = "blocks")]
    pub shards: u32,
}
