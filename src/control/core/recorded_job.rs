//! Jobs as they are recorded, taken into the cluster state: at a takeover, when they come,
//! when they become ready, and when another shard leaves tasks of them to this one.

use std::rc::Rc;

use super::objectives::JobTimes;
use super::Core;
use crate::scheduler::{Claim, ClusterState, Job, Laned, Progress, Sent, Tasks};
use crate::state::record::ChunkId;
use crate::state::record::{ChunkRecord, JobRecord, Phase, RecordedClaim};
use crate::state::view::{JobEntry, View};
use crate::types::{Attempt, JobId, JobSpec, Kind, MachineId, TaskId, Time};
use sorrelhinge_topology::devices::Unit;

/// From when a job's times count, by the time of day in the records.
pub(super) fn job_times(
    view: &View,
    id: &JobId,
    record: &JobRecord,
    now: Time,
    wall_ms: u64,
) -> JobTimes {
    let pipelines = view.pipelines();
    let seconds_ago = |at_ms: u64| (wall_ms as f64 - at_ms as f64) / 1000.0;
    let accepted = Time(now.0 - seconds_ago(record.accepted_ms).max(0.0));
    // An earlier version's record of a done job does not say when; whatever names such a
    // job was submitted later, so it counts as ready since then.
    let ready_ms = pipelines.ready_ms(id).max(record.accepted_ms);
    let finish_ms = pipelines.urgency(id).and_then(|u| u.finish_ms);
    JobTimes {
        accepted,
        ready: Time(now.0 - seconds_ago(ready_ms).max(0.0)),
        latest_finish: finish_ms.map(|at| now.after((at as f64 - wall_ms as f64) / 1000.0)),
    }
}

/// After as many attempts without a result as it has tasks a new owner takes a job for
/// mistaken, but not after fewer than the first of these, nor later than after the second.
const MIN_FAILED_ATTEMPTS: u64 = 3;
const MAX_FAILED_ATTEMPTS: u64 = 8;
/// So many failures are counted for such a job.
const DOUBTED_FAILURES: u32 = 2;

/// A claim in a record.
struct FoundClaim {
    index: u32,
    attempt: Attempt,
    machine: MachineId,
    /// None: the record names none, as an earlier version wrote it.
    units: Option<Vec<Unit>>,
}

impl FoundClaim {
    /// The claim of the task `index`, with the units that its chunk's record names for it.
    fn new(index: u32, claim: &RecordedClaim, chunk: &ChunkRecord) -> Self {
        let units = chunk.units.iter().find(|u| u.place == claim.place);
        Self {
            index,
            attempt: claim.attempt,
            machine: claim.machine.clone(),
            units: units.map(|u| u.units.clone()),
        }
    }

    /// `uses_devices`: the job's tasks have some, named or not.
    fn into_claim(self, uses_devices: bool, now: Time) -> Claim {
        Claim {
            attempt: self.attempt,
            machine: self.machine,
            since: now,
            committed: true,
            sent: Sent::Found,
            progress: Progress::Unseen,
            stop: None,
            unnamed: uses_devices && self.units.is_none(),
            units: self.units.unwrap_or_default(),
        }
    }
}

/// A job's tasks, as its records have them.
struct FoundTasks {
    tasks: Tasks,
    /// Claims on this shard's machines.
    claims: Vec<FoundClaim>,
    /// Attempts that came to nothing.
    wasted: u64,
}

impl FoundTasks {
    /// Whether so many attempts came to nothing, while none has ended well, that one
    /// task is to tell whether the job is mistaken, rather than all.
    fn casts_doubt_on(&self, spec: &JobSpec) -> bool {
        spec.kind == Kind::Array
            && self.tasks.done() == 0
            && self.wasted >= u64::from(spec.tasks).clamp(MIN_FAILED_ATTEMPTS, MAX_FAILED_ATTEMPTS)
    }

    /// Whether one of them was ever placed, as far as the records tell.
    fn started(&self) -> bool {
        !self.claims.is_empty() || self.tasks.done() > 0
    }
}

/// A job for the cluster state, as it is recorded.
struct RecordedJob {
    job: Job,
    /// Claims on this shard's machines.
    claims: Vec<FoundClaim>,
}

impl Core {
    /// Takes a job into the cluster state. One that waits for others is not taken: so it
    /// has no part in limits, shares, queues, aging or renting until the committed records
    /// of all jobs that it needs say done, and nothing of it is claimed before.
    pub(super) fn add_known(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let Some(entry) = view.job(id) else { return };
        let record = &entry.record.value;
        if record.phase == Phase::Live && !view.is_ready(id) {
            return;
        }
        let over = record.phase != Phase::Live;
        // A done job's tasks have all ended, whatever a chunk that was not
        // deleted yet still claims.
        if record.phase == Phase::Done || over && !self.claims_here(entry) {
            if self.scope.homes(id) {
                self.drop_chunks(id, entry, now);
            }
            return;
        }
        let found = self.found_tasks(id, entry, now);
        let all_done = found.tasks.all_done();
        let times = job_times(view, id, record, now, wall_ms);
        let Some(RecordedJob { job, claims }) = self.recorded_job(view, id, found, &times) else {
            return;
        };
        let placed_here = !over && self.scope.homes(id);
        self.put_job(id, job, placed_here, now);
        self.put_claims(id, claims, now);
        self.share(id, entry);
        if all_done && placed_here {
            self.finished(id.clone(), now);
        }
        // A gang that was claimed in part, or lost a part, starts anew.
        self.gangs_to_check.add(id.clone());
        self.placement_queue.request_full_walk();
    }

    /// A job goes into the cluster state. `placed_here`: this shard places it, and it is
    /// not over.
    fn put_job(&mut self, id: &JobId, job: Job, placed_here: bool, now: Time) {
        if placed_here {
            let counts = self.served_log.counts();
            counts.accepted(&job.sort());
            if job.started {
                counts.started(&job.sort(), None);
            }
        }
        let last_placed = job.started.then_some(now);
        let job = Job { last_placed, ..job };
        self.cluster_state.add_job(id.clone(), job);
        if placed_here {
            self.largest_arrived(id, now);
        }
    }

    /// The claims of a job that was just put into the cluster state go there too.
    fn put_claims(&mut self, id: &JobId, claims: Vec<FoundClaim>, now: Time) {
        // An earlier version's record names no units.
        let job = self.cluster_state.job(id);
        let placement = job.and_then(|j| j.spec.placement.as_ref());
        let uses_devices = placement.is_some_and(|w| w.lost || !w.devices.is_empty());
        for claim in claims {
            let task = TaskId {
                job: id.clone(),
                index: claim.index,
            };
            let claim = claim.into_claim(uses_devices, now);
            self.cluster_state.put_claim(&task, claim);
        }
    }

    /// Reads a job's tasks. What is claimed on deleted machines is released: its
    /// task went with its machine, recorded or not.
    fn found_tasks(&mut self, id: &JobId, entry: &JobEntry, now: Time) -> FoundTasks {
        let record = &entry.record.value;
        let mut found = FoundTasks {
            tasks: Tasks::new(record.tasks, record.chunk),
            claims: Vec::new(),
            wasted: 0,
        };
        for (chunk, stored) in entry.all_chunks() {
            found.tasks.set_next_attempt(chunk, stored.next_attempt);
            let of_use = stored.claims.len() as u64 + u64::from(stored.done.count_ones());
            found.wasted += stored.next_attempt.saturating_sub(1 + of_use);
            for bit in (0..found.tasks.chunk_size()).filter(|bit| stored.done >> bit & 1 == 1) {
                found.tasks.set_done(chunk * record.chunk + bit);
            }
            let here = stored
                .claims
                .iter()
                .filter(|c| self.scope.covers(&c.machine));
            for claim in here {
                let index = chunk * record.chunk + claim.place;
                if self.tombstones.is_inherited(&claim.machine) {
                    self.pending.released(ChunkId::new(id, chunk), now);
                } else if index < record.tasks {
                    found.claims.push(FoundClaim::new(index, claim, stored));
                }
            }
        }
        found
    }

    /// The job for the cluster state, and its claims; none: it can't be served here.
    fn recorded_job(
        &self,
        view: &View,
        id: &JobId,
        found: FoundTasks,
        times: &JobTimes,
    ) -> Option<RecordedJob> {
        let entry = view.job(id)?;
        let record = &entry.record.value;
        let Some(spec) = record.description() else {
            tracing::error!(job = %id, "record has no description");
            return None;
        };
        let team = self.team_of(id, &spec)?;
        let spec = Rc::new(spec);
        tracing::debug!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, image = %spec.image.as_str(), "job added");
        let suspected_faulty = found.casts_doubt_on(&spec);
        let topology = self.cluster_state.topology().map(|t| &**t);
        let failures = if suspected_faulty {
            DOUBTED_FAILURES
        } else {
            0
        };
        let mut job = Job {
            lane: self.lane_of(&spec, entry),
            suspected_faulty,
            failures,
            cancelled: record.phase == Phase::Cancelled,
            start_within: self.starts_within(&spec.class),
            policy: ClusterState::policy_of(topology, &spec),
            started: found.started(),
            ..Job::new(spec, team, times.ready, found.tasks)
        };
        let inherited = view.pipelines().urgency(id);
        self.urgency(&job.spec, times, inherited).apply(&mut job);
        Some(RecordedJob {
            job,
            claims: found.claims,
        })
    }

    /// A job's priority lane and its place there, if its class has lanes.
    fn lane_of(&self, spec: &JobSpec, entry: &JobEntry) -> Option<Laned> {
        let lanes = &self.cfg.lanes;
        let lane = lanes.of(&spec.class, spec.priority, spec.deadline_s.is_some());
        lane.map(|lane| Laned::new(lane, entry.place))
    }

    /// The place of a job's team among those of the settings; none: it is not among them.
    fn team_of(&self, id: &JobId, spec: &JobSpec) -> Option<usize> {
        let mut teams = self.cfg.teams.iter();
        let team = teams.position(|t| t.name == spec.team);
        if team.is_none() {
            tracing::error!(job = %id, team = %spec.team, "unknown team");
        }
        team
    }
}
