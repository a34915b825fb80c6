//! This module decides the scale-in of the fleet. It selects lost machines to delete. It also
//! selects machines that no plan uses, to empty them and give them back to the cloud.

use std::collections::BTreeSet;

use super::agent::AgentState;
use super::inventory::PendingMachine;
use super::Core;
use crate::agent_client::TaskPhase;
use crate::autoscaler;
use crate::scheduler::Machine;
use crate::types::{MachineId, Time};

/// Multiple of the usual boot time after which a booting machine counts as failed. A fixed
/// margin is added.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;
/// Margin that is added to the boot timeout of a machine, in seconds, because a usual boot may
/// be short.
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;
/// Assumed boot time of an unknown machine type, in seconds.
const DEFAULT_BOOT_S: f64 = 30.0;
/// Minimum share of the time during which plans had no use for a machine, before the machine may be
/// given back to the cloud.
const MIN_UNUSED_SHARE: f64 = 0.6;
/// Minimum time for which a machine is empty before it is given back, in seconds.
const MIN_EMPTY_S: f64 = 2.0;
/// Time without running or waiting work after which the whole fleet counts as idle and its
/// machines may be given back, in seconds.
const FLEET_IDLE_S: f64 = 20.0;

/// Share of the time during which plans had no use for a machine.
struct Disuse {
    machine: MachineId,
    /// Whether the current plan has no use for the machine.
    now: bool,
    /// Share of the time without use, from 0 to 1. Recent plans have the highest weight.
    share: f64,
}

/// Machine that no plan has use for.
struct ScaleInCandidate<'a> {
    machine: &'a MachineId,
    price_per_cpu: f64,
}

impl Core {
    /// Marks machines for scale-in if they send heartbeats but no command reaches them.
    pub(super) fn scale_in_unreachable(&mut self, now: Time) {
        for id in self.unreachable_machines(now) {
            tracing::info!(machine = %id, "machine sends heartbeats but is unreachable; scaling in");
            self.mark_for_deletion(&id);
        }
    }

    /// Returns the machines to delete now: empty machines that were chosen for scale-in, lost
    /// machines, and machines whose boot failed.
    pub(super) fn machines_to_delete(&mut self, now: Time) -> Vec<MachineId> {
        let mut to_delete = Vec::new();
        for (id, agent) in self.agents.iter_mut() {
            if agent.is_retiring() && is_empty(agent, self.cluster_state.machines().get(id)) {
                agent.begin_deletion();
            }
            if agent.is_deleting() {
                to_delete.push(id.clone());
            }
        }
        let failed_boots = self.inventory.pending_machines().iter();
        let failed_boots = failed_boots.filter(|(id, pending)| self.boot_failed(id, pending, now));
        to_delete.extend(failed_boots.map(|(id, _)| id.clone()));
        to_delete
    }

    /// Returns whether a rented machine took too long to boot or is missing from the cloud's
    /// list.
    fn boot_failed(&self, id: &MachineId, pending: &PendingMachine, now: Time) -> bool {
        let boot_s = self.types.get(&pending.kind).map(|t| t.boot_s);
        let limit_s =
            BOOT_TIMEOUT_FACTOR * boot_s.unwrap_or(DEFAULT_BOOT_S) + BOOT_TIMEOUT_MARGIN_S;
        now.since(pending.since) > limit_s || self.inventory.is_missing(id)
    }

    /// Returns whether no job has a task to place and all machines have been empty for a while.
    /// An idle fleet is given back, and the next job gets a new machine. Paying for the
    /// machines until the next such job arrives would cost more.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        let mut machines = self.cluster_state.machines().values();
        !self.cluster_state.has_work()
            && machines.all(|m| m.claims.is_empty() && now.since(m.idle_since) > FLEET_IDLE_S)
    }

    /// Chooses the machines to retire by the plan, and gives back the empty ones.
    pub(super) fn scale_in(&mut self, plan: &autoscaler::Plan, idle: bool, now: Time) {
        let disuse = self.measure_disuse(plan, now);
        let candidates = self.scale_in_candidates(&disuse, idle);
        let retiring = self.above_guarantees(candidates, idle);
        for id in self.mark_machines(plan, disuse, &retiring, now) {
            if let Some(agent) = self.agents.get_mut(&id) {
                agent.retire();
            }
            self.refresh_machine(&id, now);
        }
    }

    /// Returns for each machine how long plans had no use for it. A machine is emptied on purpose
    /// only after a long time without use. The reason is that a machine with images in its cache is
    /// worth more than a new one.
    fn measure_disuse(&mut self, plan: &autoscaler::Plan, now: Time) -> Vec<Disuse> {
        let passed_s = self.scaling.record_plan(now);
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

    /// Returns the machines without use, the most expensive per CPU first.
    fn scale_in_candidates(&self, disuse: &[Disuse], idle: bool) -> Vec<MachineId> {
        // Machines above the limit that the controllers can serve are removed as soon as they
        // have no use.
        let max = self.scaling.requests.max_machines();
        let excess = max.is_some_and(|max| self.machine_count() > max);
        let mut candidates: Vec<ScaleInCandidate> = disuse
            .iter()
            .filter(|d| d.now && (d.share > MIN_UNUSED_SHARE || idle || excess))
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

    /// Returns the candidates, in their order, that may be retired while the capacity for the
    /// teams' guarantees stays. The cheapest part of the guaranteed capacity stays.
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

    /// Records on each machine what the plan decides about it. Returns the machines to give
    /// back now.
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
                if retires && m.claims.is_empty() && now.since(m.idle_since) > MIN_EMPTY_S {
                    to_scale_in.push(machine.clone());
                }
            });
        }
        to_scale_in
    }
}

/// Returns whether a machine has no claims and reports no running task.
fn is_empty(agent: &AgentState, machine: Option<&Machine>) -> bool {
    machine.is_none_or(|m| m.claims.is_empty())
        && agent.tasks.values().all(|t| t.phase == TaskPhase::Ended)
}
