//! Adds machines on their first heartbeat, and decides which machines are usable.

use std::rc::Rc;

use sorrelhinge_topology::renting::{Arrival, MachinePool};

use super::agent::AgentState;
use super::command_queue::ContactOrder;
use super::machine_types::MachineTypes;
use super::seen_machine::SeenMachine;
use super::Core;
use crate::scheduler::{Machine, Sent};
use crate::state::history::CachedImage;
use crate::types::{Kind, MachineId, MachineType, Time};

/// Number of heartbeat intervals of silence after which the owner sends a direct command to a
/// machine with tasks. The command shows why the agent is silent. An agent that accepts the
/// connection and does not answer hangs, and so do its tasks. An agent that accepts no connection
/// may only be cut off.
const SUSPECT_HEARTBEATS: f64 = 1.6;
/// Shortest silence before the owner contacts a machine, in seconds. Any process may stall for
/// a moment.
const SUSPECT_MIN_S: f64 = 5.0;
/// Silence after which a machine gets no new tasks, in heartbeat intervals
/// (`SILENT_HEARTBEATS`) plus seconds (`SILENT_MARGIN_S`).
const SILENT_HEARTBEATS: f64 = 2.5;
const SILENT_MARGIN_S: f64 = 1.0;

/// Usability of a machine, derived from its agent's reports.
struct AgentUsability {
    /// The owner may place tasks on the machine.
    usable: bool,
    /// Commands reach the machine only in the answers to its heartbeats.
    slow: bool,
    /// The last heartbeat is so old that the machine gets no new tasks.
    silent: bool,
    /// The owner returns or deletes the machine, or the cloud preempts it.
    leaving: bool,
    /// A direct command failed, and no heartbeat has shown since then that commands reach the
    /// agent.
    suspected_one_way: bool,
    /// An operator drains the machine.
    draining: bool,
}

impl Core {
    /// Replaces the cloud's machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = MachineTypes::new(types);
    }

    /// Returns whether the cloud's machine types are known.
    pub fn has_types(&self) -> bool {
        !self.types.is_empty()
    }

    /// Returns the agent of a machine and adds the machine if it is new. Returns `None` if a
    /// new machine's type is unknown.
    pub(super) fn agent(&mut self, seen: &SeenMachine<'_>, now: Time) -> Option<&mut AgentState> {
        if !self.agents.contains(seen.id) {
            let kind = self.types.get(seen.kind)?.clone();
            self.inventory.remove_pending(seen.id);
            self.add_machine(seen, kind, now);
            let agent = AgentState::new(seen.addr, self.base_fencing_token(), now);
            self.agents.insert(seen.id.clone(), agent);
            self.queue_contact(seen.id);
        }
        self.agents.get_mut(seen.id)
    }

    /// Adds a machine that came up to the cluster state, with the images that its cache is
    /// known to hold.
    fn add_machine(&mut self, seen: &SeenMachine<'_>, kind: Rc<MachineType>, now: Time) {
        let id = seen.id;
        let mut machine = Machine::new(kind, seen.zone.clone(), seen.spot, now);
        for CachedImage { image, gb } in self.failover.take_cached_images(id) {
            // A placed task does not prove that a fetch of several minutes finished. When placement
            // counted as proof, the next start command for the machine named no source for the
            // image. After a takeover, all tasks that waited for their distribution stage then
            // fetched from the origin.
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
            if let Some(machine) = self.cluster_state.machines().get(id) {
                let arrival = Arrival {
                    at: now,
                    place: machine.place,
                    devices: machine.device_inventory.clone(),
                };
                self.topology_history.record_arrival(pool, arrival);
            }
        }
    }

    /// Returns whether any task is claimed on a machine.
    fn has_tasks(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| !m.claims.is_empty())
    }

    /// Returns whether any replica of a service is claimed on a machine.
    fn has_replicas(&self, id: &MachineId) -> bool {
        let machine = self.cluster_state.machines().get(id);
        machine.is_some_and(|m| {
            m.claims.iter().any(|t| {
                let job = self.cluster_state.job(&t.job);
                job.is_some_and(|j| j.spec.kind == Kind::Service)
            })
        })
    }

    /// Queues a machine that may need commands. After a takeover the owner has to contact thousands
    /// of machines at once. It contacts machines with service replicas first, then machines with
    /// other tasks, then empty machines.
    pub(super) fn queue_contact(&mut self, id: &MachineId) {
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

    /// Returns whether commands reach a machine as far as is known.
    pub fn is_reachable(&self, id: &MachineId) -> bool {
        self.agents
            .get(id)
            .is_none_or(|agent| agent.fenced() && !agent.reachability.in_doubt())
    }

    /// Updates whether tasks may be placed on a machine, and what happens to tasks that are
    /// there. The agent's reports or the passage of time may have changed both.
    pub(super) fn refresh_machine(&mut self, id: &MachineId, now: Time) {
        self.suspect_if_silent(id, now);
        let Some(status) = self.usability(id, now) else {
            return;
        };
        self.apply_usability(id, &status, now);
        if status.leaving || status.suspected_one_way || status.draining {
            self.queue_contact(id);
            self.settle_claims(id, status.leaving, now);
        }
    }

    /// Queues a machine for a direct command if it has tasks and has been silent for too long.
    fn suspect_if_silent(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get(id) else {
            return;
        };
        let patience_s = (SUSPECT_HEARTBEATS * self.cfg.heartbeat_s).max(SUSPECT_MIN_S);
        let silent = agent.silence_s(now) >= patience_s;
        if agent.direct.is_suspect() || !silent || !self.has_tasks(id) {
            return;
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.direct.suspect();
        }
        self.queue_contact(id);
    }

    /// Returns how the machine can be used now. Returns `None` if its agent is unknown.
    fn usability(&self, id: &MachineId, now: Time) -> Option<AgentUsability> {
        let agent = self.agents.get(id)?;
        let machine = self.cluster_state.machines().get(id);
        let draining = machine.is_some_and(|m| m.draining);
        let silent =
            agent.silence_s(now) >= SILENT_HEARTBEATS * self.cfg.heartbeat_s + SILENT_MARGIN_S;
        let leaving = agent.is_retiring() || agent.is_deleting();
        let usable = agent.fenced()
            && !draining
            && !agent.is_suspected_one_way()
            && !leaving
            && !agent.has_many_ended_tasks()
            && !agent.failed_jobs.is_quarantined(now)
            && !agent.reachability.is_quarantined(now)
            && !silent;
        Some(AgentUsability {
            usable,
            slow: agent.is_forwarded() || agent.direct.is_failing(),
            silent,
            leaving,
            suspected_one_way: agent.is_suspected_one_way(),
            draining,
        })
    }

    /// Updates a machine's usability in the cluster state, unless it is unchanged.
    fn apply_usability(&mut self, id: &MachineId, status: &AgentUsability, now: Time) {
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
            self.topology_history.record_loss(&t.tree, place, now);
        }
    }

    /// Releases claims on an unusable machine whose start commands were not sent, so that their
    /// tasks are placed elsewhere. If the machine is leaving, its other tasks are stopped.
    fn settle_claims(&mut self, id: &MachineId, leaving: bool, now: Time) {
        for task in self.cluster_state.claims_on(id) {
            let claim = self.cluster_state.claim_of(&task);
            if claim.is_some_and(|c| c.sent == Sent::No) {
                // The start command was not sent, so the task can still be placed on a machine that
                // commands reach.
                self.release(&task, now);
                self.placement_queue.request_full_walk();
            } else if leaving {
                self.cluster_state.stop(&task, false);
            }
        }
    }
}
