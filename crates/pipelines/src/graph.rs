//! Dependency graph of the jobs, built from their committed records.
//!
//! - A job is *ready* once the records of all its dependencies are marked as done. A done
//!   job stays done, so a ready job stays ready for every later shard owner.
//! - A job is *cancelled* if its own record, or the record of a direct or indirect
//!   dependency, is marked as cancelled. So one committed write cancels a whole pipeline in
//!   every answer based on a read that begins after that write. No task of a job with a
//!   cancelled ancestor can have started, because that ancestor is never done and so the
//!   job was never ready.
//! - A job's *urgency* is the highest of its own and that of all open jobs that depend on it.
//!
//! A user can name only accepted jobs as dependencies, so the graph has no cycle. No version
//! writes records with a cycle. If the records contain one, the graph logs an error, and the
//! jobs of the cycle wait until they are cancelled.
//!
//! Cost of an event: the updates of readiness and cancellation visit each edge once in the
//! lifetime of the graph. A new job visits the ancestors whose urgency it raises. A
//! cancelled job visits the ancestors whose urgency drops, and reads the open dependents of
//! each. Done jobs are removed from the graph.

use std::collections::{BTreeSet, HashMap, VecDeque};

use sorrelhinge_protocol::types::JobId;

use crate::node::Node;
use crate::urgency::Urgency;

/// State of a job according to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// The job is neither done nor cancelled.
    Open,
    /// All tasks of the job are done.
    Done {
        /// Unix time in milliseconds at which the job's last task was done. The value is 0 if
        /// an earlier version wrote the record, because such a record has no time.
        since_ms: u64,
    },
    /// The user cancelled the job.
    Cancelled,
}

/// Facts from a job's record that the dependency graph uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFacts {
    /// State of the job: open, done or cancelled.
    pub recorded: Recorded,
    /// Direct dependencies of the job.
    pub needs: Vec<JobId>,
    /// Urgency that the job's own record gives, without that of its dependents.
    pub urgency: Urgency,
    /// Run time of the job in milliseconds, as its user estimates it.
    pub run_ms: i64,
}

/// Dependency graph. A job without dependencies and dependents is not in the graph.
#[derive(Clone, Debug, Default)]
pub struct Graph {
    nodes: HashMap<JobId, Node>,
}

impl Graph {
    /// Returns whether the job is in the graph.
    pub fn contains(&self, id: &JobId) -> bool {
        self.nodes.contains_key(id)
    }

    /// Returns whether the job is not cancelled and all its dependencies are done. A job that
    /// is not in the graph counts as ready.
    pub fn is_ready(&self, id: &JobId) -> bool {
        let node = self.nodes.get(id);
        node.is_none_or(|n| n.unmet.is_empty() && !n.cancelled)
    }

    /// Returns whether the job is cancelled, by its own record or with a dependency.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|n| n.cancelled)
    }

    /// Returns the dependencies that the job still waits for. A cancelled job waits for none.
    pub fn waits_for(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.get(id).filter(|n| !n.cancelled);
        node.into_iter().flat_map(|n| &n.unmet)
    }

    /// Returns the Unix time in milliseconds at which the job's last dependency was done.
    /// Returns 0 if the job has no dependencies, their records have no time, or the job is
    /// cancelled.
    pub fn ready_ms(&self, id: &JobId) -> u64 {
        let node = self.nodes.get(id).filter(|n| !n.cancelled);
        node.map_or(0, |n| n.ready_ms)
    }

    /// Returns the job's urgency, including the inherited urgency. Returns `None` if the job
    /// is not in the graph.
    pub fn urgency(&self, id: &JobId) -> Option<Urgency> {
        self.nodes.get(id).map(|n| n.urgency)
    }

    /// Applies a job's record to the graph and returns the jobs that changed. A job counts
    /// as changed if it became ready or cancelled or if its urgency changed. `lookup` returns
    /// the facts of a record that was read earlier, while its job was not in the graph.
    pub fn put(
        &mut self,
        id: &JobId,
        facts: &JobFacts,
        lookup: impl Fn(&JobId) -> Option<JobFacts>,
    ) -> BTreeSet<JobId> {
        let mut changed = BTreeSet::new();
        if !self.nodes.get(id).is_some_and(|n| n.record_seen) {
            self.insert(id, facts, &lookup, &mut changed);
        }
        match facts.recorded {
            Recorded::Open => {}
            Recorded::Cancelled => self.cancel(id, &mut changed),
            Recorded::Done { since_ms } => self.remove_done(id, since_ms, &mut changed),
        }
        changed
    }

    /// Adds a job whose record was not read before.
    fn insert(
        &mut self,
        id: &JobId,
        facts: &JobFacts,
        lookup: &impl Fn(&JobId) -> Option<JobFacts>,
        changed: &mut BTreeSet<JobId>,
    ) {
        self.set_own_facts(id, facts);
        if matches!(facts.recorded, Recorded::Done { .. }) {
            // The dependencies of a done job are done too, so no link is needed.
            return;
        }
        for need in &facts.needs {
            self.add_dependency(id, need, lookup);
        }
        changed.insert(id.clone());
        self.raise_ancestors(id, changed);
        if facts.needs.iter().any(|need| self.is_cancelled(need)) {
            self.cancel(id, changed);
        }
    }

    /// Copies the facts of the job's own record into its node, without its dependencies.
    fn set_own_facts(&mut self, id: &JobId, facts: &JobFacts) {
        let node = self.nodes.entry(id.clone()).or_insert_with(Node::unknown);
        node.record_seen = true;
        node.own = facts.urgency;
        node.run_ms = facts.run_ms;
        let inherits = node.urgency;
        node.urgency = facts.urgency.most_urgent(inherits);
    }

    /// Records that job `id` depends on job `need`.
    fn add_dependency(
        &mut self,
        id: &JobId,
        need: &JobId,
        lookup: &impl Fn(&JobId) -> Option<JobFacts>,
    ) {
        if !self.contains(need) {
            match lookup(need) {
                Some(facts) => {
                    if let Recorded::Done { since_ms } = facts.recorded {
                        return self.mark_dependency_done(id, need, since_ms);
                    }
                    self.set_own_facts(need, &facts);
                    if let Some(node) = self.nodes.get_mut(need) {
                        node.cancelled = facts.recorded == Recorded::Cancelled;
                    }
                }
                None => {
                    self.nodes.insert(need.clone(), Node::unknown());
                }
            }
        }
        if self.depends_on(need, id) {
            tracing::error!(job = %id, needs = %need, "dependency cycle; its jobs never start");
        } else if let Some(node) = self.nodes.get_mut(need) {
            node.dependents.insert(id.clone());
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.unmet.insert(need.clone());
        }
    }

    /// Returns the job's dependencies that are not done.
    fn unmet(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.get(id);
        node.into_iter().flat_map(|n| &n.unmet)
    }

    /// Returns whether job `id` depends on job `other`, directly or indirectly. A new job has
    /// dependents only if another record named the job before its own record was read.
    fn depends_on(&self, id: &JobId, other: &JobId) -> bool {
        if id == other {
            return true;
        }
        let needed = self.nodes.get(other);
        if needed.is_none_or(|n| n.dependents.is_empty()) {
            return false;
        }
        let mut seen: BTreeSet<&JobId> = BTreeSet::from([id]);
        let mut next = vec![id];
        while let Some(at) = next.pop() {
            for need in self.unmet(at) {
                if need == other {
                    return true;
                }
                if seen.insert(need) {
                    next.push(need);
                }
            }
        }
        false
    }

    /// Removes the done job `need` from the unmet dependencies of job `id`.
    fn mark_dependency_done(&mut self, id: &JobId, need: &JobId, since_ms: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.unmet.remove(need);
            node.ready_ms = node.ready_ms.max(since_ms);
        }
    }

    /// Removes a done job from the graph. Dependents that waited only for this job become
    /// ready.
    fn remove_done(&mut self, id: &JobId, since_ms: u64, changed: &mut BTreeSet<JobId>) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        changed.insert(id.clone());
        for dependent in &node.dependents {
            self.mark_dependency_done(dependent, id, since_ms);
            if self.is_ready(dependent) {
                changed.insert(dependent.clone());
            }
        }
        // A done job has unmet dependencies only if the records contradict each other.
        for need in &node.unmet {
            if let Some(needed) = self.nodes.get_mut(need) {
                needed.dependents.remove(id);
            }
        }
    }

    /// Cancels a job and all its direct and indirect dependents.
    fn cancel(&mut self, id: &JobId, changed: &mut BTreeSet<JobId>) {
        let mut cancelled = Vec::new();
        let mut next = vec![id.clone()];
        while let Some(at) = next.pop() {
            let Some(node) = self.nodes.get_mut(&at) else {
                continue;
            };
            if std::mem::replace(&mut node.cancelled, true) {
                continue;
            }
            next.extend(node.dependents.iter().cloned());
            cancelled.push(at);
        }
        for at in &cancelled {
            self.lower_ancestors(at, changed);
        }
        changed.extend(cancelled);
    }

    /// Raises the urgency of the new job's direct and indirect dependencies.
    fn raise_ancestors(&mut self, id: &JobId, changed: &mut BTreeSet<JobId>) {
        let mut next = VecDeque::from([id.clone()]);
        while let Some(at) = next.pop_front() {
            let Some(node) = self.nodes.get(&at) else {
                continue;
            };
            let Some(passed) = node.urgency_for_dependencies() else {
                continue;
            };
            for need in node.unmet.clone() {
                let Some(needed) = self.nodes.get_mut(&need) else {
                    continue;
                };
                let raised = needed.urgency.most_urgent(passed);
                if needed.dependents.contains(&at) && raised != needed.urgency {
                    needed.urgency = raised;
                    changed.insert(need.clone());
                    next.push_back(need);
                }
            }
        }
    }

    /// Lowers the urgency of a cancelled job's direct and indirect dependencies to that which
    /// their remaining dependents give them.
    fn lower_ancestors(&mut self, id: &JobId, changed: &mut BTreeSet<JobId>) {
        let mut next: VecDeque<JobId> = self.unmet(id).cloned().collect();
        for need in &next {
            if let Some(needed) = self.nodes.get_mut(need) {
                needed.dependents.remove(id);
            }
        }
        while let Some(at) = next.pop_front() {
            let Some(node) = self.nodes.get(&at) else {
                continue;
            };
            let dependents = node.dependents.iter().filter_map(|d| self.nodes.get(d));
            let inherited = dependents.filter_map(Node::urgency_for_dependencies);
            let lowered = inherited.fold(node.own, Urgency::most_urgent);
            if lowered != node.urgency {
                next.extend(node.unmet.iter().cloned());
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.urgency = lowered;
                }
                changed.insert(at);
            }
        }
    }
}
