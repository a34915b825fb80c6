//! The jobs that wait for others, as the committed records have them.
//!
//! - A job is *ready* once the records of all jobs that it needs say done. Done never
//!   changes, so a job that was ready stays so, for every later owner.
//! - A job is *cancelled* if its record says so or that of any job that it needs,
//!   directly or through others. One committed write so cancels a whole pipeline, in
//!   every answer that rests on a read begun after it. No task of a job with a cancelled
//!   ancestor can have started: that ancestor is never done, so the job was never ready.
//! - A job's *urgency* is the highest of its own and of all open jobs that need it.
//!
//! Users name accepted jobs only, so the graph has no cycle. A cycle in the records, which
//! no version writes, is told of, and its jobs wait until they are cancelled.
//!
//! Work for an event: readiness and cancellation visit each edge once in the life of the
//! graph. A new job visits those ancestors that become more urgent by it; one that is
//! cancelled visits the ancestors that become less urgent, and looks at each one's open
//! dependents. Jobs that are done leave the graph.

use std::collections::{BTreeSet, HashMap, VecDeque};

use sorrelhinge_protocol::types::JobId;

use crate::node::Node;
use crate::urgency::Urgency;

/// What a job's record says of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is neither done nor cancelled.
    Open,
    /// All its tasks are done, since this time of day in milliseconds; 0: the record does
    /// not tell, as an earlier version wrote it.
    Done {
        /// When.
        since_ms: u64,
    },
    /// Its user cancelled it.
    Cancelled,
}

/// What a job's record says of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobFacts {
    /// Of its end.
    pub recorded: Recorded,
    /// The jobs that it needs.
    pub needs: Vec<JobId>,
    /// Its own urgency.
    pub urgency: Urgency,
    /// What its run takes, by its owner's estimate, in milliseconds.
    pub run_ms: i64,
}

/// The graph. Jobs that neither need others nor are needed are not in it.
#[derive(Clone, Debug, Default)]
pub struct Graph {
    nodes: HashMap<JobId, Node>,
}

impl Graph {
    /// Whether a job is in it.
    pub fn contains(&self, id: &JobId) -> bool {
        self.nodes.contains_key(id)
    }

    /// Whether all jobs that it needs are done.
    pub fn is_ready(&self, id: &JobId) -> bool {
        let node = self.nodes.get(id);
        node.is_none_or(|n| n.unmet.is_empty() && !n.cancelled)
    }

    /// Whether it is cancelled, by its own record or with a job that it needs.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|n| n.cancelled)
    }

    /// The jobs that it waits for; a cancelled one waits for none.
    pub fn waits_for(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.get(id).filter(|n| !n.cancelled);
        node.into_iter().flat_map(|n| &n.unmet)
    }

    /// When the last job that it needs became done, in milliseconds of the time of day;
    /// 0: it needs none, or their records don't tell, or it is cancelled.
    pub fn ready_ms(&self, id: &JobId) -> u64 {
        let node = self.nodes.get(id).filter(|n| !n.cancelled);
        node.map_or(0, |n| n.ready_ms)
    }

    /// Its urgency, with what it inherits; none: it is not in the graph.
    pub fn urgency(&self, id: &JobId) -> Option<Urgency> {
        self.nodes.get(id).map(|n| n.urgency)
    }

    /// Takes in a job's record, and returns the jobs for which something changed by it:
    /// that they are ready, cancelled, or as urgent as before. `lookup` tells of records
    /// that were taken in while their jobs were not in the graph.
    pub fn put(
        &mut self,
        id: &JobId,
        facts: &JobFacts,
        lookup: impl Fn(&JobId) -> Option<JobFacts>,
    ) -> BTreeSet<JobId> {
        let mut changed = BTreeSet::new();
        if !self.nodes.get(id).is_some_and(|n| n.known) {
            self.insert(id, facts, &lookup, &mut changed);
        }
        match facts.recorded {
            Recorded::Open => {}
            Recorded::Cancelled => self.cancel(id, &mut changed),
            Recorded::Done { since_ms } => self.finish(id, since_ms, &mut changed),
        }
        changed
    }

    /// Takes a job in whose record was not read before.
    fn insert(
        &mut self,
        id: &JobId,
        facts: &JobFacts,
        lookup: &impl Fn(&JobId) -> Option<JobFacts>,
        changed: &mut BTreeSet<JobId>,
    ) {
        self.adopt(id, facts);
        if matches!(facts.recorded, Recorded::Done { .. }) {
            // What it needed is done, too.
            return;
        }
        for need in &facts.needs {
            self.link(id, need, lookup);
        }
        changed.insert(id.clone());
        self.raise_ancestors(id, changed);
        if facts.needs.iter().any(|need| self.is_cancelled(need)) {
            self.cancel(id, changed);
        }
    }

    /// Notes what a job's record says of the job itself.
    fn adopt(&mut self, id: &JobId, facts: &JobFacts) {
        let node = self.nodes.entry(id.clone()).or_insert_with(Node::unknown);
        node.known = true;
        node.own = facts.urgency;
        node.run_ms = facts.run_ms;
        let inherits = node.urgency;
        node.urgency = facts.urgency.joined(inherits);
    }

    /// Notes that a job needs another one.
    fn link(&mut self, id: &JobId, need: &JobId, lookup: &impl Fn(&JobId) -> Option<JobFacts>) {
        if !self.contains(need) {
            match lookup(need) {
                Some(facts) => {
                    if let Recorded::Done { since_ms } = facts.recorded {
                        return self.met(id, need, since_ms);
                    }
                    self.adopt(need, &facts);
                    if let Some(node) = self.nodes.get_mut(need) {
                        node.cancelled = facts.recorded == Recorded::Cancelled;
                    }
                }
                None => {
                    self.nodes.insert(need.clone(), Node::unknown());
                }
            }
        }
        if self.needs(need, id) {
            tracing::error!(job = %id, needs = %need, "dependency cycle; its jobs never start");
        } else if let Some(node) = self.nodes.get_mut(need) {
            node.dependents.insert(id.clone());
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.unmet.insert(need.clone());
        }
    }

    /// Jobs that a job needs and that are not done.
    fn unmet(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.get(id);
        node.into_iter().flat_map(|n| &n.unmet)
    }

    /// Whether a job needs another one, directly or through others. Only a job that was
    /// named before its record was read can be needed already.
    fn needs(&self, id: &JobId, other: &JobId) -> bool {
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

    /// A job that another one needs is done.
    fn met(&mut self, id: &JobId, need: &JobId, since_ms: u64) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.unmet.remove(need);
            node.ready_ms = node.ready_ms.max(since_ms);
        }
    }

    /// A job is done: it leaves the graph, and whoever waited only for it is ready.
    fn finish(&mut self, id: &JobId, since_ms: u64, changed: &mut BTreeSet<JobId>) {
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        changed.insert(id.clone());
        for dependent in &node.dependents {
            self.met(dependent, id, since_ms);
            if self.is_ready(dependent) {
                changed.insert(dependent.clone());
            }
        }
        // Only records that contradict each other have any left.
        for need in &node.unmet {
            if let Some(needed) = self.nodes.get_mut(need) {
                needed.dependents.remove(id);
            }
        }
    }

    /// A job is cancelled, and all jobs that need it.
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

    /// A new job makes those that it needs more urgent.
    fn raise_ancestors(&mut self, id: &JobId, changed: &mut BTreeSet<JobId>) {
        let mut next = VecDeque::from([id.clone()]);
        while let Some(at) = next.pop_front() {
            let Some(node) = self.nodes.get(&at) else {
                continue;
            };
            let Some(passed) = node.passes_on() else {
                continue;
            };
            for need in node.unmet.clone() {
                let Some(needed) = self.nodes.get_mut(&need) else {
                    continue;
                };
                let raised = needed.urgency.joined(passed);
                if needed.dependents.contains(&at) && raised != needed.urgency {
                    needed.urgency = raised;
                    changed.insert(need.clone());
                    next.push_back(need);
                }
            }
        }
    }

    /// A job that is cancelled makes those that it needs as urgent as the others do.
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
            let inherited = dependents.filter_map(Node::passes_on);
            let lowered = inherited.fold(node.own, Urgency::joined);
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
