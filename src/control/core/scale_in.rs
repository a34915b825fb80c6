//! Scale-in: machines to delete because they are lost, and those to empty and give
//! back because no plan has use for them.

use std::collections::BTreeSet;

use super::agent::AgentState;
use super::inventory::PendingMachine;
use super::Core;
use crate::agent_client::TaskPhase;
use crate::autoscaler;
use crate::scheduler::Machine;
use crate::types::{MachineId, Time};

/// A machine that was asked directly so often in vain hangs.
const HANGS: u32 = 2;
/// So does one that was asked once and is silent for so many heartbeat intervals.
const HANGS_HEARTBEATS: f64 = 2.2;
/// A machine never comes if it takes longer than so many usual boots and a margin.
const STUCK_BOOTS: f64 = 2.5;
/// The margin, in seconds: a usual boot may be short.
const STUCK_MARGIN_S: f64 = 10.0;
/// The boot of a machine of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 30.0;
/// A machine may go once plans had no use for it for this share of the time.
const UNUSED_SHARE: f64 = 0.6;
/// An empty machine is given back only after so many seconds.
const EMPTY_S: f64 = 2.0;
/// Once nothing has run for so many seconds, and nothing waits, machines go.
const IDLE_S: f64 = 20.0;

/// How long plans had no use for a machine.
struct Disuse {
    machine: MachineId,
    /// The present plan has none.
    now: bool,
    /// The share of the time, 0 to 1, the last plans counting most.
    share: f64,
}

/// A machine that no plan has use for.
struct ScaleInCandidate<'a> {
    machine: &'a MachineId,
    price_per_cpu: f64,
}

impl Core {
    /// Gives back machines that heartbeat and that no command reaches.
    pub(super) fn scale_in_unreachable(&mut self, now: Time) {
        for id in self.unreachable_machines(now) {
            tracing::info!(machine = %id, "machine sends heartbeats but is unreachable; scaling in");
            self.mark_for_scale_in(&id);
        }
    }

    /// Machines to delete now: those that were chosen to go and are empty, those that
    /// are lost, and those that never came.
    pub(super) fn machines_to_delete(&mut self, trusts_silence: bool, now: Time) -> Vec<MachineId> {
        let mut to_delete = Vec::new();
        for (id, agent) in self.agents.iter_mut() {
            if agent.is_leaving() && is_empty(agent, self.cluster_state.machines().get(id)) {
                agent.begin_deletion();
            }
            let quiet_s = agent.silence_s(now);
            let unanswered_connections =
                unanswered_connections(agent, quiet_s, self.cfg.heartbeat_s);
            if trusts_silence && (quiet_s > self.cfg.silent_s() || unanswered_connections) {
                if unanswered_connections && !agent.is_deleting() {
                    tracing::info!(machine = %id, quiet_s, "machine unresponsive; scaling in");
                }
                agent.begin_deletion();
            }
            if agent.is_deleting() {
                to_delete.push(id.clone());
            }
        }
        let never_came = self.inventory.pending_machines().iter();
        let never_came = never_came.filter(|(id, pending)| self.never_comes(id, pending, now));
        to_delete.extend(never_came.map(|(id, _)| id.clone()));
        to_delete
    }

    /// Whether a machine that was rented is not to be waited for any longer.
    fn never_comes(&self, id: &MachineId, pending: &PendingMachine, now: Time) -> bool {
        let boot_s = self.types.get(&pending.kind).map(|t| t.boot_s);
        let limit_s = STUCK_BOOTS * boot_s.unwrap_or(DEFAULT_BOOT_S) + STUCK_MARGIN_S;
        now.since(pending.since) > limit_s || self.inventory.is_missing(id)
    }

    /// Whether nothing is to be done and nothing was asked for: the next job finds a
    /// new machine, rather than its like all being paid for until it comes.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        let mut machines = self.cluster_state.machines().values();
        !self.cluster_state.has_work()
            && machines.all(|m| m.claims.is_empty() && now.since(m.idle_since) > IDLE_S)
    }

    /// Chooses the machines to go, by the plan, and gives back those that are empty.
    pub(super) fn scale_in(&mut self, plan: &autoscaler::Plan, idle: bool, now: Time) {
        let disuse = self.measure_disuse(plan, now);
        let candidates = self.scale_in_candidates(&disuse, idle);
        let retiring = self.above_guarantees(candidates, idle);
        for id in self.mark_machines(plan, disuse, &retiring, now) {
            if let Some(agent) = self.agents.get_mut(&id) {
                agent.leave();
            }
            self.refresh_machine(&id, now);
        }
    }

    /// Only what had no use for long falls idle on purpose: a machine with a warm
    /// cache is worth more than a new one.
    fn measure_disuse(&mut self, plan: &autoscaler::Plan, now: Time) -> Vec<Disuse> {
        let passed_s = self.scaling.planned(now);
        let weight = 1.0 - (-passed_s / self.cfg.tuning.idle_s.max(1.0)).exp();
        let machines = self.cluster_state.machines().iter();
        machines
            .map(|(id, machine)| {
                let unused = plan.unused.contains(id);
                let value = f64::from(u8::from(unused));
                Disuse {
                    machine: id.clone(),
                    now: unused,
                    share: machine.unused + (value - machine.unused) * weight,
                }
            })
            .collect()
    }

    /// Machines without use, the dearest first.
    fn scale_in_candidates(&self, disuse: &[Disuse], idle: bool) -> Vec<MachineId> {
        // What can't be served goes as soon as it has no use.
        let max = self.scaling.requests.max_machines();
        let excess = max.is_some_and(|max| self.machines() > max);
        let mut candidates: Vec<ScaleInCandidate> = disuse
            .iter()
            .filter(|d| d.now && (d.share > UNUSED_SHARE || idle || excess))
            .filter_map(|d| {
                let machine = self.cluster_state.machines().get(&d.machine)?;
                Some(ScaleInCandidate {
                    machine: &d.machine,
                    price_per_cpu: machine.price_per_cpu(),
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let dearest_first = b.price_per_cpu.total_cmp(&a.price_per_cpu);
            dearest_first.then(b.machine.cmp(a.machine))
        });
        let ids = candidates.into_iter().map(|c| c.machine.clone());
        ids.collect()
    }

    /// Of the candidates, in their order, those without which the teams' guarantees
    /// still have their machines: what is guaranteed stays there, the cheapest part
    /// of it.
    fn above_guarantees(&self, candidates: Vec<MachineId>, idle: bool) -> BTreeSet<MachineId> {
        let mut left = self.cluster_state.capacity().cpu;
        let floor = if idle {
            0.0
        } else {
            self.cluster_state.guaranteed().cpu as f64 * self.cfg.tuning.floor
        };
        let mut retiring = BTreeSet::new();
        for id in candidates {
            let Some(machine) = self.cluster_state.machines().get(&id) else {
                continue;
            };
            if (left - machine.kind.total.cpu) as f64 >= floor {
                left -= machine.kind.total.cpu;
                retiring.insert(id);
            }
        }
        retiring
    }

    /// Notes on each machine what the plan says of it; those to give back now.
    fn mark_machines(
        &mut self,
        plan: &autoscaler::Plan,
        disuse: Vec<Disuse>,
        retiring: &BTreeSet<MachineId>,
        now: Time,
    ) -> Vec<MachineId> {
        let mut to_scale_in = Vec::new();
        for Disuse { machine, share, .. } in disuse {
            let kept = plan.kept.get(&machine).copied().unwrap_or_default();
            let retires = retiring.contains(&machine);
            self.cluster_state.edit_machine(&machine, |m| {
                m.unused = share;
                m.kept = kept;
                m.retiring = retires;
                if retires && m.claims.is_empty() && now.since(m.idle_since) > EMPTY_S {
                    to_scale_in.push(machine.clone());
                }
            });
        }
        to_scale_in
    }
}

/// Whether nothing is claimed on a machine, and nothing runs that it reported.
fn is_empty(agent: &AgentState, machine: Option<&Machine>) -> bool {
    machine.is_none_or(|m| m.claims.is_empty())
        && agent.tasks.values().all(|t| t.phase == TaskPhase::Ended)
}

/// Whether a machine takes connections and doesn't answer. Its last heartbeat came
/// `quiet_s` seconds ago.
fn unanswered_connections(agent: &AgentState, quiet_s: f64, heartbeat_s: f64) -> bool {
    let long =
        agent.direct.unanswered_connections() == 1 && quiet_s > HANGS_HEARTBEATS * heartbeat_s;
    agent.direct.is_suspect() && (agent.direct.unanswered_connections() >= HANGS || long)
}
