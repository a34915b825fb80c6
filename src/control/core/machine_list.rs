//! What machines there are, by the cloud's list and by what was deleted: which are new,
//! which were deleted, and which are given back.

use std::collections::BTreeSet;

use super::inventory::PendingMachine;
use super::seen_machine::SeenMachine;
use super::Core;
use crate::cloud::{ListedMachine, MachinePhase};
use crate::types::{MachineId, Time};

/// Clocks drift apart by 0.05% (PROTOCOL).
const DRIFT: f64 = 1.001;
/// A machine that missed so many heartbeats may be gone.
const MISSED_HEARTBEATS: f64 = 1.5;
/// A machine that was rented less than so many usual lags of the list, and so many seconds,
/// ago may not be listed yet.
const FRESH_LAGS: f64 = 3.0;
const FRESH_S: f64 = 5.0;
/// So many usual lags, and so many seconds, after a failover the list is certainly not
/// from before it (PROTOCOL: it is late by twice its usual lag at most).
const LATEST_LAGS: f64 = 2.0;
const LATEST_S: f64 = 2.0;
/// How many times longer machines may be unreachable if most are.
const MAX_ONE_WAY_REACHABLE_FACTOR: f64 = 3.0;

impl Core {
    /// The machine list arrived: learn of machines, and of those that were deleted.
    pub fn listed(&mut self, list: &[ListedMachine], now: Time) {
        let names: BTreeSet<&MachineId> = list.iter().map(|m| &m.id).collect();
        self.inventory.list_read();
        self.tombstones.expire(&self.cfg, now);
        for machine in list {
            // The list is late: a deleted machine must not come back as
            // one to be asked, or waited for.
            if !self.tombstones.contains(&machine.id) {
                self.machine_listed(machine, now);
            }
        }
        self.give_back_missing(&names, now);
        // A list is late by twice its usual lag at most (PROTOCOL), so by now it
        // shows a time at which every machine that a former owner claimed
        // was there.
        if self.failover.age_s(now) > LATEST_LAGS * self.cfg.list_lag_s + LATEST_S {
            self.give_back_unknown(&names);
        }
    }

    /// The list shows a machine that is not known to be deleted.
    fn machine_listed(&mut self, machine: &ListedMachine, now: Time) {
        let id = &machine.id;
        self.inventory.seen(id);
        if self.agents.contains(id) {
            if machine.phase == MachinePhase::Failed {
                // It stopped by itself. That proves nothing about its
                // tasks; the answer to deleting it will.
                self.mark_for_scale_in(id);
            }
            return;
        }
        if machine.phase == MachinePhase::Running {
            if let Some(addr) = machine.addr {
                // Up, and perhaps running tasks that a record claims: ask it.
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
            self.mark_for_scale_in(id);
        }
    }

    /// A machine that was known before and is missing from several lists in a row is
    /// probably gone; deleting it proves that.
    fn give_back_missing(&mut self, listed: &BTreeSet<&MachineId>, now: Time) {
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
            let fresh = pending
                .is_some_and(|c| now.since(c.since) < FRESH_LAGS * self.cfg.list_lag_s + FRESH_S);
            if silent && !fresh && self.inventory.not_seen(&id) {
                self.mark_for_scale_in(&id);
            }
        }
    }

    /// Claims can name machines that neither list nor heartbeat shows. Until these are gone
    /// their claims count against limits.
    fn give_back_unknown(&mut self, listed: &BTreeSet<&MachineId>) {
        let unknown = self.cluster_state.unknown_machines();
        let unknown = unknown.filter(|id| !listed.contains(id));
        let unknown: Vec<MachineId> = unknown.cloned().collect();
        for id in unknown {
            self.mark_for_scale_in(&id);
        }
    }

    /// Machines that heartbeat and that no command reaches, to be given back. Their answers renew
    /// no lease, so what ran there has ended by then: before, a cut that heals would
    /// cost their tasks.
    pub(super) fn unreachable_machines(&self, now: Time) -> Vec<MachineId> {
        let patience_s = self.cfg.lease_s * DRIFT + 2.0 * self.cfg.heartbeat_s;
        // If most are unreachable it may be this controller's network. Another
        // may then be the owner before long; if none is, they go all the same.
        let patience_s = if self.agents.most_in_doubt() {
            MAX_ONE_WAY_REACHABLE_FACTOR * patience_s
        } else {
            patience_s
        };
        self.agents.unreachable(patience_s, now)
    }

    /// A machine is to be deleted, whether it ever reported or not.
    pub(super) fn mark_for_scale_in(&mut self, id: &MachineId) {
        match self.agents.get_mut(id) {
            Some(agent) => agent.begin_deletion(),
            None => self.inventory.mark_for_scale_in(id),
        }
    }

    /// Machines were deleted: they and their tasks are gone.
    pub fn deleted(&mut self, machines: &[MachineId], now: Time) {
        for id in machines {
            for task in self.cluster_state.claims_on(id) {
                tracing::info!(task = %task, machine = %id, "task lost with its machine");
                self.release(&task, now);
            }
            self.placement_queue.request_full_walk();
            self.tombstones.add(id, now);
            self.agents.deleted(id);
            self.inventory.forget(id);
            self.cluster_state.remove_machine(id);
        }
    }
}
