//! Choice of a machine's source: the best one with a free slot, and alternatives to it.

use super::node::{Node, State, Upstream};
use super::{Rollout, Source, Uploads, LAST_STAGE};
use crate::locality::{Domain, MemberId, Rank, ALL};

/// Number of machines that may fetch at once in the first stage.
const FIRST_STAGE_MACHINES: u32 = 12;

/// Factor by which each stage has more machines than the stage before.
const STAGE_GROWTH_FACTOR: u32 = 4;

/// Number of sources of a domain that are examined before a wider domain is.
const MAX_SOURCES_EXAMINED: usize = 16;

/// Number of machines by which a nearer source may be further from a complete copy than the
/// best source of the zone. Without this limit, the chain of one rack would grow without
/// end.
const MAX_EXTRA_DEPTH: u32 = 64;

/// Number of other machines with the complete image that are named as alternatives.
const MAX_OTHER_SOURCES: usize = 2;

impl Rollout {
    /// Returns whether the origin refused a request so recently that no request may be sent
    /// to it.
    pub(super) fn origin_refuses(&self, now: f64) -> bool {
        now < self.refused_until
    }

    /// Returns the number of machines that may fetch at once.
    pub(super) fn allowed(&self) -> u32 {
        let stage = FIRST_STAGE_MACHINES * STAGE_GROWTH_FACTOR.pow(self.stage.min(LAST_STAGE));
        stage.max(self.complete)
    }

    /// Returns the number of machines in a zone that had their copies from outside the
    /// zone.
    pub(super) fn seed_count(&self, zone: Domain) -> u32 {
        self.seeds_per_zone.get(&zone).copied().unwrap_or(0)
    }

    /// Returns the sources that a machine's start named, or the origin if none of them is
    /// left.
    pub(super) fn sent_sources(&self, node: &Node) -> Vec<Source> {
        let named = node.from.iter().filter_map(|s| self.nodes.get(s));
        let named: Vec<Source> = named.map(|n| Source::Machine(n.id.clone())).collect();
        if named.is_empty() {
            return vec![Source::Origin];
        }
        named
    }

    /// Returns the best source for a machine, or `None` if the machine has to wait.
    pub(super) fn choose(&self, node: &Node, uploads: &Uploads, now: f64) -> Option<Upstream> {
        let zone = node.zone;
        let origin_available = uploads.origin < self.limits.origin && !self.origin_refuses(now);
        let may_seed = origin_available && self.seed_count(zone) < self.limits.per_zone;
        if let Some(best) = self.best_free(zone, 0, uploads) {
            if may_seed && best.depth >= self.limits.deep {
                return Some(Upstream::Origin);
            }
            let inner = self.locality.enclosing(node.domain).filter(|d| *d != zone);
            let locality = inner
                .filter_map(|d| self.best_free(d, 0, uploads))
                .find(|r| r.depth <= best.depth + MAX_EXTRA_DEPTH);
            return Some(Upstream::From(locality.unwrap_or(best).member));
        }
        if may_seed {
            return Some(Upstream::Origin);
        }
        // A machine that shares a source gets half of the source's rate. This is better
        // than to wait for minutes, and better than another copy from outside.
        let max = self.limits.slots.saturating_sub(1);
        let shared = self.best_free(zone, max, uploads);
        let other = || self.best_free(ALL, max, uploads);
        if let Some(r) = shared.or_else(other) {
            return Some(Upstream::From(r.member));
        }
        // Without this rule, machines that need the image would wait forever if no machine
        // is a source any more, for example because all are too slow. If all sources are
        // full, a machine waits instead, because the machines that take from them become
        // sources next.
        (origin_available && self.source_count == 0).then_some(Upstream::Origin)
    }

    /// Returns the best source of a domain that has at most `max` uploads, including
    /// uploads of other images.
    fn best_free(&self, domain: Domain, max: u32, uploads: &Uploads) -> Option<Rank> {
        let few = self.locality.of(domain).take(MAX_SOURCES_EXAMINED);
        few.take_while(|r| r.load <= max).find(|r| {
            let all = self.nodes.get(&r.member).map(|n| uploads.of(&n.id));
            all.is_some_and(|all| all <= max)
        })
    }

    /// Returns a source and the alternatives to it: the machines before it in its chain, or
    /// other machines of the zone with the complete image. All of them started earlier than
    /// the machine that asks.
    pub(super) fn alternatives(&self, zone: Domain, source: MemberId) -> Vec<MemberId> {
        let mut from = vec![source];
        let Some(node) = self.nodes.get(&source) else {
            return from;
        };
        let alive = |s: &&MemberId| self.nodes.get(s).is_some_and(|n| !n.slow);
        from.extend(node.from.iter().filter(alive));
        from.truncate(self.limits.sources);
        if node.upstream != Upstream::Origin && from.len() < self.limits.sources {
            let complete = self
                .locality
                .of(zone)
                .take(MAX_SOURCES_EXAMINED)
                .map(|r| r.member);
            let complete = complete.filter(|s| {
                self.nodes
                    .get(s)
                    .is_some_and(|n| n.state == State::Complete)
            });
            let more: Vec<MemberId> = complete
                .filter(|s| !from.contains(s))
                .take(MAX_OTHER_SOURCES)
                .collect();
            from.extend(more);
            from.truncate(self.limits.sources);
        }
        from
    }
}
