//! Teams: their quotas, and what they use.

use std::sync::Arc;

use crate::types::Amount;

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
