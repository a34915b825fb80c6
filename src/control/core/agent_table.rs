//! States of all agents whose machines are up, by machine name.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::agent::AgentState;
use crate::types::{FencingToken, JobId, MachineId, Time};

/// States of all agents whose machines are up, by machine name.
#[derive(Default)]
pub(super) struct AgentTable {
    agents: BTreeMap<MachineId, AgentState>,
}

impl AgentTable {
    /// Returns the state of a machine's agent. Returns `None` if the machine is not known to be
    /// up.
    pub(super) fn get(&self, id: &MachineId) -> Option<&AgentState> {
        self.agents.get(id)
    }

    /// Returns the mutable state of a machine's agent. Returns `None` if the machine is not
    /// known to be up.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut AgentState> {
        self.agents.get_mut(id)
    }

    /// Returns whether a machine is up.
    pub(super) fn contains(&self, id: &MachineId) -> bool {
        self.agents.contains_key(id)
    }

    /// Returns the number of machines that are up.
    pub(super) fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns the names of all machines that are up, in ascending order.
    pub(super) fn ids(&self) -> impl Iterator<Item = &MachineId> {
        self.agents.keys()
    }

    /// Returns all states for changes, in the order of the machine names.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&MachineId, &mut AgentState)> {
        self.agents.iter_mut()
    }

    /// Adds the agent of a machine that came up.
    pub(super) fn insert(&mut self, id: MachineId, agent: AgentState) {
        self.agents.insert(id, agent);
    }

    /// Removes the agent of a deleted machine.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.agents.remove(id);
    }

    /// Returns the address on which an agent listens.
    pub(super) fn addr(&self, id: &MachineId) -> Option<SocketAddr> {
        self.agents.get(id).map(|agent| agent.addr)
    }

    /// Returns the highest fencing token that commands to any agent carry.
    pub(super) fn highest_fencing_token(&self) -> Option<FencingToken> {
        self.agents.values().map(|agent| agent.fence.token()).max()
    }

    /// Returns the number of agents that have not reported their current fencing token.
    pub(super) fn count_unfenced(&self) -> usize {
        let unfenced = self.agents.values().filter(|agent| !agent.fenced());
        unfenced.count()
    }

    /// Returns whether any agent has not reported its current fencing token. Agents whose machines
    /// are being deleted don't count.
    pub(super) fn any_unfenced_except_deleting(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|agent| !agent.fenced() && !agent.is_deleting())
    }

    /// Returns whether more than half of all agents sent a heartbeat in the last `limit_s`
    /// seconds.
    pub(super) fn most_reported_within(&self, limit_s: f64, now: Time) -> bool {
        let agents = self.agents.values();
        let reported = agents.filter(|agent| agent.silence_s(now) < limit_s);
        reported.count() * 2 > self.agents.len()
    }

    /// Returns whether more than half of all agents may be unreachable for commands.
    pub(super) fn most_in_doubt(&self) -> bool {
        let agents = self.agents.values();
        let in_doubt = agents.filter(|agent| agent.reachability.in_doubt());
        in_doubt.count() * 2 > self.agents.len()
    }

    /// Returns the names of machines that no command has reached for `patience_s` seconds, in
    /// ascending order. Machines that are being deleted are left out.
    pub(super) fn unreachable(&self, patience_s: f64, now: Time) -> Vec<MachineId> {
        let is_unreachable = |agent: &AgentState| {
            !agent.is_deleting() && agent.reachability.is_unreachable(patience_s, now)
        };
        let agents = self.agents.iter();
        let unreachable = agents.filter(|(_, agent)| is_unreachable(agent));
        unreachable.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a job's failures from the records of all machines.
    pub(super) fn remove_job_failures(&mut self, job: &JobId) {
        for agent in self.agents.values_mut() {
            agent.failed_jobs.remove(job);
        }
    }
}
