//! The lines to all workers: what a machine's first report adds, and which machines
//! can be used.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_overload::reachability::Reachability;

use super::link::Link;
use super::Core;
use crate::sched::{Machine, Sent};
use crate::types::{Kind, MachineId, MachineType, Seq, Session, Time, Token, TypeName, Zone};

/// A machine with tasks that is silent for this many report intervals is asked
/// directly. One that takes the connection and does not answer hangs, and its
/// tasks with it, while one that can't be reached may only be cut off.
const SUSPECT_REPORTS: f64 = 1.6;
/// But not before this, in seconds: anything may stand still for a moment.
const SUSPECT_LEAST_S: f64 = 5.0;

impl Core {
    /// The cloud's machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|t| (t.name.clone(), Rc::new(t.clone())))
            .collect();
    }

    /// Whether the machine types are known.
    pub fn has_types(&self) -> bool {
        !self.types.is_empty()
    }

    pub(super) fn link(
        &mut self,
        id: &MachineId,
        addr: SocketAddr,
        kind: &TypeName,
        zone: &Zone,
        spot: bool,
        now: Time,
    ) -> Option<&mut Link> {
        if !self.links.contains_key(id) {
            let kind = self.types.get(kind)?.clone();
            self.coming.remove(id);
            let mut machine = Machine::new(kind, zone.clone(), spot, now);
            for (image, gb) in self.ran_before.remove(id).unwrap_or_default() {
                // That a task was placed there proves no fetch of minutes: taken
                // for one, the next start there named no source, and all that
                // had waited for their stage went to the origin after a takeover.
                let ran = !self.cluster_state.is_staged(gb);
                machine.cache.touch(&image, gb, machine.kind.cache_gb, ran);
            }
            let sort = (machine.kind.name.clone(), machine.zone.clone(), spot);
            self.cluster_state.add_machine(id.clone(), machine);
            if self.cluster_state.topology().is_some() {
                self.cluster_state.locate(id, Some(addr.ip()));
                let place = self.cluster_state.machines().get(id).map(|m| m.place);
                self.topology_history
                    .came_up(sort, place.unwrap_or_default(), now);
            }
            let link = Link {
                addr,
                session: Session(1),
                seq: Seq(0),
                token: self.base_token(),
                seen: Token(0),
                last_heard: now,
                told_of: Seq(0),
                reachability: Reachability::default(),
                tasks: BTreeMap::new(),
                flying: false,
                direct_retry: now,
                direct_failures: 0,
                suspect: false,
                hangs: 0,
                doubted: false,
                passed: false,
                leaving: false,
                deleting: false,
                shunned_until: Time(0.0),
                errors: BTreeSet::new(),
                kill_sent: BTreeMap::new(),
                images: Vec::new(),
            };
            self.links.insert(id.clone(), link);
            self.wake(id);
        }
        self.links.get_mut(id)
    }

    fn has_tasks(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| !m.claims.is_empty())
    }

    /// Whether tasks of services are on a machine.
    fn has_replicas(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| {
            m.claims.iter().any(|t| {
                let job = self.cluster_state.job(&t.job);
                job.is_some_and(|j| j.spec.kind == Kind::Service)
            })
        })
    }

    /// Commands may have to go to a machine. After a takeover thousands are to
    /// be asked at once, so then those with replicas come first, then those
    /// with other tasks.
    pub(super) fn wake(&mut self, id: &MachineId) {
        let rank = match self.cluster_state.machines().get(id) {
            Some(m) if self.young => match (self.has_replicas(id), m.claims.is_empty()) {
                (true, _) => 0,
                (false, false) => 1,
                (false, true) => 2,
            },
            _ => 0,
        };
        self.active.insert((rank, id.clone()));
    }

    /// Whether nothing speaks against a machine hearing what it is told.
    pub fn hears(&self, id: &MachineId) -> bool {
        self.links
            .get(id)
            .is_none_or(|l| l.fenced() && !l.reachability.in_doubt())
    }

    pub(super) fn refresh_machine(&mut self, id: &MachineId, now: Time) {
        let silence = 2.5 * self.cfg.report_s + 1.0;
        let Some(link) = self.links.get(id) else {
            return;
        };
        let quiet_s = now.since(link.last_heard);
        if !link.suspect
            && quiet_s >= (SUSPECT_REPORTS * self.cfg.report_s).max(SUSPECT_LEAST_S)
            && self.has_tasks(id)
        {
            if let Some(link) = self.links.get_mut(id) {
                link.suspect = true;
            }
            self.wake(id);
        }
        let Some(link) = self.links.get(id) else {
            return;
        };
        let draining = self
            .cluster_state
            .machines()
            .get(id)
            .is_some_and(|m| m.draining);
        let silent = now.since(link.last_heard) >= silence;
        let usable = link.fenced()
            && !draining
            && !link.doubted
            && !link.leaving
            && !link.deleting
            && now >= link.shunned_until
            && !link.reachability.is_quarantined(now)
            && !silent;
        let leaving = link.leaving || link.deleting;
        let doubted = link.doubted;
        // Commands go there only in replies to its reports.
        let slow = link.passed || link.direct_failures > 0;
        let was = self
            .cluster_state
            .machines()
            .get(id)
            .map(|m| (m.usable, m.slow));
        if was.is_some_and(|was| was != (usable, slow)) {
            self.cluster_state.edit_machine(id, |m| {
                m.usable = usable;
                m.slow = slow;
            });
            self.touched.insert(id.clone());
            let place = self.cluster_state.machines().get(id).map(|m| m.place);
            if let (true, Some(t), Some(place)) = (silent, self.cluster_state.topology(), place) {
                self.topology_history.lost(&t.tree, place, now);
            }
        }
        if !leaving && !doubted && !draining {
            return;
        }
        self.wake(id);
        for task in self.cluster_state.claims_on(id) {
            let unsent = self
                .cluster_state
                .claim_of(&task)
                .is_some_and(|c| c.sent == Sent::No);
            if unsent {
                // It has a better place where commands get through.
                self.release(&task, now);
                self.walk_all = true;
            } else if leaving {
                self.cluster_state.stop(&task, false);
            }
        }
    }
}
