//! Stability of failure domains, and the pace at which tasks are moved back into them.

use std::collections::HashMap;

use sorrelhinge_protocol::types::Time;

use crate::tree::{Domain, Level, Tree, ROOT};

/// Domains that recently lost a machine.
///
/// A flapping switch fails again and again. No task is moved back behind such a switch
/// until it has been stable for a while.
#[derive(Clone, Debug, Default)]
pub struct Stability {
    lost: HashMap<Domain, Time>,
}

impl Stability {
    /// Records that a machine at this place stopped sending heartbeats or disappeared without a
    /// command.
    ///
    /// Each domain below the zone that contains the machine counts as unstable. A failed switch
    /// takes down several machines, and one lost machine does not show which domain failed.
    pub fn lost(&mut self, tree: &Tree, place: Domain, now: Time) {
        let Some(depth) = tree.level_of(place) else {
            return;
        };
        for level in below_zone(depth) {
            if let Some(domain) = tree.at(place, level) {
                self.lost.insert(domain, now);
            }
        }
    }

    /// Returns whether no domain around a place lost a machine in the last `settle_s` seconds.
    pub fn trusted(&self, tree: &Tree, place: Domain, settle_s: f64, now: Time) -> bool {
        let Some(depth) = tree.level_of(place) else {
            return false;
        };
        below_zone(depth)
            .filter_map(|level| tree.at(place, level))
            .all(|d| self.lost.get(&d).is_none_or(|t| now.since(*t) >= settle_s))
    }

    /// Removes losses that are at least `settle_s` seconds old.
    pub fn tidy(&mut self, settle_s: f64, now: Time) {
        self.lost
            .retain(|domain, t| *domain != ROOT && now.since(*t) < settle_s);
    }
}

/// Returns the levels below the zone level down to `innermost`, outermost first.
fn below_zone(innermost: Level) -> impl Iterator<Item = Level> {
    let Level(innermost) = innermost;
    (1..=innermost).map(Level)
}

/// Returns whether at least `every_s` seconds have passed since the last move, or no move
/// was made yet.
pub fn due(last: Option<Time>, every_s: f64, now: Time) -> bool {
    last.is_none_or(|t| now.since(t) >= every_s)
}
