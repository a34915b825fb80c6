//! Teams, their quotas and their usage.

use std::sync::Arc;

use crate::types::Amount;

/// The quota of a team in this shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimits {
    /// This shard's slice of the team's limit.
    pub limit: Amount,
    /// This shard's slice of the team's guarantee.
    pub guarantee: Amount,
}

/// A team with its quota and usage in this shard.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// This shard's slice of the team's guarantee.
    pub guarantee: Amount,
    /// This shard's slice of the team's limit.
    pub limit: Amount,
    /// Sum of all claims of the team's jobs.
    pub used: Amount,
    /// Part of the limit that is held back for jobs whose users wait for the start.
    pub held_back: Amount,
}

impl Team {
    /// Returns the current quota of the team.
    pub fn limits(&self) -> TeamLimits {
        TeamLimits {
            limit: self.limit,
            guarantee: self.guarantee,
        }
    }
}
