//! The states of all agents that are up, by the names of their machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::agent::AgentState;
use crate::types::{JobId, MachineId, Time};

/// The states of the agents of all machines that are up.
#[derive(Default)]
pub(super) struct AgentTable {
    agents: BTreeMap<MachineId, AgentState>,
}

impl AgentTable {
    /// An agent's state; none: its machine is not up, as far as is known.
    pub(super) fn get(&self, id: &MachineId) -> Option<&AgentState> {
        self.agents.get(id)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, id: &MachineId) -> Option<&mut AgentState> {
        self.agents.get_mut(id)
    }

    /// Whether a machine is up.
    pub(super) fn contains(&self, id: &MachineId) -> bool {
        self.agents.contains_key(id)
    }

    /// How many machines are up.
    pub(super) fn len(&self) -> usize {
        self.agents.len()
    }

    /// The names of all machines that are up, in their order.
    pub(super) fn ids(&self) -> impl Iterator<Item = &MachineId> {
        self.agents.keys()
    }

    /// All states, by name, to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&MachineId, &mut AgentState)> {
        self.agents.iter_mut()
    }

    /// A machine came up.
    pub(super) fn came_up(&mut self, id: MachineId, agent: AgentState) {
        self.agents.insert(id, agent);
    }

    /// A machine was deleted.
    pub(super) fn deleted(&mut self, id: &MachineId) {
        self.agents.remove(id);
    }

    /// Where an agent listens.
    pub(super) fn addr(&self, id: &MachineId) -> Option<SocketAddr> {
        self.agents.get(id).map(|agent| agent.addr)
    }

    /// How many agents have not reported their present fencing token.
    pub(super) fn count_unfenced(&self) -> usize {
        let unfenced = self.agents.values().filter(|agent| !agent.fenced());
        unfenced.count()
    }

    /// Whether an agent of a machine that stays has not reported its present fencing token.
    pub(super) fn any_staying_unfenced(&self) -> bool {
        let mut agents = self.agents.values();
        agents.any(|agent| !agent.fenced() && !agent.is_deleting())
    }

    /// Whether more than half of all agents sent a heartbeat in the last `limit_s` seconds.
    pub(super) fn most_reported_within(&self, limit_s: f64, now: Time) -> bool {
        let agents = self.agents.values();
        let reported = agents.filter(|agent| agent.silence_s(now) < limit_s);
        reported.count() * 2 > self.agents.len()
    }

    /// Whether it is in doubt of more than half of all agents that commands reach them.
    pub(super) fn most_in_doubt(&self) -> bool {
        let agents = self.agents.values();
        let in_doubt = agents.filter(|agent| agent.reachability.in_doubt());
        in_doubt.count() * 2 > self.agents.len()
    }

    /// Machines that stay and that no command has reached for `patience_s` seconds, by name.
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
