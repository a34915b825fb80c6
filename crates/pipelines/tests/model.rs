//! Compares the dependency graph with a slow, simple model, over generated histories and in
//! any order in which records are read.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sorrelhinge_pipelines::graph::{Graph, JobFacts, Recorded};
use sorrelhinge_pipelines::urgency::Urgency;
use sorrelhinge_protocol::types::{JobId, Priority};

/// Answers of the graph, or of the model, about one job.
#[derive(Clone, Debug, PartialEq)]
struct Seen {
    ready: bool,
    cancelled: bool,
    waits_for: BTreeSet<JobId>,
    ready_ms: u64,
    urgency: Option<Urgency>,
}

/// Reference model. It holds all job records and computes each answer by recursion.
#[derive(Clone, Default)]
struct Model {
    records: BTreeMap<JobId, JobFacts>,
}

impl Model {
    fn done_since(&self, id: &JobId) -> Option<u64> {
        match self.records.get(id)?.recorded {
            Recorded::Done { since_ms } => Some(since_ms),
            Recorded::Open | Recorded::Cancelled => None,
        }
    }

    fn cancelled(&self, id: &JobId) -> bool {
        let Some(facts) = self.records.get(id) else {
            return false;
        };
        match facts.recorded {
            Recorded::Done { .. } => false,
            Recorded::Cancelled => true,
            Recorded::Open => facts.needs.iter().any(|need| self.cancelled(need)),
        }
    }

    fn urgency(&self, id: &JobId) -> Urgency {
        let open = self.records.iter().filter(|(other, facts)| {
            facts.needs.contains(id) && !self.cancelled(other) && self.done_since(other).is_none()
        });
        let passed = open.map(|(other, facts)| self.urgency(other).for_dependencies(facts.run_ms));
        passed.fold(self.records[id].urgency, Urgency::most_urgent)
    }

    fn seen(&self, id: &JobId) -> Seen {
        let facts = &self.records[id];
        let needs: &[JobId] = if self.cancelled(id) {
            &[]
        } else {
            &facts.needs
        };
        let waits_for = needs.iter().filter(|n| self.done_since(n).is_none());
        let waits_for: BTreeSet<JobId> = waits_for.cloned().collect();
        let since = needs.iter().filter_map(|n| self.done_since(n));
        Seen {
            ready: waits_for.is_empty() && !self.cancelled(id),
            cancelled: self.cancelled(id),
            waits_for,
            ready_ms: since.max().unwrap_or(0),
            urgency: Some(self.urgency(id)),
        }
    }

    /// Returns the jobs whose record is not marked as done.
    fn open(&self) -> impl Iterator<Item = &JobId> {
        self.records
            .keys()
            .filter(|id| self.done_since(id).is_none())
    }
}

fn seen(graph: &Graph, id: &JobId) -> Seen {
    Seen {
        ready: graph.is_ready(id),
        cancelled: graph.is_cancelled(id),
        waits_for: graph.waits_for(id).cloned().collect(),
        ready_ms: graph.ready_ms(id),
        urgency: graph.urgency(id),
    }
}

/// Applies a record to the graph as the controller's view of the store does: a job without
/// dependencies enters the graph only if another record names the job.
fn put(
    graph: &mut Graph,
    read: &mut BTreeMap<JobId, JobFacts>,
    id: &JobId,
    facts: &JobFacts,
) -> BTreeSet<JobId> {
    read.insert(id.clone(), facts.clone());
    if facts.needs.is_empty() && !graph.contains(id) {
        return BTreeSet::new();
    }
    graph.put(id, facts, |other| read.get(other).cloned())
}

/// Compares the graph's answers with the model's for all open jobs. A job outside the graph
/// must have no dependencies and only its own urgency.
fn compare(graph: &Graph, model: &Model) -> Result<(), TestCaseError> {
    for id in model.open() {
        let expected = model.seen(id);
        if graph.contains(id) {
            prop_assert_eq!(seen(graph, id), expected, "{}", id);
        } else {
            let facts = &model.records[id];
            prop_assert!(facts.needs.is_empty(), "{} is not in the graph", id);
            prop_assert_eq!(expected.urgency, Some(facts.urgency), "{}", id);
        }
    }
    Ok(())
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        needs: Vec<prop::sample::Index>,
        priority: Priority,
        finish_ms: Option<i64>,
        run_ms: i64,
    },
    Finish(prop::sample::Index),
    Cancel(prop::sample::Index),
}

fn priority() -> impl Strategy<Value = Priority> {
    prop::sample::select(vec![
        Priority::Idle,
        Priority::Normal,
        Priority::High,
        Priority::Critical,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    let needs = prop::collection::vec(index(), 0..4);
    let finish = prop::option::of(0_i64..100_000);
    prop_oneof![
        4 => (needs, priority(), finish, 0_i64..5_000).prop_map(
            |(needs, priority, finish_ms, run_ms)| Step::Submit { needs, priority, finish_ms, run_ms }
        ),
        2 => index().prop_map(Step::Finish),
        1 => index().prop_map(Step::Cancel),
    ]
}

/// Returns the record that the step writes, or `None` if the step writes none.
fn written(step: &Step, at: usize, model: &Model) -> Option<(JobId, JobFacts)> {
    let ids: Vec<JobId> = model.records.keys().cloned().collect();
    match step {
        Step::Submit {
            needs,
            priority,
            finish_ms,
            run_ms,
        } => {
            let needs: BTreeSet<JobId> = if ids.is_empty() {
                BTreeSet::new()
            } else {
                needs.iter().map(|n| n.get(&ids).clone()).collect()
            };
            let facts = JobFacts {
                recorded: Recorded::Open,
                needs: needs.into_iter().collect(),
                urgency: Urgency {
                    priority: *priority,
                    finish_ms: *finish_ms,
                },
                run_ms: *run_ms,
            };
            Some((JobId::from(format!("run-{at:04}").as_str()), facts))
        }
        Step::Finish(which) => {
            let ready = model.open().filter(|id| model.seen(id).ready).cloned();
            let since_ms = at as u64 + 1;
            ended(which, ready.collect(), Recorded::Done { since_ms }, model)
        }
        Step::Cancel(which) => {
            let open = model.open().cloned().collect();
            ended(which, open, Recorded::Cancelled, model)
        }
    }
}

/// Returns the final record of one of the jobs in `ids`, or `None` if `ids` is empty.
fn ended(
    which: &prop::sample::Index,
    ids: Vec<JobId>,
    recorded: Recorded,
    model: &Model,
) -> Option<(JobId, JobFacts)> {
    let id = (!ids.is_empty()).then(|| which.get(&ids).clone())?;
    let facts = JobFacts {
        recorded,
        ..model.records[&id].clone()
    };
    Some((id, facts))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// After each record the graph gives the same answers as the model, and `put` returns
    /// every job whose answers changed.
    #[test]
    fn follows_the_records(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::default();
        let (mut graph, mut read) = (Graph::default(), BTreeMap::new());
        for (at, step) in steps.iter().enumerate() {
            let Some((id, facts)) = written(step, at, &model) else { continue };
            let before: BTreeMap<JobId, Seen> =
                model.open().filter(|id| graph.contains(id)).map(|id| (id.clone(), seen(&graph, id))).collect();
            model.records.insert(id.clone(), facts.clone());
            let changed = put(&mut graph, &mut read, &id, &facts);
            compare(&graph, &model)?;
            for (other, before) in before {
                let after = seen(&graph, &other);
                let (was, is) = ((before.ready, before.cancelled, before.urgency), (after.ready, after.cancelled, after.urgency));
                prop_assert!(was == is || changed.contains(&other), "{} changed unnamed", other);
            }
        }
    }

    /// The graph gives the same answers in whatever order a starting controller reads the
    /// records.
    #[test]
    fn is_the_same_in_any_order_of_reading(
        steps in prop::collection::vec(step(), 1..50),
        order in prop::collection::vec(any::<u64>(), 50),
    ) {
        let mut model = Model::default();
        for (at, step) in steps.iter().enumerate() {
            if let Some((id, facts)) = written(step, at, &model) {
                model.records.insert(id, facts);
            }
        }
        let mut all: Vec<(&u64, (&JobId, &JobFacts))> = order.iter().zip(&model.records).collect();
        all.sort_by_key(|(rank, _)| **rank);
        let (mut graph, mut read) = (Graph::default(), BTreeMap::new());
        for (_, (id, facts)) in all {
            // A done job's record has neither a job description nor dependencies any more.
            let facts = match facts.recorded {
                Recorded::Done { .. } => JobFacts { needs: Vec::new(), ..facts.clone() },
                Recorded::Open | Recorded::Cancelled => facts.clone(),
            };
            put(&mut graph, &mut read, id, &facts);
        }
        compare(&graph, &model)?;
    }
}

fn open(needs: &[&str]) -> JobFacts {
    JobFacts {
        recorded: Recorded::Open,
        needs: needs.iter().map(|n| JobId::from(*n)).collect(),
        urgency: Urgency {
            priority: Priority::Normal,
            finish_ms: Some(100),
        },
        run_ms: 10,
    }
}

/// No version writes a dependency cycle. If the records contain one, reading must terminate
/// and no job of the cycle may become ready.
#[test]
fn a_cycle_in_the_records_is_survived() {
    let records = [
        ("a", open(&["c"])),
        ("b", open(&["a"])),
        ("c", open(&["b"])),
        ("d", open(&["d"])),
    ];
    let (mut graph, mut read) = (Graph::default(), BTreeMap::new());
    for (id, facts) in &records {
        put(&mut graph, &mut read, &JobId::from(*id), facts);
    }
    for (id, _) in &records {
        assert!(!graph.is_ready(&JobId::from(*id)), "{id} waits");
    }
    let cancelled = JobFacts {
        recorded: Recorded::Cancelled,
        ..open(&["c"])
    };
    put(&mut graph, &mut read, &JobId::from("a"), &cancelled);
    assert!(
        graph.is_cancelled(&JobId::from("b")),
        "with the job that it needs"
    );
}
