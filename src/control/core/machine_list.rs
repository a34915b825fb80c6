//! Applies the cloud's list of rented machines. Adds new machines, decides which machines no longer
//! exist, and chooses machines to delete because no command reaches them.

use std::collections::BTreeSet;

use super::inventory::PendingMachine;
use super::seen_machine::SeenMachine;
use super::Core;
use crate::cloud::{ListedMachine, MachinePhase};
use crate::types::{MachineId, Time};

/// Factor for clock drift. Clocks drift apart by 0.05% (PROTOCOL).
const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Number of heartbeat intervals of silence from which a machine that the cloud's list does not
/// show may be deleted.
const MISSED_HEARTBEATS: f64 = 1.5;
/// Age below which the cloud's machine list may not show a rented machine yet. The age is the usual
/// lag of the list times `MAYBE_UNLISTED_LAGS`, plus `MAYBE_UNLISTED_S` seconds.
const MAYBE_UNLISTED_LAGS: f64 = 3.0;
const MAYBE_UNLISTED_S: f64 = 5.0;
/// Largest lag of the cloud's machine list, as a multiple of its usual lag (PROTOCOL). Once this
/// lag and `LIST_LAG_MARGIN_S` have passed since a failover, a list certainly shows a moment after
/// the failover.
const MAX_LIST_LAG_FACTOR: f64 = 2.0;
/// Margin beyond the largest lag of the cloud's machine list, in seconds.
const LIST_LAG_MARGIN_S: f64 = 2.0;
/// Factor by which the owner waits longer for unreachable machines if most machines are
/// unreachable.
const MOST_UNREACHABLE_FACTOR: f64 = 3.0;

impl Core {
    /// Applies the cloud's machine list: adds new machines, and marks missing ones for deletion.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Time) {
        let names: BTreeSet<&MachineId> = list.iter().map(|m| &m.id).collect();
        self.inventory.record_list_read();
        self.tombstones.expire(&self.cfg, now);
        for machine in list {
            // A late list may still show a deleted machine. The owner must not contact that machine
            // or wait for it.
            if !self.tombstones.contains(&machine.id) {
                self.machine_listed(machine, now);
            }
        }
        self.mark_missing_machines(&names, now);
        // The machine list is late by at most twice its usual lag (PROTOCOL). So the list now shows
        // a moment after the failover. Every machine on which a former owner claimed a task already
        // existed by then.
        if self.failover.age_s(now) > MAX_LIST_LAG_FACTOR * self.cfg.list_lag_s + LIST_LAG_MARGIN_S
        {
            self.mark_unknown_machines(&names);
        }
    }

    /// Applies the machine list's entry for a machine that is not known to be deleted.
    fn machine_listed(&mut self, machine: &ListedMachine, now: Time) {
        let id = &machine.id;
        self.inventory.record_listed(id);
        if self.agents.contains(id) {
            if machine.phase == MachinePhase::Failed {
                // The machine stopped without a request. The stop does not prove that the machine's
                // tasks ended. Only the answer to the deletion request proves that.
                self.mark_for_deletion(id);
            }
            return;
        }
        if machine.phase == MachinePhase::Running {
            if let Some(addr) = machine.addr {
                // The machine is up and may run tasks that a record claims, so the owner
                // contacts it.
                self.agent(&SeenMachine::by_list(machine, addr), now);
                return;
            }
        }
        self.inventory.expect(id, || PendingMachine {
            kind: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            since: Time(now.0 - machine.age_s),
        });
        if machine.phase == MachinePhase::Failed {
            self.mark_for_deletion(id);
        }
    }

    /// Marks known machines for deletion if they are missing from several lists in a row. Such
    /// machines are probably deleted already. The answer to the deletion request proves it.
    fn mark_missing_machines(&mut self, listed: &BTreeSet<&MachineId>, now: Time) {
        let known = self
            .agents
            .ids()
            .chain(self.inventory.pending_machines().keys());
        let known: Vec<MachineId> = known.cloned().collect();
        for id in known {
            if listed.contains(&id) {
                continue;
            }
            let limit_s = self.cfg.heartbeat_s * MISSED_HEARTBEATS;
            let agent = self.agents.get(&id);
            let silent = agent.is_none_or(|a| a.silence_s(now) > limit_s);
            let pending = self.inventory.pending_machines().get(&id);
            let fresh = pending.is_some_and(|c| {
                now.since(c.since) < MAYBE_UNLISTED_LAGS * self.cfg.list_lag_s + MAYBE_UNLISTED_S
            });
            if silent && !fresh && self.inventory.record_missing(&id) {
                self.mark_for_deletion(&id);
            }
        }
    }

    /// Marks a machine for deletion if a task is claimed on it, but neither the cloud's list nor a
    /// heartbeat shows the machine. Its claims count against limits until the deletion is
    /// confirmed.
    fn mark_unknown_machines(&mut self, listed: &BTreeSet<&MachineId>) {
        let unknown = self.cluster_state.unknown_machines();
        let unknown = unknown.filter(|id| !listed.contains(id));
        let unknown: Vec<MachineId> = unknown.cloned().collect();
        for id in unknown {
            self.mark_for_deletion(&id);
        }
    }

    /// Returns the machines that the owner should delete because they send heartbeats but no
    /// command reaches them. The answers to their heartbeats renew no lease, so their tasks have
    /// ended by then. If the owner deleted the machines earlier, their tasks would be lost in a
    /// network cut that soon ends.
    pub(super) fn unreachable_machines(&self, now: Time) -> Vec<MachineId> {
        let patience_s = self.cfg.lease_s * CLOCK_DRIFT_FACTOR + 2.0 * self.cfg.heartbeat_s;
        // If most machines are unreachable, this controller's network may be the cause. Another
        // controller may then become the owner soon. If no other controller becomes the owner, this
        // one deletes the machines after a longer wait.
        let patience_s = if self.agents.most_in_doubt() {
            MOST_UNREACHABLE_FACTOR * patience_s
        } else {
            patience_s
        };
        self.agents.unreachable(patience_s, now)
    }

    /// Marks a machine for deletion, whether or not it ever reported.
    pub(super) fn mark_for_deletion(&mut self, id: &MachineId) {
        match self.agents.get_mut(id) {
            Some(agent) => agent.begin_deletion(),
            None => self.inventory.mark_for_deletion(id),
        }
    }

    /// Removes deleted machines and releases the claims of their tasks.
    pub fn apply_deletions(&mut self, machines: &[MachineId], now: Time) {
        for id in machines {
            for task in self.cluster_state.claims_on(id) {
                tracing::info!(task = %task, machine = %id, "task lost because its machine was deleted");
                self.release(&task, now);
            }
            self.placement_queue.request_full_walk();
            self.tombstones.add(id, now);
            self.agents.remove(id);
            self.inventory.forget(id);
            self.cluster_state.remove_machine(id);
        }
    }
}
