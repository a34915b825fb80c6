//! Whom a machine takes the image from: the best source that has a slot free, and
//! others to fall back to.

use super::node::{Node, State, Up};
use super::{Rollout, Source, Uploads, LAST_STAGE};
use crate::locality::{Domain, Rank, Seat, ALL};

/// Machines of the first stage.
const FIRST_STAGE_MACHINES: u32 = 12;

/// Each stage has so many times the machines of the one before.
const STAGE_GROWTH_FACTOR: u32 = 4;

/// So many sources of a domain are looked at before a wider one is.
const MAX_SOURCES_LOOKED_AT: usize = 16;

/// A nearer source may be so many machines further from the image than the best
/// of the zone: otherwise one rack's chain would grow without end.
const MAX_EXTRA_DEPTH: u32 = 64;

/// Other whole machines that are named as alternatives.
const MAX_OTHER_SOURCES: usize = 2;

impl Rollout {
    /// Whether the origin refused lately.
    pub(super) fn refused(&self, now: f64) -> bool {
        now < self.refused_until
    }

    /// Machines that may fetch at once.
    pub(super) fn allowed(&self) -> u32 {
        let stage = FIRST_STAGE_MACHINES * STAGE_GROWTH_FACTOR.pow(self.stage.min(LAST_STAGE));
        stage.max(self.complete)
    }

    /// Machines of a zone that had their copies from outside it.
    pub(super) fn heads_of(&self, zone: Domain) -> u32 {
        self.heads.get(&zone).copied().unwrap_or(0)
    }

    /// The sources that a start was sent; the origin if none is left.
    pub(super) fn named(&self, node: &Node) -> Vec<Source> {
        let named = node.from.iter().filter_map(|s| self.nodes.get(s));
        let named: Vec<Source> = named.map(|n| Source::Machine(n.id.clone())).collect();
        if named.is_empty() {
            return vec![Source::Origin];
        }
        named
    }

    /// The best source for a machine; none if it has to wait.
    pub(super) fn choose(&self, node: &Node, uploads: &Uploads, now: f64) -> Option<Up> {
        let zone = node.zone;
        let origin = uploads.origin < self.limits.origin && !self.refused(now);
        let head = origin && self.heads_of(zone) < self.limits.per_zone;
        if let Some(best) = self.free(zone, 0, uploads) {
            if head && best.depth >= self.limits.deep {
                return Some(Up::Origin);
            }
            let inner = self.locality.around(node.domain).filter(|d| *d != zone);
            let locality = inner
                .filter_map(|d| self.free(d, 0, uploads))
                .find(|r| r.depth <= best.depth + MAX_EXTRA_DEPTH);
            return Some(Up::From(locality.unwrap_or(best).seat));
        }
        if head {
            return Some(Up::Origin);
        }
        // Whoever shares a source gets half of its rate: better than to wait for
        // minutes, and than another copy from outside.
        let max = self.limits.slots.saturating_sub(1);
        let shared = self.free(zone, max, uploads);
        let other = || self.free(ALL, max, uploads);
        if let Some(r) = shared.or_else(other) {
            return Some(Up::From(r.seat));
        }
        // Nobody hands on any more, say as all are too slow: without this, who
        // wants the image would wait for ever. Full sources are waited for, as
        // who takes from them is a source next.
        (origin && self.hand_on == 0).then_some(Up::Origin)
    }

    /// The best source of a domain with at most `max` uploads, those of other
    /// images counted.
    fn free(&self, domain: Domain, max: u32, uploads: &Uploads) -> Option<Rank> {
        let few = self.locality.of(domain).take(MAX_SOURCES_LOOKED_AT);
        few.take_while(|r| r.load <= max).find(|r| {
            let all = self.nodes.get(&r.seat).map(|n| uploads.of(&n.id));
            all.is_some_and(|all| all <= max)
        })
    }

    /// A source and what follows it: those before it in its chain, or other whole
    /// machines of the zone. All were started earlier than who asks.
    pub(super) fn alternatives(&self, zone: Domain, source: Seat) -> Vec<Seat> {
        let mut from = vec![source];
        let Some(node) = self.nodes.get(&source) else {
            return from;
        };
        let alive = |s: &&Seat| self.nodes.get(s).is_some_and(|n| !n.slow);
        from.extend(node.from.iter().filter(alive));
        from.truncate(self.limits.sources);
        if node.up != Up::Origin && from.len() < self.limits.sources {
            let complete = self
                .locality
                .of(zone)
                .take(MAX_SOURCES_LOOKED_AT)
                .map(|r| r.seat);
            let complete = complete.filter(|s| {
                self.nodes
                    .get(s)
                    .is_some_and(|n| n.state == State::Complete)
            });
            let more: Vec<Seat> = complete
                .filter(|s| !from.contains(s))
                .take(MAX_OTHER_SOURCES)
                .collect();
            from.extend(more);
            from.truncate(self.limits.sources);
        }
        from
    }
}
