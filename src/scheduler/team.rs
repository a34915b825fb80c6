//! Teams: their quotas, and what they use.

use std::sync::Arc;

use crate::types::Amount;

/// What a team may use in this shard, and what of it is guaranteed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimits {
    /// This shard's slice of the team's limit.
    pub limit: Amount,
    /// The same part of its guarantee.
    pub guarantee: Amount,
}

/// A team and what it uses.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: Arc<str>,
    /// Guaranteed amount.
    pub guarantee: Amount,
    /// This shard's slice of the team's limit.
    pub limit: Amount,
    /// Sum of all its claims.
    pub used: Amount,
    /// Part of the limit that is left to jobs whose users wait for the start.
    pub held_back: Amount,
}

impl Team {
    /// Its limits now.
    pub fn limits(&self) -> TeamLimits {
        TeamLimits {
            limit: self.limit,
            guarantee: self.guarantee,
        }
    }
}
