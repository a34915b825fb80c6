//! Log of the jobs that arrived recently, grouped by class and machine type.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::Core;
use crate::types::{JobSpec, Time, TypeName};

/// Maximum number of arrivals that the log keeps of one group of jobs.
const MAX_ARRIVALS: usize = 2000;

/// Properties that the jobs of one group share. The jobs of one class may need different machine
/// types, so the class alone does not make a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ArrivalGroup {
    class: Rc<str>,
    /// The smallest machine type that a task fits on. `None` if a task fits on no known type.
    smallest_type: Option<TypeName>,
}

/// Recent arrivals of one group of jobs.
pub(super) struct Arrivals {
    /// Description of the latest job of the group.
    spec: Rc<JobSpec>,
    /// Arrivals of the group's jobs in order of time, the latest last.
    recent: VecDeque<Arrival>,
}

/// Arrival of one job.
struct Arrival {
    at: Time,
    tasks: u32,
}

impl Arrivals {
    /// Returns an empty log of arrivals for the group of the job `spec`.
    fn new(spec: &Rc<JobSpec>) -> Self {
        Self {
            spec: spec.clone(),
            recent: VecDeque::new(),
        }
    }

    /// Adds the arrival of a job.
    fn add(&mut self, spec: &Rc<JobSpec>, at: Time) {
        self.spec = spec.clone();
        self.recent.push_back(Arrival {
            at,
            tasks: spec.tasks,
        });
        if self.recent.len() > MAX_ARRIVALS {
            self.recent.pop_front();
        }
    }

    /// Returns the description of the latest job of the group.
    pub(super) fn spec(&self) -> &Rc<JobSpec> {
        &self.spec
    }

    /// Returns the number of tasks of each recent job of the group, the latest job last.
    pub(super) fn task_counts(&self) -> impl ExactSizeIterator<Item = u32> + '_ {
        self.recent.iter().map(|arrival| arrival.tasks)
    }

    /// Returns the number of tasks of the largest recent job of the group.
    pub(super) fn largest_task_count(&self) -> u32 {
        self.task_counts().max().unwrap_or(0)
    }

    /// Returns the time of the earliest arrival that has not expired.
    fn first_at(&self) -> Option<Time> {
        self.recent.front().map(|arrival| arrival.at)
    }
}

/// Recent arrivals of all groups of jobs.
#[derive(Default)]
pub(super) struct ArrivalLog {
    by_group: BTreeMap<ArrivalGroup, Arrivals>,
}

impl ArrivalLog {
    /// Adds the arrival of a job to its group.
    fn add(&mut self, group: ArrivalGroup, spec: &Rc<JobSpec>, at: Time) {
        let arrivals = self.by_group.entry(group);
        arrivals
            .or_insert_with(|| Arrivals::new(spec))
            .add(spec, at);
    }

    /// Removes arrivals that are at least `age_s` seconds old, and groups without arrivals.
    pub(super) fn expire(&mut self, age_s: f64, now: Time) {
        for arrivals in self.by_group.values_mut() {
            arrivals
                .recent
                .retain(|arrival| now.since(arrival.at) < age_s);
        }
        self.by_group.retain(|_, a| !a.recent.is_empty());
    }

    /// Returns the arrivals of each group, in the order of the groups.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Arrivals> {
        self.by_group.values()
    }

    /// Returns the time of the earliest arrival that has not expired, or `now` if the log is
    /// empty.
    pub(super) fn first_at(&self, now: Time) -> Time {
        let firsts = self.by_group.values().filter_map(Arrivals::first_at);
        Time(firsts.map(|at| at.0).fold(now.0, f64::min))
    }
}

impl Core {
    /// Records the arrival of a job, because more jobs of its group may follow.
    pub(super) fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        let group = ArrivalGroup {
            class: Rc::from(&*spec.class),
            smallest_type: self.types.smallest_for(spec.each).cloned(),
        };
        self.scaling.arrivals.add(group, spec, at);
    }
}
