//! Which jobs came of late, by what they have in common.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use super::Core;
use crate::types::{JobSpec, Time, TypeName};

/// Of so many jobs of one sort it is kept when they came.
const MAX_ARRIVALS: usize = 2000;

/// What jobs have in common whose arrivals are counted together: those of one class may
/// need different machine types.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ArrivalSort {
    class: Rc<str>,
    /// The smallest machine type that a task fits; none if no type is known that it does.
    smallest_type: Option<TypeName>,
}

/// Jobs of one sort that came of late.
pub(super) struct Arrivals {
    /// The latest one's description.
    spec: Rc<JobSpec>,
    /// The latest last.
    recent: VecDeque<Arrival>,
}

/// A job that came.
struct Arrival {
    at: Time,
    /// How many tasks it has.
    tasks: u32,
}

impl Arrivals {
    /// None came yet of those that are like this job.
    fn new(spec: &Rc<JobSpec>) -> Self {
        Self {
            spec: spec.clone(),
            recent: VecDeque::new(),
        }
    }

    /// A job came.
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

    /// The latest one's description.
    pub(super) fn spec(&self) -> &Rc<JobSpec> {
        &self.spec
    }

    /// How many tasks each has, the latest last.
    pub(super) fn task_counts(&self) -> impl ExactSizeIterator<Item = u32> + '_ {
        self.recent.iter().map(|arrival| arrival.tasks)
    }

    /// How many tasks the largest has.
    pub(super) fn largest_task_count(&self) -> u32 {
        self.task_counts().max().unwrap_or(0)
    }

    /// When the earliest came that still counts.
    fn first_at(&self) -> Option<Time> {
        self.recent.front().map(|arrival| arrival.at)
    }
}

/// All jobs that came of late, by their sort.
#[derive(Default)]
pub(super) struct ArrivalLog {
    by_sort: BTreeMap<ArrivalSort, Arrivals>,
}

impl ArrivalLog {
    /// A job of a sort came.
    fn add(&mut self, sort: ArrivalSort, spec: &Rc<JobSpec>, at: Time) {
        let arrivals = self.by_sort.entry(sort);
        arrivals
            .or_insert_with(|| Arrivals::new(spec))
            .add(spec, at);
    }

    /// Drops arrivals that are older than so many seconds, and sorts of which none is left.
    pub(super) fn expire(&mut self, age_s: f64, now: Time) {
        for arrivals in self.by_sort.values_mut() {
            arrivals
                .recent
                .retain(|arrival| now.since(arrival.at) < age_s);
        }
        self.by_sort.retain(|_, a| !a.recent.is_empty());
    }

    /// Each sort's arrivals, in the order of the sorts.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Arrivals> {
        self.by_sort.values()
    }

    /// When the earliest came that still counts, or `now` if none does.
    pub(super) fn first_at(&self, now: Time) -> Time {
        let firsts = self.by_sort.values().filter_map(Arrivals::first_at);
        Time(firsts.map(|at| at.0).fold(now.0, f64::min))
    }
}

impl Core {
    /// A job came: others of its sort may follow.
    pub(super) fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        let sort = ArrivalSort {
            class: Rc::from(&*spec.class),
            smallest_type: self.types.smallest_for(spec.each).cloned(),
        };
        self.scaling.arrivals.add(sort, spec, at);
    }
}
