//! Who leads, and to whom the leader granted the machines while they are one shard.

use serde::{Deserialize, Serialize};

use crate::types::{NodeId, Term};

/// The present leader; the key goes away with the leader's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Who.
    pub node: NodeId,
    /// Its process: a restarted controller is not the leader that it was.
    pub run: u64,
    /// Rises with each leader.
    pub term: Term,
}

/// The shard of machines, granted to one controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// To whom.
    pub owner: Option<NodeId>,
    /// By the leader of this term.
    pub term: Term,
    /// Rises with each grant; fencing tokens are made from it.
    pub number: u64,
}

/// The value of `h/grant` while there are several shards. A version that knows one
/// only can't read it, so it never takes all machines for its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardedGrantFence {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// See `h/map`.
    #[serde(rename = "blocks")]
    pub shards: u32,
}
