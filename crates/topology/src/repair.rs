//! Which domains can be trusted again, and the pace of moving back.

use std::collections::HashMap;

use sorrelhinge_protocol::types::Time;

use crate::tree::{Domain, Level, Tree, ROOT};

/// Domains that lost a machine of late. A switch that flaps is lost again and
/// again, and nothing is moved back behind it until it has been quiet.
#[derive(Clone, Debug, Default)]
pub struct Stability {
    lost: HashMap<Domain, Time>,
}

impl Stability {
    /// A machine at this place fell silent or went by itself. Each domain
    /// around it below the zone counts as lost: a switch that fails takes
    /// several machines, and which failed can't be told from one.
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

    /// Whether no domain around a place lost a machine for `settle_s` seconds.
    pub fn trusted(&self, tree: &Tree, place: Domain, settle_s: f64, now: Time) -> bool {
        let Some(depth) = tree.level_of(place) else {
            return false;
        };
        below_zone(depth)
            .filter_map(|level| tree.at(place, level))
            .all(|d| self.lost.get(&d).is_none_or(|t| now.since(*t) >= settle_s))
    }

    /// Forgets what is long over.
    pub fn tidy(&mut self, settle_s: f64, now: Time) {
        self.lost
            .retain(|domain, t| *domain != ROOT && now.since(*t) < settle_s);
    }
}

/// The levels below the zone's down to `innermost`, the outermost first.
fn below_zone(innermost: Level) -> impl Iterator<Item = Level> {
    let Level(innermost) = innermost;
    (1..=innermost).map(Level)
}

/// Whether it is time for the next move.
pub fn due(last: Option<Time>, every_s: f64, now: Time) -> bool {
    last.is_none_or(|t| now.since(t) >= every_s)
}
