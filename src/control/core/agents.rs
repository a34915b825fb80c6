//! What a machine's first heartbeat adds, and which machines can be used.

use std::rc::Rc;

use sorrelhinge_topology::renting::MachinePool;

use super::agent::AgentState;
use super::command_queue::ContactOrder;
use super::machine_types::MachineTypes;
use super::seen_machine::SeenMachine;
use super::Core;
use crate::scheduler::{Machine, Sent};
use crate::state::history::CachedImage;
use crate::types::{Kind, MachineId, MachineType, Time};

/// A machine with tasks that is silent for this many heartbeat intervals is asked
/// directly. One that takes the connection and does not answer hangs, and its
/// tasks with it, while one that can't be reached may only be cut off.
const SUSPECT_HEARTBEATS: f64 = 1.6;
/// But not before this, in seconds: anything may stand still for a moment.
const SUSPECT_LEAST_S: f64 = 5.0;
/// A machine that is silent for so many heartbeat intervals, and so many seconds more, gets
/// no new tasks.
const SILENT_HEARTBEATS: f64 = 2.5;
const SILENT_S: f64 = 1.0;

/// How far a machine can be used, by what its agent reported.
struct AgentUsability {
    /// Tasks may be placed there.
    usable: bool,
    /// Commands go there only in replies to its heartbeats.
    slow: bool,
    /// Its last heartbeat came too long ago.
    silent: bool,
    /// It is given back, or the cloud takes it.
    leaving: bool,
    /// A direct command failed, and no heartbeat shows yet what reached it.
    suspected_one_way: bool,
    /// An operator drains it.
    draining: bool,
}

impl Core {
    /// The cloud's machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = MachineTypes::new(types);
    }

    /// Whether the machine types are known.
    pub fn has_types(&self) -> bool {
        !self.types.is_empty()
    }

    /// The agent of a machine, which is new if it was not known; none: its type is not.
    pub(super) fn agent(&mut self, seen: &SeenMachine<'_>, now: Time) -> Option<&mut AgentState> {
        if !self.agents.contains(seen.id) {
            let kind = self.types.get(seen.kind)?.clone();
            self.inventory.came_up(seen.id);
            self.add_machine(seen, kind, now);
            let agent = AgentState::new(seen.addr, self.base_fencing_token(), now);
            self.agents.came_up(seen.id.clone(), agent);
            self.wake(seen.id);
        }
        self.agents.get_mut(seen.id)
    }

    /// A machine came up: it goes into the cluster state, with what it is known to have
    /// in its cache.
    fn add_machine(&mut self, seen: &SeenMachine<'_>, kind: Rc<MachineType>, now: Time) {
        let id = seen.id;
        let mut machine = Machine::new(kind, seen.zone.clone(), seen.spot, now);
        for CachedImage { image, gb } in self.failover.take_cached_images(id) {
            // That a task was placed there proves no fetch of minutes: taken
            // for one, the next start there named no source, and all that
            // had waited for their stage went to the origin after a takeover.
            let ran = !self.cluster_state.is_distributed(gb);
            machine.cache.touch(&image, gb, machine.kind.cache_gb, ran);
        }
        let pool = MachinePool {
            kind: machine.kind.name.clone(),
            zone: machine.zone.clone(),
            spot: seen.spot,
        };
        self.cluster_state.add_machine(id.clone(), machine);
        if self.cluster_state.topology().is_some() {
            self.cluster_state.locate(id, Some(seen.addr.ip()));
            let place = self.cluster_state.machines().get(id).map(|m| m.place);
            self.topology_history
                .came_up(pool, place.unwrap_or_default(), now);
        }
    }

    /// Whether tasks are claimed on a machine.
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
        let order = match self.cluster_state.machines().get(id) {
            Some(m) if self.failover.is_recent() => {
                match (self.has_replicas(id), m.claims.is_empty()) {
                    (true, _) => ContactOrder::First,
                    (false, false) => ContactOrder::WithTasks,
                    (false, true) => ContactOrder::Empty,
                }
            }
            _ => ContactOrder::First,
        };
        self.command_queue.add(id.clone(), order);
    }

    /// Whether nothing speaks against commands reaching a machine.
    pub fn is_reachable(&self, id: &MachineId) -> bool {
        self.agents
            .get(id)
            .is_none_or(|l| l.fenced() && !l.reachability.in_doubt())
    }

    /// Looks whether tasks may be placed on a machine, and what becomes of those that are
    /// there: its agent's reports, or the time, may have changed that.
    pub(super) fn refresh_machine(&mut self, id: &MachineId, now: Time) {
        self.suspect_if_silent(id, now);
        let Some(status) = self.usability(id, now) else {
            return;
        };
        self.apply_status(id, &status, now);
        if status.leaving || status.suspected_one_way || status.draining {
            self.wake(id);
            self.settle_claims(id, status.leaving, now);
        }
    }

    /// A machine with tasks that is silent for long enough is asked directly.
    fn suspect_if_silent(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let patience_s = (SUSPECT_HEARTBEATS * self.cfg.heartbeat_s).max(SUSPECT_LEAST_S);
        let silent = agent.silence_s(now) >= patience_s;
        if agent.direct.is_suspect() || !silent || !self.has_tasks(id) {
            return;
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.direct.suspect();
        }
        self.wake(id);
    }

    /// How far a machine can be used now.
    fn usability(&self, id: &MachineId, now: Time) -> Option<AgentUsability> {
        let agent = self.agents.get(id)?;
        let machine = self.cluster_state.machines().get(id);
        let draining = machine.is_some_and(|m| m.draining);
        let silent = agent.silence_s(now) >= SILENT_HEARTBEATS * self.cfg.heartbeat_s + SILENT_S;
        let leaving = agent.is_leaving() || agent.is_deleting();
        let usable = agent.fenced()
            && !draining
            && !agent.is_suspected_one_way()
            && !leaving
            && !agent.failed_jobs.is_quarantined(now)
            && !agent.reachability.is_quarantined(now)
            && !silent;
        Some(AgentUsability {
            usable,
            slow: agent.is_passed_on() || agent.direct.is_failing(),
            silent,
            leaving,
            suspected_one_way: agent.is_suspected_one_way(),
            draining,
        })
    }

    /// Tells the cluster state, if that has it otherwise.
    fn apply_status(&mut self, id: &MachineId, status: &AgentUsability, now: Time) {
        let (usable, slow) = (status.usable, status.slow);
        let known = self.cluster_state.machines().get(id);
        if known.is_none_or(|m| (m.usable, m.slow) == (usable, slow)) {
            return;
        }
        self.cluster_state.edit_machine(id, |m| {
            m.usable = usable;
            m.slow = slow;
        });
        self.placement_queue.add(id.clone());
        let place = self.cluster_state.machines().get(id).map(|m| m.place);
        let topology = self.cluster_state.topology();
        if let (true, Some(t), Some(place)) = (status.silent, topology, place) {
            self.topology_history.lost(&t.tree, place, now);
        }
    }

    /// On a machine that can't be used, what was not sent is placed anew; on one that
    /// leaves, the rest is stopped.
    fn settle_claims(&mut self, id: &MachineId, leaving: bool, now: Time) {
        for task in self.cluster_state.claims_on(id) {
            let claim = self.cluster_state.claim_of(&task);
            if claim.is_some_and(|c| c.sent == Sent::No) {
                // It has a better place where commands get through.
                self.release(&task, now);
                self.placement_queue.request_full_walk();
            } else if leaving {
                self.cluster_state.stop(&task, false);
            }
        }
    }
}
