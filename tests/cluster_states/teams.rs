//! Teams that have used nothing yet.

use std::sync::Arc;

use sorrelhinge::scheduler::Team;
use sorrelhinge::types::Amount;

/// A team with its guarantee and its limit, in CPUs.
pub(super) fn team(name: &str, guarantee: f64, limit: f64) -> Team {
    Team {
        name: Arc::from(name),
        guarantee: Amount::new(guarantee, 0.0, 0.0),
        limit: Amount::new(limit, 0.0, 0.0),
        used: Amount::default(),
        held_back: Amount::default(),
    }
}
