//! Choice of a machine's source: the best one with a free slot, and alternatives to it.

use super::node::{Node, State, Up};
use super::{Rollout, Source, Uploads, LAST_STAGE};
use crate::locality::{Domain, Rank, Seat, ALL};

/// Number of machines that may fetch at once in the first stage.
const FIRST_STAGE_MACHINES: u32 = 12;

/// Factor by which each stage has more machines than the stage before.
const STAGE_GROWTH_FACTOR: u32 = 4;

/// Number of sources of a domain that are examined before a wider domain is.
const MAX_SOURCES_LOOKED_AT: usize = 16;

/// Number of machines by which a nearer source may be further from a complete copy than the
/// best source of the zone. Without this limit, the chain of one rack would grow without
/// end.
const MAX_EXTRA_DEPTH: u32 = 64;

/// Number of other machines with the complete image that are named as alternatives.
const MAX_OTHER_SOURCES: usize = 2;

impl Rollout {
    /// Returns whether the origin refused a request so recently that no request may be sent
    /// to it.
    pub(super) fn refused(&self, now: f64) -> bool {
        now < self.refused_until
    }

    /// Returns the number of machines that may fetch at once.
    pub(super) fn allowed(&self) -> u32 {
        let stage = FIRST_STAGE_MACHINES * STAGE_GROWTH_FACTOR.pow(self.stage.min(LAST_STAGE));
        stage.max(self.complete)
    }

    /// Returns the number of machines in a zone that had their copies from outside the
    /// zone.
    pub(super) fn heads_of(&self, zone: Domain) -> u32 {
        self.heads.get(&zone).copied().unwrap_or(0)
    }

    /// Returns the sources that a machine's start named, or the origin if none of them is
    /// left.
    pub(super) fn named(&self, node: &Node) -> Vec<Source> {
        let named = node.from.iter().filter_map(|s| self.nodes.get(s));
        let named: Vec<Source> = named.map(|n| Source::Machine(n.id.clone())).collect();
        if named.is_empty() {
            return vec![Source::Origin];
        }
        named
    }

    /// Returns the best source for a machine, or `None` if the machine has to wait.
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
        // A machine that shares a source gets half of the source's rate. This is better
        // than to wait for minutes, and better than another copy from outside.
        let max = self.limits.slots.saturating_sub(1);
        let shared = self.free(zone, max, uploads);
        let other = || self.free(ALL, max, uploads);
        if let Some(r) = shared.or_else(other) {
            return Some(Up::From(r.seat));
        }
        // Without this rule, machines that need the image would wait forever if no machine
        // is a source any more, for example because all are too slow. If all sources are
        // full, a machine waits instead, because the machines that take from them become
        // sources next.
        (origin && self.hand_on == 0).then_some(Up::Origin)
    }

    /// Returns the best source of a domain that has at most `max` uploads, including
    /// uploads of other images.
    fn free(&self, domain: Domain, max: u32, uploads: &Uploads) -> Option<Rank> {
        let few = self.locality.of(domain).take(MAX_SOURCES_LOOKED_AT);
        few.take_while(|r| r.load <= max).find(|r| {
            let all = self.nodes.get(&r.seat).map(|n| uploads.of(&n.id));
            all.is_some_and(|all| all <= max)
        })
    }

    /// Returns a source and the alternatives to it: the machines before it in its chain, or
    /// other machines of the zone with the complete image. All of them started earlier than
    /// the machine that asks.
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
